#include "samphirebank/rotation/rotation.h"

#include <algorithm>

namespace samphirebank::rotation {

bool RecordTick(Rotation& rotation, Duration busy_time, TimePoint now) {
  const Options& options = rotation.options;
  const std::chrono::duration<double, std::nano> newest =
      std::max(busy_time, Duration::zero());
  const std::chrono::duration<double, std::nano> mean =
      rotation.mean_busy_time * (1.0 - options.newest_tick_weight) +
      newest * options.newest_tick_weight;
  rotation.mean_busy_time = std::chrono::duration_cast<Duration>(mean);
  const Duration elapsed = now - rotation.changed_at;
  const bool should_leave = !rotation.is_out &&
                            elapsed >= options.min_time_in &&
                            rotation.mean_busy_time > options.leave_threshold;
  const bool has_recovered = rotation.mean_busy_time < options.return_threshold;
  const bool should_return =
      rotation.is_out && ((has_recovered && elapsed >= options.min_time_out) ||
                          elapsed >= options.max_time_out);
  if (!should_leave && !should_return) return false;
  rotation.is_out = should_leave;
  rotation.changed_at = now;
  return true;
}

bool IsOverloaded(const Rotation& rotation) {
  return rotation.mean_busy_time > rotation.options.leave_threshold;
}

bool ShouldEndConnection(const Rotation& rotation, uint64_t answer_number,
                         TimePoint now) {
  const Options& options = rotation.options;
  const bool is_moving = rotation.is_out && IsOverloaded(rotation) &&
                         now - rotation.changed_at >= options.balancer_delay;
  return is_moving && answer_number % options.answers_per_ended_connection == 0;
}

}  // namespace samphirebank::rotation
