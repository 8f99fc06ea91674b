// File: costs.h
//
// Learns how long the targets of a service take to read prompts, relative to a
// model with constants: the reading time factor of a target is 1 where the
// model is right and 2 where reading takes twice as long. This library performs
// no I/O.
//
// Each observation is the ratio of the time from a send to the first event of
// the answer to the time that the model gives for the uncached part of the
// prompt and the backlog ahead of it. Its backlog is as old as the reports of
// other gateways, so the ratio errs by far more than the speed differs, and
// under load most of it is the backlog that was not known. Hence two
// estimators:
//
// - The factor of a service is a low quantile of the last ratios of prompts
//   that should have waited for almost nothing. Load moves it little: some of
//   them did not wait.
// - The factor of a target relative to its service is robust exponential
//   smoothing of the ratio's logarithm, less that of all its service's targets:
//   the difference from the estimate is bounded to a multiple of a deviation
//   that is smoothed too (Huber's psi; S. Gelper, R. Fried, C. Croux, "Robust
//   forecasting with exponential and Holt-Winters smoothing", Journal of
//   Forecasting 29 (2010), 285-300). A single odd value moves the estimate
//   little, while values that stay odd widen the bound. The estimate is drawn
//   to the service's by the ratio of the observations' variance to that of
//   targets (shrinkage; B. Efron, C. Morris, "Stein's estimation rule and its
//   competitors", JASA 68 (1973), 117-130).
//
// It is designed for gateways that see a few requests a second for each target
// at most, and for targets whose speed changes within seconds.
//
// Example:
//
//   RecordFirstEvent(speeds, target_estimate,
//                    {.service = service, .predicted = milliseconds(80),
//                     .elapsed = milliseconds(33)}, now);
//   Duration wait = backlog * ServiceFactor(speeds, service, now) *
//                   RelativeFactor(speeds.options, target_estimate, {}, now);
#ifndef SAMPHIREBANK_COSTS_COSTS_H_
#define SAMPHIREBANK_COSTS_COSTS_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <deque>
#include <unordered_map>

#include "samphirebank/base/base.h"

namespace samphirebank::costs {

// Options configures the estimators. An observation has weight 1 if its prompt
// should have waited for almost nothing.
struct Options {
  // The quantile of a service's ratios, of this many observations.
  double service_quantile = 0.2;
  size_t service_window = 32;
  // Observations with which a service's factor counts in full.
  size_t service_full_count = 24;
  // Weight beyond which smoothing forgets its oldest observations: it keeps
  // 1 - 1 / (memory + 1) of itself at each.
  double target_memory = 6.0;
  double service_memory = 20.0;
  // Assumed standard deviation of the factor's logarithm between the targets of
  // a service.
  double target_spread = 0.35;
  // What is older does not count; a target's estimate fades until then.
  Duration retention = std::chrono::seconds(20);
  // Bound of an observation's difference from the estimate, in deviations.
  double max_deviations = 1.5;
  // Weight of the newest difference in the deviation.
  double deviation_weight = 0.25;
  // Deviation, of the ratio's natural logarithm, before any observation, and
  // its bounds.
  double initial_deviation = 0.3;
  double min_deviation = 0.15;
  double max_deviation = 1.5;
  // Observations with a shorter predicted time are ignored: the network and
  // the process take as long.
  Duration min_predicted = std::chrono::milliseconds(4);
  // Predicted time from which an observation has its full weight, and below
  // which it does not count for the factor of the service: delays that the
  // model does not know would look like a slow service.
  Duration full_predicted = std::chrono::milliseconds(20);
  // Bound of a ratio and of its inverse.
  double max_ratio = 10.0;
  // Factors whose natural logarithm is within it, 25 %, count as 1; the
  // estimates of equal targets differ by less. Factors beyond twice that are
  // used as they are, and those between change gradually, so that a choice does
  // not flip at the limit.
  double dead_band = 0.223;
  // A target's slowdown is assumed to last this long, less and less.
  Duration slowdown_ttl = std::chrono::milliseconds(500);
};

// Estimate is a smoothed logarithm of observed ratios.
struct Estimate {
  double mean = 0.0;
  double weight = 0.0;
  double deviation = 0.0;
  TimePoint updated_at{};
};

// ServiceEstimate is what is known of a service's targets together.
struct ServiceEstimate {
  struct LogRatio {
    double value = 0.0;
    TimePoint observed_at{};
  };
  std::deque<LogRatio> newest{};  // of prompts without a wait, oldest first
  double log_factor = 0.0;        // by their quantile
  // What the ratios of its targets are compared with, of prompts without and
  // with a wait: known backlogs are too long on average, unknown ones are none.
  std::array<Estimate, 2> references{};
};

// ReadingSpeeds holds the estimates of services. Those of targets belong to
// the caller, which drops them with the target's run.
struct ReadingSpeeds {
  Options options{};
  std::unordered_map<ServiceId, ServiceEstimate> services{};
};

// Slowdown is what a target last said of its machine.
struct Slowdown {
  double factor = 1.0;  // 1: as usual
  TimePoint received_at{};
};

// Observation is of one request whose answer has begun.
struct Observation {
  ServiceId service{};
  Duration predicted{};  // by the model: the backlog ahead and the prompt
  Duration predicted_prompt{};  // of it, the prompt
  Duration elapsed{};  // from send to first event, without other known delays
  // Mean slowdown of the target's machine over that time, if it is known.
  double slowdown = 1.0;
};

// RecordFirstEvent learns from an observation of the target that `target` is
// the estimate of. It returns false if the observation tells nothing.
bool RecordFirstEvent(ReadingSpeeds& speeds, Estimate& target,
                      const Observation& observation, TimePoint now);

// ServiceFactor returns how long the targets of a service take to read,
// relative to the model.
double ServiceFactor(const ReadingSpeeds& speeds, const ServiceId& service,
                     TimePoint now);

// RelativeFactor returns how long a target takes to read, relative to its
// service. It is 1 within the dead band, like the factor of a service.
double RelativeFactor(const Options& options, const Estimate& target,
                      const Slowdown& slowdown, TimePoint now);

// CurrentSlowdown returns the slowdown that is likely now.
double CurrentSlowdown(const Options& options, const Slowdown& slowdown,
                       TimePoint now);

}  // namespace samphirebank::costs

#endif  // SAMPHIREBANK_COSTS_COSTS_H_
