// Simulates a fleet in which two organisations ask for 8 and 12 times their
// usual demand, with and without the standings of organisations. The decision
// without standings is the baseline: organisations that are backlogged at the
// same time are served unequally, since the one that asks most often finds most
// of the idle engines. Guards also against idle engines and against worse
// service for small organisations.
#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <string>
#include <vector>

#include "samphirebank/admission/fair_shares_fleet.h"

namespace samphirebank::admission {
namespace {

// WorstRatio returns the least, over six seconds and two organisations that
// are backlogged in them, of what the one served less got, divided by what the
// other got or by what it asked itself, whichever is less.
double WorstRatio(const Slots& figures) {
  double worst = 1.0;
  for (size_t first = kWarmUpSlots; first + kSlotsOfWindow <= kSlots; ++first) {
    for (const auto& low : figures) {
      if (!IsBackloggedIn(low, first)) continue;
      const Figures less = SumOf(low, first, kSlotsOfWindow);
      for (const auto& high : figures) {
        if (!IsBackloggedIn(high, first)) continue;
        const Figures more = SumOf(high, first, kSlotsOfWindow);
        const double due = std::min(more.served, less.asked);
        if (due > 0) worst = std::min(worst, less.served / due);
      }
    }
  }
  return worst;
}

constexpr Design kBaseline{};
constexpr Design kPlayed{
    .standings = true, .ceiling = true, .refused_is_demand = true};

struct Outcome {
  double worst_ratio = 1.0;
  double served = 0;        // tokens, by all engines
  double small_served = 0;  // tokens of the small organisations
  double small_asked = 0;
  double eightfold = 0;  // tokens served, after the warm-up
  double twelvefold = 0;
  uint64_t refused_ahead = 0;
  uint64_t admitted_behind = 0;
};

// Small organisations are all that ask for at most a fiftieth of the stated
// capacity, about half of an equal part of it.
Outcome Play(const Scenario& scenario, const Design& design, uint64_t seed) {
  Fleet fleet(scenario, design, seed);
  fleet.Run();
  Outcome outcome{.worst_ratio = WorstRatio(fleet.result()),
                  .served = fleet.tokens_read,
                  .refused_ahead = fleet.refused_ahead,
                  .admitted_behind = fleet.admitted_behind};
  const size_t slots = kSlots - kWarmUpSlots;
  for (size_t i = 0; i < kOrganisations; ++i) {
    const Figures sum = SumOf(fleet.result()[i], kWarmUpSlots, slots);
    if (i == scenario.eightfold) outcome.eightfold = sum.served;
    if (i == scenario.twelvefold) outcome.twelvefold = sum.served;
    if (fleet.demand()[i] > 0.02 * scenario.stated_capacity) continue;
    outcome.small_served += sum.served;
    outcome.small_asked += sum.asked;
  }
  return outcome;
}

std::string Describe(const Outcome& outcome) {
  const auto millions = [](double tokens) {
    return std::to_string(std::lround(tokens / 10'000) / 100.0).substr(0, 6);
  };
  return "worst ratio " + std::to_string(outcome.worst_ratio) + ", read " +
         millions(outcome.served) + " M, eightfold " +
         millions(outcome.eightfold) + " M, twelvefold " +
         millions(outcome.twelvefold) + " M, small " +
         std::to_string(outcome.small_served / outcome.small_asked) +
         " of asked, refused ahead " + std::to_string(outcome.refused_ahead) +
         ", admitted behind " + std::to_string(outcome.admitted_behind);
}

// Compare prints both decisions and checks that total service and the service
// of small organisations are kept.
void Compare(const Scenario& scenario, double least_ratio) {
  for (const uint64_t seed : {1U, 2U, 3U, 4U}) {
    const Outcome baseline = Play(scenario, kBaseline, seed);
    const Outcome outcome = Play(scenario, kPlayed, seed);
    MESSAGE(scenario.name << ", seed " << seed
                          << "\n  baseline: " << Describe(baseline)
                          << "\n  standings: " << Describe(outcome));
    CHECK(outcome.worst_ratio >= least_ratio);
    CHECK(outcome.served >= 0.97 * baseline.served);
    CHECK(outcome.small_served >= baseline.small_served);
  }
}

constexpr double kPromised = 0.5;

TEST_CASE("the twelvefold asks most, in short prompts") {
  Compare({.name = "twelvefold largest",
           .usual_demand = 1'600'000,
           .skew = 1.0,
           .stated_capacity = 1'000'000,
           .eightfold = 2,
           .twelvefold = 0},
          kPromised);
}

TEST_CASE("the eightfold asks most") {
  Compare({.name = "eightfold largest",
           .usual_demand = 1'600'000,
           .skew = 1.0,
           .stated_capacity = 1'000'000},
          kPromised);
}

TEST_CASE("the reports are 100 to 1000 ms old at all times") {
  Compare({.name = "old reports",
           .usual_demand = 1'600'000,
           .skew = 1.0,
           .stated_capacity = 1'000'000,
           .eightfold = 2,
           .twelvefold = 0,
           .oldest_intervals = 10,
           .arriving_tenths = 10},
          kPromised);
}

TEST_CASE("skew 2, one organisation asks for more than all others") {
  Compare({.name = "skew 2",
           .usual_demand = 600'000,
           .stated_capacity = 800'000,
           .twelvefold = 0},
          kPromised);
}

TEST_CASE("a third of the engines is slow") {
  Compare({.name = "slow engines",
           .usual_demand = 1'600'000,
           .stated_capacity = 1'400'000,
           .slow_speed = 0.4},
          kPromised);
}

TEST_CASE("a calm fleet is served exactly as before") {
  const Scenario scenario = {
      .name = "calm", .usual_demand = 700'000, .stated_capacity = 1'500'000};
  const Outcome baseline = Play(scenario, kBaseline, 1);
  const Outcome outcome = Play(scenario, kPlayed, 1);
  CHECK(outcome.refused_ahead == 0);
  CHECK(outcome.admitted_behind == 0);
  CHECK(outcome.served == baseline.served);
  CHECK(outcome.eightfold == baseline.eightfold);
  CHECK(outcome.small_served == baseline.small_served);
}

}  // namespace
}  // namespace samphirebank::admission
