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

Load SampleLoad(IdHash target, uint32_t prefill_ms) {
  return {.targets = {{.target = target, .prefill_ms = prefill_ms}},
          .organisations = {{.organisation = 9, .demand = 10, .admitted = 5}}};
}

uint32_t PrefillAt(const Load& load, IdHash target) {
  for (const TargetBacklog& backlog : load.targets) {
    if (backlog.target == target) return backlog.prefill_ms;
  }
  return 0;
}

TEST_CASE("the sum for a gateway covers all other gateways") {
  Aggregate aggregate;
  RecordGatewayLoad(aggregate, InstanceId("g1"), SampleLoad(1, 10), kStart);
  RecordGatewayLoad(aggregate, InstanceId("g2"), SampleLoad(1, 20), kStart);
  RecordCoordinatorLoad(aggregate, InstanceId("c2"), SampleLoad(1, 300),
                        kStart);
  const Load others = SumExcluding(aggregate, InstanceId("g1"));
  CHECK(PrefillAt(others, 1) == 320);
  REQUIRE(others.organisations.size() == 1);
  CHECK(others.organisations[0].demand == 20);
  // The sum sent to other coordinators excludes what they reported themselves.
  CHECK(PrefillAt(SumOfGateways(aggregate, kStart), 1) == 30);
}

TEST_CASE("a report that is not renewed becomes stale") {
  Aggregate aggregate;
  RecordGatewayLoad(aggregate, InstanceId("g1"), SampleLoad(1, 10), kStart);
  RecordGatewayLoad(aggregate, InstanceId("g1"), SampleLoad(1, 15), kStart);
  CHECK(PrefillAt(SumOfGateways(aggregate, kStart), 1) == 15);
  CHECK(PrefillAt(SumOfGateways(aggregate, kStart + kLoadReportTtl), 1) == 0);
  EvictStale(aggregate, kStart + kLoadReportTtl);
  CHECK(aggregate.gateways.empty());
}

// Guards against coordinators that are busy with sums: those of 3,000 targets
// for 50 gateways took 10 MB/s of one coordinator.
TEST_CASE("the bytes of the sums of a large fleet are bounded") {
  constexpr double kMaxBytesPerSecond = 60'000;  // to one receiver
  constexpr double kBytesPerTarget = 8;
  for (const IdHash num_targets : {100U, 1'000U, 3'000U}) {
    CAPTURE(num_targets);
    Aggregate aggregate;
    Load load;
    for (IdHash target = 0; target < num_targets; ++target) {
      load.targets.push_back({.target = target, .prefill_ms = 1});
    }
    RecordGatewayLoad(aggregate, InstanceId("g1"), load, kStart);
    const std::chrono::duration<double> interval = SumInterval(aggregate);
    CHECK(num_targets * kBytesPerTarget / interval.count() <=
          kMaxBytesPerSecond);
    CHECK(SumInterval(aggregate) < kLoadReportTtl);
    if (num_targets == 100) CHECK(SumInterval(aggregate) == kReportInterval);
  }
}

// Guards against a total that drifts from the reports that it sums.
TEST_CASE("the running total is the sum of the reports that are kept") {
  CHECK(rc::check([] {
    Aggregate aggregate;
    TimePoint now = kStart;
    const int steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
      now += milliseconds(*rc::gen::inRange(0, 700));
      const InstanceId from(std::to_string(*rc::gen::inRange(0, 4)));
      const Load load = SampleLoad(*rc::gen::inRange<IdHash>(0, 3),
                                   *rc::gen::inRange<uint32_t>(0, 9));
      const bool is_gateway = *rc::gen::arbitrary<bool>();
      if (is_gateway) RecordGatewayLoad(aggregate, from, load, now);
      if (!is_gateway) RecordCoordinatorLoad(aggregate, from, load, now);
      if (*rc::gen::arbitrary<bool>()) EvictStale(aggregate, now);
      for (IdHash target = 0; target < 3; ++target) {
        uint32_t expected = 0;
        for (const auto& [id, report] : aggregate.gateways) {
          if (id != InstanceId("0")) expected += PrefillAt(report.load, target);
        }
        for (const auto& [id, report] : aggregate.coordinators) {
          expected += PrefillAt(report.load, target);
        }
        const Load others = SumExcluding(aggregate, InstanceId("0"));
        RC_ASSERT(PrefillAt(others, target) == expected);
      }
    }
  }));
}

TEST_CASE("the rate meter converges to a steady rate and decays afterwards") {
  RateMeter meter;
  TimePoint now = kStart;
  for (int i = 0; i < 200; ++i) {
    now += milliseconds(50);
    Add(meter, 500, now);
  }
  CHECK(Rate(meter, now) == doctest::Approx(10'000).epsilon(0.05));
  CHECK(Rate(meter, now + seconds(10)) < 100);
}

TEST_CASE("small demands are met in full, large ones get equal shares") {
  CHECK(MaxMinFairShare({10, 100, 200}, 150) == doctest::Approx(70));
  CHECK(std::isinf(MaxMinFairShare({10, 20}, 150)));
  CHECK(MaxMinFairShare({100, 100}, 50) == doctest::Approx(25));
  CHECK(std::isinf(MaxMinFairShare({}, 50)));
}

TEST_CASE("grants up to the fair level add up to the capacity") {
  CHECK(rc::check("max-min level", [] {
    const auto numbers = *rc::gen::nonEmpty(
        rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000)));
    const std::vector<double> demands(numbers.begin(), numbers.end());
    const double capacity = *rc::gen::inRange(1, 5000);
    const double level = MaxMinFairShare(demands, capacity);
    double granted = 0;
    double total_demand = 0;
    for (const double demand : demands) {
      granted += std::min(demand, level);
      total_demand += demand;
    }
    RC_ASSERT(std::abs(granted - std::min(total_demand, capacity)) < 1e-6);
  }));
}

TEST_CASE("what is refused is forgotten sooner than what is admitted") {
  RateMeter admitted;
  RateMeter refused{.time_constant = kRefusedTimeConstant};
  const TimePoint now{std::chrono::seconds(100)};
  Add(admitted, 1000, now);
  Add(refused, 1000, now);
  CHECK(Rate(refused, now) == doctest::Approx(2 * Rate(admitted, now)));
  const TimePoint later = now + std::chrono::seconds(6);
  CHECK(Rate(refused, later) < 0.2 * Rate(admitted, later));
}

}  // namespace
}  // namespace samphirebank::fleetload
