#include "samphirebank/shedding/shedding.h"

#include <algorithm>

namespace samphirebank::shedding {
namespace {

constexpr uint64_t kSteps = 1024;

// UnitOf maps a seed to a number from 0 to below 1.
double UnitOf(uint64_t seed) {
  return static_cast<double>(seed % kSteps) / static_cast<double>(kSteps);
}

}  // namespace

void RecordTick(Shedding& shedding, Duration busy_time) {
  const Options& options = shedding.options;
  const std::chrono::duration<double> busy = busy_time;
  const std::chrono::duration<double> target = options.target_busy_time;
  const double ratio = std::clamp(busy / target, 0.0, options.max_busy_ratio);
  shedding.refused_fraction =
      std::clamp(shedding.refused_fraction + options.gain * (ratio - 1.0), 0.0,
                 options.max_refused_fraction);
}

bool ShouldRefuse(const Shedding& shedding, const Request& request) {
  if (request.in_flight >= shedding.options.max_in_flight) return true;
  // The first half of the range refuses ever more requests above the share, the
  // second half ever more of the others besides.
  const double scaled = 2.0 * shedding.refused_fraction;
  const double fraction =
      request.above_share
          ? std::min(scaled, shedding.options.max_refused_fraction)
          : scaled - 1.0;
  return UnitOf(request.seed) < fraction;
}

Duration RetryAfter(const Options& options, uint64_t seed) {
  const Duration spread = options.max_retry_delay - options.min_retry_delay;
  // Bits that ShouldRefuse does not use: it refuses the low seeds only.
  return options.min_retry_delay +
         std::chrono::duration_cast<Duration>(spread * UnitOf(seed / kSteps));
}

}  // namespace samphirebank::shedding
