#include "samphirebank/router/internal/pools.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "samphirebank/assignment/assignment.h"
#include "samphirebank/events/events.h"
#include "samphirebank/router/internal/callers.h"
#include "samphirebank/router/internal/configuration.h"
#include "samphirebank/router/internal/drain.h"
#include "samphirebank/router/internal/peers.h"
#include "samphirebank/router/internal/quotas.h"

namespace samphirebank::router {
namespace {

// The loop turns at least this often; polls and expiries depend on it.
constexpr Duration kPumpInterval = std::chrono::milliseconds(20);
constexpr Duration kAskPoolInterval = std::chrono::milliseconds(500);
// Schedulers of one service in two regions tell each other their counters at
// this pace, while one of them has work waiting.
constexpr Duration kShareInterval = std::chrono::milliseconds(400);
constexpr Duration kShareMemory = std::chrono::seconds(2);

const contracts::SchedulerAssignment* FindAssignment(const Router& router,
                                                     const PoolId& pool) {
  const auto& pools = router.holder.history.configuration.pools;
  const auto found = pools.find(pool);
  return found == pools.end() ? nullptr : &found->second.value;
}

bool IsOwn(const Router& router,
           const contracts::SchedulerAssignment& assignment) {
  return assignment.holder == router.settings.identity.instance;
}

// FindScheduler returns this router's scheduler of a pool, or null.
scheduler::State* FindScheduler(Router& router, const PoolId& pool) {
  const auto found = router.schedulers.find(pool);
  return found == router.schedulers.end() ? nullptr : &found->second;
}

void AskForPool(Router& router, const PoolId& pool, Epoch failed,
                TimePoint now) {
  TimePoint& asked = router.pool_asked[pool];
  if (asked != TimePoint() && now - asked < kAskPoolInterval) return;
  asked = now;
  SendMessage(
      router, ControlAddress(router),
      assignment::PoolRequest{.pool = pool,
                              .failed_epoch = failed,
                              .requester = router.settings.identity.instance});
}

void SendDemands(Router& router, TimePoint now) {
  std::vector<PoolId> due;
  for (const auto& [pool, queued] : router.queues.pools) {
    const auto at = queue::NextDemandAt(router.queues, pool);
    if (at && *at <= now) due.push_back(pool);
  }
  for (const PoolId& pool : due) {
    const auto* const assignment = FindAssignment(router, pool);
    if (assignment == nullptr) continue;
    const sharing::Demand demand = queue::BuildDemand(router.queues, pool, now);
    if (IsOwn(router, *assignment)) {
      OnDemand(router, router.settings.identity.instance, router.boot, demand,
               now);
    } else {
      SendMessage(router, assignment->address, demand);
    }
  }
}

void SendGrants(Router& router, TimePoint now) {
  for (auto& [pool, state] : router.schedulers) {
    for (const scheduler::Outgoing& out : scheduler::Tick(state, now)) {
      if (out.router == router.settings.identity.instance) {
        OnGrant(router, out.grant, now);
      } else {
        SendMessage(router, out.to, out.grant);
      }
    }
  }
}

void SendTargetStates(Router& router, TimePoint now) {
  for (const sharing::TargetState& state :
       targets::TakeDueStates(router.targets, now)) {
    const auto* const assignment = FindAssignment(router, state.pool);
    if (assignment == nullptr) {
      AskForPool(router, state.pool, Epoch(), now);
    } else if (IsOwn(router, *assignment)) {
      OnTargetState(router, state, now);
    } else {
      SendMessage(router, assignment->address, state);
    }
  }
}

// SendShare tells one neighbour, if there is something to tell: work waits
// here, or the neighbour itself told something lately.
void SendShare(Router& router, scheduler::State& state, const PoolId& neighbour,
               const contracts::SchedulerAssignment& holder, TimePoint now) {
  TimePoint& sent = router.share_sent[neighbour];
  if (sent != TimePoint() && now - sent < kShareInterval) return;
  const auto heard = router.share_heard.find(neighbour);
  const bool answers =
      heard != router.share_heard.end() && now - heard->second < kShareMemory;
  if (!answers && scheduler::Summarize(state).waiting == 0) return;
  sent = now;
  const scheduler::OutgoingShare out =
      scheduler::BuildCounterShare(state, neighbour, now);
  if (IsOwn(router, holder)) {
    OnCounterShare(router, out.share, now);
  } else {
    SendMessage(router, holder.address, out.share);
  }
}

void SendShares(Router& router, TimePoint now) {
  const auto& pools = router.holder.history.configuration.pools;
  for (auto& [own, state] : router.schedulers) {
    for (const auto& [pool, record] : pools) {
      if (pool.service != own.service || pool == own) continue;
      SendShare(router, state, pool, record.value, now);
    }
  }
}

void AskForLostPools(Router& router, TimePoint now) {
  for (const auto& [pool, epoch] : router.lost_epochs) {
    AskForPool(router, pool, epoch, now);
  }
}

// IsLost says whether an assignment was made to an earlier run.
bool IsLost(const Router& router, const PoolId& pool, Epoch epoch) {
  const auto found = router.lost_epochs.find(pool);
  return found != router.lost_epochs.end() && found->second >= epoch;
}

outcome::Grant ToGrant(const queue::Dispatch& dispatch) {
  return {.target = dispatch.target,
          .address = dispatch.address,
          .epoch = dispatch.epoch,
          .expires = dispatch.expires_at,
          .can_resume = dispatch.traits.can_resume};
}

// PumpAfter runs Pump once `delay` is over, or sooner if that is due already.
void PumpAfter(Router& router, Duration delay) {
  const TimePoint at = net::Loop::Now() + std::max(delay, Duration::zero());
  if (router.pump_timer != net::TimerId()) {
    if (router.pump_at <= at) return;
    router.loop.Cancel(router.pump_timer);
  }
  router.pump_at = at;
  router.pump_timer = router.loop.After(delay, [&router] {
    router.pump_timer = net::TimerId();
    Pump(router);
  });
}

}  // namespace

void TakeAssignments(Router& router, TimePoint now) {
  const contracts::Configuration& configuration =
      router.holder.history.configuration;
  std::erase_if(router.schedulers, [&](const auto& item) {
    const auto* const assignment = FindAssignment(router, item.first);
    const bool kept = assignment != nullptr && IsOwn(router, *assignment) &&
                      assignment->epoch == router.scheduled_epochs[item.first];
    if (!kept) {
      events::Log({.number = events::Number::kSchedulerRetired,
                   .service = item.first.service,
                   .region = item.first.region});
    }
    return !kept;
  });
  for (const auto& [pool, record] : configuration.pools) {
    const contracts::SchedulerAssignment& assignment = record.value;
    queue::OnEpoch(router.queues, pool, assignment.epoch, now);
    if (!IsOwn(router, assignment)) continue;
    if (IsLost(router, pool, assignment.epoch)) continue;
    router.lost_epochs.erase(pool);
    if (FindScheduler(router, pool) == nullptr) {
      const scheduler::Options options{.predecessor_lease = lease::InForceAfter(
                                           router.holder.options.parameters)};
      router.schedulers.emplace(
          pool, scheduler::Create(options, pool, assignment.epoch, now));
      router.scheduled_epochs[pool] = assignment.epoch;
      events::Log({.number = events::Number::kSchedulerStarted,
                   .service = pool.service,
                   .region = pool.region,
                   .epoch = assignment.epoch});
    }
  }
  std::erase_if(router.lost_epochs, [&](const auto& item) {
    const auto* const assignment = FindAssignment(router, item.first);
    return assignment == nullptr || !IsOwn(router, *assignment);
  });
  for (auto& [pool, state] : router.schedulers) {
    scheduler::OnConfiguration(state, configuration, now);
  }
}

void OnDemand(Router& router, const InstanceId& from, BootId boot,
              const sharing::Demand& demand, TimePoint now) {
  scheduler::State* const state = FindScheduler(router, demand.pool);
  if (state != nullptr) {
    scheduler::OnDemand(*state, from, boot, demand, now);
  }
}

void OnGrant(Router& router, const sharing::Grant& grant, TimePoint now) {
  if (!lease::MayAct(router.holder, now)) return;
  for (const queue::Dispatch& dispatch :
       queue::ApplyGrant(router.queues, grant, now)) {
    const auto request = router.requests.find(dispatch.id);
    if (request == router.requests.end()) continue;
    request->second->traits = dispatch.traits;
    Raise(router, dispatch.id,
          outcome::GrantReceived{.grant = ToGrant(dispatch)});
  }
  RefuseUnserved(router, grant.pool, now);
}

void OnTargetState(Router& router, const sharing::TargetState& target,
                   TimePoint now) {
  scheduler::State* const state = FindScheduler(router, target.pool);
  if (state != nullptr) scheduler::OnTargetState(*state, target, now);
}

void OnCounterShare(Router& router, const sharing::CounterShare& share,
                    TimePoint now) {
  for (auto& [pool, state] : router.schedulers) {
    const bool same_service = pool.service == share.pool.service;
    if (!same_service || pool == share.pool) continue;
    router.share_heard[share.pool] = now;
    scheduler::OnCounterShare(state, share, now);
  }
}

void NoteLostAssignments(Router& router) {
  const auto& pools = router.holder.history.configuration.pools;
  for (const auto& [pool, record] : pools) {
    if (!IsOwn(router, record.value)) continue;
    router.lost_epochs[pool] = record.value.epoch;
  }
}

void PumpPools(Router& router, TimePoint now) {
  AskForLostPools(router, now);
  SendTargetStates(router, now);
  SendDemands(router, now);
  PumpQuotas(router, now);
  SendGrants(router, now);
  SendShares(router, now);
  // What the grants started or returned may be told at once.
  SendDemands(router, now);
}

TimePoint NextPoolsAt(const Router& router, TimePoint now) {
  TimePoint next = now + kPumpInterval;
  for (const auto& [pool, queued] : router.queues.pools) {
    if (FindAssignment(router, pool) == nullptr) continue;
    const auto at = queue::NextDemandAt(router.queues, pool);
    if (at) next = std::min(next, *at);
  }
  for (const auto& [pool, state] : router.schedulers) {
    next = std::min(next, scheduler::NextTickAt(state));
  }
  return next;
}

void SchedulePump(Router& router) { PumpAfter(router, Duration::zero()); }

void Pump(Router& router) {
  const WorkScope scope(router.work, Work::kControl);
  const TimePoint now = net::Loop::Now();
  PumpLease(router, now);
  RefuseExpired(router, now);
  PumpPools(router, now);
  PumpClaims(router, now);
  PumpDrain(router, now);
  const TimePoint next = NextPoolsAt(router, now);
  if (next < now + kPumpInterval) PumpAfter(router, next - now);
}

}  // namespace samphirebank::router
