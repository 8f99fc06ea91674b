#include "samphirebank/ratelimit/ratelimit.h"

namespace samphirebank::ratelimit {

Change RecordAnswer(StatedLimits& limits, const TargetId& target,
                    int64_t run_started_at_ms,
                    std::optional<double> requests_per_second) {
  const auto found = limits.entries.find(target);
  const bool is_known = found != limits.entries.end();
  if (is_known && run_started_at_ms < found->second.run_started_at_ms) {
    return Change::kNone;
  }
  if (!requests_per_second) {
    if (!is_known) return Change::kNone;
    limits.entries.erase(found);
    return Change::kEnded;
  }
  limits.entries[target] = {.run_started_at_ms = run_started_at_ms,
                            .requests_per_second = *requests_per_second};
  return is_known ? Change::kNone : Change::kBegan;
}

void RecordRun(StatedLimits& limits, const TargetId& target,
               int64_t run_started_at_ms) {
  const auto found = limits.entries.find(target);
  if (found == limits.entries.end()) return;
  if (found->second.run_started_at_ms != run_started_at_ms) {
    limits.entries.erase(found);
  }
}

std::optional<double> LimitOf(const StatedLimits& limits,
                              const TargetId& target) {
  const auto found = limits.entries.find(target);
  if (found == limits.entries.end()) return std::nullopt;
  return found->second.requests_per_second;
}

}  // namespace samphirebank::ratelimit
