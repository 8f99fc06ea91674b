#include <algorithm>
#include <cmath>
#include <limits>

#include "samphirebank/scheduler/internal/loans.h"

namespace samphirebank::scheduler::internal {
namespace {

// kIdleGrace is how long an organisation may have no requests waiting without
// losing its position relative to the others.
constexpr Duration kIdleGrace = std::chrono::seconds(1);

double WeightOf(const Organisation& organisation) {
  return std::max<uint32_t>(1, organisation.limits.weight);
}

void LeaveReady(Scheduler& scheduler, Organisation& organisation) {
  if (!organisation.ready) return;
  scheduler.ready.erase(
      {organisation.counter, organisation.number, &organisation});
  organisation.ready = false;
}

void LeaveBlocked(Scheduler& scheduler, Organisation& organisation) {
  if (!organisation.blocked_until) return;
  scheduler.blocked.erase(
      {*organisation.blocked_until, organisation.number, &organisation});
  organisation.blocked_until.reset();
}

void EnterReady(Scheduler& scheduler, Organisation& organisation,
                TimePoint now) {
  if (organisation.ready) return;
  // An organisation accrues no credit while it has no requests waiting.
  if (now - organisation.idle_since > kIdleGrace || !organisation.has_counter) {
    organisation.counter =
        std::max(organisation.counter, scheduler.counter_floor);
  }
  organisation.has_counter = organisation.has_counter || scheduler.rebuilt;
  organisation.ready = true;
  scheduler.ready.emplace(organisation.counter, organisation.number,
                          &organisation);
}

// UpdateActiveWeight maintains the sum of the active organisations' weights.
void UpdateActiveWeight(Scheduler& scheduler, Organisation& organisation) {
  const bool active = organisation.running + organisation.reserved > 0 ||
                      !organisation.sources.empty();
  if (active == organisation.active) return;
  organisation.active = active;
  const double weight = WeightOf(organisation);
  scheduler.active_weight += active ? weight : -weight;
}

bool AtConcurrencyLimit(const Organisation& organisation) {
  const uint64_t max_running = ConcurrencyLimit(organisation);
  return max_running != 0 &&
         organisation.running + organisation.reserved >= max_running;
}

}  // namespace

bool WaitsRemotely(const Organisation& organisation, TimePoint now) {
  return std::ranges::any_of(
      organisation.remote_services,
      [now](const auto& item) { return HasWaitingRequests(item.second, now); });
}

Organisation& FindOrCreateOrganisation(Scheduler& scheduler,
                                       const OrganisationId& id) {
  auto [position, added] = scheduler.organisations.try_emplace(id);
  Organisation& organisation = position->second;
  if (!added) return organisation;
  organisation.id = id;
  organisation.number = ++scheduler.last_number;
  organisation.counter = scheduler.counter_floor;
  organisation.share_generation = static_cast<uint32_t>(scheduler.last_number);
  UpdateLimits(scheduler, organisation);
  return organisation;
}

void UpdateLimits(Scheduler& scheduler, Organisation& organisation) {
  const double weight_before = WeightOf(organisation);
  const auto known = scheduler.contracts.find(organisation.id);
  organisation.allowed = known != scheduler.contracts.end();
  if (organisation.allowed) organisation.limits = known->second;
  if (organisation.active) {
    scheduler.active_weight += WeightOf(organisation) - weight_before;
  }
}

void Charge(Scheduler& scheduler, Organisation& organisation, int64_t tokens) {
  MoveCounter(scheduler, organisation,
              static_cast<double>(tokens) / WeightOf(organisation));
}

void MoveCounter(Scheduler& scheduler, Organisation& organisation,
                 double step) {
  const bool ready = organisation.ready;
  LeaveReady(scheduler, organisation);
  organisation.counter += step;
  if (!ready) return;
  organisation.ready = true;
  scheduler.ready.emplace(organisation.counter, organisation.number,
                          &organisation);
}

void UpdateReadiness(Scheduler& scheduler, Organisation& organisation,
                     TimePoint now) {
  UpdateActiveWeight(scheduler, organisation);
  UpdateQuotaMembership(scheduler, organisation);
  LeaveBlocked(scheduler, organisation);
  if (organisation.sources.empty()) {
    if (organisation.ready) organisation.idle_since = now;
    LeaveReady(scheduler, organisation);
    return;
  }
  std::optional<TimePoint> blocked_until;
  const bool is_blocked = !organisation.allowed || LacksQuota(organisation) ||
                          AtConcurrencyLimit(organisation);
  if (!is_blocked) blocked_until = BlockedUntil(organisation, now);
  if (!is_blocked && !blocked_until) {
    EnterReady(scheduler, organisation, now);
    return;
  }
  // An organisation accrues no credit while its own limits block it.
  organisation.idle_since = now - 2 * kIdleGrace;
  LeaveReady(scheduler, organisation);
  if (!blocked_until) return;
  organisation.blocked_until = blocked_until;
  scheduler.blocked.emplace(*blocked_until, organisation.number, &organisation);
}

void UpdateSource(RouterOrganisation& source) {
  Organisation& organisation = *source.organisation;
  const SourceKey key{source.oldest_at, source.router->number, &source};
  const bool has_ungranted = source.waiting > source.reserved;
  if (has_ungranted == source.listed) return;
  source.listed = has_ungranted;
  if (has_ungranted) {
    organisation.sources.insert(key);
  } else {
    organisation.sources.erase(key);
  }
}

void ScheduleResponse(Scheduler& scheduler, Router& router, TimePoint due) {
  if (router.acknowledge_at) {
    if (*router.acknowledge_at <= due) return;
    scheduler.pending_responses.erase(
        {*router.acknowledge_at, router.number, &router});
  }
  router.acknowledge_at = due;
  scheduler.pending_responses.emplace(due, router.number, &router);
}

void SetWaiting(Scheduler& scheduler, RouterOrganisation& source,
                uint32_t waiting) {
  const int64_t step =
      static_cast<int64_t>(waiting) - static_cast<int64_t>(source.waiting);
  source.organisation->waiting += step;
  scheduler.waiting += step;
  source.waiting = waiting;
}

void SetRunning(Scheduler& scheduler, RouterOrganisation& source,
                uint32_t running) {
  const int64_t step =
      static_cast<int64_t>(running) - static_cast<int64_t>(source.running);
  source.organisation->running += step;
  scheduler.running += step;
  source.running = running;
}

void ReleaseGrant(Scheduler& scheduler, const PendingGrant& grant,
                  TimePoint now) {
  for (const Reservation& item : grant.reservations) {
    RouterOrganisation& source = *item.source;
    Organisation& organisation = *source.organisation;
    const int64_t tokens = item.estimate * item.count;
    source.reserved -= item.count;
    organisation.reserved -= item.count;
    scheduler.reserved -= item.count;
    AccumulateBusyTime(*item.target, now);
    item.target->reserved -= item.count;
    organisation.charged -= tokens;
    Charge(scheduler, organisation, -tokens);
    ConsumeRate(organisation, 0, -tokens);
    UpdateSource(source);
    UpdateReadiness(scheduler, organisation, now);
    UpdateFreeList(scheduler, *item.target, now);
  }
}

void ClearRouter(Scheduler& scheduler, Router& router, TimePoint now) {
  for (const auto& [sequence, grant] : router.pending) {
    ReleaseGrant(scheduler, grant, now);
  }
  router.pending.clear();
  for (auto& [organisation, source] : router.organisations) {
    SetWaiting(scheduler, source, 0);
    SetRunning(scheduler, source, 0);
    UpdateSource(source);
    organisation->references -= 1;
    UpdateReadiness(scheduler, *organisation, now);
  }
  for (auto& [target, use] : router.uses) {
    AccumulateBusyTime(*target, now);
    target->running -= use.running;
    UpdateFreeList(scheduler, *target, now);
  }
  router.organisations.clear();
  router.generations.clear();
  router.uses.clear();
  if (router.acknowledge_at) {
    scheduler.pending_responses.erase(
        {*router.acknowledge_at, router.number, &router});
    router.acknowledge_at.reset();
  }
}

void EvictIdleRecords(Scheduler& scheduler, TimePoint now) {
  // An idle record is kept while its last demand may be retransmitted.
  constexpr Duration kIdleRecordTtl = std::chrono::seconds(60);
  for (auto& item : scheduler.routers) {
    Router& router = item.second;
    std::erase_if(router.organisations, [&](const auto& item) {
      const RouterOrganisation& source = item.second;
      const bool idle = source.waiting + source.running + source.reserved == 0;
      if (!idle || now - source.changed_at < kIdleRecordTtl) return false;
      source.organisation->references -= 1;
      router.generations.erase(source.generation);
      return true;
    });
  }
  // A counter at or below the floor need not be kept: a new record starts at
  // the floor.
  std::erase_if(scheduler.organisations, [&](const auto& item) {
    const Organisation& organisation = item.second;
    return organisation.references == 0 && !organisation.ready &&
           !WaitsRemotely(organisation, now) && !organisation.active &&
           !organisation.quota.expires_at &&
           organisation.counter <= scheduler.counter_floor;
  });
}

}  // namespace samphirebank::scheduler::internal
