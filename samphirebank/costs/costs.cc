#include "samphirebank/costs/costs.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <vector>

namespace samphirebank::costs {
namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

// Ratio of the mean to the standard deviation of absolute normal errors.
constexpr double kMeanToDeviation = 1.25;
// Bound of a difference in the deviation's update, in deviations. Gelper et al.
// use 2; with 3 an estimate follows a lasting change in fewer observations.
constexpr double kMaxDeviationGrowth = 3.0;
// Weight of an observation whose prompt had a backlog ahead.
constexpr double kBacklogWeight = 0.5;
// Share of the prompt in its predicted time from which it counts as one that
// waits for almost nothing.
constexpr double kMinPromptShare = 0.8;

// WeightNow returns the weight of an estimate after its age.
double WeightNow(const Estimate& estimate, const Options& options,
                 TimePoint now) {
  if (estimate.weight <= 0.0) return 0.0;
  const double age =
      Milliseconds(now - estimate.updated_at) / Milliseconds(options.retention);
  return estimate.weight * std::clamp(1.0 - age, 0.0, 1.0);
}

struct Sample {
  double log_ratio = 0.0;
  double weight = 0.0;
};

// ShrunkMean draws a target's estimate to 0 where its observations vary more
// than targets do.
double ShrunkMean(const Estimate& estimate, const Options& options,
                  TimePoint now) {
  const double weight = WeightNow(estimate, options, now);
  if (weight <= 0.0) return 0.0;
  const double relative_deviation = estimate.deviation / options.target_spread;
  return estimate.mean * weight /
         (weight + relative_deviation * relative_deviation);
}

void Update(Estimate& estimate, const Options& options, double memory,
            const Sample& sample, TimePoint now) {
  const double weight = WeightNow(estimate, options, now);
  if (weight <= 0.0) estimate = {.deviation = options.initial_deviation};
  const double difference = sample.log_ratio - estimate.mean;
  const double bound = options.max_deviations * estimate.deviation;
  estimate.mean += std::clamp(difference, -bound, bound) * sample.weight /
                   (weight + sample.weight);
  estimate.weight = std::min(weight + sample.weight, memory);
  estimate.updated_at = now;
  const double growth =
      kMeanToDeviation *
      std::min(std::abs(difference), kMaxDeviationGrowth * estimate.deviation);
  estimate.deviation +=
      options.deviation_weight * sample.weight * (growth - estimate.deviation);
  estimate.deviation = std::clamp(estimate.deviation, options.min_deviation,
                                  options.max_deviation);
}

void UpdateServiceFactor(ServiceEstimate& service, const Options& options,
                         double log_ratio, TimePoint now) {
  auto& newest = service.newest;
  newest.push_back({.value = log_ratio, .observed_at = now});
  while (newest.size() > options.service_window ||
         now - newest.front().observed_at > options.retention) {
    newest.pop_front();
  }
  std::vector<double> values;
  values.reserve(newest.size());
  for (const auto& ratio : newest) values.push_back(ratio.value);
  const auto count = static_cast<double>(values.size());
  const auto position =
      values.begin() +
      static_cast<std::ptrdiff_t>(options.service_quantile * (count - 1.0));
  std::ranges::nth_element(values, position);
  const double trust =
      std::min(1.0, count / static_cast<double>(options.service_full_count));
  service.log_factor = *position * trust;
}

// WithoutDeadBand returns the logarithm that is used for an estimated one.
double WithoutDeadBand(double log_factor, double log_band) {
  const double size = std::abs(log_factor);
  if (size <= log_band) return 0.0;
  if (size >= 2 * log_band) return log_factor;
  return std::copysign(2 * (size - log_band), log_factor);
}

}  // namespace

bool RecordFirstEvent(ReadingSpeeds& speeds, Estimate& target,
                      const Observation& observation, TimePoint now) {
  const Options& options = speeds.options;
  const bool is_usable = observation.predicted >= options.min_predicted &&
                         observation.elapsed > Duration::zero() &&
                         observation.slowdown > 0.0;
  if (!is_usable) return false;
  const Milliseconds predicted(observation.predicted);
  const double max_log = std::log(options.max_ratio);
  const double ratio = Milliseconds(observation.elapsed) / predicted;
  const double prompt_share =
      Milliseconds(observation.predicted_prompt) / predicted;
  const bool waited = prompt_share < kMinPromptShare;
  const double log_ratio =
      std::clamp(std::log(ratio / observation.slowdown), -max_log, max_log);
  const double weight =
      std::min(1.0, predicted / Milliseconds(options.full_predicted)) *
      (waited ? kBacklogWeight : 1.0);
  ServiceEstimate& service = speeds.services[observation.service];
  const bool is_long = observation.predicted >= options.full_predicted;
  if (!waited && is_long) UpdateServiceFactor(service, options, log_ratio, now);
  Estimate& reference = service.references[waited ? 1 : 0];
  if (WeightNow(reference, options, now) <= 0.0) {
    reference = {.mean = log_ratio,
                 .weight = weight,
                 .deviation = options.initial_deviation,
                 .updated_at = now};
  } else {
    Update(reference, options, options.service_memory,
           {.log_ratio = log_ratio, .weight = weight}, now);
  }
  Update(target, options, options.target_memory,
         {.log_ratio = log_ratio - reference.mean, .weight = weight}, now);
  return true;
}

double ServiceFactor(const ReadingSpeeds& speeds, const ServiceId& service,
                     TimePoint now) {
  const auto found = speeds.services.find(service);
  if (found == speeds.services.end()) return 1.0;
  const ServiceEstimate& estimate = found->second;
  const bool is_recent =
      !estimate.newest.empty() &&
      now - estimate.newest.back().observed_at < speeds.options.retention;
  if (!is_recent) return 1.0;
  return std::exp(
      WithoutDeadBand(estimate.log_factor, speeds.options.dead_band));
}

double RelativeFactor(const Options& options, const Estimate& target,
                      const Slowdown& slowdown, TimePoint now) {
  const double slowed = CurrentSlowdown(options, slowdown, now);
  if (target.weight <= 0.0 && slowed == 1.0) return 1.0;
  const double log_factor = ShrunkMean(target, options, now) + std::log(slowed);
  const double used = WithoutDeadBand(log_factor, options.dead_band);
  return used == 0.0 ? 1.0 : std::exp(used);
}

double CurrentSlowdown(const Options& options, const Slowdown& slowdown,
                       TimePoint now) {
  if (slowdown.factor == 1.0 || slowdown.factor <= 0.0) return 1.0;
  const double age = Milliseconds(now - slowdown.received_at) /
                     Milliseconds(options.slowdown_ttl);
  return 1.0 + (slowdown.factor - 1.0) * std::clamp(1.0 - age, 0.0, 1.0);
}

}  // namespace samphirebank::costs
