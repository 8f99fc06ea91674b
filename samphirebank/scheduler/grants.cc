#include <algorithm>
#include <utility>

#include "samphirebank/scheduler/internal/loans.h"

namespace samphirebank::scheduler {
namespace {

// kConfirmGrace is how long after a grant's expiry its router may still tell
// what became of it.
constexpr Duration kConfirmGrace = std::chrono::seconds(1);
// kPlacementAttempts is how many targets a prefix may go to.
constexpr uint32_t kPlacementAttempts = 3;
// kLoadBound is how far above the mean load a prefix may load its target.
constexpr double kLoadBound = 1.25;

// kBacklogMemory is how long after a backlog routers are not told of the next.
constexpr Duration kBacklogMemory = std::chrono::seconds(1);
// kCandidates is how many organisations are looked at for one grant.
constexpr uint32_t kCandidates = 16;

uint32_t Milliseconds(Duration span) {
  const auto count =
      std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
  return static_cast<uint32_t>(std::max<int64_t>(0, count));
}

void RefreshRing(Scheduler& scheduler) {
  if (!scheduler.ring_stale) return;
  std::vector<TargetId> ids;
  scheduler.ring_targets.clear();
  for (auto& [id, target] : scheduler.targets) {
    if (!target.known || target.far) continue;
    ids.push_back(id);
    scheduler.ring_targets.push_back(&target);
  }
  scheduler.ring = placement::BuildRing(ids);
  scheduler.ring_stale = false;
}

// MeanInFlight is the mean of granted and running requests a target.
double MeanInFlight(const Scheduler& scheduler) {
  const double requests =
      static_cast<double>(scheduler.running + scheduler.reserved + 1);
  const auto targets = std::max<size_t>(1, scheduler.ring_targets.size());
  return requests / static_cast<double>(targets);
}

// ChooseTarget returns the prefix's target if it has room and is not loaded
// far above the others, else the least loaded one.
Target& ChooseTarget(Scheduler& scheduler, uint64_t prefix) {
  Target* least = std::get<Target*>(*scheduler.free.begin());
  if (prefix == 0 || least->far) return *least;
  RefreshRing(scheduler);
  const double most = kLoadBound * MeanInFlight(scheduler) + 1;
  const auto chosen = placement::Choose(
      scheduler.ring, prefix, kPlacementAttempts, [&](uint32_t position) {
        const Target& target = *scheduler.ring_targets[position];
        return target.free_key.has_value() &&
               internal::InFlight(target) + 1 <= most;
      });
  return chosen ? *scheduler.ring_targets[*chosen] : *least;
}

// MustTell says whether the grant being made for a router has to tell a
// target's name, address and traits.
bool MustTell(Router& router, const Target& target) {
  ToldTarget& told = router.told[&target];
  const uint64_t next = router.last_grant + 1;
  if (told.facts != target.facts) {
    told = {.facts = target.facts, .grant = next};
  }
  if (told.confirmed) return false;
  told.confirmed = router.grants.Contains(told.grant);
  if (told.confirmed) return false;
  const bool lost = router.grants.newest > told.grant;
  if (lost) told.grant = next;
  return true;
}

// AddItem puts one request into the grant being made for a router.
void AddItem(Scheduler& scheduler, RouterOrganisation& source, Target& target) {
  Router& router = *source.router;
  if (router.items.empty()) scheduler.granted.push_back(&router);
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
                          .remote = target.far,
                          .counter = organisation.counter};
  if (MustTell(router, target)) {
    item.target = target.id;
    item.address = target.address;
    item.traits = target.traits;
  }
  router.items.push_back(std::move(item));
  router.reservations.push_back(Reservation{.source = &source,
                                            .target = &target,
                                            .count = 1,
                                            .estimate = source.estimate,
                                            .far = target.far});
}

// TakeFrom counts one request of a source as granted; the next one is taken
// to be younger by the mean distance of those waiting.
void TakeFrom(RouterOrganisation& source, TimePoint now) {
  Organisation& organisation = *source.organisation;
  organisation.sources.erase(
      {source.oldest_at, source.router->number, &source});
  source.listed = false;
  const int64_t left = source.waiting - source.reserved;
  source.oldest_at += (now - source.oldest_at) / std::max<int64_t>(1, left);
  source.reserved += 1;
  organisation.reserved += 1;
  internal::List(source);
}

// kKnownSlack and kUnknownSlack are how many times its share of the slots an
// organisation may hold while others wait, by whether its costs are known.
constexpr double kKnownSlack = 2;
constexpr double kUnknownSlack = 1;

// HoldsTooMuch says whether an organisation runs so much that its requests,
// whose costs nobody knows, could bring it far above its share later.
bool HoldsTooMuch(const Scheduler& scheduler,
                  const Organisation& organisation) {
  const double weight = std::max<uint32_t>(1, organisation.limits.weight);
  const double share =
      scheduler.capacity * weight / std::max(weight, scheduler.active_weight);
  const auto held =
      static_cast<double>(organisation.running + organisation.reserved);
  const double slack = organisation.cost_known ? kKnownSlack : kUnknownSlack;
  return held >= slack * share + 1;
}

// NextOrganisation returns the one with the smallest counter of those that do
// not hold too much; if the first ones all do, the very first.
Organisation& NextOrganisation(const Scheduler& scheduler) {
  uint32_t left = kCandidates;
  for (const auto& [counter, number, organisation] : scheduler.ready) {
    if (!HoldsTooMuch(scheduler, *organisation)) return *organisation;
    if (--left == 0) break;
  }
  return *std::get<Organisation*>(*scheduler.ready.begin());
}

// GrantOne grants one request to one target.
void GrantOne(Scheduler& scheduler, TimePoint now) {
  scheduler.floor =
      std::max(scheduler.floor, std::get<double>(*scheduler.ready.begin()));
  Organisation& organisation = NextOrganisation(scheduler);
  RouterOrganisation& source =
      *std::get<RouterOrganisation*>(*organisation.sources.begin());
  Target& target = ChooseTarget(scheduler, source.prefix);
  TakeFrom(source, now);
  internal::ObserveBusy(target, now);
  target.reserved += 1;
  scheduler.reserved += 1;
  organisation.charged += source.estimate;
  internal::Charge(scheduler, organisation, source.estimate);
  internal::TakeRate(organisation, 1, source.estimate);
  internal::Place(scheduler, organisation, now);
  internal::PlaceTarget(scheduler, target, now);
  AddItem(scheduler, source, target);
}

sharing::Grant MakeGrant(Scheduler& scheduler, Router& router, TimePoint now) {
  sharing::Grant grant{
      .pool = scheduler.pool,
      .epoch = scheduler.epoch,
      .sequence = ++router.last_grant,
      .demands = router.demands,
      .held_ms = Milliseconds(now - router.heard_at),
      .expires_ms = Milliseconds(scheduler.options.grant_lifetime),
      .full_demand_requested = router.full_wanted,
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
    scheduler.answers.erase({*router.acknowledge_at, router.number, &router});
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
  const Duration kept = scheduler.options.grant_lifetime + kConfirmGrace;
  while (!router.pending.empty()) {
    const auto oldest = router.pending.begin();
    if (now - oldest->second.made_at < kept) return;
    internal::Release(scheduler, oldest->second, now);
    router.pending.erase(oldest);
  }
}

// Sweep does what is due every tick_interval, not with every message.
void Sweep(Scheduler& scheduler, TimePoint now) {
  if (now - scheduler.swept_at < scheduler.options.tick_interval) return;
  scheduler.swept_at = now;
  for (auto position = scheduler.routers.begin();
       position != scheduler.routers.end();) {
    Router& router = position->second;
    ReleaseExpired(scheduler, router, now);
    const Duration silence = now - router.heard_at;
    if (silence < scheduler.options.router_timeout) {
      ++position;
      continue;
    }
    internal::ForgetRouter(scheduler, router, now);
    position = scheduler.routers.erase(position);
  }
  internal::CheckTargets(scheduler, now);
  internal::NoteTargets(scheduler, now);
  if (now - scheduler.records_swept_at < std::chrono::seconds(10)) return;
  scheduler.records_swept_at = now;
  internal::SweepRecords(scheduler, now);
}

void Unblock(Scheduler& scheduler, TimePoint now) {
  while (!scheduler.blocked.empty()) {
    const auto& [until, number, organisation] = *scheduler.blocked.begin();
    if (until > now) return;
    internal::Place(scheduler, *organisation, now);
  }
}

// EndRebuild sets the floor from the counters that routers told; those of
// whom nothing is known start there.
void EndRebuild(Scheduler& scheduler, TimePoint now) {
  if (scheduler.rebuilt) return;
  scheduler.rebuilt = true;
  std::vector<Organisation*> unknown;
  std::optional<double> floor;
  for (const auto& [counter, number, organisation] : scheduler.ready) {
    if (!organisation->seeded) {
      unknown.push_back(organisation);
    } else if (!floor) {
      floor = counter;
    }
  }
  scheduler.floor = std::max(scheduler.floor, floor.value_or(0));
  for (Organisation* organisation : unknown) {
    const double step = scheduler.floor - organisation->counter;
    if (step > 0) internal::Lift(scheduler, *organisation, step);
    organisation->seeded = true;
  }
  internal::CheckTargets(scheduler, now);
}

// TellBacklog lets all routers know when requests begin to wait, so that they
// report at once what ends.
void TellBacklog(Scheduler& scheduler, TimePoint now) {
  if (scheduler.ready.empty()) {
    const Duration calm = now - scheduler.backlog_at;
    if (calm >= kBacklogMemory) scheduler.backlog_told = false;
    return;
  }
  scheduler.backlog_at = now;
  if (scheduler.backlog_told) return;
  scheduler.backlog_told = true;
  for (auto& [id, router] : scheduler.routers) {
    internal::OweAnswer(scheduler, router, now);
  }
}

void AnswerDue(Scheduler& scheduler, std::vector<Outgoing>& out,
               TimePoint now) {
  while (!scheduler.answers.empty()) {
    const auto& [due, number, router] = *scheduler.answers.begin();
    if (due > now) return;
    out.push_back(MakeOutgoing(scheduler, *router, now));
  }
}

}  // namespace

std::vector<Outgoing> Tick(State& state, TimePoint now) {
  Scheduler& scheduler = *state;
  std::vector<Outgoing> out;
  Sweep(scheduler, now);
  internal::LapseQuotas(scheduler, now);
  if (now - scheduler.created_at >= scheduler.options.rebuild_time) {
    EndRebuild(scheduler, now);
    Unblock(scheduler, now);
    while (!scheduler.ready.empty() && !scheduler.free.empty()) {
      GrantOne(scheduler, now);
    }
    internal::UpdateSpill(scheduler, now);
    TellBacklog(scheduler, now);
  }
  for (Router* router : scheduler.granted) {
    out.push_back(MakeOutgoing(scheduler, *router, now));
  }
  scheduler.granted.clear();
  AnswerDue(scheduler, out, now);
  return out;
}

TimePoint NextTickAt(const State& state) {
  const Scheduler& scheduler = *state;
  TimePoint next = scheduler.swept_at + scheduler.options.tick_interval;
  if (!scheduler.answers.empty()) {
    next = std::min(next, std::get<TimePoint>(*scheduler.answers.begin()));
  }
  if (!scheduler.blocked.empty()) {
    next = std::min(next, std::get<TimePoint>(*scheduler.blocked.begin()));
  }
  return next;
}

}  // namespace samphirebank::scheduler
