#include <algorithm>
#include <utility>

#include "samphirebank/scheduler/internal/state.h"

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
  if (scheduler.saturated && now - scheduler.saturated_since >= kSpillAfter) {
    scheduler.spilling = true;
  }
  if (room && now - scheduler.relaxed_since >= kSpillEnd) {
    scheduler.spilling = false;
  }
}

}  // namespace internal

namespace {

// kLoanLifetime bounds how long the other region may use a loan unrenewed.
constexpr Duration kLoanLifetime = std::chrono::milliseconds(1600);
// kNeighbourTimeout is when a silent neighbour's use of loans is forgotten.
constexpr Duration kNeighbourTimeout = std::chrono::seconds(30);
constexpr size_t kMaxSentTimes = 64;

void TakeShares(Scheduler& scheduler, const sharing::CounterShare& share) {
  for (const auto& told : share.organisations) {
    const auto known = scheduler.organisations.find(told.organisation);
    if (known == scheduler.organisations.end()) continue;
    Organisation& organisation = known->second;
    if (organisation.far_generation == told.generation) {
      internal::Charge(scheduler, organisation,
                       told.charged - organisation.far_charged);
    }
    organisation.far_generation = told.generation;
    organisation.far_charged = told.charged;
  }
}

// TakeLoans takes the slots that the other region lends, until `expires`.
void TakeLoans(Scheduler& scheduler, const sharing::CounterShare& share,
               TimePoint expires, TimePoint now) {
  for (const sharing::SlotLoan& loan : share.loans) {
    Target& target = internal::TargetOf(scheduler, loan.target, now);
    if (target.known && !target.far) continue;
    target.known = true;
    target.far = true;
    internal::SetFacts(target, loan.address, loan.traits);
    target.loan = loan.slots;
    target.loan_until = expires;
    target.heard_at = now;
    internal::PlaceTarget(scheduler, target, now);
  }
}

void TakeUses(Scheduler& scheduler, const sharing::CounterShare& share,
              TimePoint now) {
  for (auto& [id, target] : scheduler.targets) {
    if (!target.far) target.loan_used = 0;
  }
  for (const sharing::LoanUse& use : share.uses) {
    const auto known = scheduler.targets.find(use.target);
    if (known == scheduler.targets.end() || known->second.far) continue;
    known->second.loan_used = use.running;
    internal::PlaceTarget(scheduler, known->second, now);
  }
}

// Lend offers half of the room of each target, if nothing waits here.
void Lend(Scheduler& scheduler, sharing::CounterShare& share, TimePoint now) {
  if (!scheduler.ready.empty()) return;
  for (auto& [id, target] : scheduler.targets) {
    if (target.far) continue;
    const uint32_t room = internal::Room(scheduler, target, now);
    // What is lent already is not in the room.
    const uint32_t slots =
        room / 2 + (now < target.loan_until ? target.loan : target.loan_used);
    if (slots == 0) continue;
    target.loan = slots;
    target.loan_until = now + kLoanLifetime;
    internal::PlaceTarget(scheduler, target, now);
    share.loans.push_back(sharing::SlotLoan{.target = id,
                                            .address = target.address,
                                            .slots = slots,
                                            .traits = target.traits});
  }
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
  neighbour.wants_slots = share.wants_slots;
  TakeShares(scheduler, share);
  TakeUses(scheduler, share, now);
  const auto sent = neighbour.sent_at.find(share.answers);
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
    for (auto& [id, target] : scheduler.targets) target.loan_used = 0;
    neighbour.wants_slots = false;
  }
  const auto held = std::chrono::duration_cast<std::chrono::milliseconds>(
      now - neighbour.heard_at);
  const auto lifetime =
      std::chrono::duration_cast<std::chrono::milliseconds>(kLoanLifetime);
  sharing::CounterShare share{
      .pool = scheduler.pool,
      .epoch = scheduler.epoch,
      .sequence = ++neighbour.last_share,
      .answers = neighbour.newest,
      .held_ms = static_cast<uint32_t>(
          std::clamp<int64_t>(held.count(), 0, UINT32_MAX)),
      .expires_ms = static_cast<uint32_t>(lifetime.count()),
      .wants_slots = scheduler.spilling};
  for (const auto& [counter, number, organisation] : scheduler.ready) {
    share.organisations.push_back(
        sharing::OrganisationShare{.organisation = organisation->id,
                                   .generation = organisation->share_generation,
                                   .charged = organisation->charged});
  }
  if (neighbour.wants_slots) Lend(scheduler, share, now);
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
