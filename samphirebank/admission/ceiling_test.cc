#include <doctest/doctest.h>

#include <chrono>
#include <cmath>
#include <limits>

#include "samphirebank/admission/admission.h"

namespace samphirebank::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kNoCeiling = std::numeric_limits<double>::infinity();
constexpr Duration kInterval = milliseconds(100);
const TimePoint kStart{seconds(100)};

// Run admits prompts of `tokens` whenever the pace allows one and returns the
// sum; `tries` are made in each interval.
double Run(Pace& pace, double part, double tokens, int tries, Duration time) {
  double admitted = 0;
  const TimePoint begin = pace.updated_at;
  for (TimePoint now = begin + kInterval; now <= begin + time;
       now += kInterval) {
    Accrue({}, pace, part, now);
    for (int i = 0; i < tries; ++i) {
      if (IsOverCeiling(pace)) continue;
      Spend(pace, tokens);
      admitted += tokens;
    }
  }
  return admitted;
}

Pace LimitedPace(double part) {
  Pace pace;
  Accrue({}, pace, part, kStart);
  return pace;
}

Request HeldBackRequest() {
  return {.latency_target = milliseconds(800),
          .wait = milliseconds(20),
          .used = 120,
          .fair_shares = {.nominal = 100, .current = 100},
          .over_ceiling = true};
}

TEST_CASE("the ceiling is above the level of what was admitted") {
  const RatesByOrganisation rates = {{1, {.demand = 3000, .admitted = 900}},
                                     {2, {.demand = 900, .admitted = 300}},
                                     {3, {.demand = 50, .admitted = 50}}};
  CHECK(ComputeCeiling({}, rates) ==
        doctest::Approx(600 * Options().most_of_level));
}

TEST_CASE("there is no ceiling while fewer than two are backlogged") {
  CHECK(
      std::isinf(ComputeCeiling({}, {{1, {.demand = 3000, .admitted = 900}},
                                     {2, {.demand = 330, .admitted = 300}}})));
  CHECK(std::isinf(ComputeCeiling({}, {})));
}

// Guards against an organisation that gets more since it tries more often.
TEST_CASE("how often an organisation tries does not matter") {
  Pace seldom = LimitedPace(1000);
  Pace often = LimitedPace(1000);
  const double little = Run(seldom, 1000, 300, 1, seconds(20));
  const double much = Run(often, 1000, 300, 200, seconds(20));
  CHECK(little == doctest::Approx(20'000).epsilon(0.02));
  CHECK(much == doctest::Approx(20'000).epsilon(0.02));
}

TEST_CASE("a prompt larger than what is saved is admitted in advance") {
  Pace pace = LimitedPace(1000);
  Spend(pace, 5000);
  CHECK(IsOverCeiling(pace));
  Accrue({}, pace, 1000, kStart + seconds(4));
  CHECK(IsOverCeiling(pace));
  Accrue({}, pace, 1000, kStart + seconds(5));
  CHECK_FALSE(IsOverCeiling(pace));
}

TEST_CASE("what is not used is saved up for a limited time") {
  Pace pace = LimitedPace(1000);
  Accrue({}, pace, 1000, kStart + seconds(60));
  const std::chrono::duration<double> longest = Options().max_saved;
  CHECK(pace.saved == doctest::Approx(1000 * longest.count()));
}

TEST_CASE("without a ceiling nothing is over it, and none is remembered") {
  Pace pace = LimitedPace(1000);
  Spend(pace, 5000);
  Accrue({}, pace, kNoCeiling, kStart + kInterval);
  CHECK_FALSE(IsOverCeiling(pace));
  Spend(pace, 5000);
  Accrue({}, pace, 1000, kStart + 2 * kInterval);
  CHECK_FALSE(IsOverCeiling(pace));
}

// Guards against an organisation that is held back at idle targets only.
TEST_CASE("who is over the ceiling is refused whatever the wait") {
  Request request = HeldBackRequest();
  CHECK(Decide({}, request) == Decision::kRefusedAhead);
  request.wait = milliseconds(0);
  CHECK(Decide({}, request) == Decision::kRefusedAhead);
  request.over_ceiling = false;
  CHECK(Decide({}, request) == Decision::kAdmitted);
}

TEST_CASE("a wait that is too long is not put down to the ceiling") {
  Request request = HeldBackRequest();
  request.wait = seconds(5);
  CHECK(Decide({}, request) == Decision::kRefusedBusy);
}

// Guards against refusals at a gateway with room because of refusals elsewhere.
TEST_CASE("who is behind is not held to its part at one gateway") {
  Request request = HeldBackRequest();
  request.standing = {.ratio = 0.5, .behind = true};
  CHECK(Decide({}, request) == Decision::kAdmitted);
}

TEST_CASE("below its nominal share nobody is over the ceiling") {
  Request request = HeldBackRequest();
  request.used = 90;
  CHECK(Decide({}, request) == Decision::kAdmitted);
}

}  // namespace
}  // namespace samphirebank::admission
