#include "samphirebank/capacity/capacity.h"

#include <algorithm>

namespace samphirebank::capacity {
namespace {

double MaxLimit(const State& state) {
  const double stated = static_cast<double>(state.slots);
  return state.slots == 0 ? state.options.max_limit : stated;
}

void IncreaseLimit(State& state, TimePoint now) {
  if (now - state.last_step_at < state.options.min_step_interval) return;
  const double step = std::max(1.0, state.limit * state.options.increase_ratio);
  state.limit = std::min(state.limit + step, MaxLimit(state));
  state.last_step_at = now;
}

void DecreaseLimit(State& state, double limit, TimePoint now) {
  state.limit = std::max(1.0, std::min(state.limit, limit));
  state.last_step_at = now;
}

}  // namespace

State Create(const Options& options, TimePoint now) {
  return State{
      .options = options, .limit = options.initial_limit, .last_step_at = now};
}

void OnReport(State& state, const Report& report, uint32_t in_flight,
              TimePoint now) {
  if (report.slots > state.slots) {
    // The first reported slot count becomes the limit. Later increases raise
    // the limit at once.
    const bool is_first = state.slots == 0;
    const uint32_t added_slots = report.slots - state.slots;
    state.limit = is_first ? report.slots : state.limit + added_slots;
  }
  state.slots = report.slots;
  state.limit = std::min(state.limit, MaxLimit(state));
  const uint32_t reported = report.running + report.waiting;
  // A load that was measured before the last step of the limit does not reflect
  // that step.
  const bool is_current = now - report.age >= state.last_step_at;
  if (report.waiting > state.options.headroom) {
    // The batch is full, so the running requests are the target's capacity.
    if (is_current) DecreaseLimit(state, report.running, now);
  } else if (in_flight + 1 >= Limit(state)) {
    IncreaseLimit(state, now);
  }
  // Requests on the target that no router reports to this scheduler, because
  // the router has stopped or is partitioned.
  state.untracked_requests =
      reported > in_flight && is_current ? reported - in_flight : 0;
}

void OnObservation(State& state, const Observation& observation,
                   TimePoint now) {
  if (observation.completed > 0) state.failures = 0;
  state.failures += observation.failed;
  if (state.failures >= state.options.failure_threshold) {
    DecreaseLimit(state, 1, now);
    return;
  }
  if (observation.baseline_speed <= 0) return;
  const double speed_ratio =
      observation.tokens_per_second / observation.baseline_speed;
  if (speed_ratio >= state.options.slow_speed_ratio) return;
  if (now - state.last_step_at < state.options.min_step_interval) return;
  DecreaseLimit(state, state.limit * state.options.decrease_factor, now);
}

uint32_t Limit(const State& state) {
  const auto limit = static_cast<uint32_t>(state.limit);
  const uint32_t max_in_flight =
      std::max<uint32_t>(1, limit) + state.options.headroom;
  return max_in_flight > state.untracked_requests
             ? max_in_flight - state.untracked_requests
             : 1;
}

}  // namespace samphirebank::capacity
