#include <algorithm>
#include <utility>
#include <vector>

#include "samphirebank/scheduler/internal/loans.h"

namespace samphirebank::scheduler {
namespace internal {
namespace {

// kObservation is the span over which a target's speed is measured.
constexpr Duration kObservation = std::chrono::seconds(10);
// kLeastBusySeconds is how much work must run for a speed to mean anything.
constexpr double kLeastBusySeconds = 5;
// kFlapMemory is how long a target must be trusted for its flaps to count for
// nothing, kFlapDelay how long it is distrusted per flap after the first.
constexpr Duration kFlapMemory = std::chrono::seconds(60);
constexpr Duration kFlapDelay = std::chrono::seconds(2);
constexpr uint32_t kMostFlaps = 8;
// kFarLoad puts targets of other regions behind all near ones.
constexpr double kFarLoad = 10;

double Seconds(Duration span) {
  return std::chrono::duration<double>(span).count();
}

// kDriftAllowance covers clocks that differ over a grant's lifetime.
constexpr Duration kDriftAllowance = std::chrono::milliseconds(10);

// AwaitsOldGrants says whether an order under an older epoch could still reach
// a target that would run it.
bool AwaitsOldGrants(const Scheduler& scheduler, const Target& target,
                     TimePoint now) {
  const Options& options = scheduler.options;
  if (scheduler.epoch <= Epoch(1) || target.traits.checks_fencing) return false;
  const Duration old_grants =
      options.predecessor_lease + options.grant_lifetime + kDriftAllowance;
  return options.predecessor_lease > Duration::zero() &&
         now - scheduler.created_at < old_grants;
}

uint32_t Limit(const Target& target) {
  return target.far ? target.borrowed : capacity::Limit(target.capacity);
}

// Lent is what other regions run, or may still start, on a target.
uint32_t Lent(const Target& target, TimePoint now) {
  uint32_t lent = 0;
  for (const auto& [pool, loan] : target.loans) lent += Counted(loan, now);
  return lent;
}

// CountFlap makes a target that keeps coming and going wait for its return.
void CountFlap(Target& target, TimePoint now) {
  if (now - target.trusted_at > kFlapMemory) target.flaps = 0;
  target.flaps = std::min(target.flaps + 1, kMostFlaps);
  target.trusted_at = now + (target.flaps - 1) * kFlapDelay;
}

// UsualSpeed is the median speed of the targets that work.
double UsualSpeed(const Scheduler& scheduler) {
  std::vector<double> speeds;
  for (const auto& [id, target] : scheduler.targets) {
    if (target.speed > 0) speeds.push_back(target.speed);
  }
  if (speeds.size() < 3) return 0;
  const auto middle = speeds.begin() + static_cast<int64_t>(speeds.size() / 2);
  std::nth_element(speeds.begin(), middle, speeds.end());
  return *middle;
}

void ObserveTarget(Target& target, double usual, TimePoint now) {
  ObserveBusy(target, now);
  if (now - target.observed_at < kObservation && target.failed == 0) return;
  capacity::Observation seen{.completed = target.ended,
                             .failed = target.failed};
  if (target.busy_seconds >= kLeastBusySeconds) {
    target.speed = static_cast<double>(target.tokens) / target.busy_seconds;
    seen.tokens_per_second = target.speed;
    seen.baseline_speed = usual;
  }
  capacity::OnObservation(target.capacity, seen, now);
  target.failed = 0;
  target.ended = 0;
  if (now - target.observed_at < kObservation) return;
  target.tokens = 0;
  target.busy_seconds = 0;
  target.observed_at = now;
}

}  // namespace

bool Stands(const Scheduler& scheduler, const Target& target, TimePoint now) {
  using contracts::TargetIntent;
  if (target.declared != TargetIntent::kServing) return false;
  if (target.far) return now < target.borrowed_until;
  if (!target.known || target.intent != TargetIntent::kServing) return false;
  return now - target.heard_at < scheduler.options.suspect_timeout;
}

bool Serves(const Scheduler& scheduler, const Target& target, TimePoint now) {
  if (AwaitsOldGrants(scheduler, target, now)) return false;
  if (!Stands(scheduler, target, now)) return false;
  if (!target.far) return now >= target.trusted_at;
  return scheduler.spilling &&
         now + scheduler.options.grant_lifetime <= target.borrowed_until;
}

uint32_t LoansUsed(const Target& target) {
  uint32_t used = 0;
  for (const auto& [pool, loan] : target.loans) used += loan.used;
  return used;
}

Target& TargetOf(Scheduler& scheduler, const TargetId& id, TimePoint now) {
  auto [position, added] = scheduler.targets.try_emplace(id);
  Target& target = position->second;
  if (!added) return target;
  target.id = id;
  target.number = ++scheduler.last_number;
  scheduler.numbered.emplace(target.number, &target);
  target.heard_at = now;
  target.trusted_at = now;
  target.observed_at = now;
  target.busy_at = now;
  target.capacity = capacity::Create(
      {.initial_limit = static_cast<double>(scheduler.options.default_slots),
       .headroom = scheduler.options.headroom},
      now);
  const auto declared = scheduler.declared.find(id);
  if (declared != scheduler.declared.end()) target.declared = declared->second;
  return target;
}

void SetFacts(Target& target, const net::SocketAddress& address,
              const sharing::TargetTraits& traits) {
  if (target.address == address && target.traits == traits) return;
  target.address = address;
  target.traits = traits;
  target.facts += 1;
}

uint32_t InFlight(const Target& target) {
  return target.running + target.reserved;
}

uint32_t Room(const Scheduler& scheduler, const Target& target, TimePoint now) {
  if (!Serves(scheduler, target, now)) return 0;
  const uint32_t taken = InFlight(target) + Lent(target, now);
  const uint32_t limit = Limit(target);
  return limit > taken ? limit - taken : 0;
}

void PlaceTarget(Scheduler& scheduler, Target& target, TimePoint now) {
  if (target.free_key) {
    scheduler.free.erase({*target.free_key, target.number, &target});
    target.free_key.reset();
  }
  if (Room(scheduler, target, now) == 0) return;
  const double load =
      static_cast<double>(InFlight(target)) / std::max(1U, Limit(target));
  target.free_key = target.far ? load + kFarLoad : load;
  scheduler.free.emplace(*target.free_key, target.number, &target);
}

void ObserveBusy(Target& target, TimePoint now) {
  target.busy_seconds += target.running * Seconds(now - target.busy_at);
  target.busy_at = now;
}

void SetUse(Router& router, Target& target, const sharing::TargetUse& use,
            TimePoint now) {
  sharing::TargetUse& known = router.uses[&target];
  ObserveBusy(target, now);
  target.running += use.running - known.running;
  if (use.tokens > known.tokens) {
    target.tokens += use.tokens - known.tokens;
    target.ended += 1;
  }
  if (use.failed > known.failed) target.failed += use.failed - known.failed;
  known = use;
}

void CheckTargets(Scheduler& scheduler, TimePoint now) {
  const double usual = UsualSpeed(scheduler);
  scheduler.capacity = 0;
  for (auto position = scheduler.targets.begin();
       position != scheduler.targets.end();) {
    Target& target = position->second;
    ObserveTarget(target, usual, now);
    const Duration silence = now - target.heard_at;
    if (target.known && !target.far && !target.suspected &&
        silence >= scheduler.options.suspect_timeout) {
      target.suspected = true;
    }
    PlaceTarget(scheduler, target, now);
    if (Serves(scheduler, target, now)) scheduler.capacity += Limit(target);
    const bool idle = InFlight(target) == 0 && LoansUsed(target) == 0;
    const bool gone = silence >= scheduler.options.eviction_timeout && idle;
    if (!gone) {
      ++position;
      continue;
    }
    for (auto& [id, router] : scheduler.routers) {
      router.uses.erase(&target);
      router.told.erase(&target);
    }
    scheduler.numbered.erase(target.number);
    scheduler.ring_stale = true;
    position = scheduler.targets.erase(position);
  }
}

}  // namespace internal

void OnTargetState(State& state, const sharing::TargetState& report,
                   TimePoint now) {
  Scheduler& scheduler = *state;
  if (report.pool != scheduler.pool) return;
  Target& target = internal::TargetOf(scheduler, report.target, now);
  if (target.far) return;
  if (report.incarnation < target.incarnation) return;
  const bool restarted = report.incarnation > target.incarnation;
  if (!restarted && report.sequence <= target.sequence && target.known) return;
  const TimePoint taken_at = now - std::chrono::milliseconds(report.age_ms);
  const bool returns =
      target.suspected &&
      taken_at - target.heard_at >= 2 * scheduler.options.suspect_timeout;
  if (returns || (restarted && target.known)) {
    internal::CountFlap(target, now);
  }
  if (!target.known) scheduler.ring_stale = true;
  target.suspected = false;
  target.known = true;
  target.heard_at = std::max(target.heard_at, taken_at);
  internal::SetFacts(target, report.address, report.traits);
  target.incarnation = report.incarnation;
  target.sequence = report.sequence;
  target.intent = report.intent;
  capacity::OnReport(target.capacity,
                     {.slots = report.slots,
                      .running = report.running,
                      .waiting = report.waiting,
                      .age = std::chrono::milliseconds(report.age_ms)},
                     internal::InFlight(target) + internal::LoansUsed(target),
                     now);
  internal::PlaceTarget(scheduler, target, now);
}

}  // namespace samphirebank::scheduler
