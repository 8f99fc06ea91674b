// File: capacity.h
//
// Estimates how many requests one target can process concurrently. The load
// reports of a target are delayed, and the target may be misconfigured or slow.
// The estimate therefore also uses the number of requests known to be in flight
// and the speed that routers observe.
//
// Example:
//
//   capacity::State state = capacity::Create(options, now);
//   capacity::OnReport(state, {.slots = 16, .running = 12}, in_flight, now);
//   if (in_flight < capacity::Limit(state)) ...  // send another request
//
// Not thread-safe: use a state from one thread only.
#ifndef SAMPHIREBANK_CAPACITY_CAPACITY_H_
#define SAMPHIREBANK_CAPACITY_CAPACITY_H_

#include <cstdint>

#include "samphirebank/base/base.h"

namespace samphirebank::capacity {

// Options configures how the limit of a target is adapted.
struct Options {
  // Initial limit in requests, for a target that states no slots.
  double initial_limit = 4;
  // Maximum limit in requests, for a target that states no slots.
  double max_limit = 4096;
  // Number of requests that may wait at the target, so that its batch stays
  // full until the routers learn that a request has completed.
  uint32_t headroom = 1;
  // Minimum time after a step of the limit before the limit is increased, or
  // decreased for low speed, so that the load reports reflect the step.
  Duration min_step_interval = std::chrono::milliseconds(500);
  // An increase adds this fraction of the limit, and at least 1 request.
  double increase_ratio = 0.1;
  // The limit of a target is decreased if its speed is below this fraction of
  // the pool's baseline speed.
  double slow_speed_ratio = 0.5;
  // The factor by which the limit of a slow target is multiplied.
  double decrease_factor = 0.7;
  // Number of consecutive failures after which the limit is set to one request.
  uint32_t failure_threshold = 3;
};

// Report is the load that a target reports.
struct Report {
  uint32_t slots = 0;    // stated maximum batch size in requests; 0: unknown
  uint32_t running = 0;  // requests in the batch
  uint32_t waiting = 0;  // requests accepted but not in the batch
  Duration age{};        // time since the target measured its load
};

// Observation is what routers measured of a target over an interval.
struct Observation {
  double tokens_per_second = 0;  // per running request
  // Usual speed in the pool, in tokens per second and running request; 0 if
  // unknown.
  double baseline_speed = 0;
  uint32_t completed = 0;  // requests that succeeded
  uint32_t failed = 0;     // requests that failed
};

// State holds the estimate for one target.
struct State {
  Options options{};
  double limit = 0;    // requests, without headroom
  uint32_t slots = 0;  // from the latest report
  // Requests at the target that are not known to be in flight.
  uint32_t untracked_requests = 0;
  uint32_t failures = 0;  // since the last successful request
  // Time of the last increase or decrease of the limit.
  TimePoint last_step_at{};
};

// Create returns the initial estimate for a target.
State Create(const Options& options, TimePoint now);

// OnReport updates the estimate from a load report of the target. `in_flight`
// is the number of requests known to be at the target, including granted ones.
void OnReport(State& state, const Report& report, uint32_t in_flight,
              TimePoint now);

// OnObservation updates the estimate from the completions, failures and speed
// that routers reported.
void OnObservation(State& state, const Observation& observation, TimePoint now);

// Limit returns how many known requests may be in flight to the target now,
// including the headroom. It is at least 1, so that the recovery of a target is
// detected.
uint32_t Limit(const State& state);

}  // namespace samphirebank::capacity

#endif  // SAMPHIREBANK_CAPACITY_CAPACITY_H_
