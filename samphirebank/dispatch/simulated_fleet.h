// File: simulated_fleet.h
//
// A fleet of gateways and engines in simulated time, for tests. Gateways choose
// engines by dispatch, with the backlogs of the others 300 ms old. Engines read
// prompts one after the other and keep the parts that fit in their caches.
//
// Example:
//
//   const Result learned = Play({.speeds = {2.5}}, Mode::kLearned);
//   const Result constants = Play({.speeds = {2.5}}, Mode::kConstants);
//   CHECK(learned.p50 <= constants.p50);
#ifndef SAMPHIREBANK_DISPATCH_SIMULATED_FLEET_H_
#define SAMPHIREBANK_DISPATCH_SIMULATED_FLEET_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "samphirebank/base/base.h"

namespace samphirebank::dispatch {

// Setup is one fleet and its load.
struct Setup {
  std::string name{};
  size_t gateways = 80;
  size_t engines = 18;
  // Real speeds relative to the constants, in turns over the engines.
  std::vector<double> speeds{1.0};
  double prompts_per_s_and_engine = 6.0;
  double length_sigma = 0.4;  // of the lognormal unique part
  // Engines are slowed down for this part of the time, in stretches.
  double slowdown_fraction = 0.0;
  double slowdown = 2.5;
  Duration slowdown_stretch = std::chrono::milliseconds(600);
  bool one_turns_slow = false;  // five times, after half of the run
  Duration reports_lost_from{};
  Duration reports_lost_until{};
  bool two_regions = false;  // half of the engines each
  Duration run = std::chrono::seconds(25);
  Duration warm_up = std::chrono::seconds(5);  // not measured
};

// Mode is how gateways know the engines' speed.
enum class Mode : uint8_t {
  kConstants,       // nothing is learned
  kLearned,         // it is learned, from the same constants
  kRightConstants,  // the constants are scaled by the speed of the first engine
};

// Result is the mean of several runs of one setup.
struct Result {
  double p50_ms = 0.0;  // from send to first event
  double p99_ms = 0.0;
  double within_target = 0.0;   // the part within 800 ms
  double again_fraction = 0.0;  // prompt tokens read again, of all
  // Most requests that one engine got in 100 ms, on average.
  double most_on_one = 0.0;
  double factor = 0.0;  // of the first engine at one gateway, at the end
  // Standard deviation of its logarithm over the second half of the run.
  double factor_deviation = 0.0;
};

// Play plays a setup with several random loads, the same in all modes.
Result Play(const Setup& setup, Mode mode);

}  // namespace samphirebank::dispatch

#endif  // SAMPHIREBANK_DISPATCH_SIMULATED_FLEET_H_
