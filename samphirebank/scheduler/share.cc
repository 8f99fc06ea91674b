#include <algorithm>
#include <utility>

#include "samphirebank/scheduler/internal/loans.h"

namespace samphirebank::scheduler {
namespace internal {
namespace {

// kSpillAfter is how long a pool must be saturated before it uses another
// region's targets, kSpillEnd how long it must have room of its own to stop.
constexpr Duration kSpillAfter = std::chrono::seconds(2);
constexpr Duration kSpillEnd = std::chrono::seconds(1);

// HasNearRoom says whether a target of this region has room.
bool HasNearRoom(const Scheduler& scheduler) {
  if (scheduler.free.empty()) return false;
  return !std::get<Target*>(*scheduler.free.begin())->far;
}

}  // namespace

void UpdateSpill(Scheduler& scheduler, TimePoint now) {
  const bool room = HasNearRoom(scheduler);
  const bool saturated = !room && !scheduler.ready.empty();
  if (room || !(saturated || scheduler.saturated)) {
    scheduler.saturated = false;
  } else if (!scheduler.saturated) {
    scheduler.saturated = true;
    scheduler.saturated_since = now;
  }
  if (!room) scheduler.relaxed_since = now;
  const bool none = !HasTargets(scheduler, now);
  const Duration after = none ? Duration::zero() : kSpillAfter;
  if (scheduler.saturated && now - scheduler.saturated_since >= after) {
    scheduler.spilling = true;
  }
  if (room && now - scheduler.relaxed_since >= kSpillEnd) {
    scheduler.spilling = false;
  }
}

}  // namespace internal

namespace {

// kNeighbourTimeout is when a silent neighbour's use of loans is forgotten.
constexpr Duration kNeighbourTimeout = std::chrono::seconds(30);
constexpr size_t kMaxSentTimes = 64;

// IsWanted says whether to keep a record of what a neighbour told of an
// organisation: it waits there or here.
bool IsWanted(const Scheduler& scheduler,
              const sharing::OrganisationShare& told) {
  return told.has_waiting ||
         scheduler.organisations.contains(told.organisation);
}

// Ahead is what an organisation's running requests were charged in advance.
uint64_t Ahead(const Organisation& organisation) {
  if (organisation.sources.empty()) return 0;
  const RouterOrganisation& source =
      *std::get<RouterOrganisation*>(*organisation.sources.begin());
  return (organisation.running + organisation.reserved) * source.estimate;
}

// Entry is where one starts that begins to wait in another region: nobody
// brings credit, but what runs and is not served yet is not held against it.
double Entry(const Scheduler& scheduler,
             const sharing::OrganisationShare& told) {
  if (scheduler.ready.empty()) return scheduler.floor;
  const Organisation& first =
      *std::get<Organisation*>(*scheduler.ready.begin());
  const double weight = std::max<uint32_t>(1, first.limits.weight);
  const double step = static_cast<double>(told.in_flight_estimate) -
                      static_cast<double>(Ahead(first));
  return scheduler.floor + std::min(0.0, step / weight);
}

// TakeShare charges what an organisation received in another region since the
// last word on it. One that did not wait anywhere gets no credit for it.
void TakeShare(Scheduler& scheduler, const PoolId& from,
               const sharing::OrganisationShare& told, TimePoint now) {
  if (!IsWanted(scheduler, told)) return;
  const bool unknown = !scheduler.organisations.contains(told.organisation);
  Organisation& organisation =
      internal::OrganisationOf(scheduler, told.organisation);
  if (unknown) organisation.counter = Entry(scheduler, told);
  const bool came = told.has_waiting && !organisation.ready &&
                    !internal::WaitsFar(organisation, now);
  const double step = Entry(scheduler, told) - organisation.counter;
  if (came && step > 0) internal::Lift(scheduler, organisation, step);
  FarService& far = organisation.far[from];
  const bool goes_on = far.generation == told.generation &&
                       now - far.heard_at < internal::kFarMemory;
  if (goes_on) {
    internal::Charge(scheduler, organisation, told.charged - far.charged);
  }
  far = FarService{.generation = told.generation,
                   .charged = told.charged,
                   .waits = told.has_waiting,
                   .heard_at = now};
}

// RaiseFloor takes the smallest counter of all that wait, here or elsewhere:
// who comes later starts no lower.
void RaiseFloor(Scheduler& scheduler, TimePoint now) {
  std::optional<double> lowest;
  if (!scheduler.ready.empty()) {
    lowest = std::get<double>(*scheduler.ready.begin());
  }
  for (const auto& [id, organisation] : scheduler.organisations) {
    if (!internal::WaitsFar(organisation, now)) continue;
    lowest =
        std::min(lowest.value_or(organisation.counter), organisation.counter);
  }
  scheduler.floor = std::max(scheduler.floor, lowest.value_or(0));
}

void TakeShares(Scheduler& scheduler, const sharing::CounterShare& share,
                TimePoint now) {
  for (const auto& told : share.organisations) {
    TakeShare(scheduler, share.pool, told, now);
  }
  for (auto& [id, organisation] : scheduler.organisations) {
    const auto far = organisation.far.find(share.pool);
    if (far == organisation.far.end()) continue;
    if (far->second.heard_at != now) far->second.waits = false;
  }
  RaiseFloor(scheduler, now);
}

// TakeLoans takes the slots that the other region lends, until `expires`.
void TakeLoans(Scheduler& scheduler, const sharing::CounterShare& share,
               TimePoint expires, TimePoint now) {
  for (const sharing::SlotLoan& loan : share.loans) {
    if (loan.slots == 0 && !scheduler.targets.contains(loan.target)) continue;
    Target& target = internal::TargetOf(scheduler, loan.target, now);
    if (target.known && !target.far) continue;
    target.known = true;
    target.far = true;
    internal::SetFacts(target, loan.address, loan.traits);
    target.borrowed = loan.slots;
    target.borrowed_until = expires;
    target.heard_at = now;
    internal::PlaceTarget(scheduler, target, now);
  }
}

// TakeUses takes what the other region runs on targets here, and which loans
// it knows to be smaller now.
void TakeUses(Scheduler& scheduler, const sharing::CounterShare& share,
              TimePoint now) {
  for (auto& [id, target] : scheduler.targets) {
    const auto loan = target.loans.find(share.pool);
    if (loan == target.loans.end()) continue;
    loan->second.used = 0;
    if (share.acked >= loan->second.past_share) loan->second.past_slots = 0;
  }
  for (const sharing::LoanUse& use : share.uses) {
    const auto known = scheduler.targets.find(use.target);
    if (known == scheduler.targets.end() || known->second.far) continue;
    known->second.loans[share.pool].used = use.running;
  }
  for (auto& [id, target] : scheduler.targets) {
    if (!target.loans.empty()) internal::PlaceTarget(scheduler, target, now);
  }
}

// TellOrganisations lists who waits here, and who waits there and was served
// here.
void TellOrganisations(const Scheduler& scheduler, const PoolId& to,
                       sharing::CounterShare& share, TimePoint now) {
  for (const auto& [id, organisation] : scheduler.organisations) {
    const auto far = organisation.far.find(to);
    const bool waits_there =
        far != organisation.far.end() && internal::IsWaiting(far->second, now);
    const bool told =
        organisation.ready || (waits_there && organisation.charged != 0);
    if (!told) continue;
    share.organisations.push_back(
        sharing::OrganisationShare{.organisation = id,
                                   .generation = organisation.share_generation,
                                   .charged = organisation.charged,
                                   .in_flight_estimate = Ahead(organisation),
                                   .has_waiting = organisation.ready});
  }
}

// ForgetLoans is for a neighbour that has been silent for long.
void ForgetLoans(Scheduler& scheduler, const PoolId& to) {
  for (auto& [id, target] : scheduler.targets) target.loans.erase(to);
}

}  // namespace

void OnCounterShare(State& state, const sharing::CounterShare& share,
                    TimePoint now) {
  Scheduler& scheduler = *state;
  if (share.pool.service != scheduler.pool.service) return;
  if (share.pool == scheduler.pool) return;
  Neighbour& neighbour = scheduler.neighbours[share.pool];
  if (share.epoch < neighbour.epoch) return;
  const bool successor = share.epoch > neighbour.epoch;
  if (!successor && share.sequence <= neighbour.newest) return;
  neighbour.epoch = share.epoch;
  neighbour.newest = share.sequence;
  neighbour.heard_at = now;
  neighbour.wants_slots = share.needs_slots;
  neighbour.capacity = share.capacity;
  neighbour.has_targets = share.has_targets;
  TakeShares(scheduler, share, now);
  TakeUses(scheduler, share, now);
  const auto sent = neighbour.sent_at.find(share.acked);
  if (sent == neighbour.sent_at.end()) return;
  const TimePoint expires = sent->second +
                            std::chrono::milliseconds(share.held_ms) +
                            std::chrono::milliseconds(share.expires_ms);
  TakeLoans(scheduler, share, expires, now);
}

OutgoingShare BuildCounterShare(State& state, const PoolId& to, TimePoint now) {
  Scheduler& scheduler = *state;
  Neighbour& neighbour = scheduler.neighbours[to];
  if (now - neighbour.heard_at >= kNeighbourTimeout) {
    ForgetLoans(scheduler, to);
    neighbour.wants_slots = false;
  }
  const auto held = std::chrono::duration_cast<std::chrono::milliseconds>(
      now - neighbour.heard_at);
  sharing::CounterShare share{
      .pool = scheduler.pool,
      .epoch = scheduler.epoch,
      .sequence = ++neighbour.last_share,
      .acked = neighbour.newest,
      .held_ms = static_cast<uint32_t>(
          std::clamp<int64_t>(held.count(), 0, UINT32_MAX)),
      .needs_slots = scheduler.spilling,
      .has_targets = internal::HasTargets(scheduler, now),
      .capacity = internal::NearCapacity(scheduler, now)};
  TellOrganisations(scheduler, to, share, now);
  internal::Lend(scheduler, to, share, now);
  for (const auto& [id, target] : scheduler.targets) {
    if (!target.far || internal::InFlight(target) == 0) continue;
    share.uses.push_back(
        sharing::LoanUse{.target = id, .running = internal::InFlight(target)});
  }
  neighbour.sent_at[share.sequence] = now;
  if (neighbour.sent_at.size() > kMaxSentTimes) {
    neighbour.sent_at.erase(neighbour.sent_at.begin());
  }
  return OutgoingShare{.to = to, .share = std::move(share)};
}

}  // namespace samphirebank::scheduler
