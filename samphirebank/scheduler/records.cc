#include <algorithm>
#include <cmath>
#include <limits>

#include "samphirebank/scheduler/internal/loans.h"

namespace samphirebank::scheduler::internal {
namespace {

// kIdleGrace is how long an organisation may have nothing waiting without
// losing the order it had among the others.
constexpr Duration kIdleGrace = std::chrono::seconds(1);

double Weight(const Organisation& organisation) {
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
  // It brings no credit from the time when it asked for nothing.
  if (now - organisation.left_at > kIdleGrace || !organisation.seeded) {
    organisation.counter = std::max(organisation.counter, scheduler.floor);
  }
  organisation.seeded = organisation.seeded || scheduler.rebuilt;
  organisation.ready = true;
  scheduler.ready.emplace(organisation.counter, organisation.number,
                          &organisation);
}

// CountActive keeps the sum of the active organisations' weights.
void CountActive(Scheduler& scheduler, Organisation& organisation) {
  const bool active = organisation.running + organisation.reserved > 0 ||
                      !organisation.sources.empty();
  if (active == organisation.active) return;
  organisation.active = active;
  const double weight = Weight(organisation);
  scheduler.active_weight += active ? weight : -weight;
}

bool AtConcurrency(const Organisation& organisation) {
  const uint64_t most = ConcurrencyLimit(organisation);
  return most != 0 && organisation.running + organisation.reserved >= most;
}

}  // namespace

bool WaitsFar(const Organisation& organisation, TimePoint now) {
  return std::ranges::any_of(organisation.far, [now](const auto& item) {
    return IsWaiting(item.second, now);
  });
}

Organisation& OrganisationOf(Scheduler& scheduler, const OrganisationId& id) {
  auto [position, added] = scheduler.organisations.try_emplace(id);
  Organisation& organisation = position->second;
  if (!added) return organisation;
  organisation.id = id;
  organisation.number = ++scheduler.last_number;
  organisation.counter = scheduler.floor;
  organisation.share_generation = static_cast<uint32_t>(scheduler.last_number);
  UseLimits(scheduler, organisation);
  return organisation;
}

void UseLimits(Scheduler& scheduler, Organisation& organisation) {
  const double weight_before = Weight(organisation);
  const auto known = scheduler.contracts.find(organisation.id);
  organisation.allowed = known != scheduler.contracts.end();
  if (organisation.allowed) organisation.limits = known->second;
  if (organisation.active) {
    scheduler.active_weight += Weight(organisation) - weight_before;
  }
}

void Charge(Scheduler& scheduler, Organisation& organisation, int64_t tokens) {
  Lift(scheduler, organisation,
       static_cast<double>(tokens) / Weight(organisation));
}

void Lift(Scheduler& scheduler, Organisation& organisation, double step) {
  const bool ready = organisation.ready;
  LeaveReady(scheduler, organisation);
  organisation.counter += step;
  if (!ready) return;
  organisation.ready = true;
  scheduler.ready.emplace(organisation.counter, organisation.number,
                          &organisation);
}

void Place(Scheduler& scheduler, Organisation& organisation, TimePoint now) {
  CountActive(scheduler, organisation);
  FollowQuota(scheduler, organisation);
  LeaveBlocked(scheduler, organisation);
  if (organisation.sources.empty()) {
    if (organisation.ready) organisation.left_at = now;
    LeaveReady(scheduler, organisation);
    return;
  }
  std::optional<TimePoint> until;
  const bool bound = !organisation.allowed || LacksQuota(organisation) ||
                     AtConcurrency(organisation);
  if (!bound) until = BlockedUntil(organisation, now);
  if (!bound && !until) {
    EnterReady(scheduler, organisation, now);
    return;
  }
  // Time under its own limits earns no credit.
  organisation.left_at = now - 2 * kIdleGrace;
  LeaveReady(scheduler, organisation);
  if (!until) return;
  organisation.blocked_until = until;
  scheduler.blocked.emplace(*until, organisation.number, &organisation);
}

void List(RouterOrganisation& source) {
  Organisation& organisation = *source.organisation;
  const Source key{source.oldest_at, source.router->number, &source};
  const bool wanted = source.waiting > source.reserved;
  if (wanted == source.listed) return;
  source.listed = wanted;
  if (wanted) {
    organisation.sources.insert(key);
  } else {
    organisation.sources.erase(key);
  }
}

void OweAnswer(Scheduler& scheduler, Router& router, TimePoint due) {
  if (router.acknowledge_at) {
    if (*router.acknowledge_at <= due) return;
    scheduler.answers.erase({*router.acknowledge_at, router.number, &router});
  }
  router.acknowledge_at = due;
  scheduler.answers.emplace(due, router.number, &router);
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

void Release(Scheduler& scheduler, const PendingGrant& grant, TimePoint now) {
  for (const Reservation& item : grant.reservations) {
    RouterOrganisation& source = *item.source;
    Organisation& organisation = *source.organisation;
    const int64_t tokens = item.estimate * item.count;
    source.reserved -= item.count;
    organisation.reserved -= item.count;
    scheduler.reserved -= item.count;
    ObserveBusy(*item.target, now);
    item.target->reserved -= item.count;
    organisation.charged -= tokens;
    Charge(scheduler, organisation, -tokens);
    TakeRate(organisation, 0, -tokens);
    List(source);
    Place(scheduler, organisation, now);
    PlaceTarget(scheduler, *item.target, now);
  }
}

void ForgetRouter(Scheduler& scheduler, Router& router, TimePoint now) {
  for (const auto& [sequence, grant] : router.pending) {
    Release(scheduler, grant, now);
  }
  router.pending.clear();
  for (auto& [organisation, source] : router.organisations) {
    SetWaiting(scheduler, source, 0);
    SetRunning(scheduler, source, 0);
    List(source);
    organisation->references -= 1;
    Place(scheduler, *organisation, now);
  }
  for (auto& [target, use] : router.uses) {
    ObserveBusy(*target, now);
    target->running -= use.running;
    PlaceTarget(scheduler, *target, now);
  }
  router.organisations.clear();
  router.generations.clear();
  router.uses.clear();
  if (router.acknowledge_at) {
    scheduler.answers.erase({*router.acknowledge_at, router.number, &router});
    router.acknowledge_at.reset();
  }
}

void SweepRecords(Scheduler& scheduler, TimePoint now) {
  // A record that ended is kept while its last demand may be sent again.
  constexpr Duration kKeepEnded = std::chrono::seconds(60);
  for (auto& item : scheduler.routers) {
    Router& router = item.second;
    std::erase_if(router.organisations, [&](const auto& item) {
      const RouterOrganisation& source = item.second;
      const bool idle = source.waiting + source.running + source.reserved == 0;
      if (!idle || now - source.changed_at < kKeepEnded) return false;
      source.organisation->references -= 1;
      router.generations.erase(source.generation);
      return true;
    });
  }
  // A counter at or below the floor is worth nothing: it starts there again.
  std::erase_if(scheduler.organisations, [&](const auto& item) {
    const Organisation& organisation = item.second;
    return organisation.references == 0 && !organisation.ready &&
           !WaitsFar(organisation, now) && !organisation.active &&
           !organisation.quota.until && organisation.counter <= scheduler.floor;
  });
}

}  // namespace samphirebank::scheduler::internal
