#include <algorithm>
#include <utility>

#include "samphirebank/queue/internal/records.h"
#include "samphirebank/queue/queue.h"

namespace samphirebank::queue {
namespace {

// kMaxSentTimes is the number of demands of a pool whose send time is kept.
constexpr size_t kMaxSentTimes = 256;
// kNoticeTtl is how long a QueueNotice is valid.
constexpr Duration kNoticeTtl = std::chrono::seconds(3);
// kNoTargetsTtl is how long requests are refused after the scheduler reported
// that no target serves the pool. Requests that arrive later are queued again,
// and are refused if another grant reports that there is still no target.
constexpr Duration kNoTargetsTtl = std::chrono::seconds(1);

uint32_t Milliseconds(Duration span) {
  const auto count =
      std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
  return static_cast<uint32_t>(std::clamp<int64_t>(count, 0, UINT32_MAX));
}

// ShouldSend returns whether a record must be part of the demand built now.
template <typename Record>
bool ShouldSend(const PoolQueue& pool, const Record& record,
                Duration resend_delay, TimePoint now) {
  if (pool.is_full_demand_due || record.changed) return true;
  const auto sent = pool.sent_at.find(record.state_sent_in);
  return sent == pool.sent_at.end() || sent->second + resend_delay <= now;
}

// MustName returns whether a demand has to contain an organisation's name, and
// updates is_name_known.
bool MustName(const PoolQueue& pool, OrganisationQueue& organisation) {
  if (pool.is_full_demand_due) organisation.is_name_known = false;
  if (!organisation.is_name_known && !pool.is_full_demand_due) {
    organisation.is_name_known =
        organisation.name_sent_in != 0 &&
        pool.acknowledged.Contains(organisation.name_sent_in);
  }
  return !organisation.is_name_known;
}

sharing::OrganisationDemand Describe(const Options& options,
                                     const PoolQueue& pool,
                                     const OrganisationId& id,
                                     const OrganisationQueue& organisation,
                                     TimePoint now) {
  sharing::OrganisationDemand demand{
      .generation = organisation.generation,
      .waiting = static_cast<uint32_t>(organisation.waiting.size()),
      .running = organisation.running,
      .charged = organisation.charged};
  // A scheduler uses the counter only while it has no state of its own.
  if (pool.is_full_demand_due) demand.counter = organisation.counter;
  demand.cost_known = internal::IsCostKnown(pool, id);
  if (organisation.waiting.empty()) return demand;
  const WaitingRequest& oldest = organisation.waiting.front();
  const int64_t mean = organisation.waiting_estimate /
                       static_cast<int64_t>(organisation.waiting.size());
  const int64_t cost = internal::PredictedCost(options, pool, id, mean);
  demand.estimate = static_cast<uint32_t>(std::min<int64_t>(cost, UINT32_MAX));
  demand.oldest_age_ms = Milliseconds(now - oldest.enqueued_at);
  demand.prefix = oldest.request.prefix;
  return demand;
}

void AddOrganisations(const State& state, PoolQueue& pool,
                      sharing::Demand& demand, TimePoint now) {
  for (auto& [id, organisation] : pool.organisations) {
    if (demand.full) pool.unacknowledged.insert(id);
  }
  for (const OrganisationId& id : pool.unacknowledged) {
    OrganisationQueue& organisation = pool.organisations.at(id);
    if (!ShouldSend(pool, organisation, state.options.resend_delay, now)) {
      continue;
    }
    demand.organisations.push_back(
        Describe(state.options, pool, id, organisation, now));
    if (MustName(pool, organisation)) {
      demand.organisations.back().organisation = id;
      organisation.name_sent_in = demand.sequence;
    }
    organisation.state_sent_in = demand.sequence;
    organisation.changed = false;
  }
}

void AddTargets(const State& state, PoolQueue& pool, sharing::Demand& demand,
                TimePoint now) {
  for (auto& [id, target] : pool.targets) {
    if (demand.full) pool.unacknowledged_targets.insert(id);
  }
  for (const TargetId& id : pool.unacknowledged_targets) {
    TargetRecord& target = pool.targets.at(id);
    if (!ShouldSend(pool, target, state.options.resend_delay, now)) continue;
    const bool has_number = target.target_number != 0 && !demand.full;
    demand.targets.push_back(
        sharing::TargetUse{.target = has_number ? TargetId() : id,
                           .target_number = target.target_number,
                           .running = target.running,
                           .failed = target.failed,
                           .tokens = target.tokens});
    target.state_sent_in = demand.sequence;
    target.changed = false;
  }
}

// DropAcknowledged removes the records that the scheduler has acknowledged from
// the unacknowledged sets, and deletes those of idle organisations.
void DropAcknowledged(PoolQueue& pool) {
  std::erase_if(pool.unacknowledged, [&pool](const OrganisationId& id) {
    const auto position = pool.organisations.find(id);
    const OrganisationQueue& organisation = position->second;
    if (organisation.changed) return false;
    if (!pool.acknowledged.Contains(organisation.state_sent_in)) return false;
    if (organisation.running == 0 && organisation.waiting.empty()) {
      pool.generations.erase(organisation.generation);
      pool.organisations.erase(position);
    }
    return true;
  });
  std::erase_if(pool.unacknowledged_targets, [&pool](const TargetId& id) {
    const TargetRecord& target = pool.targets.at(id);
    return !target.changed && pool.acknowledged.Contains(target.state_sent_in);
  });
}

// OnReceipts records which demands the scheduler has received, unless newer
// receipts are known.
void OnReceipts(PoolQueue& pool, const sharing::Receipts& receipts) {
  if (receipts.newest >= pool.acknowledged.newest) pool.acknowledged = receipts;
  DropAcknowledged(pool);
}

void ApplyNotices(PoolQueue& pool, const sharing::Grant& grant, TimePoint now) {
  for (const sharing::QueueNotice& notice : grant.notices) {
    const auto known = pool.organisations.find(notice.organisation);
    if (known == pool.organisations.end()) continue;
    known->second.waiting_elsewhere = notice.waiting_elsewhere;
    known->second.waiting_elsewhere_expires_at = now + kNoticeTtl;
  }
}

// TargetOf returns the target of a grant item. An item either describes its
// target, which is recorded here, or refers to it by number only; the result is
// null if no grant has described that number.
const TargetInfo* TargetOf(PoolQueue& pool, const sharing::GrantItem& item,
                           uint64_t sequence) {
  if (item.target.value.empty()) {
    const auto known = pool.targets_by_number.find(item.target_number);
    return known == pool.targets_by_number.end() ? nullptr : &known->second;
  }
  TargetInfo& info = pool.targets_by_number[item.target_number];
  if (sequence >= info.last_grant) {
    info = {.id = item.target,
            .address = item.address,
            .traits = item.traits,
            .last_grant = sequence};
    pool.targets[item.target].target_number = item.target_number;
  }
  return &info;
}

// DispatchOne takes the oldest waiting request of an organisation, charges its
// predicted cost and records it as running on the target.
Dispatch DispatchOne(State& state, PoolQueue& pool, const OrganisationId& id,
                     OrganisationQueue& organisation, const TargetInfo& info,
                     TimePoint now) {
  const WaitingRequest taken = internal::TakeWaiting(
      state, pool, organisation, organisation.waiting.begin());
  const int64_t cost = internal::PredictedCost(state.options, pool, id,
                                               taken.request.estimate.value);
  organisation.running += 1;
  organisation.charged += cost;
  pool.running += 1;
  TargetRecord& target = pool.targets[info.id];
  target.running += 1;
  internal::CountDispatch(organisation, now);
  internal::MarkTargetChanged(pool, info.id, target, now);
  state.running[taken.request.id] =
      RunningRequest{.request = taken.request,
                     .target = info.id,
                     .enqueued_at = taken.enqueued_at,
                     .charged = cost};
  return Dispatch{.id = taken.request.id,
                  .target = info.id,
                  .address = info.address,
                  .traits = info.traits};
}

void ApplyItem(State& state, PoolQueue& pool, const sharing::GrantItem& item,
               uint64_t sequence, std::vector<Dispatch>& dispatches,
               TimePoint now) {
  const TargetInfo* const info = TargetOf(pool, item, sequence);
  const auto known = pool.generations.find(item.generation);
  if (info == nullptr || known == pool.generations.end()) {
    pool.is_demand_urgent = true;  // return the unused grant soon
    return;
  }
  const OrganisationId& id = known->second;
  OrganisationQueue& organisation = pool.organisations.at(id);
  organisation.counter = item.counter;
  uint32_t unused = item.count;
  for (; unused > 0; --unused) {
    if (organisation.waiting.empty()) break;
    if (organisation.waiting.front().request.deadline <= now) break;
    dispatches.push_back(
        DispatchOne(state, pool, id, organisation, *info, now));
    dispatches.back().is_remote = item.remote;
  }
  internal::MarkChanged(pool, id, organisation, unused > 0, now);
}

}  // namespace

std::optional<TimePoint> NextDemandAt(const State& state, const PoolId& pool) {
  const auto known = state.pools.find(pool);
  if (known == state.pools.end()) return std::nullopt;
  const PoolQueue& queue = known->second;
  if (queue.epoch == Epoch()) return std::nullopt;
  const Options& options = state.options;
  const TimePoint earliest =
      queue.last_sent + (queue.backlogged && !queue.is_full_demand_due
                             ? options.min_backlogged_demand_interval
                             : options.min_demand_interval);
  if (queue.is_demand_urgent) return earliest;
  std::optional<TimePoint> due;
  if (queue.waiting + queue.running > 0) {
    due = queue.last_sent + options.keepalive_interval;
  }
  if (!queue.unacknowledged.empty() || !queue.unacknowledged_targets.empty()) {
    const TimePoint resend_at = queue.last_sent + options.resend_delay;
    due = std::min(due.value_or(resend_at), resend_at);
  }
  if (queue.changed_since) {
    const TimePoint usage_due =
        std::max(earliest, *queue.changed_since + options.max_usage_delay);
    due = std::min(due.value_or(usage_due), usage_due);
  }
  return due;
}

sharing::Demand BuildDemand(State& state, const PoolId& pool, TimePoint now) {
  PoolQueue& queue = state.pools[pool];
  sharing::Demand demand{.pool = pool,
                         .epoch = queue.epoch,
                         .sequence = ++queue.last_sequence,
                         .full = queue.is_full_demand_due,
                         .reply_to = state.options.reply_to,
                         .grants = queue.received_grants};
  AddOrganisations(state, queue, demand, now);
  AddTargets(state, queue, demand, now);
  queue.is_full_demand_due = false;
  queue.is_demand_urgent = false;
  queue.changed_since.reset();
  queue.last_sent = now;
  queue.sent_at[demand.sequence] = now;
  if (queue.sent_at.size() > kMaxSentTimes) {
    queue.sent_at.erase(queue.sent_at.begin());
  }
  return demand;
}

std::vector<Dispatch> ApplyGrant(State& state, const sharing::Grant& grant,
                                 TimePoint now) {
  std::vector<Dispatch> dispatches;
  const auto known = state.pools.find(grant.pool);
  if (known == state.pools.end()) return dispatches;
  PoolQueue& pool = known->second;
  if (grant.epoch != pool.epoch || !pool.received_grants.Add(grant.sequence)) {
    return dispatches;
  }
  if (grant.full_demand_requested) {
    pool.is_full_demand_due = true;
    pool.is_demand_urgent = true;
  }
  const auto sent = pool.sent_at.find(grant.demands.newest);
  OnReceipts(pool, grant.demands);
  if (sent == pool.sent_at.end()) return dispatches;
  pool.backlogged = grant.backlogged;
  pool.no_targets_until = grant.no_targets ? now + kNoTargetsTtl : TimePoint();
  // Requests whose end was not reported yet may free slots for waiting ones.
  if (pool.backlogged && pool.changed_since) pool.is_demand_urgent = true;
  ApplyNotices(pool, grant, now);
  const TimePoint expires = sent->second +
                            std::chrono::milliseconds(grant.held_ms) +
                            std::chrono::milliseconds(grant.expires_ms);
  if (expires <= now) return dispatches;
  for (const sharing::GrantItem& item : grant.items) {
    ApplyItem(state, pool, item, grant.sequence, dispatches, now);
  }
  for (Dispatch& dispatch : dispatches) {
    dispatch.epoch = grant.epoch;
    dispatch.expires_at = expires;
  }
  if (!grant.items.empty() && !pool.changed_since) pool.changed_since = now;
  return dispatches;
}

}  // namespace samphirebank::queue
