#include <algorithm>
#include <unordered_set>

#include "samphirebank/scheduler/internal/state.h"

namespace samphirebank::scheduler {
namespace {

using internal::Charge;
using internal::OrganisationOf;

// AddCharged takes newly reported service into the organisation's counter.
void AddCharged(Scheduler& scheduler, Organisation& organisation,
                int64_t tokens) {
  organisation.charged += tokens;
  Charge(scheduler, organisation, tokens);
  internal::TakeRate(organisation, 0, tokens);
}

// Seed takes the counter that an earlier scheduler told the router.
void Seed(Scheduler& scheduler, Organisation& organisation, double counter) {
  if (counter <= 0) return;
  organisation.seeded = true;
  const double step = counter - organisation.counter;
  if (step > 0) internal::Lift(scheduler, organisation, step);
}

RouterOrganisation& SourceOf(Router& router, Organisation& organisation) {
  auto [position, added] = router.organisations.try_emplace(&organisation);
  RouterOrganisation& source = position->second;
  if (!added) return source;
  source.router = &router;
  source.organisation = &organisation;
  organisation.references += 1;
  return source;
}

void TakeCharged(Scheduler& scheduler, RouterOrganisation& source,
                 const sharing::OrganisationDemand& told, bool full) {
  Organisation& organisation = *source.organisation;
  const bool first = source.generation == 0;
  const bool same = source.generation == told.generation;
  int64_t before = same ? source.charged : 0;
  if (first && full) {
    // Served before this scheduler knew the router: part of the counter told.
    before = told.charged;
    Seed(scheduler, organisation, told.counter);
  }
  source.generation = told.generation;
  source.charged = told.charged;
  AddCharged(scheduler, organisation, told.charged - before);
}

void NoteQueue(Router& router, const RouterOrganisation& source) {
  const Organisation& organisation = *source.organisation;
  const uint32_t most = organisation.limits.queue_length;
  const uint64_t waiting =
      organisation.waiting + organisation.quota.waiting_elsewhere;
  if (most == 0 || waiting * 2 < most) return;
  const uint64_t elsewhere = waiting - source.waiting;
  if (elsewhere == 0) return;
  router.notices.push_back(sharing::QueueNotice{
      .organisation = organisation.id,
      .waiting_elsewhere = static_cast<uint32_t>(elsewhere)});
}

// NamedOrganisation returns the organisation whose record a router tells of;
// null if the router named it to somebody else only.
Organisation* NamedOrganisation(Scheduler& scheduler, Router& router,
                                const sharing::OrganisationDemand& told) {
  if (!told.organisation.value.empty()) {
    return &OrganisationOf(scheduler, told.organisation);
  }
  const auto known = router.generations.find(told.generation);
  return known == router.generations.end() ? nullptr : known->second;
}

void TakeOrganisation(Scheduler& scheduler, Router& router,
                      const sharing::OrganisationDemand& told, bool full,
                      TimePoint now) {
  Organisation* const named = NamedOrganisation(scheduler, router, told);
  if (named == nullptr) {
    router.full_wanted = true;
    return;
  }
  Organisation& organisation = *named;
  RouterOrganisation& source = SourceOf(router, organisation);
  if (told.generation < source.generation) return;
  if (told.generation != source.generation) {
    router.generations.erase(source.generation);
    router.generations[told.generation] = named;
  }
  TakeCharged(scheduler, source, told, full);
  if (source.listed) {
    organisation.sources.erase({source.oldest_at, router.number, &source});
    source.listed = false;
  }
  internal::SetWaiting(scheduler, source, told.waiting);
  internal::SetRunning(scheduler, source, told.running);
  source.estimate = std::max<uint32_t>(1, told.estimate);
  source.prefix = told.prefix;
  organisation.cost_known = organisation.cost_known || told.cost_known;
  source.oldest_at = now - std::chrono::milliseconds(told.oldest_age_ms);
  source.changed_at = now;
  internal::List(source);
  internal::Place(scheduler, organisation, now);
  NoteQueue(router, source);
}

void TakeUse(Scheduler& scheduler, Router& router,
             const sharing::TargetUse& use, TimePoint now) {
  Target* target = nullptr;
  if (!use.target.value.empty()) {
    target = &internal::TargetOf(scheduler, use.target, now);
  } else if (const auto known = scheduler.numbered.find(use.target_number);
             known != scheduler.numbered.end()) {
    target = known->second;
  }
  if (target == nullptr) {
    router.full_wanted = true;
    return;
  }
  internal::SetUse(router, *target, use, now);
  internal::PlaceTarget(scheduler, *target, now);
}

void Empty(Scheduler& scheduler, RouterOrganisation& source, TimePoint now) {
  internal::SetWaiting(scheduler, source, 0);
  internal::SetRunning(scheduler, source, 0);
  source.changed_at = now;
  internal::List(source);
  internal::Place(scheduler, *source.organisation, now);
}

// DropUntold empties the records that a full demand does not mention.
void DropUntold(Scheduler& scheduler, Router& router,
                const sharing::Demand& demand, TimePoint now) {
  std::unordered_set<OrganisationId> organisations;
  for (const auto& told : demand.organisations) {
    organisations.insert(told.organisation);
  }
  for (auto& [organisation, source] : router.organisations) {
    if (!organisations.contains(organisation->id)) {
      Empty(scheduler, source, now);
    }
  }
  std::unordered_set<TargetId> targets;
  for (const auto& use : demand.targets) targets.insert(use.target);
  for (auto& [target, use] : router.uses) {
    if (targets.contains(target->id)) continue;
    sharing::TargetUse none = use;
    none.running = 0;
    internal::SetUse(router, *target, none, now);
    internal::PlaceTarget(scheduler, *target, now);
  }
}

// kLostAfter is when a grant that the router does not know of is taken to be
// lost on the way.
constexpr Duration kLostAfter = std::chrono::milliseconds(300);

// ReleaseConfirmed takes back the reservations of grants that arrived, whose
// requests are in the demand's counts, and of those that were lost.
void ReleaseConfirmed(Scheduler& scheduler, Router& router,
                      const sharing::Receipts& receipts, TimePoint now) {
  for (auto position = router.pending.begin();
       position != router.pending.end();) {
    const bool lost = now - position->second.made_at >= kLostAfter;
    if (!lost && !receipts.Contains(position->first)) {
      ++position;
      continue;
    }
    internal::Release(scheduler, position->second, now);
    position = router.pending.erase(position);
  }
}

// RouterOf returns the router's record; a new run starts a new one.
Router& RouterOf(Scheduler& scheduler, const InstanceId& id, BootId boot,
                 const sharing::Demand& demand, TimePoint now) {
  auto [position, added] = scheduler.routers.try_emplace(id);
  Router& router = position->second;
  if (!added && router.boot == boot) return router;
  if (!added) {
    internal::ForgetRouter(scheduler, router, now);
    const BootId past = router.boot;
    router = Router{};
    router.past_boot = past;
  }
  router.id = id;
  router.number = ++scheduler.last_number;
  router.boot = boot;
  router.last_grant = demand.grants.newest;
  return router;
}

bool FromPastRun(const Scheduler& scheduler, const InstanceId& id,
                 BootId boot) {
  const auto known = scheduler.routers.find(id);
  if (known == scheduler.routers.end()) return false;
  return known->second.boot != boot && known->second.past_boot == boot;
}

}  // namespace

void OnDemand(State& state, const InstanceId& router_id, BootId boot,
              const sharing::Demand& demand, TimePoint now) {
  Scheduler& scheduler = *state;
  if (demand.pool != scheduler.pool || demand.epoch != scheduler.epoch) return;
  if (FromPastRun(scheduler, router_id, boot)) return;
  Router& router = RouterOf(scheduler, router_id, boot, demand, now);
  router.address = demand.reply_to;
  if (!router.has_report && !demand.full) {
    router.heard_at = now;
    router.full_wanted = true;
    internal::OweAnswer(scheduler, router, now);
    return;
  }
  if (demand.sequence <= router.demands.newest) return;
  router.demands.Add(demand.sequence);
  router.heard_at = now;
  router.grants = demand.grants;
  if (demand.full) {
    router.has_report = true;
    router.full_wanted = false;
    DropUntold(scheduler, router, demand, now);
  }
  ReleaseConfirmed(scheduler, router, demand.grants, now);
  for (const auto& told : demand.organisations) {
    TakeOrganisation(scheduler, router, told, demand.full, now);
  }
  for (const auto& use : demand.targets) {
    TakeUse(scheduler, router, use, now);
  }
  internal::OweAnswer(scheduler, router,
                      now + scheduler.options.acknowledgement_delay);
}

}  // namespace samphirebank::scheduler
