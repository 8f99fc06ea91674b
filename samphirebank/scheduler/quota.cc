// The exchange with the coordinators of limits that hold over several pools.
#include <algorithm>
#include <utility>

#include "samphirebank/scheduler/internal/state.h"

namespace samphirebank::scheduler {
namespace {

constexpr Duration kAskInterval = std::chrono::milliseconds(500);
// Least time between two asks of one coordinator.
constexpr Duration kAskSpacing = std::chrono::milliseconds(50);
constexpr size_t kMaxSentTimes = 64;
// kMaxUses keeps an ask and its answer within one packet.
constexpr size_t kMaxUses = 500;

// NeedsQuota says whether an organisation's coordinator must know of it.
bool NeedsQuota(const Scheduler& scheduler, const Organisation& organisation) {
  const Limits& limits = organisation.limits;
  if (!organisation.allowed || !limits.spans_pools) return false;
  const bool works =
      organisation.waiting + organisation.running + organisation.reserved > 0 ||
      internal::Owes(organisation);
  if (limits.split && works) return true;
  // Below this in every pool, half of the queue's length is not reached.
  return limits.queue_length > 0 &&
         organisation.waiting * 2 * scheduler.pools >= limits.queue_length;
}

QuotaGroup& GroupOf(Scheduler& scheduler, const OrganisationId& id) {
  return scheduler.quota_groups[quota::GroupOf(id)];
}

Organisation* Find(Scheduler& scheduler, const OrganisationId& id) {
  const auto found = scheduler.organisations.find(id);
  return found == scheduler.organisations.end() ? nullptr : &found->second;
}

// SetQuota replaces an organisation's quota; its buckets are filled by the
// former one up to `from`.
void SetQuota(Scheduler& scheduler, Organisation& organisation,
              const sharing::Quota& quota, std::optional<TimePoint> until,
              TimePoint from) {
  internal::FillBuckets(organisation, from);
  QuotaRecord& record = organisation.quota;
  if (record.until) {
    scheduler.lapsing.erase(
        {*record.until, organisation.number, &organisation});
  }
  record.quota = quota;
  record.until = until;
  if (!until) {
    record.waiting_elsewhere = 0;
    return;
  }
  scheduler.lapsing.emplace(*until, organisation.number, &organisation);
}

// Describe tells an organisation's state and gives idle quota back.
sharing::QuotaUse Describe(Scheduler& scheduler, const OrganisationId& id,
                           uint64_t sequence, TimePoint now) {
  sharing::QuotaUse use{.organisation = id};
  Organisation* const organisation = Find(scheduler, id);
  if (organisation == nullptr) return use;
  internal::FillBuckets(*organisation, now);
  if (NeedsQuota(scheduler, *organisation)) {
    use.waiting = static_cast<uint32_t>(organisation->waiting);
    use.running =
        static_cast<uint32_t>(organisation->running + organisation->reserved);
    use.overdrawn = internal::Owes(*organisation);
    use.applied_sequence = organisation->quota.applied_sequence;
  }
  organisation->quota.returned = use.IsIdle();
  if (use.IsIdle()) {
    SetQuota(scheduler, *organisation, {}, std::nullopt, now);
    organisation->quota.returned_in = sequence;
  }
  return use;
}

bool IsDue(const QuotaGroup& group, TimePoint now) {
  if (!group.coordinator || group.members.empty()) return false;
  if (group.next) return true;
  const Duration spacing = group.urgent ? kAskSpacing : kAskInterval;
  return group.asked_at == TimePoint() || now - group.asked_at >= spacing;
}

sharing::QuotaRequest MakeAsk(Scheduler& scheduler, QuotaGroup& group,
                              TimePoint now) {
  sharing::QuotaRequest ask{.to = *group.coordinator,
                            .pool = scheduler.pool,
                            .epoch = scheduler.epoch,
                            .sequence = ++group.last_ask};
  auto member = group.next ? group.members.lower_bound(*group.next)
                           : group.members.begin();
  for (; member != group.members.end(); ++member) {
    if (ask.uses.size() >= kMaxUses) break;
    ask.uses.push_back(Describe(scheduler, *member, ask.sequence, now));
  }
  group.next.reset();
  if (member != group.members.end()) group.next = *member;
  group.urgent = false;
  group.asked_at = now;
  group.sent_at[ask.sequence] = now;
  if (group.sent_at.size() > kMaxSentTimes) {
    group.sent_at.erase(group.sent_at.begin());
  }
  return ask;
}

void TakeItem(Scheduler& scheduler, QuotaGroup& group,
              const sharing::QuotaGrant& grant, const sharing::QuotaItem& item,
              TimePoint until, TimePoint now) {
  Organisation* const organisation = Find(scheduler, item.organisation);
  if (organisation == nullptr) {
    group.members.erase(item.organisation);
    return;
  }
  QuotaRecord& record = organisation->quota;
  if (grant.request_sequence <= record.returned_in) {
    // It answers what was said before the quota was given back, or then.
    const bool heard = grant.request_sequence == record.returned_in;
    if (heard && !NeedsQuota(scheduler, *organisation)) {
      group.members.erase(item.organisation);
    }
    return;
  }
  if (grant.request_sequence <= record.applied_sequence) return;
  SetQuota(scheduler, *organisation, item.quota, until, now);
  record.applied_sequence = grant.request_sequence;
  record.waiting_elsewhere = item.waiting_elsewhere;
  internal::Place(scheduler, *organisation, now);
}

}  // namespace

namespace internal {

void FollowQuota(Scheduler& scheduler, Organisation& organisation) {
  if (!NeedsQuota(scheduler, organisation)) return;
  QuotaGroup& group = GroupOf(scheduler, organisation.id);
  const bool joined = group.members.insert(organisation.id).second;
  if (joined || organisation.quota.returned) group.urgent = true;
  organisation.quota.returned = false;
}

void LapseQuotas(Scheduler& scheduler, TimePoint now) {
  while (!scheduler.lapsing.empty()) {
    const auto [until, number, organisation] = *scheduler.lapsing.begin();
    if (until > now) return;
    SetQuota(scheduler, *organisation, {}, std::nullopt, until);
    Place(scheduler, *organisation, now);
  }
}

void UseCoordinators(Scheduler& scheduler,
                     const contracts::Configuration& configuration) {
  scheduler.pools = configuration.pools.size();
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
  std::vector<sharing::QuotaRequest> asks;
  // Before that it does not know what runs.
  if (!scheduler.rebuilt) return asks;
  for (QuotaGroup& group : scheduler.quota_groups) {
    while (IsDue(group, now)) asks.push_back(MakeAsk(scheduler, group, now));
  }
  return asks;
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
  const TimePoint until =
      sent->second + std::chrono::milliseconds(grant.expires_ms);
  if (until <= now) return;
  for (const sharing::QuotaItem& item : grant.items) {
    TakeItem(scheduler, group, grant, item, until, now);
  }
}

}  // namespace samphirebank::scheduler
