// Limits of one organisation over several pools: the real decision code of
// queues, schedulers and coordinators in simulated time.
#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <utility>

#include "samphirebank/measure/measure.h"
#include "samphirebank/queue/queue.h"
#include "samphirebank/quota/quota.h"
#include "samphirebank/scheduler/scheduler.h"
#include "samphirebank/wire/wire.h"

namespace samphirebank::measure {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(10);
constexpr Duration kLinkDelay = milliseconds(2);
constexpr Duration kTakeover = seconds(3);
constexpr Duration kLease = seconds(3);
constexpr Duration kCutLength = seconds(10);
constexpr TimePoint kStart{seconds(1000)};
constexpr uint32_t kSlots = 10'000;
constexpr double kPacketOverhead = 79;  // bytes: sealing, UDP, IP

double Seconds(Duration span) {
  return std::chrono::duration<double>(span).count();
}

// Node is an instance: its configuration, the scheduler and the coordinators
// that it holds. The last node is spare at first.
struct Node {
  contracts::Configuration configuration{};
  bool up = true;
  scheduler::State scheduler{};
  Epoch epoch{};
  quota::LocalCoordinators duties{};
};

// Excess finds the most that any span saw above a rate.
struct Excess {
  double rate = 0;  // a second
  double sum = 0;
  double lowest = 0;
  double largest = 0;

  void Add(double amount, TimePoint now) {
    const double allowed = this->rate * Seconds(now - kStart);
    this->lowest = std::min(this->lowest, this->sum - allowed);
    this->sum += amount;
    this->largest = std::max(this->largest, this->sum - allowed - this->lowest);
  }
};

// World is the whole run. Pool i's requests come in at router i, which knows
// the configuration of node i.
struct World {
  LimitsSetup setup{};
  std::mt19937_64 random{};
  TimePoint now = kStart;
  std::vector<PoolId> pools{};
  std::vector<Node> nodes{};
  std::vector<queue::State> routers{};
  std::vector<double> due{};  // requests to come, by pool
  uint32_t coordinator = 0;   // the pool whose holder coordinates
  uint64_t reports = 0;
  std::multimap<TimePoint, std::function<void()>> events{};
  uint64_t running = 0;
  TimePoint hungry_since{};
  Excess requests{};
  Excess tokens{};
  double waiting_seconds = 0;
  double used_seconds = 0;  // running requests by time, while others wait
  uint64_t started_waiting = 0;
  LimitsResult result{};
};

InstanceId NameOf(size_t node) {
  return InstanceId("node-" + std::to_string(node));
}

void At(World& world, Duration delay, std::function<void()> event) {
  world.events.emplace(world.now + delay, std::move(event));
}

bool IsCut(const World& world, size_t from, size_t to) {
  if (world.setup.fault != LimitsFault::kPoolCut) return false;
  const TimePoint begin = kStart + world.setup.length / 3;
  if (world.now < begin || world.now >= begin + kCutLength) return false;
  const size_t cut = (world.coordinator + 1) % world.pools.size();
  return from != to && (from == cut || to == cut);
}

// Carry delivers one message about quotas.
template <typename Message>
void Carry(World& world, size_t from, size_t to, const Message& message,
           std::function<void(const Message&)> receive) {
  if (from != to) {
    world.result.messages += 1;
    world.result.bytes +=
        static_cast<double>(wire::Encode(message).payload.size()) +
        kPacketOverhead;
  }
  if (IsCut(world, from, to)) return;
  Duration delay = from == to ? Duration::zero() : kLinkDelay;
  int copies = 1;
  if (world.setup.fault == LimitsFault::kLossyLinks) {
    std::uniform_int_distribution<int> percent(0, 99);
    const int luck = percent(world.random);
    copies = luck < 20 ? 0 : luck < 30 ? 2 : 1;
    const int64_t slowness = percent(world.random) < 10 ? 12 : 2;
    delay += milliseconds(slowness * percent(world.random));
  }
  for (int i = 0; i < copies; ++i) {
    At(world, delay, [receive, message] { receive(message); });
  }
}

const contracts::SchedulerAssignment& AssignmentOf(const Node& node,
                                                   const PoolId& pool) {
  return node.configuration.pools.at(pool).value;
}

size_t NodeOf(const contracts::SchedulerAssignment& assignment) {
  return std::stoul(assignment.holder.value.substr(5));
}

void TakeAsk(World& world, size_t number, const sharing::QuotaRequest& ask) {
  Node& node = world.nodes[number];
  if (!node.up) return;
  quota::Refresh(node.duties, NameOf(number), node.configuration, world.now);
  quota::Coordinator* const coordinator = quota::Find(node.duties, ask.to);
  if (coordinator == nullptr) return;
  const auto& asker = AssignmentOf(node, ask.pool);
  if (asker.epoch != ask.epoch) return;
  const auto grant =
      quota::OnQuotaRequest(*coordinator, ask, node.configuration, world.now);
  if (!grant) return;
  const size_t to = NodeOf(asker);
  Carry<sharing::QuotaGrant>(
      world, number, to, *grant, [&world, to](const auto& got) {
        Node& taker = world.nodes[to];
        if (!taker.up || !taker.scheduler) return;
        scheduler::OnQuotaGrant(taker.scheduler, got, world.now);
      });
}

void SendAsks(World& world, size_t number) {
  Node& node = world.nodes[number];
  for (const auto& ask :
       scheduler::BuildQuotaRequests(node.scheduler, world.now)) {
    const size_t to = NodeOf(AssignmentOf(node, ask.to.pool));
    Carry<sharing::QuotaRequest>(
        world, number, to, ask,
        [&world, to](const auto& got) { TakeAsk(world, to, got); });
  }
}

// Configure gives a node a configuration: it starts or ends its scheduler.
void Configure(World& world, size_t number,
               const contracts::Configuration& configuration) {
  Node& node = world.nodes[number];
  node.configuration = configuration;
  const PoolId* own = nullptr;
  for (const auto& [pool, record] : configuration.pools) {
    if (record.value.holder == NameOf(number)) own = &pool;
  }
  if (own == nullptr) {
    node.scheduler.reset();
  } else if (!node.scheduler) {
    node.epoch = AssignmentOf(node, *own).epoch;
    node.scheduler =
        scheduler::Create({.headroom = 0}, *own, node.epoch, world.now);
  }
  if (node.scheduler) {
    contracts::Configuration seen = configuration;
    if (!world.setup.split) seen.pools = {*configuration.pools.find(*own)};
    scheduler::OnConfiguration(node.scheduler, seen, world.now);
  }
  if (number >= world.pools.size()) return;
  const PoolId& pool = world.pools[number];
  queue::OnEpoch(world.routers[number], pool, AssignmentOf(node, pool).epoch,
                 world.now);
}

void End(World& world, size_t pool, const RequestId& id) {
  world.running -= 1;
  queue::OnEnd(world.routers[pool], id, {.tokens = Tokens(world.setup.cost)},
               world.now);
}

void Began(World& world, size_t pool, const RequestId& id) {
  world.running += 1;
  world.result.started += 1;
  world.started_waiting += 1;
  world.result.peak_running =
      std::max(world.result.peak_running, world.running);
  world.requests.Add(1, world.now);
  world.tokens.Add(static_cast<double>(world.setup.cost), world.now);
  world.hungry_since = world.now;
  At(world, world.setup.service, [&world, pool, id] { End(world, pool, id); });
}

// Serve exchanges a pool's demand and grants; they are not lost here.
void Serve(World& world, size_t pool) {
  const size_t holder =
      NodeOf(AssignmentOf(world.nodes[pool], world.pools[pool]));
  Node& node = world.nodes[holder];
  queue::State& router = world.routers[pool];
  if (!node.up || !node.scheduler) return;
  const auto at = queue::NextDemandAt(router, world.pools[pool]);
  if (at && *at <= world.now) {
    scheduler::OnDemand(
        node.scheduler, InstanceId("router"), BootId(1),
        queue::BuildDemand(router, world.pools[pool], world.now), world.now);
  }
  for (const auto& out : scheduler::Tick(node.scheduler, world.now)) {
    for (const auto& dispatch :
         queue::ApplyGrant(router, out.grant, world.now)) {
      Began(world, pool, dispatch.id);
    }
  }
}

void Report(World& world) {
  for (Node& node : world.nodes) {
    if (!node.up || !node.scheduler) continue;
    for (const PoolId& pool : world.pools) {
      scheduler::OnTargetState(node.scheduler,
                               {.pool = pool,
                                .target = TargetId(pool.service.value),
                                .incarnation = 1,
                                .sequence = ++world.reports,
                                .slots = kSlots},
                               world.now);
    }
  }
}

void Arrive(World& world, size_t pool) {
  const auto shift = (world.now - kStart) / world.setup.rotation;
  const size_t load = (pool + static_cast<size_t>(shift)) % world.pools.size();
  world.due[pool] += world.setup.requests_per_second[load] * Seconds(kStep);
  for (; world.due[pool] >= 1; world.due[pool] -= 1) {
    const RequestId id(std::to_string(++world.result.arrived));
    queue::Enqueue(world.routers[pool],
                   {.id = id,
                    .pool = world.pools[pool],
                    .organisation = world.setup.contract.organisation,
                    .estimate = Tokens(world.setup.cost),
                    .deadline = kStart + 2 * world.setup.length},
                   {}, world.now);
  }
}

// Move gives the coordinator's pool to the spare node; each node learns of it
// within the lease, the former holder last.
void Move(World& world) {
  contracts::Configuration next = world.nodes[0].configuration;
  next.revision = next.revision.Next();
  auto& assignment = next.pools.at(world.pools[world.coordinator]).value;
  const size_t former = NodeOf(assignment);
  assignment.holder = NameOf(world.pools.size());
  assignment.epoch = assignment.epoch.Next();
  std::uniform_int_distribution<int64_t> late(0, (kLease - kStep).count());
  for (size_t i = 0; i < world.nodes.size(); ++i) {
    Duration delay(late(world.random));
    if (i == world.pools.size()) delay = Duration::zero();
    if (i == former) delay = kLease - kStep;
    At(world, delay, [&world, i, next] { Configure(world, i, next); });
  }
}

void StartFault(World& world) {
  switch (world.setup.fault) {
    case LimitsFault::kCoordinatorLost:
      world.nodes[world.coordinator].up = false;
      At(world, kTakeover, [&world] { Move(world); });
      return;
    case LimitsFault::kCoordinatorMoved:
      return Move(world);
    default:
      return;
  }
}

World Open(const LimitsSetup& setup) {
  World world{.setup = setup};
  world.random.seed(setup.seed);
  contracts::Configuration configuration;
  configuration.revision = Revision(1);
  configuration.contracts[setup.contract.organisation] = {setup.contract,
                                                          Revision(1)};
  for (size_t i = 0; i < setup.requests_per_second.size(); ++i) {
    const PoolId pool{RegionId("region"),
                      ServiceId("service-" + std::to_string(i))};
    world.pools.push_back(pool);
    configuration.pools[pool] = {
        {.holder = NameOf(i), .address = {}, .epoch = Epoch(1)}, Revision(1)};
  }
  const uint32_t group = quota::QuotaGroupOf(setup.contract.organisation);
  const auto chosen = quota::CoordinatorsOf(configuration)[group];
  const auto found =
      std::find(world.pools.begin(), world.pools.end(), chosen->pool);
  world.coordinator = static_cast<uint32_t>(found - world.pools.begin());
  world.nodes.resize(world.pools.size() + 1);
  world.routers.resize(world.pools.size());
  world.due.resize(world.pools.size());
  for (size_t i = 0; i < world.nodes.size(); ++i) {
    Configure(world, i, configuration);
  }
  world.requests.rate = setup.contract.requests_per_second;
  world.tokens.rate =
      static_cast<double>(setup.contract.tokens_per_minute) / 60;
  return world;
}

// Account counts a step in which requests wait or not.
void Account(World& world) {
  size_t waiting = 0;
  for (const queue::State& router : world.routers) {
    waiting += router.waiting.size();
  }
  if (waiting == 0) {
    world.started_waiting = 0;
    world.hungry_since = world.now;
    return;
  }
  world.waiting_seconds += Seconds(kStep);
  world.used_seconds += static_cast<double>(world.running) * Seconds(kStep);
  world.result.starvation = std::max(world.result.starvation,
                                     Seconds(world.now - world.hungry_since));
}

// UseOf is how much of its tightest limit the organisation used.
double UseOf(const World& world) {
  const contracts::Contract& contract = world.setup.contract;
  const double started = static_cast<double>(world.result.started);
  const double span = std::max(Seconds(kStep), world.waiting_seconds);
  double use = 0;
  if (contract.requests_per_second > 0) {
    use = std::max(use, started / contract.requests_per_second / span);
  }
  if (contract.tokens_per_minute > 0) {
    use = std::max(use, started * static_cast<double>(world.setup.cost) /
                            world.tokens.rate / span);
  }
  if (contract.concurrency > 0) {
    use = std::max(use, world.used_seconds / contract.concurrency / span);
  }
  return use;
}

void Step(World& world) {
  while (!world.events.empty() && world.events.begin()->first <= world.now) {
    const auto event = std::move(world.events.begin()->second);
    world.events.erase(world.events.begin());
    event();
  }
  for (size_t i = 0; i < world.pools.size(); ++i) {
    Arrive(world, i);
    Serve(world, i);
  }
  for (size_t i = 0; i < world.nodes.size(); ++i) {
    Node& node = world.nodes[i];
    if (!node.up) continue;
    quota::Refresh(node.duties, NameOf(i), node.configuration, world.now);
    if (node.scheduler) SendAsks(world, i);
  }
  Account(world);
}

}  // namespace

std::string Name(LimitsFault fault) {
  switch (fault) {
    case LimitsFault::kNone:
      return "none";
    case LimitsFault::kLossyLinks:
      return "lossy-links";
    case LimitsFault::kCoordinatorLost:
      return "coordinator-lost";
    case LimitsFault::kCoordinatorMoved:
      return "coordinator-moved";
    case LimitsFault::kPoolCut:
      return "pool-cut";
  }
  return "";
}

LimitsResult RunLimits(const LimitsSetup& setup) {
  World world = Open(setup);
  const TimePoint end = kStart + setup.length;
  const TimePoint fault_at = kStart + setup.length / 3;
  for (; world.now < end; world.now += kStep) {
    if (world.now == kStart ||
        (world.now - kStart) % milliseconds(500) == Duration::zero()) {
      Report(world);
    }
    if (world.now <= fault_at && fault_at < world.now + kStep) {
      StartFault(world);
    }
    Step(world);
  }
  const auto excess = [](const Excess& of) {
    return of.rate > 0 ? of.largest : 0;
  };
  world.result.excess_requests = excess(world.requests);
  world.result.excess_tokens = excess(world.tokens);
  world.result.use = UseOf(world);
  world.result.bytes /=
      Seconds(setup.length) * static_cast<double>(world.pools.size());
  return world.result;
}

}  // namespace samphirebank::measure
