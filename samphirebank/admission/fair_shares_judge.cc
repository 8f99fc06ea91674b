#include "samphirebank/admission/fair_shares_judge.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace samphirebank::admission {
namespace {

constexpr double kPromised = 0.5;
constexpr Design kBefore{.standings = true};
constexpr Design kPlayed{
    .standings = true, .ceiling = true, .refused_is_demand = true};
constexpr size_t kLargePrompts = 3;

// Ratio is the least of what an organisation got, divided by what it was due.
struct Ratio {
  double worst = 1.0;
  size_t less = 0;
  size_t more = 0;
  size_t first = 0;  // slot of the window
};

// DueOf returns what an organisation was due beside another: in each second
// what it asked or what the other got, whichever is less.
double DueOf(const std::vector<Figures>& less, const std::vector<Figures>& more,
             size_t first) {
  double due = 0;
  for (size_t i = first; i < first + kSlotsOfWindow; i += 2) {
    due += std::min(SumOf(less, i, 2).asked, SumOf(more, i, 2).served);
  }
  return due;
}

Ratio WorstRatio(const Slots& figures) {
  Ratio ratio;
  for (size_t first = kWarmUpSlots; first + kSlotsOfWindow <= kSlots; ++first) {
    for (size_t less = 0; less < kOrganisations; ++less) {
      if (!IsBackloggedIn(figures[less], first)) continue;
      const double served = SumOf(figures[less], first, kSlotsOfWindow).served;
      for (size_t more = 0; more < kOrganisations; ++more) {
        const double due = DueOf(figures[less], figures[more], first) -
                           kLargePrompts * kMostTokens;
        if (due <= 0 || served / due >= ratio.worst) continue;
        ratio = {served / due, less, more, first};
      }
    }
  }
  return ratio;
}

struct Outcome {
  Ratio ratio{};
  double read = 0;  // tokens, by all engines
  double small_served = 0;
  double small_asked = 0;
};

Outcome Play(const Scenario& scenario, const Design& design, uint64_t seed) {
  Fleet fleet(scenario, design, seed);
  fleet.Run();
  Outcome outcome{.ratio = WorstRatio(fleet.result()),
                  .read = fleet.tokens_read};
  for (size_t i = 0; i < kOrganisations; ++i) {
    if (fleet.demand()[i] > 0.02 * scenario.stated_capacity) continue;
    const Figures sum =
        SumOf(fleet.result()[i], kWarmUpSlots, kSlots - kWarmUpSlots);
    outcome.small_served += sum.served;
    outcome.small_asked += sum.asked;
  }
  return outcome;
}

std::string Describe(const Outcome& outcome) {
  const Ratio& ratio = outcome.ratio;
  return "worst ratio " + std::to_string(ratio.worst) + " (" +
         std::to_string(ratio.less) + " beside " + std::to_string(ratio.more) +
         " from slot " + std::to_string(ratio.first) + "), read " +
         std::to_string(outcome.read / 1e6) + " M, small served " +
         std::to_string(outcome.small_served / outcome.small_asked);
}

}  // namespace

void Compare(const Scenario& scenario) {
  for (const uint64_t seed : {1U, 2U, 3U, 4U}) {
    const Outcome before = Play(scenario, kBefore, seed);
    const Outcome played = Play(scenario, kPlayed, seed);
    MESSAGE(scenario.name << ", seed " << seed
                          << "\n  before: " << Describe(before)
                          << "\n  played: " << Describe(played));
    CHECK(played.ratio.worst >= kPromised);
    CHECK(played.read >= 0.97 * before.read);
    CHECK(played.small_served >= 0.99 * before.small_served);
  }
}

}  // namespace samphirebank::admission
