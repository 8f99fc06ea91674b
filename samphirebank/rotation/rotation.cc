#include "samphirebank/rotation/rotation.h"

#include <algorithm>

namespace samphirebank::rotation {

bool RecordTick(Rotation& rotation, Duration lateness, TimePoint now) {
  const Options& options = rotation.options;
  const std::chrono::duration<double, std::nano> newest =
      std::max(lateness, Duration::zero());
  const std::chrono::duration<double, std::nano> mean =
      rotation.mean_lateness * (1.0 - options.newest_weight) +
      newest * options.newest_weight;
  rotation.mean_lateness = std::chrono::duration_cast<Duration>(mean);
  const Duration since = now - rotation.changed_at;
  const bool leaves = !rotation.is_out && since >= options.least_in &&
                      rotation.mean_lateness > options.leave_above;
  const bool calm = rotation.mean_lateness < options.return_below;
  const bool returns =
      rotation.is_out &&
      ((calm && since >= options.least_out) || since >= options.most_out);
  if (!leaves && !returns) return false;
  rotation.is_out = leaves;
  rotation.changed_at = now;
  return true;
}

bool IsOverloaded(const Rotation& rotation) {
  return rotation.mean_lateness > rotation.options.leave_above;
}

}  // namespace samphirebank::rotation
