// File: signoff.h
//
// Which run of a target a sign-off ends. The call that signs a target off names
// the target alone, and it may reach a coordinator that has missed the last
// heartbeats of the run, or has never heard of the target. So that coordinator
// asks the others which run they know, and, if not all of them answer, gateways
// as well, which hear of the targets from every coordinator. It ends the newest
// run that is known, and asks the target to come back while it cannot tell
// which run that is. No I/O.
//
// Example:
//
//   Pending pending = Begin(target, coordinators, ReportOf(...), now);
//   TakeReport(pending, from, report);
//   if (Decide(options, pending, now) == Verdict::kEndRun) {
//     directory::ApplyAnnouncement(directory, EndOf(pending), now);
//   }
#ifndef SAMPHIREBANK_SIGNOFF_SIGNOFF_H_
#define SAMPHIREBANK_SIGNOFF_SIGNOFF_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>

#include "samphirebank/base/base.h"
#include "samphirebank/directory/directory.h"

namespace samphirebank::wire {
enum class Kind : uint16_t;
}  // namespace samphirebank::wire

namespace samphirebank::signoff {

// RunQuery asks another instance which run of a target it knows.
struct RunQuery {
  static constexpr wire::Kind kKind = static_cast<wire::Kind>(30);

  uint64_t number = 0;  // of the query, for its answer
  TargetId target{};

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(number, target);
  }
};

// RunReport is the answer: the newest run that the instance knows.
struct RunReport {
  static constexpr wire::Kind kKind = static_cast<wire::Kind>(31);

  uint64_t number = 0;
  bool has_run = false;
  directory::Announcement run{};
  uint64_t known_ms = 0;   // for how long the run has been known
  uint64_t silent_ms = 0;  // since it was last heard of
  // A coordinator that started just now may have missed heartbeats.
  bool has_just_started = false;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(number, has_run, run, known_ms, silent_ms, has_just_started);
  }
};

// EndedRun tells the other coordinators of a run that has signed off.
struct EndedRun {
  static constexpr wire::Kind kKind = static_cast<wire::Kind>(32);

  directory::Announcement run{};

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(run);
  }
};

// Options are the times within which a sign-off is decided.
struct Options {
  // A run that is known for a shorter time is not ended: the call may be a late
  // one of the run before. A target gives a call up after one second.
  Duration settle_time = std::chrono::seconds(2);
  // An instance that is younger may not have heard of every target; its report
  // does not count as complete.
  Duration startup_time = std::chrono::seconds(3);
  // Without the reports of all coordinators, a run that has been silent for
  // longer is not ended: a newer one may send its heartbeats to those that did
  // not answer. Gateways hear of each target every 3 s or more often.
  Duration max_silence = std::chrono::seconds(4);
  Duration ask_gateways_after = std::chrono::milliseconds(150);
  Duration time_limit = std::chrono::milliseconds(600);
};

// Pending is a sign-off that is not decided yet.
struct Pending {
  TargetId target{};
  TimePoint begun_at{};
  std::set<InstanceId> coordinators{};  // all that were asked
  std::set<InstanceId> unanswered{};    // of them, or just started
  bool is_complete_here = true;         // this coordinator has not just started
  bool gateway_answered = false;
  std::optional<directory::Announcement> newest{};  // run
  std::chrono::milliseconds known_for{};            // the newest run
  std::chrono::milliseconds silent_for{};
};

// Verdict is what becomes of a sign-off.
enum class Verdict : uint8_t {
  kWait,     // for more reports
  kEndRun,   // the newest run has ended
  kUnknown,  // nobody knows the target; there is nothing to end
  kRefuse,   // the target is to call again
};

// ReportOf answers a query from what this instance knows.
RunReport ReportOf(const directory::Directory& directory, const RunQuery& query,
                   bool has_just_started, TimePoint now);

// Begin starts to decide a sign-off; `own` is this coordinator's report.
Pending Begin(const TargetId& target, std::set<InstanceId> coordinators,
              const RunReport& own, TimePoint now);

// TakeReport records the answer of a coordinator or of a gateway.
void TakeReport(Pending& pending, const InstanceId& from,
                const RunReport& report);

// ShouldAskGateways returns whether coordinators have not answered in time.
bool ShouldAskGateways(const Options& options, const Pending& pending,
                       TimePoint now);

// Decide returns the verdict: complete reports decide at once, incomplete ones
// at time_limit.
Verdict Decide(const Options& options, const Pending& pending, TimePoint now);

// EndOf returns the announcement that ends the newest run, after kEndRun.
directory::Announcement EndOf(const Pending& pending);

}  // namespace samphirebank::signoff

#endif  // SAMPHIREBANK_SIGNOFF_SIGNOFF_H_
