#include "samphirebank/capacity/capacity.h"

#include <algorithm>

namespace samphirebank::capacity {
namespace {

double Ceiling(const State& state) {
  const double stated = static_cast<double>(state.slots);
  return state.slots == 0 ? state.options.largest_limit : stated;
}

void StepUp(State& state, TimePoint now) {
  if (now - state.stepped_at < state.options.step_interval) return;
  const double step = std::max(1.0, state.limit * state.options.step_share);
  state.limit = std::min(state.limit + step, Ceiling(state));
  state.stepped_at = now;
}

void StepDown(State& state, double limit, TimePoint now) {
  state.limit = std::max(1.0, std::min(state.limit, limit));
  state.stepped_at = now;
}

}  // namespace

State Create(const Options& options, TimePoint now) {
  return State{
      .options = options, .limit = options.initial_limit, .stepped_at = now};
}

void OnReport(State& state, const Report& report, uint32_t in_flight,
              TimePoint now) {
  if (report.slots > state.slots) {
    // What it says it gained it may use at once; the first time, all of it.
    const bool first = state.slots == 0;
    const uint32_t gained = report.slots - state.slots;
    state.limit = first ? report.slots : state.limit + gained;
  }
  state.slots = report.slots;
  state.limit = std::min(state.limit, Ceiling(state));
  const uint32_t there = report.running + report.waiting;
  // A reading taken before the newest step says nothing about it.
  const bool settled = now - report.age >= state.stepped_at;
  if (report.waiting > state.options.headroom) {
    // Its batch is full: what runs is what it can carry.
    if (settled) StepDown(state, report.running, now);
  } else if (in_flight + 1 >= Limit(state)) {
    StepUp(state, now);
  }
  // Work of routers that are gone, or that are cut off from here.
  state.excess = there > in_flight && settled ? there - in_flight : 0;
}

void OnObservation(State& state, const Observation& observation,
                   TimePoint now) {
  if (observation.completed > 0) state.failures = 0;
  state.failures += observation.failed;
  if (state.failures >= state.options.failures_in_row) {
    StepDown(state, 1, now);
    return;
  }
  if (observation.baseline_speed <= 0) return;
  const double share =
      observation.tokens_per_second / observation.baseline_speed;
  if (share >= state.options.slow_share) return;
  if (now - state.stepped_at < state.options.step_interval) return;
  StepDown(state, state.limit * state.options.slow_factor, now);
}

uint32_t Limit(const State& state) {
  const auto limit = static_cast<uint32_t>(state.limit);
  const uint32_t most = std::max<uint32_t>(1, limit) + state.options.headroom;
  return most > state.excess ? most - state.excess : 1;
}

}  // namespace samphirebank::capacity
