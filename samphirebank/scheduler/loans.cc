#include "samphirebank/scheduler/internal/loans.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>

namespace samphirebank::scheduler::internal {
namespace {

// kLoanTtl is the longest time that another region may use a loan without
// renewal.
constexpr Duration kLoanTtl = std::chrono::milliseconds(1600);
// kCatchUpTime is the time within which the loan compensates the token deficit
// of a region's organisations.
constexpr double kCatchUpTime = 4;  // seconds
// kIntegralGain is the fraction of the compensating slots that each share sent
// adds to the integral term.
constexpr double kIntegralGain = 0.04;
// kSmoothing is the weight of the newest sample of a region's token deficit.
// The samples fluctuate, since counters change by whole requests.
constexpr double kSmoothing = 0.4;
// kMinSurplus is how many slots a region must have beyond its organisations'
// shares in order to lend.
constexpr double kMinSurplus = 0.1;
// kInitialLoan is the most slots that are lent before the other region uses
// any.
constexpr double kInitialLoan = 4;
// kDefaultSpeed is assumed while no target's speed is known, in tokens per
// second for each request.
constexpr double kDefaultSpeed = 50;
// kMinBusySeconds is the busy time needed to estimate a speed, in request
// seconds.
constexpr double kMinBusySeconds = 2;

// RegionBacklog is the organisations that wait in one region, and the capacity
// of that region.
struct RegionBacklog {
  PoolId pool{};
  double capacity = 0;  // requests; without backlog, only free slots
  std::vector<const Organisation*> organisations{};
  double deficit = 0;  // slots lacking for fair shares; surplus if negative

  const Organisation* LowestOrganisation() const {
    const auto by_counter = [](const auto* a, const auto* b) {
      return a->counter < b->counter;
    };
    const auto lowest =
        std::ranges::min_element(this->organisations, by_counter);
    return lowest == this->organisations.end() ? nullptr : *lowest;
  }
};

double WeightOf(const Organisation& organisation) {
  return std::max<uint32_t>(1, organisation.limits.weight);
}

std::vector<RegionBacklog> CollectBacklogs(const Scheduler& scheduler,
                                           TimePoint now) {
  std::vector<RegionBacklog> backlogs;
  RegionBacklog& local = backlogs.emplace_back();
  local.pool = scheduler.pool;
  local.capacity = LocalCapacity(scheduler, now);
  for (const auto& [counter, number, organisation] : scheduler.ready) {
    local.organisations.push_back(organisation);
  }
  for (const auto& [pool, neighbour] : scheduler.neighbours) {
    if (!IsFresh(neighbour, now)) continue;
    RegionBacklog& backlog = backlogs.emplace_back();
    backlog.pool = pool;
    backlog.capacity = neighbour.capacity;
    for (const auto& [id, organisation] : scheduler.organisations) {
      const auto remote = organisation.remote_services.find(pool);
      if (remote == organisation.remote_services.end()) continue;
      if (!HasWaitingRequests(remote->second, now)) continue;
      backlog.organisations.push_back(&organisation);
    }
  }
  return backlogs;
}

// FairShare is one organisation's fair share of the capacity of all regions.
struct FairShare {
  const Organisation* organisation = nullptr;
  std::vector<size_t> regions{};  // where it waits: indices of backlogs
  double slots = 0;               // not yet allocated
};

std::vector<FairShare> ComputeFairShares(
    const std::vector<RegionBacklog>& backlogs) {
  std::vector<FairShare> shares;
  std::unordered_map<const Organisation*, size_t> indices;
  double total_capacity = 0;
  double total_weight = 0;
  for (size_t region = 0; region < backlogs.size(); ++region) {
    total_capacity += backlogs[region].capacity;
    for (const Organisation* organisation : backlogs[region].organisations) {
      const auto [index, added] =
          indices.try_emplace(organisation, shares.size());
      if (added) {
        shares.push_back({.organisation = organisation});
        total_weight += WeightOf(*organisation);
      }
      shares[index->second].regions.push_back(region);
    }
  }
  for (FairShare& share : shares) {
    share.slots = total_capacity * WeightOf(*share.organisation) / total_weight;
  }
  return shares;
}

// AllocateShares allocates each organisation's fair share from the regions
// where it waits, and sets each region's deficit. Organisations that wait in
// few regions come first, so that no more slots than necessary are lent between
// regions.
void AllocateShares(std::vector<RegionBacklog>& backlogs) {
  std::vector<FairShare> shares = ComputeFairShares(backlogs);
  std::ranges::sort(shares, [](const FairShare& a, const FairShare& b) {
    return std::pair(a.regions.size(), a.organisation->id) <
           std::pair(b.regions.size(), b.organisation->id);
  });
  for (RegionBacklog& backlog : backlogs) backlog.deficit = -backlog.capacity;
  for (FairShare& share : shares) {
    for (size_t i = 0; i < share.regions.size(); ++i) {
      const size_t region = *std::ranges::min_element(
          share.regions, {}, [&](size_t p) { return backlogs[p].deficit; });
      const double available = std::max(0.0, -backlogs[region].deficit);
      const double allocated = std::min(share.slots, available);
      backlogs[region].deficit += allocated;
      share.slots -= allocated;
    }
    backlogs[share.regions.front()].deficit += share.slots;
  }
}

// EntitledSlots returns the part of the local surplus that is due to another
// region, in proportion to the regions' deficits.
double EntitledSlots(const std::vector<RegionBacklog>& backlogs,
                     const RegionBacklog& other) {
  const double available = std::max(0.0, -backlogs.front().deficit);
  double deficit = 0;
  for (const RegionBacklog& backlog : backlogs) {
    deficit += std::max(0.0, backlog.deficit);
  }
  if (deficit <= 0) return 0;
  return available * std::max(0.0, other.deficit) / deficit;
}

// SlotSpeed returns the speed of one slot of the local region, in tokens per
// second.
double SlotSpeed(const Scheduler& scheduler) {
  double tokens = 0;
  double seconds = 0;
  double measured = 0;
  for (const auto& [id, target] : scheduler.targets) {
    if (target.remote) continue;
    tokens += static_cast<double>(target.tokens);
    seconds += target.busy_seconds;
    measured = std::max(measured, target.speed);
  }
  if (measured > 0) return measured;
  if (seconds < kMinBusySeconds || tokens <= 0) return kDefaultSpeed;
  return tokens / seconds;
}

// TokenDeficit returns how far the lowest counter of the organisations that
// wait in the other region is below the mean of the lowest counters of all
// remaining regions, including the local one. The result is in tokens, scaled
// by the weight of the organisation with the lowest counter. It is 0 if no
// organisation waits in the other region, or none in the remaining ones.
double TokenDeficit(const std::vector<RegionBacklog>& backlogs,
                    const RegionBacklog& other) {
  const Organisation* const lowest = other.LowestOrganisation();
  double sum = 0;
  int count = 0;
  for (const RegionBacklog& backlog : backlogs) {
    const Organisation* const lowest_there = backlog.LowestOrganisation();
    if (backlog.pool == other.pool || lowest_there == nullptr) continue;
    sum += lowest_there->counter;
    ++count;
  }
  if (lowest == nullptr || count == 0) return 0;
  return (sum / count - lowest->counter) * WeightOf(*lowest);
}

uint32_t Limit(const Target& target) {
  return capacity::Limit(target.capacity);
}

// SumLoans sums the slots to be lent to a region, and those that it uses, over
// all targets.
Loan SumLoans(const Scheduler& scheduler, const PoolId& to) {
  Loan sum;
  for (const auto& [id, target] : scheduler.targets) {
    const auto loan = target.loans.find(to);
    if (loan == target.loans.end()) continue;
    sum.desired += loan->second.desired;
    sum.used += loan->second.used;
  }
  return sum;
}

// CorrectionSlots returns how many additional slots (fewer if negative)
// compensate the token deficit of the other region's organisations. An integral
// term compensates a lasting difference, such as that of slots of unequal
// speed.
double CorrectionSlots(const Scheduler& scheduler, Neighbour& neighbour,
                       double sample, double max_slots) {
  neighbour.token_deficit += kSmoothing * (sample - neighbour.token_deficit);
  // A lent slot reduces the speed of one region by what it adds to the other.
  const double slots =
      neighbour.token_deficit / (2 * SlotSpeed(scheduler) * kCatchUpTime);
  neighbour.integral_slots = std::clamp(
      neighbour.integral_slots + slots * kIntegralGain, -max_slots, max_slots);
  return slots + neighbour.integral_slots;
}

// DesiredLoan decides how many slots to lend to a region: its part of the local
// surplus, and more while its organisations have a token deficit. A region
// without surplus lends nothing.
uint32_t DesiredLoan(Scheduler& scheduler, const PoolId& to, TimePoint now) {
  Neighbour& neighbour = scheduler.neighbours.at(to);
  std::vector<RegionBacklog> backlogs = CollectBacklogs(scheduler, now);
  AllocateShares(backlogs);
  const bool can_lend = neighbour.needs_slots && IsFresh(neighbour, now) &&
                        backlogs.front().deficit < -kMinSurplus;
  if (!can_lend) {
    neighbour.integral_slots = 0;
    neighbour.token_deficit = 0;
    return 0;
  }
  const RegionBacklog& other =
      *std::ranges::find(backlogs, to, &RegionBacklog::pool);
  const Loan current = SumLoans(scheduler, to);
  // At most twice the slots in use plus kInitialLoan are lent, so that few lent
  // slots are idle.
  const double max_slots =
      std::min(2.0 * current.used + kInitialLoan, backlogs[0].capacity);
  const double desired =
      std::clamp(EntitledSlots(backlogs, other) +
                     CorrectionSlots(scheduler, neighbour,
                                     TokenDeficit(backlogs, other), max_slots),
                 0.0, max_slots);
  if (desired > 0 && std::abs(desired - current.desired) < 1) {
    return current.desired;
  }
  return static_cast<uint32_t>(std::lround(desired));
}

// DistributeLoan divides `desired` slots among the targets in proportion to
// their limits.
void DistributeLoan(Scheduler& scheduler, const PoolId& to, uint32_t desired,
                    TimePoint now) {
  double sum = 0;
  for (const auto& [id, target] : scheduler.targets) {
    if (!target.remote && CanUse(scheduler, target, now)) sum += Limit(target);
  }
  double cumulative_limit = 0;
  uint32_t distributed = 0;
  for (auto& [id, target] : scheduler.targets) {
    if (target.remote) continue;
    uint32_t slots = 0;
    if (CanUse(scheduler, target, now)) {
      cumulative_limit += Limit(target);
      slots =
          static_cast<uint32_t>(std::lround(desired * cumulative_limit / sum)) -
          distributed;
      distributed += slots;
    }
    const bool has_loan = target.loans.contains(to);
    if (slots > 0 || has_loan) target.loans[to].desired = slots;
  }
}

// AvailableSlots returns how many slots of a target are taken neither by the
// local region nor by a third one.
uint32_t AvailableSlots(const Target& target, const PoolId& to, TimePoint now) {
  uint32_t taken = InFlight(target);
  for (const auto& [pool, loan] : target.loans) {
    if (pool != to) taken += HeldSlots(loan, now);
  }
  return Limit(target) > taken ? Limit(target) - taken : 0;
}

// SetLoan sets how many slots of a target a region may use from now on, as of
// share number `share`.
void SetLoan(Loan& loan, uint32_t slots, uint64_t share, TimePoint now) {
  const uint32_t active = now < loan.expires_at ? loan.slots : 0;
  if (slots < active) {
    const uint32_t prior = now < loan.prior_expires_at ? loan.prior_slots : 0;
    loan.prior_slots = std::max(prior, active);
    loan.prior_expires_at = std::max(loan.prior_expires_at, loan.expires_at);
    loan.reduced_by = share;
  }
  loan.slots = slots;
  loan.expires_at = now + kLoanTtl;
}

// LoanTtl returns how long a region may use the slots lent now: no longer than
// local routers would use a target that stops reporting.
Duration LoanTtl(const Scheduler& scheduler, const PoolId& to, TimePoint now) {
  const Options& options = scheduler.options;
  const Duration after_report =
      options.suspect_timeout + options.grant_lifetime;
  Duration ttl = kLoanTtl;
  for (const auto& [id, target] : scheduler.targets) {
    const auto loan = target.loans.find(to);
    if (loan == target.loans.end() || loan->second.desired == 0) continue;
    ttl = std::min(ttl, target.last_seen + after_report - now);
  }
  return std::max(ttl, Duration::zero());
}

}  // namespace

bool IsFresh(const Neighbour& neighbour, TimePoint now) {
  return neighbour.newest_share != 0 &&
         now - neighbour.last_seen < kRemoteStateTtl;
}

bool HasWaitingRequests(const RemoteService& remote, TimePoint now) {
  return remote.has_waiting && now - remote.received_at < kRemoteStateTtl;
}

uint32_t HeldSlots(const Loan& loan, TimePoint now) {
  const uint32_t current =
      now < loan.expires_at ? std::max(loan.desired, loan.slots) : 0;
  const uint32_t prior = now < loan.prior_expires_at ? loan.prior_slots : 0;
  return std::max({current, prior, loan.used});
}

uint32_t LocalCapacity(const Scheduler& scheduler, TimePoint now) {
  uint32_t capacity = 0;
  for (const auto& [id, target] : scheduler.targets) {
    if (target.remote || !CanUse(scheduler, target, now)) continue;
    const uint32_t taken = scheduler.ready.empty() ? InFlight(target) : 0;
    if (Limit(target) > taken) capacity += Limit(target) - taken;
  }
  return capacity;
}

bool HasTargets(const Scheduler& scheduler, TimePoint now) {
  return std::ranges::any_of(scheduler.targets, [&](const auto& item) {
    return !item.second.remote && IsAvailable(scheduler, item.second, now);
  });
}

void UpdateTargetsSeen(Scheduler& scheduler, TimePoint now) {
  const bool elsewhere =
      std::ranges::any_of(scheduler.neighbours, [now](const auto& item) {
        return item.second.has_targets && IsFresh(item.second, now);
      });
  if (elsewhere || HasTargets(scheduler, now)) scheduler.targets_seen_at = now;
}

bool LacksTargets(const Scheduler& scheduler, TimePoint now) {
  return scheduler.rebuilt &&
         now - scheduler.targets_seen_at >= kRemoteStateTtl;
}

void LendSlots(Scheduler& scheduler, const PoolId& to,
               sharing::CounterShare& share, TimePoint now) {
  DistributeLoan(scheduler, to, DesiredLoan(scheduler, to, now), now);
  share.expires_ms = static_cast<uint32_t>(LoanTtl(scheduler, to, now) /
                                           std::chrono::milliseconds(1));
  for (auto& [id, target] : scheduler.targets) {
    const auto it = target.loans.find(to);
    if (it == target.loans.end()) continue;
    Loan& loan = it->second;
    const uint32_t slots = std::min(
        loan.desired, std::max(loan.used, AvailableSlots(target, to, now)));
    SetLoan(loan, slots, share.sequence, now);
    if (slots > 0 || now < loan.prior_expires_at) {
      share.loans.push_back(sharing::SlotLoan{.target = id,
                                              .address = target.address,
                                              .slots = slots,
                                              .traits = target.traits});
    }
    if (loan.desired == 0 && HeldSlots(loan, now) == 0) target.loans.erase(it);
    UpdateFreeList(scheduler, target, now);
  }
}

}  // namespace samphirebank::scheduler::internal
