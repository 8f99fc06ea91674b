#include <algorithm>
#include <utility>
#include <vector>

#include "samphirebank/scheduler/internal/loans.h"

namespace samphirebank::scheduler {
namespace internal {
namespace {

// kSpeedInterval is the time over which a target's speed is measured.
constexpr Duration kSpeedInterval = std::chrono::seconds(10);
// kMinBusySeconds is the busy time needed to estimate a speed, in request
// seconds.
constexpr double kMinBusySeconds = 5;
// A target's flaps are reset after it was trusted for kFlapResetTime. It gets
// no grants for kFlapDelay for each flap after the first.
constexpr Duration kFlapResetTime = std::chrono::seconds(60);
constexpr Duration kFlapDelay = std::chrono::seconds(2);
constexpr uint32_t kMaxFlaps = 8;
// kRemoteLoadOffset orders remote targets after all local ones.
constexpr double kRemoteLoadOffset = 10;

double Seconds(Duration span) {
  return std::chrono::duration<double>(span).count();
}

// kDriftAllowance covers the drift between two clocks over a grant's lifetime.
constexpr Duration kDriftAllowance = std::chrono::milliseconds(10);

// AwaitsPredecessorGrants returns whether a request granted under an older
// epoch could still reach the target, and the target would run it.
bool AwaitsPredecessorGrants(const Scheduler& scheduler, const Target& target,
                             TimePoint now) {
  const Options& options = scheduler.options;
  if (scheduler.epoch <= Epoch(1) || target.traits.checks_fencing) return false;
  const Duration predecessor_grants =
      options.predecessor_lease + options.grant_lifetime + kDriftAllowance;
  return options.predecessor_lease > Duration::zero() &&
         now - scheduler.created_at < predecessor_grants;
}

uint32_t Limit(const Target& target) {
  return target.remote ? target.borrowed_slots
                       : capacity::Limit(target.capacity);
}

// LentSlots returns the slots of a target that other regions use or may use.
uint32_t LentSlots(const Target& target, TimePoint now) {
  uint32_t slots = 0;
  for (const auto& [pool, loan] : target.loans) slots += HeldSlots(loan, now);
  return slots;
}

// CountFlap delays further grants to a target that repeatedly disappears and
// returns.
void CountFlap(Target& target, TimePoint now) {
  if (now - target.trusted_from > kFlapResetTime) target.flaps = 0;
  target.flaps = std::min(target.flaps + 1, kMaxFlaps);
  target.trusted_from = now + (target.flaps - 1) * kFlapDelay;
}

// MedianSpeed returns the median speed of the targets, in tokens per second for
// each request; 0 if fewer than 3 are known.
double MedianSpeed(const Scheduler& scheduler) {
  std::vector<double> speeds;
  for (const auto& [id, target] : scheduler.targets) {
    if (target.speed > 0) speeds.push_back(target.speed);
  }
  if (speeds.size() < 3) return 0;
  const auto median = speeds.begin() + static_cast<int64_t>(speeds.size() / 2);
  std::nth_element(speeds.begin(), median, speeds.end());
  return *median;
}

void UpdateCapacityFromReports(Target& target, double median_speed,
                               TimePoint now) {
  AccumulateBusyTime(target, now);
  if (now - target.observed_at < kSpeedInterval && target.failed == 0) return;
  capacity::Observation observation{.completed = target.ended,
                                    .failed = target.failed};
  if (target.busy_seconds >= kMinBusySeconds) {
    target.speed = static_cast<double>(target.tokens) / target.busy_seconds;
    observation.tokens_per_second = target.speed;
    observation.baseline_speed = median_speed;
  }
  capacity::OnObservation(target.capacity, observation, now);
  target.failed = 0;
  target.ended = 0;
  if (now - target.observed_at < kSpeedInterval) return;
  target.tokens = 0;
  target.busy_seconds = 0;
  target.observed_at = now;
}

}  // namespace

bool IsAvailable(const Scheduler& scheduler, const Target& target,
                 TimePoint now) {
  using contracts::TargetIntent;
  if (target.declared != TargetIntent::kServing) return false;
  if (target.remote) return now < target.borrowed_until;
  if (!target.known || target.intent != TargetIntent::kServing) return false;
  return now - target.last_seen < scheduler.options.suspect_timeout;
}

bool CanUse(const Scheduler& scheduler, const Target& target, TimePoint now) {
  if (AwaitsPredecessorGrants(scheduler, target, now)) return false;
  if (!IsAvailable(scheduler, target, now)) return false;
  if (!target.remote) return now >= target.trusted_from;
  return scheduler.spillover &&
         now + scheduler.options.grant_lifetime <= target.borrowed_until;
}

uint32_t LoanedInUse(const Target& target) {
  uint32_t used = 0;
  for (const auto& [pool, loan] : target.loans) used += loan.used;
  return used;
}

Target& FindOrCreateTarget(Scheduler& scheduler, const TargetId& id,
                           TimePoint now) {
  auto [position, added] = scheduler.targets.try_emplace(id);
  Target& target = position->second;
  if (!added) return target;
  target.id = id;
  target.number = ++scheduler.last_number;
  scheduler.targets_by_number.emplace(target.number, &target);
  target.last_seen = now;
  target.trusted_from = now;
  target.observed_at = now;
  target.busy_updated_at = now;
  target.capacity = capacity::Create(
      {.initial_limit = static_cast<double>(scheduler.options.default_slots),
       .headroom = scheduler.options.headroom},
      now);
  const auto declared = scheduler.declared.find(id);
  if (declared != scheduler.declared.end()) target.declared = declared->second;
  return target;
}

void SetDescription(Target& target, const net::SocketAddress& address,
                    const sharing::TargetTraits& traits) {
  if (target.address == address && target.traits == traits) return;
  target.address = address;
  target.traits = traits;
  target.description_version += 1;
}

uint32_t InFlight(const Target& target) {
  return target.running + target.reserved;
}

uint32_t FreeSlots(const Scheduler& scheduler, const Target& target,
                   TimePoint now) {
  if (!CanUse(scheduler, target, now)) return 0;
  const uint32_t taken = InFlight(target) + LentSlots(target, now);
  const uint32_t limit = Limit(target);
  return limit > taken ? limit - taken : 0;
}

void UpdateFreeList(Scheduler& scheduler, Target& target, TimePoint now) {
  if (target.free_key) {
    scheduler.free_targets.erase({*target.free_key, target.number, &target});
    target.free_key.reset();
  }
  if (FreeSlots(scheduler, target, now) == 0) return;
  const double load =
      static_cast<double>(InFlight(target)) / std::max(1U, Limit(target));
  target.free_key = target.remote ? load + kRemoteLoadOffset : load;
  scheduler.free_targets.emplace(*target.free_key, target.number, &target);
}

void AccumulateBusyTime(Target& target, TimePoint now) {
  target.busy_seconds += target.running * Seconds(now - target.busy_updated_at);
  target.busy_updated_at = now;
}

void SetTargetUse(Router& router, Target& target, const sharing::TargetUse& use,
                  TimePoint now) {
  sharing::TargetUse& known = router.uses[&target];
  AccumulateBusyTime(target, now);
  target.running += use.running - known.running;
  if (use.tokens > known.tokens) {
    target.tokens += use.tokens - known.tokens;
    target.ended += 1;
  }
  if (use.failed > known.failed) target.failed += use.failed - known.failed;
  known = use;
}

void CheckTargets(Scheduler& scheduler, TimePoint now) {
  const double median_speed = MedianSpeed(scheduler);
  scheduler.capacity = 0;
  for (auto position = scheduler.targets.begin();
       position != scheduler.targets.end();) {
    Target& target = position->second;
    UpdateCapacityFromReports(target, median_speed, now);
    const Duration silence = now - target.last_seen;
    if (target.known && !target.remote && !target.suspected &&
        silence >= scheduler.options.suspect_timeout) {
      target.suspected = true;
    }
    UpdateFreeList(scheduler, target, now);
    if (CanUse(scheduler, target, now)) scheduler.capacity += Limit(target);
    const bool idle = InFlight(target) == 0 && LoanedInUse(target) == 0;
    const bool should_evict =
        silence >= scheduler.options.eviction_timeout && idle;
    if (!should_evict) {
      ++position;
      continue;
    }
    for (auto& [id, router] : scheduler.routers) {
      router.uses.erase(&target);
      router.sent_descriptions.erase(&target);
    }
    scheduler.targets_by_number.erase(target.number);
    scheduler.ring_stale = true;
    position = scheduler.targets.erase(position);
  }
}

}  // namespace internal

void OnTargetState(State& state, const sharing::TargetState& report,
                   TimePoint now) {
  Scheduler& scheduler = *state;
  if (report.pool != scheduler.pool) return;
  Target& target = internal::FindOrCreateTarget(scheduler, report.target, now);
  if (target.remote) return;
  if (report.incarnation < target.incarnation) return;
  const bool restarted = report.incarnation > target.incarnation;
  if (!restarted && report.sequence <= target.sequence && target.known) return;
  const TimePoint reported_at = now - std::chrono::milliseconds(report.age_ms);
  const bool recovers =
      target.suspected &&
      reported_at - target.last_seen >= 2 * scheduler.options.suspect_timeout;
  if (recovers || (restarted && target.known)) {
    internal::CountFlap(target, now);
  }
  if (!target.known) scheduler.ring_stale = true;
  target.suspected = false;
  target.known = true;
  target.last_seen = std::max(target.last_seen, reported_at);
  internal::SetDescription(target, report.address, report.traits);
  target.incarnation = report.incarnation;
  target.sequence = report.sequence;
  target.intent = report.intent;
  capacity::OnReport(target.capacity,
                     {.slots = report.slots,
                      .running = report.running,
                      .waiting = report.waiting,
                      .age = std::chrono::milliseconds(report.age_ms)},
                     internal::InFlight(target) + internal::LoanedInUse(target),
                     now);
  internal::UpdateFreeList(scheduler, target, now);
}

}  // namespace samphirebank::scheduler
