// The policies without messages: the central reference, and routers that act
// on their own.
#include <algorithm>
#include <deque>
#include <utility>
#include <vector>

#include "samphirebank/measure/internal/fleet.h"

namespace samphirebank::measure::internal {
namespace {

// FairQueue serves the organisation with the smallest counter first.
struct FairQueue {
  std::vector<std::deque<uint32_t>> waiting{};  // requests by organisation
  std::vector<double> counters{};
  double floor = 0;
};

void Push(FairQueue& queue, uint32_t organisation, uint32_t request) {
  if (queue.waiting[organisation].empty()) {
    double& counter = queue.counters[organisation];
    counter = std::max(counter, queue.floor);
  }
  queue.waiting[organisation].push_back(request);
}

// Next returns the organisation to serve, or nothing.
std::optional<uint32_t> Next(const FairQueue& queue) {
  std::optional<uint32_t> best;
  for (uint32_t i = 0; i < queue.waiting.size(); ++i) {
    if (queue.waiting[i].empty()) continue;
    if (!best || queue.counters[i] < queue.counters[*best]) best = i;
  }
  return best;
}

uint32_t Pop(FairQueue& queue, uint32_t organisation, double charge) {
  const uint32_t request = queue.waiting[organisation].front();
  queue.waiting[organisation].pop_front();
  queue.floor = std::max(queue.floor, queue.counters[organisation]);
  queue.counters[organisation] += charge;
  return request;
}

FairQueue MakeQueue(const Fleet& fleet) {
  const size_t count = fleet.workload.organisations.size();
  FairQueue queue;
  queue.waiting.resize(count);
  queue.counters.assign(count, 0);
  return queue;
}

double Weight(const Fleet& fleet, uint32_t organisation) {
  return fleet.account.weights[organisation];
}

// Central is one queue with all true costs that sees every slot at once.
struct Central {
  FairQueue queue{};
  std::vector<uint32_t> in_flight{};  // by target
};

void DispatchCentral(Fleet& fleet, Central& central) {
  for (;;) {
    const std::optional<uint32_t> organisation = Next(central.queue);
    if (!organisation) return;
    std::optional<uint32_t> best;
    for (uint32_t i = 0; i < fleet.targets.size(); ++i) {
      const Target& target = fleet.targets[i];
      if (target.leaving || central.in_flight[i] >= target.slots) continue;
      if (!best || central.in_flight[i] < central.in_flight[*best]) best = i;
    }
    if (!best) return;
    const uint32_t next = central.queue.waiting[*organisation].front();
    const double charge = static_cast<double>(fleet.trace[next].cost) /
                          Weight(fleet, *organisation);
    Pop(central.queue, *organisation, charge);
    central.in_flight[*best] += 1;
    Send(fleet, next, *best);
  }
}

// Local is routers that know nothing of each other: each may use an equal
// part of each target's slots.
struct Local {
  bool fair = false;
  std::vector<FairQueue> queues{};                 // by router
  std::vector<std::vector<uint32_t>> in_flight{};  // by router and target
};

uint32_t OwnSlots(const Fleet& fleet, uint32_t target) {
  const uint32_t slots = fleet.targets[target].slots;
  return (slots + fleet.workload.routers - 1) / fleet.workload.routers;
}

// RandomTarget returns one that has not left; for a fair router one of which
// it has not used its part.
std::optional<uint32_t> RandomTarget(Fleet& fleet, const Local& local,
                                     uint32_t router) {
  std::vector<uint32_t> open;
  for (uint32_t i = 0; i < fleet.targets.size(); ++i) {
    if (fleet.targets[i].leaving) continue;
    const bool full = local.in_flight[router][i] >= OwnSlots(fleet, i);
    if (local.fair && full) continue;
    open.push_back(i);
  }
  if (open.empty()) return std::nullopt;
  std::uniform_int_distribution<size_t> choose(0, open.size() - 1);
  return open[choose(fleet.random)];
}

void DispatchLocal(Fleet& fleet, Local& local, uint32_t router) {
  FairQueue& queue = local.queues[router];
  while (const std::optional<uint32_t> organisation = Next(queue)) {
    const std::optional<uint32_t> target = RandomTarget(fleet, local, router);
    if (!target) return;
    const uint32_t next = queue.waiting[*organisation].front();
    const double charge = static_cast<double>(fleet.trace[next].hint) /
                          Weight(fleet, *organisation);
    Pop(queue, *organisation, charge);
    local.in_flight[router][*target] += 1;
    Send(fleet, next, *target);
  }
}

void EndLocal(Fleet& fleet, Local& local, uint32_t request) {
  const Request& ended = fleet.trace[request];
  local.in_flight[ended.router][fleet.jobs[request].target] -= 1;
  const double correction = static_cast<double>(ended.cost - ended.hint);
  local.queues[ended.router].counters[ended.organisation] +=
      correction / Weight(fleet, ended.organisation);
  DispatchLocal(fleet, local, ended.router);
}

}  // namespace

void UseCentral(Fleet& fleet) {
  auto central = std::make_shared<Central>();
  central->queue = MakeQueue(fleet);
  central->in_flight.assign(fleet.targets.size(), 0);
  fleet.policy = central;
  Central* state = central.get();
  fleet.on_arrival = [&fleet, state](uint32_t request) {
    Push(state->queue, fleet.trace[request].organisation, request);
    DispatchCentral(fleet, *state);
  };
  fleet.on_end = [&fleet, state](uint32_t request) {
    state->in_flight[fleet.jobs[request].target] -= 1;
    DispatchCentral(fleet, *state);
  };
}

void UseLocal(Fleet& fleet) {
  auto local = std::make_shared<Local>();
  local->fair = fleet.setup.variant == Variant::kRouterFair;
  local->queues.assign(fleet.workload.routers, MakeQueue(fleet));
  local->in_flight.assign(fleet.workload.routers,
                          std::vector<uint32_t>(fleet.targets.size(), 0));
  fleet.policy = local;
  Local* state = local.get();
  fleet.on_arrival = [&fleet, state](uint32_t request) {
    const Request& arrived = fleet.trace[request];
    Push(state->queues[arrived.router], arrived.organisation, request);
    DispatchLocal(fleet, *state, arrived.router);
  };
  fleet.on_end = [&fleet, state](uint32_t request) {
    EndLocal(fleet, *state, request);
  };
}

}  // namespace samphirebank::measure::internal
