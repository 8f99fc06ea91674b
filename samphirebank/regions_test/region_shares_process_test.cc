// Three regions as real processes: the service that two organisations get.
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

// Served adds up what organisations' requests received by now: a request runs
// at a known speed from when its target recorded its start.
struct Served {
  static constexpr uint32_t kSpeed = 50;  // tokens a second
  static constexpr uint32_t kCost = 100;  // tokens of each request
  using Clock = std::chrono::steady_clock;

  std::map<std::string, Clock::time_point> started;  // by nonce

  void Look(const Fleet& fleet) {
    for (const Region& region : fleet.regions) {
      for (const Run& run : fleet.Runs(region)) {
        this->started.try_emplace(run.nonce, Clock::now());
      }
    }
  }

  double Tokens(const std::string& organisation) const {
    double tokens = 0;
    for (const auto& [nonce, since] : this->started) {
      if (!nonce.starts_with(organisation + ".")) continue;
      const std::chrono::duration<double> span = Clock::now() - since;
      tokens += std::min<double>(kCost, kSpeed * span.count());
    }
    return tokens;
  }
};

TEST_CASE("two organisations at two regions with uneven targets share alike") {
  Fleet fleet({.slots = {2, 8, 2}, .tokens_per_second = Served::kSpeed});
  const Region& aqaba = fleet.regions[0];
  const Region& amman = fleet.regions[1];
  const Load one = fleet.Start({.organisation = "guides",
                                .concurrency = 14,
                                .length = seconds(20),
                                .max_tokens = Served::kCost},
                               RoutersOf(aqaba));
  const Load other = fleet.Start({.organisation = "desks",
                                  .concurrency = 14,
                                  .length = seconds(20),
                                  .max_tokens = Served::kCost,
                                  .seed = 2},
                                 RoutersOf(amman));
  Served served;
  double gap = 0;
  double most = 0;
  const auto end = Served::Clock::now() + seconds(20);
  while (Served::Clock::now() < end) {
    std::this_thread::sleep_for(milliseconds(100));
    served.Look(fleet);
    gap = std::abs(served.Tokens("desks") - served.Tokens("guides"));
    most = std::max(most, gap);
  }
  MESSAGE("gap of ", gap, " tokens, at most ", most, ", of ",
          served.Tokens("guides"), " and ", served.Tokens("desks"));
  // Twice the bound of one ideal queue, 2 * the largest cost, and what all 12
  // slots serve while a message crosses and is answered, 2 * 20 ms.
  constexpr double kCarried = 12 * Served::kSpeed * 0.04;
  constexpr double kBound = 2 * 2 * Served::kCost + kCarried;
  CHECK(gap <= kBound);
  CHECK(most <= kBound);
  for (const Load* load : {&one, &other}) {
    const Result result = Fleet::Finish(*load);
    INFO(result.text);
    CHECK(result.lost + result.refused == 0);
  }
}

}  // namespace
}  // namespace samphirebank::regions_test
