#include <algorithm>
#include <utility>

#include "samphirebank/scheduler/internal/loans.h"

namespace samphirebank::scheduler {
namespace {

// kAcknowledgementGrace is how long after a grant's expiry its router may still
// acknowledge it.
constexpr Duration kAcknowledgementGrace = std::chrono::seconds(1);
// kMaxPlacementAttempts is how many targets on the ring are tried for a prefix.
constexpr uint32_t kMaxPlacementAttempts = 3;
// kMaxLoadFactor bounds the load of a target chosen by prefix, as a multiple of
// the mean load.
constexpr double kMaxLoadFactor = 1.25;

// kBacklogQuietPeriod is how long no request must have waited before the next
// backlog is announced to the routers again.
constexpr Duration kBacklogQuietPeriod = std::chrono::seconds(1);
// kMaxCandidates is how many organisations are considered for one grant.
constexpr uint32_t kMaxCandidates = 16;

uint32_t ToMilliseconds(Duration span) {
  const auto count =
      std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
  return static_cast<uint32_t>(std::max<int64_t>(0, count));
}

void RefreshRing(Scheduler& scheduler) {
  if (!scheduler.ring_stale) return;
  std::vector<TargetId> ids;
  scheduler.ring_targets.clear();
  for (auto& [id, target] : scheduler.targets) {
    if (!target.known || target.remote) continue;
    ids.push_back(id);
    scheduler.ring_targets.push_back(&target);
  }
  scheduler.ring = placement::BuildRing(ids);
  scheduler.ring_stale = false;
}

// MeanInFlight returns the mean number of granted and running requests for each
// target, counting one more request.
double MeanInFlight(const Scheduler& scheduler) {
  const double requests =
      static_cast<double>(scheduler.running + scheduler.reserved + 1);
  const auto targets = std::max<size_t>(1, scheduler.ring_targets.size());
  return requests / static_cast<double>(targets);
}

// ChooseTarget returns the prefix's target if that has a free slot and its load
// does not exceed kMaxLoadFactor, else the least loaded target.
Target& ChooseTarget(Scheduler& scheduler, uint64_t prefix) {
  Target* least_loaded = std::get<Target*>(*scheduler.free_targets.begin());
  if (prefix == 0 || least_loaded->remote) return *least_loaded;
  RefreshRing(scheduler);
  const double max_load = kMaxLoadFactor * MeanInFlight(scheduler) + 1;
  const auto chosen = placement::Choose(
      scheduler.ring, prefix, kMaxPlacementAttempts, [&](uint32_t position) {
        const Target& target = *scheduler.ring_targets[position];
        return target.free_key.has_value() &&
               internal::InFlight(target) + 1 <= max_load;
      });
  return chosen ? *scheduler.ring_targets[*chosen] : *least_loaded;
}

// ShouldSendDescription returns whether the grant being made for a router must
// carry a target's id, address and traits.
bool ShouldSendDescription(Router& router, const Target& target) {
  SentDescription& sent = router.sent_descriptions[&target];
  const uint64_t next = router.last_grant + 1;
  if (sent.description_version != target.description_version) {
    sent = {.description_version = target.description_version,
            .grant_sequence = next};
  }
  if (sent.acknowledged) return false;
  sent.acknowledged = router.grants.Contains(sent.grant_sequence);
  if (sent.acknowledged) return false;
  const bool is_lost = router.grants.newest > sent.grant_sequence;
  if (is_lost) sent.grant_sequence = next;
  return true;
}

// AddItem adds one request to the grant being made for a router.
void AddItem(Scheduler& scheduler, RouterOrganisation& source, Target& target) {
  Router& router = *source.router;
  if (router.items.empty()) scheduler.granted_routers.push_back(&router);
  const Organisation& organisation = *source.organisation;
  if (!router.items.empty()) {
    sharing::GrantItem& last = router.items.back();
    if (last.generation == source.generation &&
        last.target_number == target.number) {
      last.count += 1;
      last.counter = organisation.counter;
      router.reservations.back().count += 1;
      return;
    }
  }
  sharing::GrantItem item{.generation = source.generation,
                          .target_number = target.number,
                          .count = 1,
                          .remote = target.remote,
                          .counter = organisation.counter};
  if (ShouldSendDescription(router, target)) {
    item.target = target.id;
    item.address = target.address;
    item.traits = target.traits;
  }
  router.items.push_back(std::move(item));
  router.reservations.push_back(Reservation{.source = &source,
                                            .target = &target,
                                            .count = 1,
                                            .estimate = source.estimate,
                                            .remote = target.remote});
}

// ReserveRequest counts one request of a source as granted. The next request is
// assumed to be younger by the mean interval between those waiting.
void ReserveRequest(RouterOrganisation& source, TimePoint now) {
  Organisation& organisation = *source.organisation;
  organisation.sources.erase(
      {source.oldest_at, source.router->number, &source});
  source.listed = false;
  const int64_t remaining = source.waiting - source.reserved;
  source.oldest_at +=
      (now - source.oldest_at) / std::max<int64_t>(1, remaining);
  source.reserved += 1;
  organisation.reserved += 1;
  internal::UpdateSource(source);
}

// kKnownCostSlack and kUnknownCostSlack bound the slots that an organisation
// may hold while others wait, as a multiple of its fair share of the slots,
// depending on whether its costs are known.
constexpr double kKnownCostSlack = 2;
constexpr double kUnknownCostSlack = 1;

// ExceedsSlotCap returns whether an organisation holds so many slots that its
// requests, whose final costs are not known, could later put it far above its
// fair share.
bool ExceedsSlotCap(const Scheduler& scheduler,
                    const Organisation& organisation) {
  const double weight = std::max<uint32_t>(1, organisation.limits.weight);
  const double share =
      scheduler.capacity * weight / std::max(weight, scheduler.active_weight);
  const auto held =
      static_cast<double>(organisation.running + organisation.reserved);
  const double slack =
      organisation.cost_known ? kKnownCostSlack : kUnknownCostSlack;
  return held >= slack * share + 1;
}

// ChooseOrganisation returns the ready organisation with the smallest counter
// that does not exceed its slot cap; if the first kMaxCandidates all exceed it,
// the one with the smallest counter.
Organisation& ChooseOrganisation(const Scheduler& scheduler) {
  uint32_t remaining = kMaxCandidates;
  for (const auto& [counter, number, organisation] : scheduler.ready) {
    if (!ExceedsSlotCap(scheduler, *organisation)) return *organisation;
    if (--remaining == 0) break;
  }
  return *std::get<Organisation*>(*scheduler.ready.begin());
}

// GrantOneRequest grants one request to one target.
void GrantOneRequest(Scheduler& scheduler, TimePoint now) {
  scheduler.counter_floor = std::max(
      scheduler.counter_floor, std::get<double>(*scheduler.ready.begin()));
  Organisation& organisation = ChooseOrganisation(scheduler);
  RouterOrganisation& source =
      *std::get<RouterOrganisation*>(*organisation.sources.begin());
  Target& target = ChooseTarget(scheduler, source.prefix);
  ReserveRequest(source, now);
  internal::AccumulateBusyTime(target, now);
  target.reserved += 1;
  scheduler.reserved += 1;
  organisation.charged += source.estimate;
  internal::Charge(scheduler, organisation, source.estimate);
  internal::ConsumeRate(organisation, 1, source.estimate);
  internal::UpdateReadiness(scheduler, organisation, now);
  internal::UpdateFreeList(scheduler, target, now);
  AddItem(scheduler, source, target);
}

sharing::Grant MakeGrant(Scheduler& scheduler, Router& router, TimePoint now) {
  sharing::Grant grant{
      .pool = scheduler.pool,
      .epoch = scheduler.epoch,
      .sequence = ++router.last_grant,
      .demands = router.demands,
      .held_ms = ToMilliseconds(now - router.last_seen),
      .expires_ms = ToMilliseconds(scheduler.options.grant_lifetime),
      .full_demand_requested = router.needs_full_demand,
      .backlogged = !scheduler.ready.empty(),
      .no_targets = internal::LacksTargets(scheduler, now)};
  grant.items = std::move(router.items);
  grant.notices = std::move(router.notices);
  router.items.clear();
  router.notices.clear();
  if (!router.reservations.empty()) {
    router.pending[grant.sequence] = PendingGrant{
        .made_at = now, .reservations = std::move(router.reservations)};
    router.reservations.clear();
  }
  if (router.acknowledge_at) {
    scheduler.pending_responses.erase(
        {*router.acknowledge_at, router.number, &router});
    router.acknowledge_at.reset();
  }
  return grant;
}

Outgoing MakeOutgoing(Scheduler& scheduler, Router& router, TimePoint now) {
  return Outgoing{.router = router.id,
                  .to = router.address,
                  .grant = MakeGrant(scheduler, router, now)};
}

void ReleaseExpired(Scheduler& scheduler, Router& router, TimePoint now) {
  const Duration lifetime =
      scheduler.options.grant_lifetime + kAcknowledgementGrace;
  while (!router.pending.empty()) {
    const auto oldest = router.pending.begin();
    if (now - oldest->second.made_at < lifetime) return;
    internal::ReleaseGrant(scheduler, oldest->second, now);
    router.pending.erase(oldest);
  }
}

// RunPeriodicTasks does what is due once every tick_interval rather than with
// every message.
void RunPeriodicTasks(Scheduler& scheduler, TimePoint now) {
  if (now - scheduler.swept_at < scheduler.options.tick_interval) return;
  scheduler.swept_at = now;
  for (auto position = scheduler.routers.begin();
       position != scheduler.routers.end();) {
    Router& router = position->second;
    ReleaseExpired(scheduler, router, now);
    const Duration silence = now - router.last_seen;
    if (silence < scheduler.options.router_timeout) {
      ++position;
      continue;
    }
    internal::ClearRouter(scheduler, router, now);
    position = scheduler.routers.erase(position);
  }
  internal::CheckTargets(scheduler, now);
  internal::UpdateTargetsSeen(scheduler, now);
  if (now - scheduler.records_swept_at < std::chrono::seconds(10)) return;
  scheduler.records_swept_at = now;
  internal::EvictIdleRecords(scheduler, now);
}

void UnblockDue(Scheduler& scheduler, TimePoint now) {
  while (!scheduler.blocked.empty()) {
    const auto& [until, number, organisation] = *scheduler.blocked.begin();
    if (until > now) return;
    internal::UpdateReadiness(scheduler, *organisation, now);
  }
}

// FinishRebuild sets the floor to the smallest counter that routers reported;
// organisations without a reported counter start at the floor.
void FinishRebuild(Scheduler& scheduler, TimePoint now) {
  if (scheduler.rebuilt) return;
  scheduler.rebuilt = true;
  std::vector<Organisation*> unreported;
  std::optional<double> min_counter;
  for (const auto& [counter, number, organisation] : scheduler.ready) {
    if (!organisation->has_counter) {
      unreported.push_back(organisation);
    } else if (!min_counter) {
      min_counter = counter;
    }
  }
  scheduler.counter_floor =
      std::max(scheduler.counter_floor, min_counter.value_or(0));
  for (Organisation* organisation : unreported) {
    const double step = scheduler.counter_floor - organisation->counter;
    if (step > 0) internal::MoveCounter(scheduler, *organisation, step);
    organisation->has_counter = true;
  }
  internal::CheckTargets(scheduler, now);
}

// AnnounceBacklog informs all routers when requests begin to wait, so that they
// report ended requests at once.
void AnnounceBacklog(Scheduler& scheduler, TimePoint now) {
  if (scheduler.ready.empty()) {
    const Duration quiet = now - scheduler.last_backlog_at;
    if (quiet >= kBacklogQuietPeriod) scheduler.is_backlog_announced = false;
    return;
  }
  scheduler.last_backlog_at = now;
  if (scheduler.is_backlog_announced) return;
  scheduler.is_backlog_announced = true;
  for (auto& [id, router] : scheduler.routers) {
    internal::ScheduleResponse(scheduler, router, now);
  }
}

void SendDueResponses(Scheduler& scheduler, std::vector<Outgoing>& out,
                      TimePoint now) {
  while (!scheduler.pending_responses.empty()) {
    const auto& [due, number, router] = *scheduler.pending_responses.begin();
    if (due > now) return;
    out.push_back(MakeOutgoing(scheduler, *router, now));
  }
}

}  // namespace

std::vector<Outgoing> Tick(State& state, TimePoint now) {
  Scheduler& scheduler = *state;
  std::vector<Outgoing> out;
  RunPeriodicTasks(scheduler, now);
  internal::ExpireQuotas(scheduler, now);
  if (now - scheduler.created_at >= scheduler.options.rebuild_time) {
    FinishRebuild(scheduler, now);
    UnblockDue(scheduler, now);
    while (!scheduler.ready.empty() && !scheduler.free_targets.empty()) {
      GrantOneRequest(scheduler, now);
    }
    internal::UpdateSpillover(scheduler, now);
    AnnounceBacklog(scheduler, now);
  }
  for (Router* router : scheduler.granted_routers) {
    out.push_back(MakeOutgoing(scheduler, *router, now));
  }
  scheduler.granted_routers.clear();
  SendDueResponses(scheduler, out, now);
  return out;
}

TimePoint NextTickAt(const State& state) {
  const Scheduler& scheduler = *state;
  TimePoint next = scheduler.swept_at + scheduler.options.tick_interval;
  if (!scheduler.pending_responses.empty()) {
    next = std::min(next,
                    std::get<TimePoint>(*scheduler.pending_responses.begin()));
  }
  if (!scheduler.blocked.empty()) {
    next = std::min(next, std::get<TimePoint>(*scheduler.blocked.begin()));
  }
  return next;
}

}  // namespace samphirebank::scheduler
