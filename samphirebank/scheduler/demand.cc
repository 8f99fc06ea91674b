#include <algorithm>
#include <unordered_set>

#include "samphirebank/scheduler/internal/state.h"

namespace samphirebank::scheduler {
namespace {

using internal::Charge;
using internal::FindOrCreateOrganisation;

// ApplyCharge charges newly reported service to the organisation.
void ApplyCharge(Scheduler& scheduler, Organisation& organisation,
                 int64_t tokens) {
  organisation.charged += tokens;
  Charge(scheduler, organisation, tokens);
  internal::ConsumeRate(organisation, 0, tokens);
}

// SeedCounter raises the counter to the value that a previous scheduler sent to
// the router.
void SeedCounter(Scheduler& scheduler, Organisation& organisation,
                 double counter) {
  if (counter <= 0) return;
  organisation.has_counter = true;
  const double step = counter - organisation.counter;
  if (step > 0) internal::MoveCounter(scheduler, organisation, step);
}

RouterOrganisation& FindOrCreateSource(Router& router,
                                       Organisation& organisation) {
  auto [position, added] = router.organisations.try_emplace(&organisation);
  RouterOrganisation& source = position->second;
  if (!added) return source;
  source.router = &router;
  source.organisation = &organisation;
  organisation.references += 1;
  return source;
}

void ApplyChargedTokens(Scheduler& scheduler, RouterOrganisation& source,
                        const sharing::OrganisationDemand& reported,
                        bool full) {
  Organisation& organisation = *source.organisation;
  const bool is_first = source.generation == 0;
  const bool same_generation = source.generation == reported.generation;
  int64_t charged_before = same_generation ? source.charged : 0;
  if (is_first && full) {
    // These tokens were charged before this scheduler received anything from
    // the router; the reported counter includes them.
    charged_before = reported.charged;
    SeedCounter(scheduler, organisation, reported.counter);
  }
  source.generation = reported.generation;
  source.charged = reported.charged;
  ApplyCharge(scheduler, organisation, reported.charged - charged_before);
}

void AddQueueNotice(Router& router, const RouterOrganisation& source) {
  const Organisation& organisation = *source.organisation;
  const uint32_t max_length = organisation.limits.queue_length;
  const uint64_t waiting =
      organisation.waiting + organisation.quota.waiting_elsewhere;
  if (max_length == 0 || waiting * 2 < max_length) return;
  const uint64_t waiting_elsewhere = waiting - source.waiting;
  if (waiting_elsewhere == 0) return;
  router.notices.push_back(sharing::QueueNotice{
      .organisation = organisation.id,
      .waiting_elsewhere = static_cast<uint32_t>(waiting_elsewhere)});
}

// FindOrganisation returns the organisation that `reported` refers to, by id or
// by generation; null if this scheduler does not know the generation because
// the router sent the id to another scheduler.
Organisation* FindOrganisation(Scheduler& scheduler, Router& router,
                               const sharing::OrganisationDemand& reported) {
  if (!reported.organisation.value.empty()) {
    return &FindOrCreateOrganisation(scheduler, reported.organisation);
  }
  const auto known = router.generations.find(reported.generation);
  return known == router.generations.end() ? nullptr : known->second;
}

void ApplyOrganisationDemand(Scheduler& scheduler, Router& router,
                             const sharing::OrganisationDemand& reported,
                             bool full, TimePoint now) {
  Organisation* const found = FindOrganisation(scheduler, router, reported);
  if (found == nullptr) {
    router.needs_full_demand = true;
    return;
  }
  Organisation& organisation = *found;
  RouterOrganisation& source = FindOrCreateSource(router, organisation);
  if (reported.generation < source.generation) return;
  if (reported.generation != source.generation) {
    router.generations.erase(source.generation);
    router.generations[reported.generation] = found;
  }
  ApplyChargedTokens(scheduler, source, reported, full);
  if (source.listed) {
    organisation.sources.erase({source.oldest_at, router.number, &source});
    source.listed = false;
  }
  internal::SetWaiting(scheduler, source, reported.waiting);
  internal::SetRunning(scheduler, source, reported.running);
  source.estimate = std::max<uint32_t>(1, reported.estimate);
  source.prefix = reported.prefix;
  organisation.cost_known = organisation.cost_known || reported.cost_known;
  source.oldest_at = now - std::chrono::milliseconds(reported.oldest_age_ms);
  source.changed_at = now;
  internal::UpdateSource(source);
  internal::UpdateReadiness(scheduler, organisation, now);
  AddQueueNotice(router, source);
}

void ApplyTargetUse(Scheduler& scheduler, Router& router,
                    const sharing::TargetUse& use, TimePoint now) {
  Target* target = nullptr;
  if (!use.target.value.empty()) {
    target = &internal::FindOrCreateTarget(scheduler, use.target, now);
  } else if (const auto known =
                 scheduler.targets_by_number.find(use.target_number);
             known != scheduler.targets_by_number.end()) {
    target = known->second;
  }
  if (target == nullptr) {
    router.needs_full_demand = true;
    return;
  }
  internal::SetTargetUse(router, *target, use, now);
  internal::UpdateFreeList(scheduler, *target, now);
}

void ClearSource(Scheduler& scheduler, RouterOrganisation& source,
                 TimePoint now) {
  internal::SetWaiting(scheduler, source, 0);
  internal::SetRunning(scheduler, source, 0);
  source.changed_at = now;
  internal::UpdateSource(source);
  internal::UpdateReadiness(scheduler, *source.organisation, now);
}

// ClearUnreported empties the records that a full demand does not contain.
void ClearUnreported(Scheduler& scheduler, Router& router,
                     const sharing::Demand& demand, TimePoint now) {
  std::unordered_set<OrganisationId> organisations;
  for (const auto& reported : demand.organisations) {
    organisations.insert(reported.organisation);
  }
  for (auto& [organisation, source] : router.organisations) {
    if (!organisations.contains(organisation->id)) {
      ClearSource(scheduler, source, now);
    }
  }
  std::unordered_set<TargetId> targets;
  for (const auto& use : demand.targets) targets.insert(use.target);
  for (auto& [target, use] : router.uses) {
    if (targets.contains(target->id)) continue;
    sharing::TargetUse none = use;
    none.running = 0;
    internal::SetTargetUse(router, *target, none, now);
    internal::UpdateFreeList(scheduler, *target, now);
  }
}

// kGrantLossTimeout is how long after a grant was made it is assumed lost if
// the router has not acknowledged it.
constexpr Duration kGrantLossTimeout = std::chrono::milliseconds(300);

// ReleaseAcknowledged undoes the reservations of grants that the router
// received, since the demand's counts include their requests, and of grants
// assumed lost.
void ReleaseAcknowledged(Scheduler& scheduler, Router& router,
                         const sharing::Receipts& receipts, TimePoint now) {
  for (auto position = router.pending.begin();
       position != router.pending.end();) {
    const bool lost = now - position->second.made_at >= kGrantLossTimeout;
    if (!lost && !receipts.Contains(position->first)) {
      ++position;
      continue;
    }
    internal::ReleaseGrant(scheduler, position->second, now);
    position = router.pending.erase(position);
  }
}

// FindOrCreateRouter returns the router's record, which it resets if the router
// restarted.
Router& FindOrCreateRouter(Scheduler& scheduler, const InstanceId& id,
                           BootId boot, const sharing::Demand& demand,
                           TimePoint now) {
  auto [position, added] = scheduler.routers.try_emplace(id);
  Router& router = position->second;
  if (!added && router.boot == boot) return router;
  if (!added) {
    internal::ClearRouter(scheduler, router, now);
    const BootId previous_boot = router.boot;
    router = Router{};
    router.previous_boot = previous_boot;
  }
  router.id = id;
  router.number = ++scheduler.last_number;
  router.boot = boot;
  router.last_grant = demand.grants.newest;
  return router;
}

bool IsFromPreviousBoot(const Scheduler& scheduler, const InstanceId& id,
                        BootId boot) {
  const auto known = scheduler.routers.find(id);
  if (known == scheduler.routers.end()) return false;
  return known->second.boot != boot && known->second.previous_boot == boot;
}

}  // namespace

void OnDemand(State& state, const InstanceId& router_id, BootId boot,
              const sharing::Demand& demand, TimePoint now) {
  Scheduler& scheduler = *state;
  if (demand.pool != scheduler.pool || demand.epoch != scheduler.epoch) return;
  if (IsFromPreviousBoot(scheduler, router_id, boot)) return;
  Router& router = FindOrCreateRouter(scheduler, router_id, boot, demand, now);
  router.address = demand.reply_to;
  if (!router.has_report && !demand.full) {
    router.last_seen = now;
    router.needs_full_demand = true;
    internal::ScheduleResponse(scheduler, router, now);
    return;
  }
  if (demand.sequence <= router.demands.newest) return;
  router.demands.Add(demand.sequence);
  router.last_seen = now;
  router.grants = demand.grants;
  if (demand.full) {
    router.has_report = true;
    router.needs_full_demand = false;
    ClearUnreported(scheduler, router, demand, now);
  }
  ReleaseAcknowledged(scheduler, router, demand.grants, now);
  for (const auto& reported : demand.organisations) {
    ApplyOrganisationDemand(scheduler, router, reported, demand.full, now);
  }
  for (const auto& use : demand.targets) {
    ApplyTargetUse(scheduler, router, use, now);
  }
  internal::ScheduleResponse(scheduler, router,
                             now + scheduler.options.acknowledgement_delay);
}

}  // namespace samphirebank::scheduler
