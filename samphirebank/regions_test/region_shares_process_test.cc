// Tests, with three regions of real processes, that two organisations are
// served at equal rates.
#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <map>
#include <string>
#include <thread>

#include "samphirebank/regions_test/regions_fleet.h"

namespace samphirebank::regions_test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// ServedTokens estimates the tokens served to each organisation so far: a
// request is served at a known rate from the time at which its target recorded
// its start.
struct ServedTokens {
  static constexpr uint32_t kTokensPerSecond = 50;  // of each request
  static constexpr uint32_t kTokensPerRequest = 100;
  using Clock = std::chrono::steady_clock;

  std::map<std::string, Clock::time_point> started;  // by nonce

  void Observe(const Fleet& fleet) {
    for (const Region& region : fleet.regions) {
      for (const TargetRun& run : fleet.ReadRuns(region)) {
        this->started.try_emplace(run.nonce, Clock::now());
      }
    }
  }

  double TokensOf(const std::string& organisation) const {
    double tokens = 0;
    for (const auto& [nonce, start] : this->started) {
      if (!nonce.starts_with(organisation + ".")) continue;
      const std::chrono::duration<double> elapsed = Clock::now() - start;
      tokens += std::min<double>(kTokensPerRequest,
                                 kTokensPerSecond * elapsed.count());
    }
    return tokens;
  }
};

TEST_CASE(
    "two organisations at regions of unequal capacity get equal service") {
  Fleet fleet({.slots = {2, 8, 2},
               .tokens_per_second = ServedTokens::kTokensPerSecond});
  const Region& aqaba = fleet.regions[0];
  const Region& amman = fleet.regions[1];
  const LoadGenerator one =
      fleet.StartLoad({.organisation = "guides",
                       .concurrency = 14,
                       .duration = seconds(20),
                       .max_tokens = ServedTokens::kTokensPerRequest},
                      RoutersOf(aqaba));
  const LoadGenerator other =
      fleet.StartLoad({.organisation = "desks",
                       .concurrency = 14,
                       .duration = seconds(20),
                       .max_tokens = ServedTokens::kTokensPerRequest,
                       .seed = 2},
                      RoutersOf(amman));
  ServedTokens served;
  double gap = 0;
  double max_gap = 0;
  const auto end = ServedTokens::Clock::now() + seconds(20);
  while (ServedTokens::Clock::now() < end) {
    std::this_thread::sleep_for(milliseconds(100));
    served.Observe(fleet);
    gap = std::abs(served.TokensOf("desks") - served.TokensOf("guides"));
    max_gap = std::max(max_gap, gap);
  }
  MESSAGE("gap of ", gap, " tokens, at most ", max_gap, ", of ",
          served.TokensOf("guides"), " and ", served.TokensOf("desks"));
  // The bound is twice that of a single ideal fair queue, which is 2 * the
  // maximum cost of a request, plus the tokens that all 12 slots serve during
  // one round trip between regions, 2 * 20 ms.
  constexpr double kServedInTransit =
      12 * ServedTokens::kTokensPerSecond * 0.04;
  constexpr double kMaxGap =
      2 * 2 * ServedTokens::kTokensPerRequest + kServedInTransit;
  CHECK(gap <= kMaxGap);
  CHECK(max_gap <= kMaxGap);
  for (const LoadGenerator* load : {&one, &other}) {
    const LoadResult result = Fleet::FinishLoad(*load);
    INFO(result.text);
    CHECK(result.lost + result.refused == 0);
  }
}

}  // namespace
}  // namespace samphirebank::regions_test
