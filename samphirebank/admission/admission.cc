#include "samphirebank/admission/admission.h"

#include <algorithm>

namespace samphirebank::admission {
namespace {

Duration Scale(Duration duration, double factor) {
  return std::chrono::duration_cast<Duration>(duration * factor);
}

double WaitRatio(const Options& options, const Request& request) {
  const double nominal_ratio = request.fair_shares.nominal / request.used;
  const double current_ratio = request.fair_shares.current / request.used;
  const std::chrono::duration<double> mean_wait = request.mean_wait;
  const std::chrono::duration<double> cutoff = options.mean_wait_cutoff;
  const double headroom = std::max(0.0, 1.0 - mean_wait / cutoff);
  const double wait_ratio = std::max(
      options.nominal_wait_ratio * nominal_ratio * nominal_ratio,
      options.current_wait_ratio * headroom * current_ratio * current_ratio);
  return std::min(wait_ratio, options.max_wait_ratio);
}

bool IsIdle(const Options& options, const Request& request) {
  return request.wait <= options.idle_threshold;
}

Decision DecideByWait(const Options& options, const Request& request) {
  const double ratio = WaitRatio(options, request);
  const bool is_admitted = IsIdle(options, request) ||
                           request.wait <= Scale(request.latency_target, ratio);
  if (is_admitted) return Decision::kAdmitted;
  const bool is_raised =
      request.standing.behind &&
      request.wait <= Scale(request.latency_target, options.behind_wait_ratio);
  return is_raised ? Decision::kAdmittedBehind : Decision::kRefusedBusy;
}

bool IsHeldBack(const Options& options, const Request& request) {
  if (request.used <= request.fair_shares.nominal) return false;
  const bool loses_draw = request.draw >= request.standing.idle_chance;
  const bool is_capped = request.over_ceiling && !request.standing.behind;
  return is_capped || (IsIdle(options, request) && loses_draw);
}

}  // namespace

double CurrentCapacity(double stated, double admitted) {
  constexpr double kGrowth = 1.1;
  return std::max(stated, admitted * kGrowth);
}

Decision Decide(const Options& options, const Request& request) {
  const Decision by_wait = DecideByWait(options, request);
  const bool is_held_back = IsAdmitted(by_wait) && IsHeldBack(options, request);
  return is_held_back ? Decision::kRefusedAhead : by_wait;
}

bool IsAdmitted(Decision decision) {
  return decision == Decision::kAdmitted ||
         decision == Decision::kAdmittedBehind;
}

bool ShouldAdmit(const Options& options, const Request& request) {
  return IsAdmitted(Decide(options, request));
}

Duration RetryAfter(const Options& options, double used, double fair_share,
                    uint64_t seed) {
  constexpr uint64_t kSteps = 1024;
  const double shares_used =
      fair_share > 0 ? std::min(used / fair_share, 16.0) : 1.0;
  const Duration mean_delay = std::min(
      options.max_retry_delay,
      options.base_retry_delay + Scale(options.retry_delay_step, shares_used));
  const double jitter =
      0.75 + 0.5 * static_cast<double>(seed % kSteps) / kSteps;
  return Scale(mean_delay, jitter);
}

}  // namespace samphirebank::admission
