#include "samphirebank/quota/quota.h"

#include <xxhash.h>

#include <algorithm>
#include <string>

namespace samphirebank::quota {
namespace {

constexpr uint64_t kMillirequestsPerRequest = 1000;
// kSweepInterval is the interval at which expired records are evicted.
constexpr Duration kSweepInterval = std::chrono::seconds(10);

uint64_t Hash(const std::string& text, uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

uint64_t RendezvousHash(const PoolId& pool, uint32_t group) {
  return Hash(pool.region.value + '\n' + pool.service.value, group);
}

// IsAllowed returns whether `listed` contains `wanted`. An empty list allows
// every id.
template <typename Id>
bool IsAllowed(const std::vector<Id>& listed, const Id& wanted) {
  if (listed.empty()) return true;
  return std::find(listed.begin(), listed.end(), wanted) != listed.end();
}

sharing::Quota LimitsOf(const contracts::Configuration& configuration,
                        const OrganisationId& organisation) {
  const auto found = configuration.contracts.find(organisation);
  if (found == configuration.contracts.end()) return {};
  const contracts::Contract& contract = found->second.value;
  return {.millirequests_per_second =
              contract.requests_per_second * kMillirequestsPerRequest,
          .tokens_per_minute = static_cast<uint64_t>(
              std::max<int64_t>(0, contract.tokens_per_minute)),
          .concurrency = contract.concurrency};
}

sharing::Quota ElementwiseMax(const sharing::Quota& a,
                              const sharing::Quota& b) {
  return {
      .millirequests_per_second =
          std::max(a.millirequests_per_second, b.millirequests_per_second),
      .tokens_per_minute = std::max(a.tokens_per_minute, b.tokens_per_minute),
      .concurrency = std::max(a.concurrency, b.concurrency)};
}

// Outstanding returns the upper bound of what a pool may be using now.
sharing::Quota Outstanding(const Options& options, const PoolUsage& usage,
                           TimePoint now) {
  const bool counts_running =
      !usage.superseded && now - usage.last_seen < options.usage_timeout;
  sharing::Quota upper_bound;
  for (const IssuedQuota& issued : usage.issued) {
    sharing::Quota used = issued.quota;
    if (issued.expires_at <= now) {
      used = {};
      // Requests that started under a quota keep running after its expiry.
      if (counts_running) used.concurrency = issued.quota.concurrency;
    }
    upper_bound = ElementwiseMax(upper_bound, used);
  }
  if (counts_running) {
    upper_bound.concurrency =
        std::max<uint64_t>(upper_bound.concurrency, usage.running);
  }
  return upper_bound;
}

// MarkSuperseded marks the usage reported by earlier schedulers of a pool.
// Their running requests no longer count, since the new scheduler reports what
// runs in the pool.
void MarkSuperseded(Coordinator& coordinator, const SchedulerRun& run) {
  for (auto& [organisation, usages] : coordinator.usages) {
    for (auto& [holder, usage] : usages) {
      if (holder.first != run.first || holder.second >= run.second) continue;
      usage.superseded = true;
    }
  }
}

// IsReplaced returns whether a newer scheduler of the same pool is known.
bool IsReplaced(const Coordinator& coordinator, const SchedulerRun& run) {
  const auto newer = coordinator.schedulers.upper_bound(run);
  return newer != coordinator.schedulers.end() &&
         newer->first.first == run.first;
}

void EvictExpired(Coordinator& coordinator, TimePoint now) {
  if (now - coordinator.swept_at < kSweepInterval) return;
  coordinator.swept_at = now;
  const Duration retention = coordinator.options.usage_timeout + kQuotaTtl;
  for (auto& [organisation, usages] : coordinator.usages) {
    std::erase_if(usages, [&](const auto& item) {
      return now - item.second.last_seen >= retention;
    });
  }
  std::erase_if(coordinator.usages,
                [](const auto& item) { return item.second.empty(); });
  // The newest scheduler of a pool is always kept, so that late messages
  // of earlier ones are recognized.
  std::erase_if(coordinator.schedulers, [&](const auto& item) {
    return IsReplaced(coordinator, item.first) &&
           now - item.second.last_seen >= retention;
  });
}

// MergeExpired merges the expired quotas into one record. Of an expired quota
// only the concurrency counts, for the requests that started under it.
void MergeExpired(PoolUsage& usage, TimePoint now) {
  std::optional<IssuedQuota> merged;
  std::erase_if(usage.issued, [&](const IssuedQuota& issued) {
    if (issued.expires_at > now) return false;
    if (!merged) merged = issued;
    merged->request_sequence =
        std::max(merged->request_sequence, issued.request_sequence);
    merged->quota = ElementwiseMax(merged->quota, issued.quota);
    return true;
  });
  if (merged) usage.issued.push_back(*merged);
}

void RecordUse(Coordinator& coordinator, const SchedulerRun& run,
               const sharing::QuotaUse& use, TimePoint now) {
  auto& usages = coordinator.usages[use.organisation];
  if (use.IsIdle()) {
    usages.erase(run);
    if (usages.empty()) coordinator.usages.erase(use.organisation);
    return;
  }
  PoolUsage& usage = usages[run];
  usage.waiting = use.waiting;
  usage.running = use.running;
  usage.last_seen = now;
  // The scheduler no longer uses quotas that were granted for older requests.
  std::erase_if(usage.issued, [&](const IssuedQuota& issued) {
    return issued.request_sequence < use.applied_sequence;
  });
}

// FairShare divides `limits` among the active pools of an organisation in
// proportion to their demand and returns the share of the scheduler `run`.
sharing::Quota FairShare(const Coordinator& coordinator,
                         const std::map<SchedulerRun, PoolUsage>& usages,
                         const SchedulerRun& run, const sharing::Quota& limits,
                         TimePoint now) {
  std::vector<uint64_t> demands;
  size_t own = 0;
  for (const auto& [holder, usage] : usages) {
    if (usage.superseded || now - usage.last_seen >= 2 * kQuotaTtl) continue;
    if (holder == run) own = demands.size();
    demands.push_back(
        std::max<uint64_t>(1, uint64_t{usage.waiting} + usage.running));
  }
  const auto rotations =
      (now - coordinator.created_at) / coordinator.options.rotation_interval;
  const size_t first = static_cast<size_t>(rotations) % demands.size();
  return {
      .millirequests_per_second =
          Split(limits.millirequests_per_second, demands, first)[own],
      .tokens_per_minute = Split(limits.tokens_per_minute, demands, first)[own],
      .concurrency = Split(limits.concurrency, demands, first)[own]};
}

// LimitToUnused returns `wanted`, reduced to the part of `limit` that the other
// pools do not use.
uint64_t LimitToUnused(uint64_t wanted, uint64_t limit, uint64_t others) {
  return others >= limit ? 0 : std::min(wanted, limit - others);
}

sharing::QuotaItem GrantQuota(Coordinator& coordinator, const SchedulerRun& run,
                              uint64_t sequence, const sharing::QuotaUse& use,
                              const sharing::Quota& limits, TimePoint now) {
  sharing::QuotaItem item{.organisation = use.organisation};
  if (use.IsIdle()) return item;
  auto& usages = coordinator.usages.at(use.organisation);
  sharing::Quota others;
  for (const auto& [holder, usage] : usages) {
    if (holder == run) continue;
    const sharing::Quota used = Outstanding(coordinator.options, usage, now);
    others.millirequests_per_second += used.millirequests_per_second;
    others.tokens_per_minute += used.tokens_per_minute;
    others.concurrency += used.concurrency;
    if (usage.superseded || now - usage.last_seen >= 2 * kQuotaTtl) continue;
    item.waiting_elsewhere += usage.waiting;
  }
  const sharing::Quota wanted =
      FairShare(coordinator, usages, run, limits, now);
  item.quota = {
      .millirequests_per_second = LimitToUnused(
          wanted.millirequests_per_second, limits.millirequests_per_second,
          others.millirequests_per_second),
      .tokens_per_minute =
          LimitToUnused(wanted.tokens_per_minute, limits.tokens_per_minute,
                        others.tokens_per_minute),
      .concurrency = LimitToUnused(wanted.concurrency, limits.concurrency,
                                   others.concurrency)};
  PoolUsage& usage = usages.at(run);
  MergeExpired(usage, now);
  usage.issued.push_back({.request_sequence = sequence,
                          .quota = item.quota,
                          .expires_at = now + kQuotaTtl});
  return item;
}

}  // namespace

uint32_t QuotaGroupOf(const OrganisationId& organisation) {
  return static_cast<uint32_t>(Hash(organisation.value, 0) % kGroups);
}

Coordinators CoordinatorsOf(const contracts::Configuration& configuration) {
  Coordinators chosen;
  for (uint32_t group = 0; group < kGroups; ++group) {
    uint64_t highest = 0;
    for (const auto& [pool, record] : configuration.pools) {
      const uint64_t rank = RendezvousHash(pool, group);
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
    if (!IsAllowed(contract.services, pool.service)) continue;
    if (!IsAllowed(contract.regions, pool.region)) continue;
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
    Coordinator& coordinator, const sharing::QuotaRequest& request,
    const contracts::Configuration& configuration, TimePoint now) {
  if (request.to != coordinator.id) return std::nullopt;
  const SchedulerRun run{request.pool, request.epoch};
  if (IsReplaced(coordinator, run)) return std::nullopt;
  const auto [position, added] = coordinator.schedulers.try_emplace(run);
  SchedulerRecord& scheduler = position->second;
  if (request.sequence <= scheduler.last_sequence) return std::nullopt;
  scheduler.last_sequence = request.sequence;
  scheduler.last_seen = now;
  if (added) MarkSuperseded(coordinator, run);
  for (const sharing::QuotaUse& use : request.uses) {
    RecordUse(coordinator, run, use, now);
  }
  const Duration age = now - coordinator.created_at;
  if (age < coordinator.options.configuration_lease + kQuotaTtl) {
    return std::nullopt;
  }
  sharing::QuotaGrant grant{.from = coordinator.id,
                            .pool = request.pool,
                            .epoch = request.epoch,
                            .request_sequence = request.sequence,
                            .expires_ms = static_cast<uint32_t>(
                                kQuotaTtl / std::chrono::milliseconds(1))};
  for (const sharing::QuotaUse& use : request.uses) {
    grant.items.push_back(GrantQuota(coordinator, run, request.sequence, use,
                                     LimitsOf(configuration, use.organisation),
                                     now));
  }
  EvictExpired(coordinator, now);
  return grant;
}

void Refresh(LocalCoordinators& local, const InstanceId& self,
             const contracts::Configuration& configuration, TimePoint now) {
  const bool gap = now - local.refreshed_at >= kQuotaTtl;
  local.refreshed_at = now;
  const Coordinators chosen = CoordinatorsOf(configuration);
  for (uint32_t group = 0; group < kGroups; ++group) {
    auto& coordinator = local.coordinators[group];
    const auto& id = chosen[group];
    const bool is_local =
        id && configuration.pools.at(id->pool).value.holder == self;
    if (!is_local) {
      coordinator.reset();
    } else if (gap || !coordinator || coordinator->id != *id) {
      coordinator = Create(local.options, *id, now);
    }
  }
}

Coordinator* Find(LocalCoordinators& local, const sharing::CoordinatorId& id) {
  if (id.group >= kGroups) return nullptr;
  auto& coordinator = local.coordinators[id.group];
  return coordinator && coordinator->id == id ? &*coordinator : nullptr;
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
