// File: quarantine.h
//
// Finds prompt parts that crash targets ("queries of death") and says which
// prompts to refuse. A target that begins to answer a prompt with such a part
// ends, and so does the next one to which the prompt is sent. Requests that
// waited at an ended target fail too, although they are sound, and prompts with
// a deadly part share their other parts with sound prompts.
//
// A part is suspected if targets ended while they had requests with it that
// they had not begun to answer. It is cleared once any target begins to answer
// a prompt with it. Gateways report what they saw of suspected parts to a
// coordinator, coordinators exchange these reports and answer with the evidence
// of the whole fleet, and each gateway judges by that evidence. A part that is
// quarantined anywhere is quarantined everywhere. This library performs no I/O.
//
// Example, on a gateway:
//
//   RecordBegun(quarantine, parts, now);       // an answer has begun
//   RecordCrash(quarantine, parts, run, now);  // broken off before it had
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
  // Ends of targets after which a part is quarantined if no target has begun to
  // answer a prompt with it within begun_ttl.
  size_t min_crashes = 3;
  // Ends of targets after which a broken-off prompt with a part that no target
  // has begun to answer is not sent to another target.
  size_t min_crashes_to_suspect = 2;
  // min_crashes if a target has begun to answer one, before all of these ends.
  size_t min_crashes_if_begun = 8;
  // Targets that end within this time of each other count once: a power loss or
  // a reset of connections is no evidence against a prompt.
  Duration crash_gap = std::chrono::milliseconds(100);
  // Time for which the fleet has to suspect a part before it is quarantined, so
  // that gateways that have seen answers to prompts with it can say so.
  Duration settle_time = std::chrono::milliseconds(700);
  Duration crash_ttl = std::chrono::seconds(30);
  Duration begun_ttl = std::chrono::seconds(60);
  Duration quarantine_duration = std::chrono::minutes(10);
};

// CrashEvidence is the end of one target that had a prompt with the part.
struct CrashEvidence {
  RunHash run{};
  uint32_t ms_ago = 0;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(run, ms_ago);
  }
};

// PartEvidence is what is known of one suspected part. Times are ages, since
// instances do not share a clock.
struct PartEvidence {
  PartId part{};
  uint32_t depth = 0;  // position in the prompt, from 0
  std::optional<uint32_t> begun_ms_ago{};
  std::optional<uint32_t> quarantined_ms_ago{};
  std::vector<CrashEvidence> crashes{};

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(part, depth, begun_ms_ago, quarantined_ms_ago, crashes);
  }
};

using Evidence = std::vector<PartEvidence>;

// kMaxParts and kMaxCrashes bound a message, so that it fits into a datagram.
inline constexpr size_t kMaxParts = 10;
inline constexpr size_t kMaxCrashes = 10;

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
  };
  uint32_t depth = 0;
  std::optional<TimePoint> begun_at{};
  std::optional<TimePoint> quarantined_at{};
  std::vector<Crash> crashes{};
};
using Records = std::unordered_map<PartId, Record>;

// Quarantine is the state of one gateway.
struct Quarantine {
  Options options{};
  // When this gateway last saw an answer to a prompt with the part begin.
  std::unordered_map<PartId, TimePoint> begun{};
  // Parts that this gateway suspects or has in quarantine.
  Records suspects{};
  // The newest evidence of the fleet, and since when each part is in it.
  Records fleet{};
  std::unordered_map<PartId, TimePoint> listed_since{};
  TimePoint fleet_received_at{};
};

// RecordBegun records that a target began to answer a prompt with the parts,
// which clears them.
void RecordBegun(Quarantine& quarantine, const std::vector<PartId>& parts,
                 TimePoint now);
// RecordCrash records that a target's run ended before it began to answer a
// prompt with the parts, which are in prompt order.
void RecordCrash(Quarantine& quarantine, const std::vector<PartId>& parts,
                 RunHash run, TimePoint now);
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
