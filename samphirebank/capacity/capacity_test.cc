#include "samphirebank/capacity/capacity.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace samphirebank::capacity {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};

// Engine simulates a target that batches `slots` requests and sends delayed
// reports.
struct Engine {
  uint32_t slots = 8;
  bool states_slots = false;

  Report Load(uint32_t in_flight) const {
    const uint32_t running = std::min(in_flight, this->slots);
    return {.slots = this->states_slots ? this->slots : 0,
            .running = running,
            .waiting = in_flight - running,
            .age = milliseconds(200)};
  }
};

// Settle keeps as many requests in flight as the limit allows for `length`, and
// returns the final limit.
uint32_t Settle(State& state, const Engine& engine, TimePoint& now,
                Duration length) {
  const TimePoint end = now + length;
  for (; now < end; now += milliseconds(500)) {
    const uint32_t in_flight = Limit(state);
    OnReport(state, engine.Load(in_flight), in_flight, now);
  }
  return Limit(state);
}

TEST_CASE("the limit converges to the batch size of a target and follows it") {
  State state = Create({}, kStart);
  TimePoint now = kStart;
  Engine engine{.slots = 20};
  const uint32_t initial = Settle(state, engine, now, seconds(30));
  CHECK(initial >= 20);
  CHECK(initial <= 22);
  engine.slots = 10;  // for example by thermal throttling
  const uint32_t reduced = Settle(state, engine, now, seconds(5));
  CHECK(reduced >= 10);
  CHECK(reduced <= 12);
  engine.slots = 20;
  CHECK(Settle(state, engine, now, seconds(30)) >= 20);
}

TEST_CASE("the slots that a target states take effect at once as the limit") {
  State state = Create({.headroom = 0}, kStart);
  Engine engine{.slots = 16, .states_slots = true};
  OnReport(state, engine.Load(0), 0, kStart);
  CHECK(Limit(state) == 16);
  engine.slots = 8;
  OnReport(state, engine.Load(8), 8, kStart + seconds(1));
  CHECK(Limit(state) == 8);
  engine.slots = 16;
  OnReport(state, engine.Load(8), 8, kStart + seconds(2));
  CHECK(Limit(state) == 16);
}

TEST_CASE("requests of stopped routers reduce the limit") {
  State state = Create({.headroom = 0}, kStart);
  OnReport(state, {.slots = 16, .running = 10}, 4, kStart);
  CHECK(Limit(state) == 10);
  OnReport(state, {.slots = 16, .running = 4}, 4, kStart + seconds(1));
  CHECK(Limit(state) == 16);
}

TEST_CASE("the limit of a slow or failing target falls and recovers") {
  State state = Create({.headroom = 0}, kStart);
  TimePoint now = kStart;
  OnReport(state, {.slots = 16}, 0, now);
  for (int i = 0; i < 20; ++i) {
    now += seconds(10);
    OnObservation(state, {.tokens_per_second = 5, .baseline_speed = 35}, now);
  }
  CHECK(Limit(state) == 1);
  const Engine engine{.slots = 16, .states_slots = true};
  CHECK(Settle(state, engine, now, seconds(30)) == 16);
  OnObservation(state, {.failed = 3}, now);
  CHECK(Limit(state) == 1);
  OnObservation(state, {.completed = 1}, now);
  CHECK(Settle(state, engine, now, seconds(30)) == 16);
}

}  // namespace
}  // namespace samphirebank::capacity
