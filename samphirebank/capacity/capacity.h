// File: capacity.h
//
// How many requests one target can carry now. A target reports late and may
// be wrong or slow, so its reports are corrected by what is known to run
// there and by the speed that routers see.
//
// Example:
//
//   capacity::State state = capacity::Create(options, now);
//   capacity::OnReport(state, {.slots = 16, .running = 12}, in_flight, now);
//   if (in_flight < capacity::Limit(state)) ...  // room for one more
//
// Not thread-safe: one thread per state.
#ifndef SAMPHIREBANK_CAPACITY_CAPACITY_H_
#define SAMPHIREBANK_CAPACITY_CAPACITY_H_

#include <cstdint>

#include "samphirebank/base/base.h"

namespace samphirebank::capacity {

// Options sets how a limit moves.
struct Options {
  double initial_limit = 4;     // requests, of a target that states no slots
  double largest_limit = 4096;  // requests
  // Requests that may wait in the target, so that its batch stays full while
  // the end of a request becomes known.
  uint32_t headroom = 1;
  // Least time between two steps up, so that a step shows in the reports.
  Duration step_interval = std::chrono::milliseconds(500);
  double step_share = 0.1;  // a step up adds this share, at least 1 request
  // A target slower than this share of the pool's usual speed loses room.
  double slow_share = 0.5;
  double slow_factor = 0.7;      // of the limit that a step down leaves
  uint32_t failures_in_row = 3;  // after which it carries one request
};

// Report is a target's own reading of its load.
struct Report {
  uint32_t slots = 0;    // requests it says it can batch; 0: unknown
  uint32_t running = 0;  // requests in its batch
  uint32_t waiting = 0;  // requests admitted but not in its batch
  Duration age{};        // of the reading
};

// Observation is what routers saw of a target over a while.
struct Observation {
  double tokens_per_second = 0;  // per running request
  double baseline_speed = 0;     // the same over the pool; 0: unknown
  uint32_t completed = 0;        // requests that ended well
  uint32_t failed = 0;           // requests that failed
};

// State is the estimate for one target.
struct State {
  Options options{};
  double limit = 0;       // requests
  uint32_t slots = 0;     // as last stated
  uint32_t excess = 0;    // runs there, known to no router
  uint32_t failures = 0;  // without an end between them
  TimePoint stepped_at{};
};

// Create starts an estimate.
State Create(const Options& options, TimePoint now);

// OnReport takes a target's report; `in_flight` is how many requests are
// known to be there, granted ones included.
void OnReport(State& state, const Report& report, uint32_t in_flight,
              TimePoint now);

// OnObservation takes what routers saw.
void OnObservation(State& state, const Observation& observation, TimePoint now);

// Limit is how many known requests may be in flight to the target now. It is
// at least 1, so that a target that recovers is noticed, and includes the
// headroom.
uint32_t Limit(const State& state);

}  // namespace samphirebank::capacity

#endif  // SAMPHIREBANK_CAPACITY_CAPACITY_H_
