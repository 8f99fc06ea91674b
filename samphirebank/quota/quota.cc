#include "samphirebank/quota/quota.h"

#include <xxhash.h>

#include <algorithm>
#include <string>

namespace samphirebank::quota {
namespace {

constexpr uint64_t kMilli = 1000;
// kSweepInterval is how often what is over is forgotten.
constexpr Duration kSweepInterval = std::chrono::seconds(10);

uint64_t Hash(const std::string& text, uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

uint64_t RankOf(const PoolId& pool, uint32_t group) {
  return Hash(pool.region.value + '\n' + pool.service.value, group);
}

template <typename Id>
bool Allows(const std::vector<Id>& listed, const Id& wanted) {
  if (listed.empty()) return true;
  return std::find(listed.begin(), listed.end(), wanted) != listed.end();
}

sharing::Quota LimitsOf(const contracts::Configuration& configuration,
                        const OrganisationId& organisation) {
  const auto found = configuration.contracts.find(organisation);
  if (found == configuration.contracts.end()) return {};
  const contracts::Contract& contract = found->second.value;
  return {.millirequests_per_second = contract.requests_per_second * kMilli,
          .tokens_per_minute = static_cast<uint64_t>(
              std::max<int64_t>(0, contract.tokens_per_minute)),
          .concurrency = contract.concurrency};
}

sharing::Quota Largest(const sharing::Quota& a, const sharing::Quota& b) {
  return {
      .millirequests_per_second =
          std::max(a.millirequests_per_second, b.millirequests_per_second),
      .tokens_per_minute = std::max(a.tokens_per_minute, b.tokens_per_minute),
      .concurrency = std::max(a.concurrency, b.concurrency)};
}

// Outstanding is the most that a pool may be using now.
sharing::Quota Outstanding(const Options& options, const PoolUsage& holding,
                           TimePoint now) {
  const bool counts_running =
      !holding.superseded && now - holding.last_seen < options.usage_timeout;
  sharing::Quota most;
  for (const IssuedQuota& given : holding.issued) {
    sharing::Quota used = given.quota;
    if (given.expires_at <= now) {
      used = {};
      // What began under a quota runs on after its expiry.
      if (counts_running) used.concurrency = given.quota.concurrency;
    }
    most = Largest(most, used);
  }
  if (counts_running) {
    most.concurrency = std::max<uint64_t>(most.concurrency, holding.running);
  }
  return most;
}

// Supersede notes that the earlier schedulers of a pool are replaced: the new
// one reports what runs there.
void Supersede(Coordinator& coordinator, const SchedulerRun& run) {
  for (auto& [organisation, holdings] : coordinator.usages) {
    for (auto& [holder, holding] : holdings) {
      if (holder.first != run.first || holder.second >= run.second) continue;
      holding.superseded = true;
    }
  }
}

// IsReplaced says whether a newer scheduler of the same pool is known.
bool IsReplaced(const Coordinator& coordinator, const SchedulerRun& run) {
  const auto next = coordinator.schedulers.upper_bound(run);
  return next != coordinator.schedulers.end() && next->first.first == run.first;
}

void Sweep(Coordinator& coordinator, TimePoint now) {
  if (now - coordinator.swept_at < kSweepInterval) return;
  coordinator.swept_at = now;
  const Duration kept = coordinator.options.usage_timeout + kQuotaTtl;
  for (auto& [organisation, holdings] : coordinator.usages) {
    std::erase_if(holdings, [&](const auto& item) {
      return now - item.second.last_seen >= kept;
    });
  }
  std::erase_if(coordinator.usages,
                [](const auto& item) { return item.second.empty(); });
  // An asker is kept while a newer one of its pool must be told from it.
  std::erase_if(coordinator.schedulers, [&](const auto& item) {
    return IsReplaced(coordinator, item.first) &&
           now - item.second.last_seen >= kept;
  });
}

// MergeExpired keeps one record of the quotas that are over: of those only
// what began under them counts.
void MergeExpired(PoolUsage& holding, TimePoint now) {
  std::optional<IssuedQuota> merged;
  std::erase_if(holding.issued, [&](const IssuedQuota& given) {
    if (given.expires_at > now) return false;
    if (!merged) merged = given;
    merged->request_sequence =
        std::max(merged->request_sequence, given.request_sequence);
    merged->quota = Largest(merged->quota, given.quota);
    return true;
  });
  if (merged) holding.issued.push_back(*merged);
}

void TakeUse(Coordinator& coordinator, const SchedulerRun& run,
             const sharing::QuotaUse& use, TimePoint now) {
  auto& holdings = coordinator.usages[use.organisation];
  if (use.IsIdle()) {
    holdings.erase(run);
    if (holdings.empty()) coordinator.usages.erase(use.organisation);
    return;
  }
  PoolUsage& holding = holdings[run];
  holding.waiting = use.waiting;
  holding.running = use.running;
  holding.last_seen = now;
  std::erase_if(holding.issued, [&](const IssuedQuota& given) {
    return given.request_sequence < use.applied_sequence;
  });
}

// Wanted is the part of `limits` that each of an organisation's pools should
// have, the asking one's is returned.
sharing::Quota Wanted(const Coordinator& coordinator,
                      const std::map<SchedulerRun, PoolUsage>& holdings,
                      const SchedulerRun& run, const sharing::Quota& limits,
                      TimePoint now) {
  std::vector<uint64_t> demands;
  size_t own = 0;
  for (const auto& [holder, holding] : holdings) {
    if (holding.superseded || now - holding.last_seen >= 2 * kQuotaTtl)
      continue;
    if (holder == run) own = demands.size();
    demands.push_back(
        std::max<uint64_t>(1, uint64_t{holding.waiting} + holding.running));
  }
  const auto turns =
      (now - coordinator.created_at) / coordinator.options.rotation_interval;
  const size_t first = static_cast<size_t>(turns) % demands.size();
  return {
      .millirequests_per_second =
          Split(limits.millirequests_per_second, demands, first)[own],
      .tokens_per_minute = Split(limits.tokens_per_minute, demands, first)[own],
      .concurrency = Split(limits.concurrency, demands, first)[own]};
}

// Within bounds what a pool gets by what the others leave.
uint64_t Within(uint64_t wanted, uint64_t limit, uint64_t others) {
  return others >= limit ? 0 : std::min(wanted, limit - others);
}

sharing::QuotaItem Answer(Coordinator& coordinator, const SchedulerRun& run,
                          uint64_t sequence, const sharing::QuotaUse& use,
                          const sharing::Quota& limits, TimePoint now) {
  sharing::QuotaItem item{.organisation = use.organisation};
  if (use.IsIdle()) return item;
  auto& holdings = coordinator.usages.at(use.organisation);
  sharing::Quota others;
  for (const auto& [holder, holding] : holdings) {
    if (holder == run) continue;
    const sharing::Quota used = Outstanding(coordinator.options, holding, now);
    others.millirequests_per_second += used.millirequests_per_second;
    others.tokens_per_minute += used.tokens_per_minute;
    others.concurrency += used.concurrency;
    if (holding.superseded || now - holding.last_seen >= 2 * kQuotaTtl)
      continue;
    item.waiting_elsewhere += holding.waiting;
  }
  const sharing::Quota wanted = Wanted(coordinator, holdings, run, limits, now);
  item.quota = {
      .millirequests_per_second = Within(wanted.millirequests_per_second,
                                         limits.millirequests_per_second,
                                         others.millirequests_per_second),
      .tokens_per_minute =
          Within(wanted.tokens_per_minute, limits.tokens_per_minute,
                 others.tokens_per_minute),
      .concurrency =
          Within(wanted.concurrency, limits.concurrency, others.concurrency)};
  PoolUsage& holding = holdings.at(run);
  MergeExpired(holding, now);
  holding.issued.push_back({.request_sequence = sequence,
                            .quota = item.quota,
                            .expires_at = now + kQuotaTtl});
  return item;
}

}  // namespace

uint32_t GroupOf(const OrganisationId& organisation) {
  return static_cast<uint32_t>(Hash(organisation.value, 0) % kGroups);
}

Coordinators CoordinatorsOf(const contracts::Configuration& configuration) {
  Coordinators chosen;
  for (uint32_t group = 0; group < kGroups; ++group) {
    uint64_t highest = 0;
    for (const auto& [pool, record] : configuration.pools) {
      const uint64_t rank = RankOf(pool, group);
      if (chosen[group] && rank <= highest) continue;
      highest = rank;
      chosen[group] = {
          .group = group, .pool = pool, .epoch = record.value.epoch};
    }
  }
  return chosen;
}

bool IsLimited(const contracts::Contract& contract) {
  return contract.requests_per_second > 0 || contract.concurrency > 0 ||
         contract.tokens_per_minute > 0;
}

bool SpansPools(const contracts::Contract& contract,
                const contracts::Configuration& configuration) {
  uint32_t allowed = 0;
  for (const auto& [pool, record] : configuration.pools) {
    if (!Allows(contract.services, pool.service)) continue;
    if (!Allows(contract.regions, pool.region)) continue;
    if (++allowed > 1) return true;
  }
  return false;
}

Coordinator Create(const Options& options, const sharing::CoordinatorId& id,
                   TimePoint now) {
  return Coordinator{
      .options = options, .id = id, .created_at = now, .swept_at = now};
}

std::optional<sharing::QuotaGrant> OnQuotaRequest(
    Coordinator& coordinator, const sharing::QuotaRequest& ask,
    const contracts::Configuration& configuration, TimePoint now) {
  if (ask.to != coordinator.id) return std::nullopt;
  const SchedulerRun run{ask.pool, ask.epoch};
  if (IsReplaced(coordinator, run)) return std::nullopt;
  const auto [position, added] = coordinator.schedulers.try_emplace(run);
  SchedulerRecord& asker = position->second;
  if (ask.sequence <= asker.last_sequence) return std::nullopt;
  asker.last_sequence = ask.sequence;
  asker.last_seen = now;
  if (added) Supersede(coordinator, run);
  for (const sharing::QuotaUse& use : ask.uses) {
    TakeUse(coordinator, run, use, now);
  }
  const Duration age = now - coordinator.created_at;
  if (age < coordinator.options.configuration_lease + kQuotaTtl) {
    return std::nullopt;
  }
  sharing::QuotaGrant grant{.from = coordinator.id,
                            .pool = ask.pool,
                            .epoch = ask.epoch,
                            .request_sequence = ask.sequence,
                            .expires_ms = static_cast<uint32_t>(
                                kQuotaTtl / std::chrono::milliseconds(1))};
  for (const sharing::QuotaUse& use : ask.uses) {
    grant.items.push_back(Answer(coordinator, run, ask.sequence, use,
                                 LimitsOf(configuration, use.organisation),
                                 now));
  }
  Sweep(coordinator, now);
  return grant;
}

void Refresh(LocalCoordinators& duties, const InstanceId& self,
             const contracts::Configuration& configuration, TimePoint now) {
  const bool gap = now - duties.refreshed_at >= kQuotaTtl;
  duties.refreshed_at = now;
  const Coordinators chosen = CoordinatorsOf(configuration);
  for (uint32_t group = 0; group < kGroups; ++group) {
    auto& own = duties.coordinators[group];
    const auto& id = chosen[group];
    const bool here =
        id && configuration.pools.at(id->pool).value.holder == self;
    if (!here) {
      own.reset();
    } else if (gap || !own || own->id != *id) {
      own = Create(duties.options, *id, now);
    }
  }
}

Coordinator* Find(LocalCoordinators& duties, const sharing::CoordinatorId& id) {
  if (id.group >= kGroups) return nullptr;
  auto& own = duties.coordinators[id.group];
  return own && own->id == id ? &*own : nullptr;
}

std::vector<uint64_t> Split(uint64_t total,
                            const std::vector<uint64_t>& demands,
                            size_t first) {
  uint64_t sum = 0;
  for (const uint64_t demand : demands) sum += demand;
  std::vector<uint64_t> parts(demands.size());
  if (sum == 0) return parts;
  uint64_t left = total;
  for (size_t i = 0; i < demands.size(); ++i) {
    parts[i] = total / sum * demands[i] + total % sum * demands[i] / sum;
    left -= parts[i];
  }
  for (size_t i = 0; i < demands.size() && left > 0; ++i) {
    const size_t position = (first + i) % demands.size();
    if (demands[position] == 0) continue;
    parts[position] += 1;
    left -= 1;
  }
  return parts;
}

}  // namespace samphirebank::quota
