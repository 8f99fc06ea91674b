// The exchange with the coordinators of limits that span several pools.
#include <algorithm>
#include <utility>

#include "samphirebank/scheduler/internal/state.h"

namespace samphirebank::scheduler {
namespace {

// Time between two requests to one coordinator, unless a quota is urgent.
constexpr Duration kRequestInterval = std::chrono::milliseconds(500);
// Minimum time between two requests to one coordinator.
constexpr Duration kMinRequestInterval = std::chrono::milliseconds(50);
// Number of requests to one coordinator whose send times are kept.
constexpr size_t kMaxSentTimes = 64;
// kMaxUsesPerRequest keeps a request and its response within one packet.
constexpr size_t kMaxUsesPerRequest = 500;

// NeedsQuota returns whether an organisation's state must be reported to its
// coordinator.
bool NeedsQuota(const Scheduler& scheduler, const Organisation& organisation) {
  const Limits& limits = organisation.limits;
  if (!organisation.allowed || !limits.spans_pools) return false;
  const bool has_work =
      organisation.waiting + organisation.running + organisation.reserved > 0 ||
      internal::IsOverdrawn(organisation);
  if (limits.split && has_work) return true;
  // While every pool is below this, fewer than half of queue_length wait in
  // all.
  return limits.queue_length > 0 &&
         organisation.waiting * 2 * scheduler.num_pools >= limits.queue_length;
}

QuotaGroup& QuotaGroupOf(Scheduler& scheduler, const OrganisationId& id) {
  return scheduler.quota_groups[quota::QuotaGroupOf(id)];
}

Organisation* FindOrganisation(Scheduler& scheduler, const OrganisationId& id) {
  const auto found = scheduler.organisations.find(id);
  return found == scheduler.organisations.end() ? nullptr : &found->second;
}

// SetQuota replaces an organisation's quota; its buckets are refilled at the
// rate of the previous quota up to `from`.
void SetQuota(Scheduler& scheduler, Organisation& organisation,
              const sharing::Quota& quota, std::optional<TimePoint> expires_at,
              TimePoint from) {
  internal::RefillBuckets(organisation, from);
  QuotaRecord& record = organisation.quota;
  if (record.expires_at) {
    scheduler.expiring_quotas.erase(
        {*record.expires_at, organisation.number, &organisation});
  }
  record.quota = quota;
  record.expires_at = expires_at;
  if (!expires_at) {
    record.waiting_elsewhere = 0;
    return;
  }
  scheduler.expiring_quotas.emplace(*expires_at, organisation.number,
                                    &organisation);
}

// BuildUse returns an organisation's state, and returns its quota if it is
// idle.
sharing::QuotaUse BuildUse(Scheduler& scheduler, const OrganisationId& id,
                           uint64_t sequence, TimePoint now) {
  sharing::QuotaUse use{.organisation = id};
  Organisation* const organisation = FindOrganisation(scheduler, id);
  if (organisation == nullptr) return use;
  internal::RefillBuckets(*organisation, now);
  if (NeedsQuota(scheduler, *organisation)) {
    use.waiting = static_cast<uint32_t>(organisation->waiting);
    use.running =
        static_cast<uint32_t>(organisation->running + organisation->reserved);
    use.overdrawn = internal::IsOverdrawn(*organisation);
    use.applied_sequence = organisation->quota.applied_sequence;
  }
  organisation->quota.returned = use.IsIdle();
  if (use.IsIdle()) {
    SetQuota(scheduler, *organisation, {}, std::nullopt, now);
    organisation->quota.returning_sequence = sequence;
  }
  return use;
}

bool IsDue(const QuotaGroup& group, TimePoint now) {
  if (!group.coordinator || group.members.empty()) return false;
  if (group.next_member) return true;
  const Duration interval =
      group.urgent ? kMinRequestInterval : kRequestInterval;
  return group.requested_at == TimePoint() ||
         now - group.requested_at >= interval;
}

sharing::QuotaRequest NewRequest(Scheduler& scheduler, QuotaGroup& group,
                                 TimePoint now) {
  sharing::QuotaRequest request{.to = *group.coordinator,
                                .pool = scheduler.pool,
                                .epoch = scheduler.epoch,
                                .sequence = ++group.last_request};
  auto member = group.next_member
                    ? group.members.lower_bound(*group.next_member)
                    : group.members.begin();
  for (; member != group.members.end(); ++member) {
    if (request.uses.size() >= kMaxUsesPerRequest) break;
    request.uses.push_back(BuildUse(scheduler, *member, request.sequence, now));
  }
  group.next_member.reset();
  if (member != group.members.end()) group.next_member = *member;
  group.urgent = false;
  group.requested_at = now;
  group.sent_at[request.sequence] = now;
  if (group.sent_at.size() > kMaxSentTimes) {
    group.sent_at.erase(group.sent_at.begin());
  }
  return request;
}

void ApplyItem(Scheduler& scheduler, QuotaGroup& group,
               const sharing::QuotaGrant& grant, const sharing::QuotaItem& item,
               TimePoint expires_at, TimePoint now) {
  Organisation* const organisation =
      FindOrganisation(scheduler, item.organisation);
  if (organisation == nullptr) {
    group.members.erase(item.organisation);
    return;
  }
  QuotaRecord& record = organisation->quota;
  if (grant.request_sequence <= record.returning_sequence) {
    // The grant responds to the request that returned the quota, or to an
    // earlier one.
    const bool is_returning_request =
        grant.request_sequence == record.returning_sequence;
    if (is_returning_request && !NeedsQuota(scheduler, *organisation)) {
      group.members.erase(item.organisation);
    }
    return;
  }
  if (grant.request_sequence <= record.applied_sequence) return;
  SetQuota(scheduler, *organisation, item.quota, expires_at, now);
  record.applied_sequence = grant.request_sequence;
  record.waiting_elsewhere = item.waiting_elsewhere;
  internal::UpdateReadiness(scheduler, *organisation, now);
}

}  // namespace

namespace internal {

void UpdateQuotaMembership(Scheduler& scheduler, Organisation& organisation) {
  if (!NeedsQuota(scheduler, organisation)) return;
  QuotaGroup& group = QuotaGroupOf(scheduler, organisation.id);
  const bool inserted = group.members.insert(organisation.id).second;
  if (inserted || organisation.quota.returned) group.urgent = true;
  organisation.quota.returned = false;
}

void ExpireQuotas(Scheduler& scheduler, TimePoint now) {
  while (!scheduler.expiring_quotas.empty()) {
    const auto [expires_at, number, organisation] =
        *scheduler.expiring_quotas.begin();
    if (expires_at > now) return;
    SetQuota(scheduler, *organisation, {}, std::nullopt, expires_at);
    UpdateReadiness(scheduler, *organisation, now);
  }
}

void UpdateCoordinators(Scheduler& scheduler,
                        const contracts::Configuration& configuration) {
  scheduler.num_pools = configuration.pools.size();
  const quota::Coordinators chosen = quota::CoordinatorsOf(configuration);
  for (uint32_t i = 0; i < quota::kGroups; ++i) {
    QuotaGroup& group = scheduler.quota_groups[i];
    if (group.coordinator == chosen[i]) continue;
    group.coordinator = chosen[i];
    group.sent_at.clear();
    group.urgent = true;
  }
}

}  // namespace internal

std::vector<sharing::QuotaRequest> BuildQuotaRequests(State& state,
                                                      TimePoint now) {
  Scheduler& scheduler = *state;
  std::vector<sharing::QuotaRequest> out;
  // Before the rebuild ends, the scheduler does not know all running requests.
  if (!scheduler.rebuilt) return out;
  for (QuotaGroup& group : scheduler.quota_groups) {
    while (IsDue(group, now)) out.push_back(NewRequest(scheduler, group, now));
  }
  return out;
}

void OnQuotaGrant(State& state, const sharing::QuotaGrant& grant,
                  TimePoint now) {
  Scheduler& scheduler = *state;
  if (grant.pool != scheduler.pool || grant.epoch != scheduler.epoch) return;
  if (grant.from.group >= quota::kGroups) return;
  QuotaGroup& group = scheduler.quota_groups[grant.from.group];
  if (group.coordinator != grant.from) return;
  const auto sent = group.sent_at.find(grant.request_sequence);
  if (sent == group.sent_at.end()) return;
  const TimePoint expires_at =
      sent->second + std::chrono::milliseconds(grant.expires_ms);
  if (expires_at <= now) return;
  for (const sharing::QuotaItem& item : grant.items) {
    ApplyItem(scheduler, group, grant, item, expires_at, now);
  }
}

}  // namespace samphirebank::scheduler
