#include "samphirebank/scheduler/internal/loans.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>

namespace samphirebank::scheduler::internal {
namespace {

// kLoanLifetime bounds how long another region may use a loan unrenewed.
constexpr Duration kLoanLifetime = std::chrono::milliseconds(1600);
// kMakeUpTime is the time over which a region's organisations are given back
// what they are behind.
constexpr double kMakeUpTime = 4;  // seconds
// kTrimShare is which part of the slots for that is kept, a share sent.
constexpr double kTrimShare = 0.04;
// kSmoothing is the weight of the newest reading of how far a region is behind:
// counters move by whole requests.
constexpr double kSmoothing = 0.4;
// kLeastLeft is how many slots above its share a region must have to lend.
constexpr double kLeastLeft = 0.1;
// kFirstLoan is how many slots are lent before any is used.
constexpr double kFirstLoan = 4;
// kUsualSpeed is taken while no target's speed is known, in tokens a second of
// one request.
constexpr double kUsualSpeed = 50;
// kLeastBusySeconds is how much work tells a speed.
constexpr double kLeastBusySeconds = 2;

// Backlog is what waits in one region and what that region could carry.
struct Backlog {
  PoolId pool{};
  double capacity = 0;  // requests; of an idle region, only what is free
  std::vector<const Organisation*> organisations{};
  double missing = 0;  // capacity, for fair shares; what is left if negative

  const Organisation* Lowest() const {
    const auto by_counter = [](const auto* one, const auto* other) {
      return one->counter < other->counter;
    };
    const auto lowest =
        std::ranges::min_element(this->organisations, by_counter);
    return lowest == this->organisations.end() ? nullptr : *lowest;
  }
};

double WeightOf(const Organisation& organisation) {
  return std::max<uint32_t>(1, organisation.limits.weight);
}

std::vector<Backlog> CollectBacklogs(const Scheduler& scheduler,
                                     TimePoint now) {
  std::vector<Backlog> backlogs;
  Backlog& own = backlogs.emplace_back();
  own.pool = scheduler.pool;
  own.capacity = NearCapacity(scheduler, now);
  for (const auto& [counter, number, organisation] : scheduler.ready) {
    own.organisations.push_back(organisation);
  }
  for (const auto& [pool, neighbour] : scheduler.neighbours) {
    if (!IsHeard(neighbour, now)) continue;
    Backlog& backlog = backlogs.emplace_back();
    backlog.pool = pool;
    backlog.capacity = neighbour.capacity;
    for (const auto& [id, organisation] : scheduler.organisations) {
      const auto far = organisation.far.find(pool);
      if (far == organisation.far.end()) continue;
      if (!IsWaiting(far->second, now)) continue;
      backlog.organisations.push_back(&organisation);
    }
  }
  return backlogs;
}

// Share is one organisation's part of all capacity.
struct Share {
  const Organisation* organisation = nullptr;
  std::vector<size_t> places{};  // where it waits: indices of backlogs
  double slots = 0;              // not yet found
};

std::vector<Share> FairShares(const std::vector<Backlog>& backlogs) {
  std::vector<Share> shares;
  std::unordered_map<const Organisation*, size_t> indices;
  double all = 0;
  double weights = 0;
  for (size_t place = 0; place < backlogs.size(); ++place) {
    all += backlogs[place].capacity;
    for (const Organisation* organisation : backlogs[place].organisations) {
      const auto [index, added] =
          indices.try_emplace(organisation, shares.size());
      if (added) {
        shares.push_back({.organisation = organisation});
        weights += WeightOf(*organisation);
      }
      shares[index->second].places.push_back(place);
    }
  }
  for (Share& share : shares) {
    share.slots = all * WeightOf(*share.organisation) / weights;
  }
  return shares;
}

// Distribute takes each organisation's share from the regions where it waits,
// those first that wait in few, and notes what is missing or left where. So
// nothing crosses that need not.
void Distribute(std::vector<Backlog>& backlogs) {
  std::vector<Share> shares = FairShares(backlogs);
  std::ranges::sort(shares, [](const Share& one, const Share& other) {
    return std::pair(one.places.size(), one.organisation->id) <
           std::pair(other.places.size(), other.organisation->id);
  });
  for (Backlog& backlog : backlogs) backlog.missing = -backlog.capacity;
  for (Share& share : shares) {
    for (size_t round = 0; round < share.places.size(); ++round) {
      const size_t place = *std::ranges::min_element(
          share.places, {}, [&](size_t p) { return backlogs[p].missing; });
      const double left = std::max(0.0, -backlogs[place].missing);
      const double taken = std::min(share.slots, left);
      backlogs[place].missing += taken;
      share.slots -= taken;
    }
    backlogs[share.places.front()].missing += share.slots;
  }
}

// Entitled is which part of what is left here another region needs.
double Entitled(const std::vector<Backlog>& backlogs, const Backlog& other) {
  const double left = std::max(0.0, -backlogs.front().missing);
  double missing = 0;
  for (const Backlog& backlog : backlogs) {
    missing += std::max(0.0, backlog.missing);
  }
  if (missing <= 0) return 0;
  return left * std::max(0.0, other.missing) / missing;
}

// SlotSpeed is what one slot of this region yields, in tokens a second.
double SlotSpeed(const Scheduler& scheduler) {
  double tokens = 0;
  double seconds = 0;
  double earlier = 0;
  for (const auto& [id, target] : scheduler.targets) {
    if (target.far) continue;
    tokens += static_cast<double>(target.tokens);
    seconds += target.busy_seconds;
    earlier = std::max(earlier, target.speed);
  }
  if (earlier > 0) return earlier;
  if (seconds < kLeastBusySeconds || tokens <= 0) return kUsualSpeed;
  return tokens / seconds;
}

// Behind is by how many tokens the other region's organisations are behind
// those that wait elsewhere.
double Behind(const std::vector<Backlog>& backlogs, const Backlog& other) {
  const Organisation* const lowest = other.Lowest();
  double sum = 0;
  int count = 0;
  for (const Backlog& backlog : backlogs) {
    const Organisation* const its = backlog.Lowest();
    if (backlog.pool == other.pool || its == nullptr) continue;
    sum += its->counter;
    ++count;
  }
  if (lowest == nullptr || count == 0) return 0;
  return (sum / count - lowest->counter) * WeightOf(*lowest);
}

uint32_t Limit(const Target& target) {
  return capacity::Limit(target.capacity);
}

// Standing sums what a region is lent, and what it uses, over all targets.
Loan Standing(const Scheduler& scheduler, const PoolId& to) {
  Loan sum;
  for (const auto& [id, target] : scheduler.targets) {
    const auto loan = target.loans.find(to);
    if (loan == target.loans.end()) continue;
    sum.wanted += loan->second.wanted;
    sum.used += loan->second.used;
  }
  return sum;
}

// Correction is how many slots more make up for what the other region's
// organisations are behind. A lasting difference, such as between slots of
// unequal speed, is learned in `trim`.
double Correction(const Scheduler& scheduler, Neighbour& neighbour,
                  double behind, double most) {
  neighbour.behind += kSmoothing * (behind - neighbour.behind);
  // A slot lent takes from one side what it gives to the other.
  const double slots =
      neighbour.behind / (2 * SlotSpeed(scheduler) * kMakeUpTime);
  neighbour.trim = std::clamp(neighbour.trim + slots * kTrimShare, -most, most);
  return slots + neighbour.trim;
}

// Wanted decides how many slots to lend to a region: its part of what is left
// here, more while its organisations are behind. A region that has less than
// its share itself lends nothing.
uint32_t Wanted(Scheduler& scheduler, const PoolId& to, TimePoint now) {
  Neighbour& neighbour = scheduler.neighbours.at(to);
  std::vector<Backlog> backlogs = CollectBacklogs(scheduler, now);
  Distribute(backlogs);
  const bool lends = neighbour.wants_slots && IsHeard(neighbour, now) &&
                     backlogs.front().missing < -kLeastLeft;
  if (!lends) {
    neighbour.trim = 0;
    neighbour.behind = 0;
    return 0;
  }
  const Backlog& other = *std::ranges::find(backlogs, to, &Backlog::pool);
  const Loan standing = Standing(scheduler, to);
  // What was lent and is not used is not doubled: it would only stand idle.
  const double most =
      std::min(2.0 * standing.used + kFirstLoan, backlogs[0].capacity);
  const double wanted = std::clamp(
      Entitled(backlogs, other) +
          Correction(scheduler, neighbour, Behind(backlogs, other), most),
      0.0, most);
  if (wanted > 0 && std::abs(wanted - standing.wanted) < 1) {
    return standing.wanted;
  }
  return static_cast<uint32_t>(std::lround(wanted));
}

// Spread splits `wanted` over the targets by what each can carry.
void Spread(Scheduler& scheduler, const PoolId& to, uint32_t wanted,
            TimePoint now) {
  double all = 0;
  for (const auto& [id, target] : scheduler.targets) {
    if (!target.far && Serves(scheduler, target, now)) all += Limit(target);
  }
  double carried = 0;
  uint32_t given = 0;
  for (auto& [id, target] : scheduler.targets) {
    if (target.far) continue;
    uint32_t part = 0;
    if (Serves(scheduler, target, now)) {
      carried += Limit(target);
      part = static_cast<uint32_t>(std::lround(wanted * carried / all)) - given;
      given += part;
    }
    const bool known = target.loans.contains(to);
    if (part > 0 || known) target.loans[to].wanted = part;
  }
}

// Free is how much of a target neither this region nor a third one takes.
uint32_t Free(const Target& target, const PoolId& to, TimePoint now) {
  uint32_t taken = InFlight(target);
  for (const auto& [pool, loan] : target.loans) {
    if (pool != to) taken += Counted(loan, now);
  }
  return Limit(target) > taken ? Limit(target) - taken : 0;
}

// Tell fixes what a region may use of a target from now on.
void Tell(Loan& loan, uint32_t slots, uint64_t share, TimePoint now) {
  const uint32_t before = now < loan.until ? loan.slots : 0;
  if (slots < before) {
    const uint32_t past = now < loan.past_until ? loan.past_slots : 0;
    loan.past_slots = std::max(past, before);
    loan.past_until = std::max(loan.past_until, loan.until);
    loan.past_share = share;
  }
  loan.slots = slots;
  loan.until = now + kLoanLifetime;
}

// Lifetime is how long a region may use what is lent now: no longer than the
// own routers would use a target that falls silent.
Duration Lifetime(const Scheduler& scheduler, const PoolId& to, TimePoint now) {
  const Options& options = scheduler.options;
  const Duration after_report =
      options.suspect_timeout + options.grant_lifetime;
  Duration lifetime = kLoanLifetime;
  for (const auto& [id, target] : scheduler.targets) {
    const auto loan = target.loans.find(to);
    if (loan == target.loans.end() || loan->second.wanted == 0) continue;
    lifetime = std::min(lifetime, target.heard_at + after_report - now);
  }
  return std::max(lifetime, Duration::zero());
}

}  // namespace

bool IsHeard(const Neighbour& neighbour, TimePoint now) {
  return neighbour.newest != 0 && now - neighbour.heard_at < kFarMemory;
}

bool IsWaiting(const FarService& far, TimePoint now) {
  return far.waits && now - far.heard_at < kFarMemory;
}

uint32_t Counted(const Loan& loan, TimePoint now) {
  const uint32_t now_told =
      now < loan.until ? std::max(loan.wanted, loan.slots) : 0;
  const uint32_t past = now < loan.past_until ? loan.past_slots : 0;
  return std::max({now_told, past, loan.used});
}

uint32_t NearCapacity(const Scheduler& scheduler, TimePoint now) {
  uint32_t capacity = 0;
  for (const auto& [id, target] : scheduler.targets) {
    if (target.far || !Serves(scheduler, target, now)) continue;
    const uint32_t taken = scheduler.ready.empty() ? InFlight(target) : 0;
    if (Limit(target) > taken) capacity += Limit(target) - taken;
  }
  return capacity;
}

bool HasTargets(const Scheduler& scheduler, TimePoint now) {
  return std::ranges::any_of(scheduler.targets, [&](const auto& item) {
    return !item.second.far && Stands(scheduler, item.second, now);
  });
}

void NoteTargets(Scheduler& scheduler, TimePoint now) {
  const bool elsewhere =
      std::ranges::any_of(scheduler.neighbours, [now](const auto& item) {
        return item.second.has_targets && IsHeard(item.second, now);
      });
  if (elsewhere || HasTargets(scheduler, now)) scheduler.targets_seen_at = now;
}

bool LacksTargets(const Scheduler& scheduler, TimePoint now) {
  return scheduler.rebuilt && now - scheduler.targets_seen_at >= kFarMemory;
}

void Lend(Scheduler& scheduler, const PoolId& to, sharing::CounterShare& share,
          TimePoint now) {
  Spread(scheduler, to, Wanted(scheduler, to, now), now);
  share.expires_ms = static_cast<uint32_t>(Lifetime(scheduler, to, now) /
                                           std::chrono::milliseconds(1));
  for (auto& [id, target] : scheduler.targets) {
    const auto found = target.loans.find(to);
    if (found == target.loans.end()) continue;
    Loan& loan = found->second;
    const uint32_t slots =
        std::min(loan.wanted, std::max(loan.used, Free(target, to, now)));
    Tell(loan, slots, share.sequence, now);
    if (slots > 0 || now < loan.past_until) {
      share.loans.push_back(sharing::SlotLoan{.target = id,
                                              .address = target.address,
                                              .slots = slots,
                                              .traits = target.traits});
    }
    if (loan.wanted == 0 && Counted(loan, now) == 0) target.loans.erase(found);
    PlaceTarget(scheduler, target, now);
  }
}

}  // namespace samphirebank::scheduler::internal
