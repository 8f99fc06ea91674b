// Measures the cost of one demand and of the grant in response to it, for
// increasing numbers of backlogged organisations and routers.
#include <benchmark/benchmark.h>

#include <string>

#include "samphirebank/scheduler/scheduler.h"

namespace samphirebank::scheduler {
namespace {

const PoolId kPool{RegionId("region"), ServiceId("service")};

// BackloggedScheduler returns a scheduler with a backlog, spread over
// `routers`.
State BackloggedScheduler(int64_t organisations, int64_t routers,
                          TimePoint now) {
  State state =
      Create({.rebuild_time = Duration::zero()}, kPool, Epoch(1), now);
  contracts::Configuration configuration;
  configuration.revision = Revision(1);
  for (int64_t i = 0; i < organisations; ++i) {
    contracts::Contract contract;
    contract.organisation = OrganisationId("o" + std::to_string(i));
    configuration.contracts[contract.organisation] = {contract, Revision(1)};
  }
  OnConfiguration(state, configuration, now);
  for (int64_t router = 0; router < routers; ++router) {
    sharing::Demand demand{
        .pool = kPool, .epoch = Epoch(1), .sequence = 1, .full = true};
    for (int64_t i = router; i < organisations; i += routers) {
      demand.organisations.push_back(
          {.organisation = OrganisationId("o" + std::to_string(i)),
           .generation = 1,
           .waiting = 1'000'000,
           .estimate = 100});
    }
    OnDemand(state, InstanceId("r" + std::to_string(router)), BootId(1), demand,
             now);
  }
  return state;
}

void BM_Grant(benchmark::State& bench) {
  const TimePoint now{std::chrono::seconds(1000)};
  State state = BackloggedScheduler(bench.range(0), bench.range(1), now);
  sharing::TargetState report{
      .pool = kPool, .target = TargetId("t"), .incarnation = 1};
  Tick(state, now);
  for (auto step : bench) {
    report.sequence += 1;
    report.slots += 1;
    OnTargetState(state, report, now);
    benchmark::DoNotOptimize(Tick(state, now));
  }
}
BENCHMARK(BM_Grant)
    ->Args({260, 34})
    ->Args({2'600, 34})
    ->Args({26'000, 34})
    ->Args({2'600, 340});

void BM_Demand(benchmark::State& bench) {
  const TimePoint now{std::chrono::seconds(1000)};
  State state = BackloggedScheduler(bench.range(0), bench.range(1), now);
  sharing::Demand demand{.pool = kPool, .epoch = Epoch(1), .sequence = 1};
  demand.organisations.push_back({.organisation = OrganisationId("o0"),
                                  .generation = 1,
                                  .waiting = 5,
                                  .estimate = 100});
  for (auto step : bench) {
    demand.sequence += 1;
    demand.organisations[0].charged += 10;
    OnDemand(state, InstanceId("r0"), BootId(1), demand, now);
  }
}
BENCHMARK(BM_Demand)
    ->Args({260, 34})
    ->Args({2'600, 34})
    ->Args({26'000, 34})
    ->Args({2'600, 340});

}  // namespace
}  // namespace samphirebank::scheduler
