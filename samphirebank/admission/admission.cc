#include "samphirebank/admission/admission.h"

#include <algorithm>

namespace samphirebank::admission {
namespace {

Duration Part(Duration whole, double part) {
  return std::chrono::duration_cast<Duration>(whole * part);
}

}  // namespace

double CurrentCapacity(double stated, double admitted) {
  constexpr double kGrowth = 1.1;
  return std::max(stated, admitted * kGrowth);
}

bool ShouldAdmit(const Options& options, const Question& question) {
  if (question.wait <= options.idle) return true;
  const double nominal = question.fair_shares.nominal / question.used;
  const double current = question.fair_shares.current / question.used;
  const std::chrono::duration<double> mean = question.mean_wait;
  const std::chrono::duration<double> calm = options.calm;
  const double calmness = std::max(0.0, 1.0 - mean / calm);
  const double part =
      std::max(options.at_owed * nominal * nominal,
               options.at_present * calmness * current * current);
  return question.wait <=
         Part(question.latency_target, std::min(part, options.at_most));
}

Duration RetryAfter(const Options& options, double used, double level,
                    uint64_t seed) {
  constexpr uint64_t kSteps = 1024;
  const double shares = level > 0 ? std::min(used / level, 16.0) : 1.0;
  const Duration middle =
      std::min(options.last_return,
               options.first_return + Part(options.return_step, shares));
  const double spread =
      0.75 + 0.5 * static_cast<double>(seed % kSteps) / kSteps;
  return Part(middle, spread);
}

}  // namespace samphirebank::admission
