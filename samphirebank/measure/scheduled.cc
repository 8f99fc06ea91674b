// The policy with queues at the routers and a scheduler, over links that may
// lose, double and delay messages.
#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "samphirebank/measure/internal/fleet.h"
#include "samphirebank/queue/queue.h"
#include "samphirebank/scheduler/scheduler.h"
#include "samphirebank/wire/wire.h"

namespace samphirebank::measure::internal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// kPacketOverhead is what sealing, UDP and IP add to a payload.
constexpr double kPacketOverhead = 79;  // bytes: 51 of sealing, 28 of UDP
constexpr Duration kReportPeriod = milliseconds(500);
constexpr Duration kReportAge = milliseconds(200);
constexpr Duration kTakeover = seconds(3);
constexpr Duration kRestart = seconds(10);
constexpr Duration kPartitionLength = seconds(15);
constexpr Duration kReaction = milliseconds(1);

// Router is an entry router.
struct Router {
  queue::State state{};
  BootId boot{1};
  bool up = true;
  bool cut = false;  // from the scheduler
  uint64_t wake_number = 0;
};

// Scheduled is the policy's state. The first router also schedules; after its
// scheduler is lost, the second does.
struct Scheduled {
  PoolId pool{RegionId("region"), ServiceId("service")};
  contracts::Configuration configuration{};
  std::vector<Router> routers{};
  scheduler::State scheduler{};
  Epoch epoch{1};
  uint32_t holder = 0;
  bool scheduler_up = true;
  bool tick_due = false;
  std::vector<uint64_t> report_numbers{};
};

InstanceId RouterName(uint32_t router) {
  return InstanceId("router-" + std::to_string(router));
}

TargetId TargetName(uint32_t target) {
  return TargetId("target-" + std::to_string(target));
}

// AddressOf is as long on the wire as a real instance's or target's.
net::SocketAddress AddressOf(uint32_t number) {
  return {.ip = "10.0.128." + std::to_string(number), .port = 8080};
}

uint32_t TargetNumber(const TargetId& id) {
  return static_cast<uint32_t>(std::stoul(id.value.substr(7)));
}

// Deliver carries a message from one router's process to another's.
void Deliver(Fleet& fleet, const Scheduled& policy, uint32_t from, uint32_t to,
             double payload, const std::function<void()>& receive) {
  if (from != to) fleet.control_bytes[from] += payload + kPacketOverhead;
  if (policy.routers[from].cut || policy.routers[to].cut) return;
  Duration delay = from == to ? Duration::zero() : fleet.workload.link_delay;
  if (fleet.setup.fault == Fault::kLossyLinks) {
    std::uniform_int_distribution<int> percent(0, 99);
    std::uniform_int_distribution<int64_t> extra(0, 20'000'000);
    if (percent(fleet.random) < 5) return;
    if (percent(fleet.random) < 5) {
      At(fleet, delay + Duration(extra(fleet.random)), receive);
    }
    delay += Duration(extra(fleet.random));
  }
  At(fleet, delay, receive);
}

template <typename Message>
double PayloadBytes(const Message& message) {
  return static_cast<double>(wire::Encode(message).payload.size());
}

void Wake(Fleet& fleet, Scheduled& policy, uint32_t router);

void TakeGrant(Fleet& fleet, Scheduled& policy, uint32_t router,
               const sharing::Grant& grant) {
  Router& taker = policy.routers[router];
  if (!taker.up) return;
  for (const queue::Dispatch& dispatch :
       queue::ApplyGrant(taker.state, grant, fleet.now)) {
    const auto request = static_cast<uint32_t>(std::stoul(dispatch.id.value));
    Send(fleet, request, TargetNumber(dispatch.target));
  }
  Wake(fleet, policy, router);
}

void TickScheduler(Fleet& fleet, Scheduled& policy) {
  if (!policy.scheduler_up) return;
  for (scheduler::Outgoing& out :
       scheduler::Tick(policy.scheduler, fleet.now)) {
    const auto router =
        static_cast<uint32_t>(std::stoul(out.router.value.substr(7)));
    const double bytes = PayloadBytes(out.grant);
    Deliver(fleet, policy, policy.holder, router, bytes,
            [&fleet, &policy, router, grant = std::move(out.grant)] {
              TakeGrant(fleet, policy, router, grant);
            });
  }
}

void TickSoon(Fleet& fleet, Scheduled& policy) {
  if (policy.tick_due) return;
  policy.tick_due = true;
  At(fleet, kReaction, [&fleet, &policy] {
    policy.tick_due = false;
    TickScheduler(fleet, policy);
  });
}

void SendDemand(Fleet& fleet, Scheduled& policy, uint32_t router) {
  Router& asker = policy.routers[router];
  sharing::Demand demand =
      queue::BuildDemand(asker.state, policy.pool, fleet.now);
  const double bytes = PayloadBytes(demand);
  Deliver(
      fleet, policy, router, policy.holder, bytes,
      [&fleet, &policy, router, boot = asker.boot, demand = std::move(demand)] {
        if (!policy.scheduler_up) return;
        scheduler::OnDemand(policy.scheduler, RouterName(router), boot, demand,
                            fleet.now);
        TickSoon(fleet, policy);
      });
}

// Wake sends a router's demand when it is due.
void Wake(Fleet& fleet, Scheduled& policy, uint32_t router) {
  Router& waker = policy.routers[router];
  if (!waker.up) return;
  const auto due = queue::NextDemandAt(waker.state, policy.pool);
  if (!due) return;
  if (*due <= fleet.now) {
    SendDemand(fleet, policy, router);
    return Wake(fleet, policy, router);
  }
  const uint64_t number = ++waker.wake_number;
  At(fleet, *due - fleet.now, [&fleet, &policy, router, number] {
    if (policy.routers[router].wake_number != number) return;
    Wake(fleet, policy, router);
  });
}

void ReportTarget(Fleet& fleet, Scheduled& policy, uint32_t target) {
  const Target& reporter = fleet.targets[target];
  sharing::TargetState report{
      .pool = policy.pool,
      .target = TargetName(target),
      .address = AddressOf(target),
      .incarnation = 1,
      .sequence = ++policy.report_numbers[target],
      .intent = reporter.leaving ? contracts::TargetIntent::kLeaving
                                 : contracts::TargetIntent::kServing,
      .slots = reporter.slots,
      .running = static_cast<uint32_t>(reporter.running.size()),
      .waiting = static_cast<uint32_t>(reporter.queue.size())};
  const auto age = std::chrono::duration_cast<milliseconds>(kReportAge).count();
  report.age_ms = static_cast<uint32_t>(age);
  std::uniform_int_distribution<uint32_t> any(0, fleet.workload.routers - 1);
  uint32_t via = any(fleet.random);
  // A router without a scheduler refuses the report and the target tries
  // another one.
  if (!policy.routers[via].up || policy.routers[via].cut) {
    via = policy.holder;
  }
  At(fleet, kReportAge, [&fleet, &policy, via, report] {
    Deliver(fleet, policy, via, policy.holder, PayloadBytes(report),
            [&fleet, &policy, report] {
              if (!policy.scheduler_up) return;
              scheduler::OnTargetState(policy.scheduler, report, fleet.now);
              TickSoon(fleet, policy);
            });
  });
}

void StartRouter(Fleet& fleet, Scheduled& policy, uint32_t router) {
  Router& started = policy.routers[router];
  started.state = queue::State{};
  started.state.options.reply_to = AddressOf(router);
  if (fleet.setup.variant == Variant::kBatched) {
    started.state.options.min_backlogged_demand_interval = milliseconds(300);
    started.state.options.max_usage_delay = milliseconds(2000);
  }
  started.up = true;
  queue::OnEpoch(started.state, policy.pool, policy.epoch, fleet.now);
}

void StartScheduler(Fleet& fleet, Scheduled& policy) {
  policy.scheduler =
      scheduler::Create({}, policy.pool, policy.epoch, fleet.now);
  scheduler::OnConfiguration(policy.scheduler, policy.configuration, fleet.now);
  policy.scheduler_up = true;
  for (uint32_t i = 0; i < policy.routers.size(); ++i) {
    queue::OnEpoch(policy.routers[i].state, policy.pool, policy.epoch,
                   fleet.now);
    Wake(fleet, policy, i);
  }
}

void LoseRouter(Fleet& fleet, Scheduled& policy, uint32_t router) {
  Router& lost = policy.routers[router];
  lost.up = false;
  for (const auto& [id, place] : lost.state.waiting) {
    Cancel(fleet, static_cast<uint32_t>(std::stoul(id.value)));
  }
  for (const auto& [id, running] : lost.state.running) {
    Cancel(fleet, static_cast<uint32_t>(std::stoul(id.value)));
  }
  At(fleet, kRestart, [&fleet, &policy, router] {
    policy.routers[router].boot = policy.routers[router].boot.Next();
    StartRouter(fleet, policy, router);
  });
}

void CutRouters(Fleet& fleet, Scheduled& policy, bool cut) {
  const auto last = static_cast<uint32_t>(policy.routers.size() - 1);
  for (const uint32_t router : {last, last - 1}) {
    policy.routers[router].cut = cut;
  }
  if (!cut) return;
  At(fleet, kPartitionLength,
     [&fleet, &policy] { CutRouters(fleet, policy, false); });
}

void StartFault(Fleet& fleet, Scheduled& policy) {
  switch (fleet.setup.fault) {
    case Fault::kRouterLost:
      return LoseRouter(fleet, policy, 2);
    case Fault::kPartition:
      return CutRouters(fleet, policy, true);
    case Fault::kSchedulerLost:
      policy.scheduler_up = false;
      At(fleet, kTakeover, [&fleet, &policy] {
        policy.holder = 1;
        policy.epoch = policy.epoch.Next();
        StartScheduler(fleet, policy);
      });
      return;
    default:
      return;
  }
}

void Arrive(Fleet& fleet, Scheduled& policy, uint32_t request) {
  const Request& arrived = fleet.trace[request];
  uint32_t router = arrived.router;
  // Callers of a lost router come back through the next one.
  while (!policy.routers[router].up) {
    router = (router + 1) % policy.routers.size();
  }
  const auto& load = fleet.workload.organisations[arrived.organisation];
  const auto refusal = queue::Enqueue(
      policy.routers[router].state,
      queue::Request{.id = RequestId(std::to_string(request)),
                     .pool = policy.pool,
                     .organisation = load.contract.organisation,
                     .estimate = Tokens(arrived.hint),
                     .deadline = fleet.end + seconds(3600)},
      queue::Limits{.queue_length = load.contract.queue_length}, fleet.now);
  if (refusal) Cancel(fleet, request);
  Wake(fleet, policy, router);
}

// RouterOf returns the router that runs a request; nothing if it was lost.
Router* RouterOf(Scheduled& policy, uint32_t request, uint32_t& number) {
  const RequestId id(std::to_string(request));
  for (number = 0; number < policy.routers.size(); ++number) {
    Router& router = policy.routers[number];
    if (router.up && router.state.running.contains(id)) return &router;
  }
  return nullptr;
}

void InstallHandlers(Fleet& fleet, Scheduled& policy) {
  fleet.on_arrival = [&fleet, &policy](uint32_t request) {
    Arrive(fleet, policy, request);
  };
  fleet.on_end = [&fleet, &policy](uint32_t request) {
    uint32_t number = 0;
    Router* router = RouterOf(policy, request, number);
    if (router == nullptr) return;
    queue::OnEnd(router->state, RequestId(std::to_string(request)),
                 {.tokens = Tokens(fleet.trace[request].cost)}, fleet.now);
    Wake(fleet, policy, number);
  };
  fleet.on_fault = [&fleet, &policy] { StartFault(fleet, policy); };
  if (fleet.setup.variant == Variant::kHintsOnly) return;
  fleet.on_progress = [&fleet, &policy](uint32_t request, int64_t tokens) {
    uint32_t number = 0;
    Router* router = RouterOf(policy, request, number);
    if (router == nullptr) return;
    queue::OnProgress(router->state, RequestId(std::to_string(request)),
                      Tokens(tokens), fleet.now);
    Wake(fleet, policy, number);
  };
}

}  // namespace

void UseScheduler(Fleet& fleet) {
  auto policy = std::make_shared<Scheduled>();
  Scheduled& state = *policy;
  fleet.policy = policy;
  state.configuration.revision = Revision(1);
  for (const OrganisationLoad& load : fleet.workload.organisations) {
    state.configuration.contracts[load.contract.organisation] = {load.contract,
                                                                 Revision(1)};
  }
  state.routers.resize(fleet.workload.routers);
  state.report_numbers.assign(fleet.targets.size(), 0);
  for (uint32_t i = 0; i < fleet.workload.routers; ++i) {
    StartRouter(fleet, state, i);
  }
  StartScheduler(fleet, state);
  InstallHandlers(fleet, state);
  Every(fleet, milliseconds(50), [&fleet, &state] {
    if (!state.scheduler_up) return;
    if (scheduler::NextTickAt(state.scheduler) <= fleet.now) {
      TickScheduler(fleet, state);
    }
  });
  for (uint32_t i = 0; i < fleet.targets.size(); ++i) {
    ReportTarget(fleet, state, i);
    Every(fleet, kReportPeriod,
          [&fleet, &state, i] { ReportTarget(fleet, state, i); });
  }
}

}  // namespace samphirebank::measure::internal
