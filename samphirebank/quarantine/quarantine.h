// File: quarantine.h
//
// Finds prompt parts that crash targets ("queries of death") and says which
// prompts to refuse. A target that answers a prompt with such a part ends,
// before the first piece of the answer or after some, and so does the next one
// to which the prompt is sent. All other requests at an ended target fail too,
// although they are sound, and prompts with a deadly part share their other
// parts with sound prompts.
//
// A part is suspected if targets ended while they had requests with it. What
// was written of an answer before is no proof that its parts are sound; a whole
// answer is. Neither is an answer that goes on when others with the part went
// on as long before their targets ended; one that goes on much longer is. An
// answer that ends with its connection is whole or cut off, which shows when
// its target is seen alive or is found to have ended. The age of an answer is
// the time from its first piece to its newest: a target that stands still, or a
// gateway that does, makes none older.
//
// Gateways report what they saw of suspected parts to a coordinator,
// coordinators exchange these reports and answer with the evidence of the whole
// fleet, and each gateway judges by that evidence. A part that is quarantined
// anywhere is quarantined everywhere. This library performs no I/O.
//
// Example, on a gateway:
//
//   RecordAnswered(quarantine, parts, now);         // an answer is whole
//   RecordCrash(quarantine, parts, run, age, now);  // broken off
//   for (PartId part : Judge(quarantine, now)) LogQuarantined(part);
//   if (auto left = TimeLeft(quarantine, parts, now)) Refuse(*left);
//
// and on a coordinator:
//
//   RecordGateway(aggregate, from, report.evidence, now);
//   Send(from, EvidenceSum{.evidence = SumOfFleet(aggregate, now)});
#ifndef SAMPHIREBANK_QUARANTINE_QUARANTINE_H_
#define SAMPHIREBANK_QUARANTINE_QUARANTINE_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "samphirebank/base/base.h"

namespace samphirebank::wire {
enum class Kind : uint16_t;
}  // namespace samphirebank::wire

namespace samphirebank::quarantine {

// PartId identifies a prompt part that several prompts may share.
using PartId = StrongNumber<struct PartIdTag, uint64_t>;

// RunHash identifies one run of a target, from its start to its end.
using RunHash = StrongNumber<struct RunHashTag, uint32_t>;

// HashRun returns the hash of a target's run that started at `started_at_ms`,
// the same on every instance.
RunHash HashRun(const TargetId& target, int64_t started_at_ms);

// Options sets how much evidence it takes.
struct Options {
  // Ends of targets after which a part is quarantined if no prompt with it was
  // answered whole within answered_ttl, and none of its answers had begun.
  size_t min_crashes = 3;
  // min_crashes if an answer had begun. Answers last longer than they wait, so
  // more sound ones are cut off by targets that end.
  size_t min_crashes_if_begun = 6;
  // min_crashes if a prompt was answered whole, before all of these ends.
  size_t min_crashes_if_answered = 8;
  // The part of all ends of targets, from the first that counts to the last,
  // under which there was a prompt with the part. Where targets end for other
  // reasons, some prompts are under several ends by chance.
  double min_coverage = 0.6;
  // Ends of targets after which a broken-off prompt with a part that was not
  // answered within answered_ttl is not sent to another target.
  size_t min_crashes_to_suspect = 2;
  // An answer that goes on beyond `age_factor` times the age of one that was
  // cut off, and `age_slack`, shows that the part is not why.
  int age_factor = 2;
  Duration age_slack = std::chrono::milliseconds(250);
  // Targets that end within this time of each other count once: a power loss or
  // a reset of connections is no evidence against a prompt.
  Duration crash_gap = std::chrono::milliseconds(100);
  // Connections that end with a target are seen to end within this time.
  Duration same_end = std::chrono::milliseconds(250);
  // Time for which the fleet has to suspect a part before it is quarantined, so
  // that gateways that have seen answers to prompts with it can say so.
  Duration settle_time = std::chrono::milliseconds(700);
  // A target that is alive within this time after the end of a connection has
  // not ended: none starts again sooner.
  Duration shortest_restart = std::chrono::milliseconds(1500);
  // Time in which it may show whether an answer that ended with its connection
  // was cut off.
  Duration doubt_ttl = std::chrono::seconds(5);
  Duration crash_ttl = std::chrono::seconds(30);
  Duration answered_ttl = std::chrono::seconds(60);
  Duration quarantine_duration = std::chrono::minutes(10);
};

// CrashEvidence is the end of one target that had a prompt with the part.
struct CrashEvidence {
  RunHash run{};
  uint32_t ms_ago = 0;
  uint32_t age_ms = 0;  // of the oldest answer; 0 if none had begun

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(run, ms_ago, age_ms);
  }
};

// PartEvidence is what is known of one suspected part. Times are ages, since
// instances do not share a clock.
struct PartEvidence {
  PartId part{};
  uint32_t depth = 0;  // position in the prompt, from 0
  std::optional<uint32_t> answered_ms_ago{};
  // The greatest age of the answers that go on.
  std::optional<uint32_t> in_progress_ms{};
  std::optional<uint32_t> quarantined_ms_ago{};
  std::vector<CrashEvidence> crashes{};

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(part, depth, answered_ms_ago, in_progress_ms, quarantined_ms_ago,
            crashes);
  }
};

using Evidence = std::vector<PartEvidence>;

// kMaxParts, kMaxCrashes (of one part) and kMaxMessageCrashes (of all parts)
// bound a message, so that it fits into a datagram.
inline constexpr size_t kMaxParts = 17;
inline constexpr size_t kMaxCrashes = 8;
inline constexpr size_t kMaxMessageCrashes = 48;

// EvidenceReport is sent by a gateway to a coordinator: its own evidence.
struct EvidenceReport {
  static constexpr wire::Kind kKind = static_cast<wire::Kind>(20);
  Evidence evidence{};

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(evidence);
  }
};

// EvidenceShare is sent by a coordinator to the other coordinators: the
// evidence of the gateways that report to it.
struct EvidenceShare {
  static constexpr wire::Kind kKind = static_cast<wire::Kind>(21);
  Evidence evidence{};

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(evidence);
  }
};

// EvidenceSum is a coordinator's message to a gateway: the evidence of the
// whole fleet.
struct EvidenceSum {
  static constexpr wire::Kind kKind = static_cast<wire::Kind>(22);
  Evidence evidence{};

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(evidence);
  }
};

// kEvidenceTtl is the age at which a report becomes stale.
inline constexpr Duration kEvidenceTtl = std::chrono::milliseconds(1000);

// Record is what one instance knows of a part.
struct Record {
  struct Crash {
    RunHash run{};
    TimePoint at{};
    Duration age{};  // of the oldest answer; 0 if none had begun
  };
  uint32_t depth = 0;
  std::optional<TimePoint> answered_at{};
  std::optional<Duration> in_progress{};  // the greatest age
  std::optional<TimePoint> quarantined_at{};
  std::vector<Crash> crashes{};
};
using Records = std::unordered_map<PartId, Record>;

// Ages holds the greatest age of the answers to prompts with each part.
using Ages = std::unordered_map<PartId, Duration>;

// Doubt is an answer that ended with its connection: it is whole, or its target
// has ended.
struct Doubt {
  TargetId target{};
  RunHash run{};
  std::vector<PartId> parts{};
  Duration age{};
  TimePoint at{};
};

// Quarantine is the state of one gateway.
struct Quarantine {
  Options options{};
  // When this gateway last saw the end of a whole answer to a prompt with the
  // part.
  std::unordered_map<PartId, TimePoint> answered{};
  // Answers that go on, with suspected parts only.
  Ages in_progress{};
  std::deque<Doubt> doubts{};  // the oldest first
  // Runs that ended under suspects, and when that was first noticed.
  std::unordered_map<RunHash, TimePoint> ended_runs{};
  // Parts that this gateway suspects or has in quarantine.
  Records suspects{};
  // The newest evidence of the fleet, and since when each part is in it.
  Records fleet{};
  std::unordered_map<PartId, TimePoint> listed_since{};
  TimePoint fleet_received_at{};
};

// RecordAnswered records that a target answered a prompt with the parts to the
// end, which clears them.
void RecordAnswered(Quarantine& quarantine, const std::vector<PartId>& parts,
                    TimePoint now);
// RecordCrash records that a target's run ended while it had a prompt with the
// parts, which are in prompt order. `age` is that of the answer, at least 1 ms
// if it had begun, else 0.
void RecordCrash(Quarantine& quarantine, const std::vector<PartId>& parts,
                 RunHash run, Duration age, TimePoint now);
// RecordDoubt records an answer that ended with its connection. Nothing follows
// from it until its target is seen alive or is found to have ended.
void RecordDoubt(Quarantine& quarantine, Doubt doubt);
// RecordAlive records that a run was alive at `alive_at`, since it answered a
// request that was sent then or later. What was taken for its end before was
// none.
void RecordAlive(Quarantine& quarantine, RunHash run, TimePoint alive_at);
// DoubtsEnds returns whether RecordAlive may be of use.
bool DoubtsEnds(const Quarantine& quarantine);
// RecordEnded records that a target was found to have ended. Doubtful answers
// of the last `window` were cut off by it.
void RecordEnded(Quarantine& quarantine, const TargetId& target,
                 Duration window, TimePoint now);
// IsWatching returns whether any part is suspected, so that TakeInProgress is
// of use.
bool IsWatching(const Quarantine& quarantine);
// IsWatched returns whether a part is suspected.
bool IsWatched(const Quarantine& quarantine, PartId part);
// TakeInProgress replaces the ages of the answers that go on. Call it before
// Judge while IsWatching.
void TakeInProgress(Quarantine& quarantine, Ages ages);
// TakeFleetEvidence replaces the evidence of the fleet.
void TakeFleetEvidence(Quarantine& quarantine, const Evidence& evidence,
                       TimePoint now);
// Judge quarantines the parts against which there is enough evidence, and
// returns those that were not in quarantine before. Call it on each tick.
std::vector<PartId> Judge(Quarantine& quarantine, TimePoint now);
// IsSuspect returns whether another target may end if a prompt with the parts
// is sent to it after one has ended.
bool IsSuspect(const Quarantine& quarantine, const std::vector<PartId>& parts,
               TimePoint now);
// TimeLeft returns for how long prompts with any of the parts are refused, or
// nothing if they are not.
std::optional<Duration> TimeLeft(const Quarantine& quarantine,
                                 const std::vector<PartId>& parts,
                                 TimePoint now);
// BuildReport returns the evidence of this gateway on the parts that anyone
// suspects; empty if there is none.
Evidence BuildReport(const Quarantine& quarantine, TimePoint now);
// EvictExpired removes old evidence. Call it every few seconds.
void EvictExpired(Quarantine& quarantine, TimePoint now);

// Aggregate holds the latest evidence that one coordinator received, by sender.
struct Aggregate {
  struct Report {
    Evidence evidence{};
    TimePoint received_at{};
  };
  Options options{};
  std::map<InstanceId, Report> gateways{};
  std::map<InstanceId, Report> coordinators{};
  // Parts in quarantine, which outlast the gateways that reported them.
  Records kept{};
};

// RecordGateway and RecordCoordinator replace the latest evidence of the sender
// `from`.
void RecordGateway(Aggregate& aggregate, const InstanceId& from,
                   Evidence evidence, TimePoint now);
void RecordCoordinator(Aggregate& aggregate, const InstanceId& from,
                       Evidence evidence, TimePoint now);
// SumOfGateways returns the evidence of the gateways that report to this
// coordinator, and the parts that it keeps in quarantine.
Evidence SumOfGateways(const Aggregate& aggregate, TimePoint now);
// SumOfFleet returns the evidence of all gateways.
Evidence SumOfFleet(const Aggregate& aggregate, TimePoint now);
// EvictStale removes stale reports and ends quarantines that are over.
void EvictStale(Aggregate& aggregate, TimePoint now);

}  // namespace samphirebank::quarantine

#endif  // SAMPHIREBANK_QUARANTINE_QUARANTINE_H_
