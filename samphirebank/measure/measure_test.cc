// Failures and starvation, through queues, scheduler and links together.
#include "samphirebank/measure/measure.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

namespace samphirebank::measure {
namespace {

using std::chrono::seconds;

// Small returns a workload of `organisations` that all ask for more than
// their share, each through the router of its number.
Workload Small(uint32_t organisations) {
  Workload workload;
  workload.name = "small";
  workload.routers = 4;
  workload.targets = 4;
  workload.slots = 8;
  workload.largest_cost = 1024;
  workload.length = seconds(60);
  for (uint32_t i = 0; i < organisations; ++i) {
    OrganisationLoad load;
    load.contract.organisation = OrganisationId("o" + std::to_string(i));
    load.contract.queue_length = 0;
    load.requests_per_second = 6;
    load.routers.assign(workload.routers, 0);
    load.routers[i % workload.routers] = 1;
    workload.organisations.push_back(load);
  }
  return workload;
}

double GapOverBound(const Result& result) {
  return result.gap / result.ideal_bound;
}

// IdealGap is the bound of the exact central queue, or its gap on the same
// input where that is larger: it counts a request's cost when it begins, and
// what is received later may differ by what runs.
double IdealGap(const Workload& workload) {
  const Result central = Run(workload, {.variant = Variant::kCentral});
  return std::max(central.gap, central.ideal_bound);
}

TEST_CASE("no organisation starves beside one that asks for 1,000 times more") {
  Workload workload = Small(4);
  for (uint32_t i = 1; i < 4; ++i) {
    workload.organisations[i].requests_per_second = 0.5;
  }
  workload.organisations[0].requests_per_second = 500;
  const Result result = Run(workload, {});
  CHECK(result.starvation < 12);  // largest request: 29 s of one slot
  const Result naive = Run(workload, {.variant = Variant::kNaive});
  CHECK(naive.starvation > result.starvation);
  // The small ones ask for less than a share and get all of it.
  const std::vector<Request> trace = MakeTrace(workload);
  for (uint32_t i = 1; i < 4; ++i) {
    int64_t asked = 0;
    for (const Request& request : trace) {
      const bool early = request.at < TimePoint(seconds(50));
      if (request.organisation == i && early) asked += request.cost;
    }
    CHECK(result.service[i] >= asked);
  }
}

TEST_CASE("a flood at one cold router does not widen the gap") {
  Workload workload = Small(4);
  // All of it comes to the router that restarts with empty memory.
  workload.organisations[2].requests_per_second = 300;
  workload.organisations[2].routers = {0, 0, 1, 0};
  const Result result = Run(workload, {.fault = Fault::kRouterLost});
  CHECK(GapOverBound(result) < 2);
  CHECK(result.starvation < 12);
}

TEST_CASE("one that sends only the largest requests gets no more than others") {
  Workload workload = Small(4);
  workload.organisations[1].fixed_cost = 1024;
  workload.organisations[1].hint_bias = 0.05;
  const Result result = Run(workload, {});
  CHECK(result.gap < 2 * IdealGap(workload));
  CHECK(result.utilisation > 0.97);
}

TEST_CASE("weights hold over the fleet") {
  Workload workload = Small(2);
  workload.organisations[1].contract.weight = 3;
  workload.organisations[0].requests_per_second = 20;
  workload.organisations[1].requests_per_second = 20;
  const Result result = Run(workload, {});
  const double share = static_cast<double>(result.service[1]) /
                       static_cast<double>(result.service[0]);
  CHECK(share == doctest::Approx(3).epsilon(0.1));
}

TEST_CASE("the gap does not grow with the length of the run") {
  Workload workload = Small(6);
  const Result brief = Run(workload, {});
  workload.length = seconds(360);
  const Result longer = Run(workload, {});
  CHECK(GapOverBound(brief) < 2);
  CHECK(GapOverBound(longer) < 2);
}

TEST_CASE("each fault costs a bounded time, then the fleet recovers") {
  const Workload workload = Small(6);
  struct Bound {
    Fault fault;
    double idle;  // seconds
  };
  // A lost scheduler: 3 s until the next starts, 1 s to rebuild. A lost or
  // cut-off router: 5 s until what it ran counts as gone.
  const Bound bounds[] = {
      {Fault::kSchedulerLost, 5},  {Fault::kRouterLost, 6},
      {Fault::kPartition, 6},      {Fault::kTargetLeaves, 1},
      {Fault::kCapacityHalves, 1}, {Fault::kLossyLinks, 1}};
  for (const Bound& bound : bounds) {
    CAPTURE(Name(bound.fault));
    const Result result = Run(workload, {.fault = bound.fault});
    CHECK(result.longest_idle < bound.idle);
    CHECK(result.utilisation > 0.9);
    CHECK(result.late_starts == 0);
    CHECK(result.starvation < 25);
  }
}

TEST_CASE("fair and busy like the exact central queue, on random workloads") {
  CHECK(rc::check("pool scheduler against the central queue", [] {
    Workload workload = Small(*rc::gen::inRange<uint32_t>(2, 6));
    workload.seed = *rc::gen::inRange<uint64_t>(1, 1 << 20);
    workload.targets = *rc::gen::inRange<uint32_t>(2, 5);
    workload.length = seconds(90);
    // Together they ask for at least twice what the targets carry.
    for (OrganisationLoad& load : workload.organisations) {
      load.requests_per_second = *rc::gen::inRange<uint32_t>(8, 30);
      load.hint_bias = *rc::gen::element(0.1, 1.0, 8.0);
      for (double& share : load.routers) {
        share += *rc::gen::element(0.0, 0.0, 0.3);
      }
    }
    const Result result = Run(workload, {});
    RC_ASSERT(result.gap < 2 * IdealGap(workload));
    RC_ASSERT(result.utilisation > 0.97);
  }));
}

TEST_CASE("limits of a contract hold over all routers") {
  Workload workload = Small(2);
  OrganisationLoad& limited = workload.organisations[1];
  limited.contract.tokens_per_minute = 6000;
  limited.requests_per_second = 20;
  limited.routers = {0.25, 0.25, 0.25, 0.25};
  const Result result = Run(workload, {});
  // A minute's tokens, one second's more, and the requests then in flight
  // whose cost was not known.
  CHECK(result.service[1] < 6000 + 100 + 4 * 1024);
  CHECK(result.service[1] > 5000);
}

}  // namespace
}  // namespace samphirebank::measure
