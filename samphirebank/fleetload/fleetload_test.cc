#include "samphirebank/fleetload/fleetload.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>

namespace samphirebank::fleetload {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(100)};

Load Work(IdHash target, uint32_t milliseconds) {
  return {.targets = {{.target = target, .prefill_ms = milliseconds}},
          .organisations = {{.organisation = 9, .demand = 10, .admitted = 5}}};
}

uint32_t WorkAt(const Load& load, IdHash target) {
  for (const TargetBacklog& work : load.targets) {
    if (work.target == target) return work.prefill_ms;
  }
  return 0;
}

TEST_CASE("a gateway is told what all others have") {
  Aggregate aggregate;
  RecordGatewayLoad(aggregate, InstanceId("g1"), Work(1, 10), kStart);
  RecordGatewayLoad(aggregate, InstanceId("g2"), Work(1, 20), kStart);
  RecordCoordinatorLoad(aggregate, InstanceId("c2"), Work(1, 300), kStart);
  const Load others = SumExcluding(aggregate, InstanceId("g1"), kStart);
  CHECK(WorkAt(others, 1) == 320);
  REQUIRE(others.organisations.size() == 1);
  CHECK(others.organisations[0].demand == 20);
  // What goes to other coordinators holds nothing that they told.
  CHECK(WorkAt(SumOfGateways(aggregate, kStart), 1) == 30);
}

TEST_CASE("a report that is not renewed stops to count") {
  Aggregate aggregate;
  RecordGatewayLoad(aggregate, InstanceId("g1"), Work(1, 10), kStart);
  RecordGatewayLoad(aggregate, InstanceId("g1"), Work(1, 15), kStart);
  CHECK(WorkAt(SumOfGateways(aggregate, kStart), 1) == 15);
  CHECK(WorkAt(SumOfGateways(aggregate, kStart + kLoadReportTtl), 1) == 0);
  EvictStale(aggregate, kStart + kLoadReportTtl);
  CHECK(aggregate.gateways.empty());
}

TEST_CASE("a steady rate is measured, and forgotten") {
  RateMeter meter;
  TimePoint now = kStart;
  for (int i = 0; i < 200; ++i) {
    now += milliseconds(50);
    Add(meter, 500, now);
  }
  CHECK(Rate(meter, now) == doctest::Approx(10'000).epsilon(0.05));
  CHECK(Rate(meter, now + seconds(10)) < 100);
}

TEST_CASE("small asks are met in full, large ones evenly") {
  CHECK(MaxMinFairShare({10, 100, 200}, 150) == doctest::Approx(70));
  CHECK(std::isinf(MaxMinFairShare({10, 20}, 150)));
  CHECK(MaxMinFairShare({100, 100}, 50) == doctest::Approx(25));
  CHECK(std::isinf(MaxMinFairShare({}, 50)));
}

TEST_CASE("the level hands out exactly the capacity") {
  CHECK(rc::check("max-min level", [] {
    const auto numbers = *rc::gen::nonEmpty(
        rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000)));
    const std::vector<double> asked(numbers.begin(), numbers.end());
    const double capacity = *rc::gen::inRange(1, 5000);
    const double level = MaxMinFairShare(asked, capacity);
    double given = 0;
    double total = 0;
    for (const double ask : asked) {
      given += std::min(ask, level);
      total += ask;
    }
    RC_ASSERT(std::abs(given - std::min(total, capacity)) < 1e-6);
  }));
}

}  // namespace
}  // namespace samphirebank::fleetload
