#include "samphirebank/signoff/signoff.h"

#include <algorithm>
#include <utility>

namespace samphirebank::signoff {
namespace {

using directory::Announcement;
using directory::State;
using std::chrono::milliseconds;

milliseconds WholeMs(Duration span) {
  return std::max(milliseconds(0),
                  std::chrono::duration_cast<milliseconds>(span));
}

void MergeRun(Pending& pending, const RunReport& report) {
  if (!report.has_run) return;
  const milliseconds known(report.known_ms);
  const milliseconds silent(report.silent_ms);
  const bool is_newer = !pending.newest || pending.newest->started_at_ms <
                                               report.run.started_at_ms;
  if (is_newer) {
    pending.newest = report.run;
    pending.known_for = known;
    pending.silent_for = silent;
    return;
  }
  Announcement& newest = *pending.newest;
  if (newest.started_at_ms != report.run.started_at_ms) return;
  pending.known_for = std::max(pending.known_for, known);
  pending.silent_for = std::min(pending.silent_for, silent);
  const State state = std::max(newest.state, report.run.state);
  if (report.run.sequence > newest.sequence) newest = report.run;
  newest.state = state;
}

bool IsComplete(const Pending& pending) {
  return pending.is_complete_here && pending.unanswered.empty();
}

}  // namespace

RunReport ReportOf(const directory::Directory& directory, const RunQuery& query,
                   bool has_just_started, TimePoint now) {
  RunReport report{.number = query.number,
                   .has_just_started = has_just_started};
  const auto found = directory.entries.find(query.target);
  if (found == directory.entries.end()) return report;
  const directory::Entry& entry = found->second;
  report.has_run = true;
  report.run = entry.announcement;
  report.known_ms =
      static_cast<uint64_t>(WholeMs(now - entry.run_seen_at).count());
  report.silent_ms =
      static_cast<uint64_t>(WholeMs(now - entry.last_seen).count());
  return report;
}

Pending Begin(const TargetId& target, std::set<InstanceId> coordinators,
              const RunReport& own, TimePoint now) {
  Pending pending{.target = target,
                  .begun_at = now,
                  .coordinators = std::move(coordinators),
                  .is_complete_here = !own.has_just_started};
  pending.unanswered = pending.coordinators;
  MergeRun(pending, own);
  return pending;
}

void TakeReport(Pending& pending, const InstanceId& from,
                const RunReport& report) {
  if (report.has_run && report.run.id != pending.target) return;
  MergeRun(pending, report);
  if (!pending.coordinators.contains(from)) {
    pending.gateway_answered = true;
  } else if (!report.has_just_started) {
    pending.unanswered.erase(from);
  }
}

bool ShouldAskGateways(const Options& options, const Pending& pending,
                       TimePoint now) {
  return !IsComplete(pending) && !pending.gateway_answered &&
         now - pending.begun_at >= options.ask_gateways_after;
}

Verdict Decide(const Options& options, const Pending& pending, TimePoint now) {
  const bool is_complete = IsComplete(pending);
  const bool is_late = now - pending.begun_at >= options.time_limit;
  if (!is_complete && !is_late) return Verdict::kWait;
  if (!pending.newest) {
    return is_complete ? Verdict::kUnknown : Verdict::kRefuse;
  }
  const bool may_miss_newer =
      !is_complete &&
      (!pending.gateway_answered || pending.silent_for > options.max_silence);
  if (may_miss_newer) return Verdict::kRefuse;
  if (pending.newest->state == State::kGone) return Verdict::kEndRun;
  return pending.known_for < options.settle_time ? Verdict::kRefuse
                                                 : Verdict::kEndRun;
}

Announcement EndOf(const Pending& pending) {
  Announcement run = *pending.newest;
  run.state = State::kGone;
  return run;
}

}  // namespace samphirebank::signoff
