#include <algorithm>
#include <utility>

#include "samphirebank/scheduler/internal/loans.h"

namespace samphirebank::scheduler {
namespace internal {
namespace {

// kSpilloverDelay is how long a pool must be saturated before it uses targets
// of other regions, kSpilloverEndDelay how long it must have free local slots
// before it stops.
constexpr Duration kSpilloverDelay = std::chrono::seconds(2);
constexpr Duration kSpilloverEndDelay = std::chrono::seconds(1);

// HasLocalSlots returns whether a target of the local region has a free slot.
bool HasLocalSlots(const Scheduler& scheduler) {
  if (scheduler.free_targets.empty()) return false;
  return !std::get<Target*>(*scheduler.free_targets.begin())->remote;
}

}  // namespace

void UpdateSpillover(Scheduler& scheduler, TimePoint now) {
  const bool has_slots = HasLocalSlots(scheduler);
  const bool saturated = !has_slots && !scheduler.ready.empty();
  if (has_slots || !(saturated || scheduler.saturated)) {
    scheduler.saturated = false;
  } else if (!scheduler.saturated) {
    scheduler.saturated = true;
    scheduler.saturated_since = now;
  }
  if (!has_slots) scheduler.has_slots_since = now;
  const bool no_local_targets = !HasTargets(scheduler, now);
  const Duration delay = no_local_targets ? Duration::zero() : kSpilloverDelay;
  if (scheduler.saturated && now - scheduler.saturated_since >= delay) {
    scheduler.spillover = true;
  }
  if (has_slots && now - scheduler.has_slots_since >= kSpilloverEndDelay) {
    scheduler.spillover = false;
  }
}

}  // namespace internal

namespace {

// kNeighbourTimeout is how long after a neighbour's last message its loans are
// dropped.
constexpr Duration kNeighbourTimeout = std::chrono::seconds(30);
// Number of shares to one neighbour whose send times are kept.
constexpr size_t kMaxSentTimes = 64;

// IsRelevant returns whether to apply what a neighbour reported about an
// organisation: it waits there or has a record here.
bool IsRelevant(const Scheduler& scheduler,
                const sharing::OrganisationShare& reported) {
  return reported.has_waiting ||
         scheduler.organisations.contains(reported.organisation);
}

// InFlightEstimate returns the tokens that were charged in advance for an
// organisation's granted and running requests.
uint64_t InFlightEstimate(const Organisation& organisation) {
  if (organisation.sources.empty()) return 0;
  const RouterOrganisation& source =
      *std::get<RouterOrganisation*>(*organisation.sources.begin());
  return (organisation.running + organisation.reserved) * source.estimate;
}

// InitialCounter returns the counter of an organisation that begins to wait in
// another region. It starts at the floor, without credit, less the excess of
// the first ready organisation's in-flight estimate over its own: tokens
// charged in advance for requests that have not been served yet do not count
// against it.
double InitialCounter(const Scheduler& scheduler,
                      const sharing::OrganisationShare& reported) {
  if (scheduler.ready.empty()) return scheduler.counter_floor;
  const Organisation& first =
      *std::get<Organisation*>(*scheduler.ready.begin());
  const double weight = std::max<uint32_t>(1, first.limits.weight);
  const double step = static_cast<double>(reported.in_flight_estimate) -
                      static_cast<double>(InFlightEstimate(first));
  return scheduler.counter_floor + std::min(0.0, step / weight);
}

// ApplyShare charges the service that an organisation received in another
// region since the last message. An organisation that did not wait anywhere
// gets no credit for that time.
void ApplyShare(Scheduler& scheduler, const PoolId& from,
                const sharing::OrganisationShare& reported, TimePoint now) {
  if (!IsRelevant(scheduler, reported)) return;
  const bool is_new = !scheduler.organisations.contains(reported.organisation);
  Organisation& organisation =
      internal::FindOrCreateOrganisation(scheduler, reported.organisation);
  if (is_new) organisation.counter = InitialCounter(scheduler, reported);
  const bool joins = reported.has_waiting && !organisation.ready &&
                     !internal::WaitsRemotely(organisation, now);
  const double step =
      InitialCounter(scheduler, reported) - organisation.counter;
  if (joins && step > 0) internal::MoveCounter(scheduler, organisation, step);
  RemoteService& remote = organisation.remote_services[from];
  const bool is_continuation =
      remote.generation == reported.generation &&
      now - remote.received_at < internal::kRemoteStateTtl;
  if (is_continuation) {
    internal::Charge(scheduler, organisation,
                     reported.charged - remote.charged);
  }
  remote = RemoteService{.generation = reported.generation,
                         .charged = reported.charged,
                         .has_waiting = reported.has_waiting,
                         .received_at = now};
}

// RaiseFloor raises the floor to the smallest counter of all organisations that
// wait, in any region: organisations that become ready later start no lower.
void RaiseFloor(Scheduler& scheduler, TimePoint now) {
  std::optional<double> lowest;
  if (!scheduler.ready.empty()) {
    lowest = std::get<double>(*scheduler.ready.begin());
  }
  for (const auto& [id, organisation] : scheduler.organisations) {
    if (!internal::WaitsRemotely(organisation, now)) continue;
    lowest =
        std::min(lowest.value_or(organisation.counter), organisation.counter);
  }
  scheduler.counter_floor =
      std::max(scheduler.counter_floor, lowest.value_or(0));
}

void ApplyShares(Scheduler& scheduler, const sharing::CounterShare& share,
                 TimePoint now) {
  for (const auto& reported : share.organisations) {
    ApplyShare(scheduler, share.pool, reported, now);
  }
  for (auto& [id, organisation] : scheduler.organisations) {
    const auto remote = organisation.remote_services.find(share.pool);
    if (remote == organisation.remote_services.end()) continue;
    if (remote->second.received_at != now) remote->second.has_waiting = false;
  }
  RaiseFloor(scheduler, now);
}

// ApplyLoans applies the loans of the other region, which expire at `expires`.
void ApplyLoans(Scheduler& scheduler, const sharing::CounterShare& share,
                TimePoint expires, TimePoint now) {
  for (const sharing::SlotLoan& loan : share.loans) {
    if (loan.slots == 0 && !scheduler.targets.contains(loan.target)) continue;
    Target& target = internal::FindOrCreateTarget(scheduler, loan.target, now);
    if (target.known && !target.remote) continue;
    target.known = true;
    target.remote = true;
    internal::SetDescription(target, loan.address, loan.traits);
    target.borrowed_slots = loan.slots;
    target.borrowed_until = expires;
    target.last_seen = now;
    internal::UpdateFreeList(scheduler, target, now);
  }
}

// ApplyUses applies the other region's use of local targets, and releases the
// previous loans whose reduction it acknowledges.
void ApplyUses(Scheduler& scheduler, const sharing::CounterShare& share,
               TimePoint now) {
  for (auto& [id, target] : scheduler.targets) {
    const auto loan = target.loans.find(share.pool);
    if (loan == target.loans.end()) continue;
    loan->second.used = 0;
    if (share.acked >= loan->second.reduced_by) loan->second.prior_slots = 0;
  }
  for (const sharing::LoanUse& use : share.uses) {
    const auto known = scheduler.targets.find(use.target);
    if (known == scheduler.targets.end() || known->second.remote) continue;
    known->second.loans[share.pool].used = use.running;
  }
  for (auto& [id, target] : scheduler.targets) {
    if (!target.loans.empty()) internal::UpdateFreeList(scheduler, target, now);
  }
}

// AddOrganisations adds to `share` the organisations that wait here, and those
// that wait in the other region and were served here.
void AddOrganisations(const Scheduler& scheduler, const PoolId& to,
                      sharing::CounterShare& share, TimePoint now) {
  for (const auto& [id, organisation] : scheduler.organisations) {
    const auto remote = organisation.remote_services.find(to);
    const bool waits_there = remote != organisation.remote_services.end() &&
                             internal::HasWaitingRequests(remote->second, now);
    const bool is_included =
        organisation.ready || (waits_there && organisation.charged != 0);
    if (!is_included) continue;
    share.organisations.push_back(sharing::OrganisationShare{
        .organisation = id,
        .generation = organisation.share_generation,
        .charged = organisation.charged,
        .in_flight_estimate = InFlightEstimate(organisation),
        .has_waiting = organisation.ready});
  }
}

// DropLoans removes all loans to a neighbour that no longer sends messages.
void DropLoans(Scheduler& scheduler, const PoolId& to) {
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
  if (!successor && share.sequence <= neighbour.newest_share) return;
  neighbour.epoch = share.epoch;
  neighbour.newest_share = share.sequence;
  neighbour.last_seen = now;
  neighbour.needs_slots = share.needs_slots;
  neighbour.capacity = share.capacity;
  neighbour.has_targets = share.has_targets;
  ApplyShares(scheduler, share, now);
  ApplyUses(scheduler, share, now);
  const auto sent = neighbour.sent_at.find(share.acked);
  if (sent == neighbour.sent_at.end()) return;
  const TimePoint expires = sent->second +
                            std::chrono::milliseconds(share.held_ms) +
                            std::chrono::milliseconds(share.expires_ms);
  ApplyLoans(scheduler, share, expires, now);
}

OutgoingShare BuildCounterShare(State& state, const PoolId& to, TimePoint now) {
  Scheduler& scheduler = *state;
  Neighbour& neighbour = scheduler.neighbours[to];
  if (now - neighbour.last_seen >= kNeighbourTimeout) {
    DropLoans(scheduler, to);
    neighbour.needs_slots = false;
  }
  const auto held = std::chrono::duration_cast<std::chrono::milliseconds>(
      now - neighbour.last_seen);
  sharing::CounterShare share{
      .pool = scheduler.pool,
      .epoch = scheduler.epoch,
      .sequence = ++neighbour.last_share,
      .acked = neighbour.newest_share,
      .held_ms = static_cast<uint32_t>(
          std::clamp<int64_t>(held.count(), 0, UINT32_MAX)),
      .needs_slots = scheduler.spillover,
      .has_targets = internal::HasTargets(scheduler, now),
      .capacity = internal::LocalCapacity(scheduler, now)};
  AddOrganisations(scheduler, to, share, now);
  internal::LendSlots(scheduler, to, share, now);
  for (const auto& [id, target] : scheduler.targets) {
    if (!target.remote || internal::InFlight(target) == 0) continue;
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
