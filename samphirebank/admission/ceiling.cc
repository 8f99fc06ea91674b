// What no organisation may exceed while another is backlogged.
#include <algorithm>
#include <chrono>
#include <cmath>

#include "samphirebank/admission/admission.h"
#include "samphirebank/admission/internal/level.h"

namespace samphirebank::admission {

double ComputeCeiling(const Options& options,
                      const RatesByOrganisation& rates) {
  return options.most_of_level * FairLevel(options, rates);
}

void Accrue(const Options& options, Pace& pace, double part, TimePoint now) {
  const bool was_limited = pace.limited;
  const std::chrono::duration<double> elapsed = now - pace.updated_at;
  const std::chrono::duration<double> longest = options.max_saved;
  pace.limited = std::isfinite(part);
  pace.updated_at = now;
  if (!pace.limited || !was_limited) {
    pace.saved = 0.0;
    return;
  }
  pace.saved =
      std::min(pace.saved + part * elapsed.count(), part * longest.count());
}

bool IsOverCeiling(const Pace& pace) {
  return pace.limited && pace.saved < 0.0;
}

void Spend(Pace& pace, double tokens) {
  if (pace.limited) pace.saved -= tokens;
}

}  // namespace samphirebank::admission
