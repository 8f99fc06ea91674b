#include <algorithm>

#include "samphirebank/warmup/warmup.h"

namespace samphirebank::warmup {

void RecordReport(ColdTargets& cold, const TargetId& target, Duration remaining,
                  TimePoint now) {
  const bool is_warm = remaining <= Duration::zero();
  const auto found = cold.entries.find(target);
  if (is_warm && found == cold.entries.end()) return;
  ColdTargets::Entry& entry = cold.entries[target];
  const TimePoint reported = is_warm ? now : now + remaining + kReportDelay;
  entry.until = std::max(reported, entry.at_least_until);
}

void RecordPossiblyCold(ColdTargets& cold, const TargetId& target,
                        Duration duration, TimePoint now) {
  ColdTargets::Entry& entry = cold.entries[target];
  entry.at_least_until = std::max(entry.at_least_until, now + duration);
  entry.until = std::max(entry.until, entry.at_least_until);
}

bool IsCold(const ColdTargets& cold, const TargetId& target, TimePoint now) {
  const auto found = cold.entries.find(target);
  return found != cold.entries.end() && now < found->second.until;
}

void EvictWarm(ColdTargets& cold, TimePoint now) {
  std::erase_if(cold.entries,
                [now](const auto& item) { return now >= item.second.until; });
}

}  // namespace samphirebank::warmup
