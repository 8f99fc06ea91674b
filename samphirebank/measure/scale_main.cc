// Prints what decisions cost as the numbers of requests, organisations,
// routers and targets of one pool grow: processor time and memory.
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "samphirebank/base/base.h"
#include "samphirebank/contracts/contracts.h"
#include "samphirebank/queue/queue.h"
#include "samphirebank/scheduler/scheduler.h"
#include "samphirebank/wire/wire.h"

namespace samphirebank::measure {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const PoolId kPool{RegionId("region-1"), ServiceId("model-12")};
constexpr uint32_t kRounds = 20;

// Size is the shape of one pool.
struct Size {
  uint32_t requests = 10'000;
  uint32_t organisations = 260;
  uint32_t routers = 34;
  uint32_t targets = 20;
};

// Cost is what a run of one size used.
struct Cost {
  double scheduler_us = 0;  // a granted request
  double queue_us = 0;      // a granted request, at its router
  double scheduler_bytes = 0;
  double queue_bytes = 0;
  double demand_bytes = 0;  // payload a granted request
  double grant_bytes = 0;
  uint64_t granted = 0;
};

double ProcessorSeconds() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) / 1e9;
}

double HeapBytes() { return static_cast<double>(mallinfo2().uordblks); }

// Timed adds the processor time of `action` to `total`.
void Timed(double& total, const std::function<void()>& action) {
  const double start = ProcessorSeconds();
  action();
  total += ProcessorSeconds() - start;
}

// Pool is the decision state of one pool's scheduler and its routers.
struct Pool {
  TimePoint now{seconds(1000)};
  std::vector<queue::State> routers{};
  scheduler::State scheduler{};
  std::mt19937_64 random{7};
  uint64_t last_request = 0;
  uint64_t report_number = 0;
};

contracts::Configuration Contracts(uint32_t organisations) {
  contracts::Configuration configuration;
  configuration.revision = Revision(1);
  for (uint32_t i = 0; i < organisations; ++i) {
    contracts::Contract contract;
    contract.organisation = OrganisationId("organisation-" + std::to_string(i));
    configuration.contracts[contract.organisation] = {contract, Revision(1)};
  }
  return configuration;
}

void Report(Pool& pool, const Size& size, uint32_t slots) {
  ++pool.report_number;
  for (uint32_t i = 0; i < size.targets; ++i) {
    scheduler::OnTargetState(pool.scheduler,
                             {.pool = kPool,
                              .target = TargetId("t-" + std::to_string(i)),
                              .address = {"10.0.0.1", 8000},
                              .incarnation = 1,
                              .sequence = pool.report_number,
                              .slots = slots},
                             pool.now);
  }
}

void Enqueue(Pool& pool, const Size& size) {
  for (uint32_t i = 0; i < size.requests; ++i) {
    const uint32_t organisation = pool.random() % size.organisations;
    queue::Enqueue(pool.routers[pool.random() % size.routers],
                   {.id = RequestId(std::to_string(++pool.last_request)),
                    .pool = kPool,
                    .organisation = OrganisationId(
                        "organisation-" + std::to_string(organisation)),
                    .estimate = Tokens(300),
                    .deadline = pool.now + seconds(600)},
                   {}, pool.now);
  }
}

// Round sends all demands, grants, dispatches and ends everything.
void Round(Pool& pool, Cost& cost) {
  std::vector<sharing::Demand> demands;
  Timed(cost.queue_us, [&] {
    for (queue::State& router : pool.routers) {
      demands.push_back(queue::BuildDemand(router, kPool, pool.now));
    }
  });
  for (const auto& demand : demands) {
    cost.demand_bytes +=
        static_cast<double>(wire::Encode(demand).payload.size());
  }
  std::vector<scheduler::Outgoing> grants;
  Timed(cost.scheduler_us, [&] {
    for (size_t i = 0; i < demands.size(); ++i) {
      scheduler::OnDemand(pool.scheduler, InstanceId(std::to_string(i)),
                          BootId(1), demands[i], pool.now);
    }
    grants = scheduler::Tick(pool.scheduler, pool.now);
  });
  for (const auto& out : grants) {
    cost.grant_bytes +=
        static_cast<double>(wire::Encode(out.grant).payload.size());
  }
  Timed(cost.queue_us, [&] {
    for (const auto& out : grants) {
      queue::State& router = pool.routers[std::stoul(out.router.value)];
      for (const auto& dispatch :
           queue::ApplyGrant(router, out.grant, pool.now)) {
        cost.granted += 1;
        queue::OnEnd(router, dispatch.id, {.tokens = Tokens(300)}, pool.now);
      }
    }
  });
}

Cost Run(const Size& size) {
  Cost cost;
  Pool pool;
  const double empty = HeapBytes();
  pool.scheduler = scheduler::Create({.rebuild_time = Duration::zero()}, kPool,
                                     Epoch(1), pool.now);
  scheduler::OnConfiguration(pool.scheduler, Contracts(size.organisations),
                             pool.now);
  const double started = HeapBytes();
  pool.routers.resize(size.routers);
  for (queue::State& router : pool.routers) {
    router.options.max_waiting = size.requests;
    queue::OnEpoch(router, kPool, Epoch(1), pool.now);
  }
  Enqueue(pool, size);
  const double filled = HeapBytes();
  const uint32_t slots =
      std::max(1U, size.requests / size.targets / kRounds / 2);
  for (uint32_t round = 0; round < kRounds; ++round) {
    pool.now += milliseconds(100);
    Report(pool, size, slots);
    Round(pool, cost);
    if (round == 0) cost.scheduler_bytes = HeapBytes() - filled;
  }
  cost.scheduler_bytes += started - empty;
  cost.queue_bytes = filled - started;
  const double granted =
      static_cast<double>(std::max<uint64_t>(1, cost.granted));
  cost.scheduler_us *= 1e6 / granted;
  cost.queue_us *= 1e6 / granted;
  cost.demand_bytes /= granted;
  cost.grant_bytes /= granted;
  return cost;
}

void Print(const char* grows, const Size& size) {
  const Cost cost = Run(size);
  std::printf(
      "%-14s %8u %7u %5u %5u %8llu %9.2f %9.2f %10.1f %10.1f %9.0f %9.0f\n",
      grows, size.requests, size.organisations, size.routers, size.targets,
      static_cast<unsigned long long>(cost.granted), cost.scheduler_us,
      cost.queue_us, cost.scheduler_bytes / 1024, cost.queue_bytes / 1024,
      cost.demand_bytes, cost.grant_bytes);
}

int Main() {
  std::printf("%-14s %8s %7s %5s %5s %8s %9s %9s %10s %10s %9s %9s\n", "grows",
              "requests", "organ.", "rout.", "targ.", "granted", "sched us",
              "queue us", "sched KiB", "queues KiB", "demand B", "grant B");
  Print("base", {});
  Print("requests", {.requests = 100'000});
  Print("organisations", {.organisations = 2'600});
  Print("organisations", {.organisations = 26'000});
  Print("routers", {.routers = 340});
  Print("targets", {.targets = 200});
  Print("targets", {.targets = 760});
  Print("all", {.requests = 100'000,
                .organisations = 26'000,
                .routers = 340,
                .targets = 760});
  std::printf(
      "us: processor time a granted request, of the scheduler and of its "
      "router; KiB: heap of the scheduler and of all queues; B: payload of "
      "messages a granted request.\n");
  return 0;
}

}  // namespace
}  // namespace samphirebank::measure

int main() { return samphirebank::measure::Main(); }
