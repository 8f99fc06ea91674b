#include "samphirebank/queue/queue.h"

#include <algorithm>
#include <utility>

#include "samphirebank/queue/internal/records.h"

namespace samphirebank::queue {
namespace {

using internal::MarkChanged;
using internal::MarkTargetChanged;

constexpr Duration kMinRetryAfter = std::chrono::seconds(1);
constexpr Duration kMaxRetryAfter = std::chrono::minutes(10);

// ExpectedWait returns how long a request at the end of the queue would wait;
// nullopt if the queue is empty or has not been backlogged for long enough to
// estimate its dispatch rate.
std::optional<Duration> ExpectedWait(const OrganisationQueue& organisation,
                                     TimePoint now) {
  if (organisation.waiting.empty()) return std::nullopt;
  if (now - organisation.backlogged_since < internal::kRateWindow) {
    return std::nullopt;
  }
  const double rate = internal::DispatchRate(organisation, now);
  const double ahead = static_cast<double>(organisation.waiting.size());
  const double max_seconds =
      std::chrono::duration<double>(kMaxRetryAfter).count();
  const double seconds =
      rate * max_seconds <= ahead ? max_seconds : ahead / rate;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

Refusal Refuse(const Request& request, RefusalKind kind,
               const OrganisationQueue& organisation, TimePoint now) {
  const Duration wait =
      ExpectedWait(organisation, now).value_or(kMinRetryAfter);
  return Refusal{
      .id = request.id,
      .kind = kind,
      .retry_after = std::clamp(wait, kMinRetryAfter, kMaxRetryAfter)};
}

// IsQueueFull compares the contract's queue length with the larger of two
// counts: the requests that wait for this pool at this router and, as reported
// by the scheduler, elsewhere; and the requests that wait at this router over
// all pools, which is known without any report.
bool IsQueueFull(const State& state, const Request& request,
                 const OrganisationQueue& organisation, const Limits& limits,
                 TimePoint now) {
  if (limits.queue_length == 0) return false;
  size_t waiting = organisation.waiting.size();
  if (now < organisation.waiting_elsewhere_expires_at) {
    waiting += organisation.waiting_elsewhere;
  }
  const auto local = state.waiting_by_organisation.find(request.organisation);
  if (local != state.waiting_by_organisation.end()) {
    waiting = std::max<size_t>(waiting, local->second);
  }
  return waiting >= limits.queue_length;
}

std::optional<RefusalKind> ReasonToRefuse(const State& state,
                                          const PoolQueue& pool,
                                          const Request& request,
                                          const OrganisationQueue& organisation,
                                          const Limits& limits, TimePoint now) {
  if (request.deadline <= now) return RefusalKind::kDeadlinePast;
  if (now < pool.no_targets_until) return RefusalKind::kNoTargets;
  if (IsQueueFull(state, request, organisation, limits, now)) {
    return RefusalKind::kQueueFull;
  }
  if (state.waiting.size() >= state.options.max_waiting) {
    return RefusalKind::kRouterFull;
  }
  const std::optional<Duration> wait = ExpectedWait(organisation, now);
  if (wait && now + *wait > request.deadline) return RefusalKind::kWouldExpire;
  return std::nullopt;
}

}  // namespace

void OnEpoch(State& state, const PoolId& pool, Epoch epoch, TimePoint now) {
  auto [position, added] = state.pools.try_emplace(pool);
  PoolQueue& queue = position->second;
  if (!added && queue.epoch == epoch) return;
  queue.epoch = epoch;
  queue.is_full_demand_due = true;
  queue.backlogged = false;
  queue.last_sequence = 0;
  queue.received_grants = {};
  queue.acknowledged = {};
  queue.sent_at.clear();
  queue.targets_by_number.clear();
  for (auto& [id, target] : queue.targets) target.target_number = 0;
  queue.last_sent = now - state.options.min_demand_interval;
  queue.is_demand_urgent = queue.waiting + queue.running > 0;
}

std::optional<Refusal> Enqueue(State& state, const Request& request,
                               const Limits& limits, TimePoint now) {
  PoolQueue& pool = state.pools[request.pool];
  const auto known = pool.organisations.find(request.organisation);
  const OrganisationQueue none;
  const OrganisationQueue& existing =
      known == pool.organisations.end() ? none : known->second;
  if (const auto kind =
          ReasonToRefuse(state, pool, request, existing, limits, now)) {
    return Refuse(request, *kind, existing, now);
  }
  OrganisationQueue& organisation =
      internal::FindOrCreate(state, pool, request.organisation);
  internal::PutWaiting(state, pool, organisation, organisation.waiting.end(),
                       WaitingRequest{.request = request, .enqueued_at = now},
                       now);
  MarkChanged(pool, request.organisation, organisation, true, now);
  return std::nullopt;
}

bool Remove(State& state, const RequestId& id, TimePoint now) {
  const auto known = state.waiting.find(id);
  if (known == state.waiting.end()) return false;
  const auto position = known->second;
  const PoolId pool_id = position->request.pool;
  const OrganisationId organisation_id = position->request.organisation;
  PoolQueue& pool = state.pools[pool_id];
  OrganisationQueue& organisation = pool.organisations.at(organisation_id);
  internal::TakeWaiting(state, pool, organisation, position);
  MarkChanged(pool, organisation_id, organisation, false, now);
  return true;
}

std::vector<Refusal> Expire(State& state, TimePoint now) {
  std::vector<Refusal> refusals;
  while (!state.deadlines.empty() && state.deadlines.begin()->first <= now) {
    const RequestId id = state.deadlines.begin()->second;
    const Request request = state.waiting.at(id)->request;
    const PoolQueue& pool = state.pools[request.pool];
    refusals.push_back(Refuse(request, RefusalKind::kDeadlinePast,
                              pool.organisations.at(request.organisation),
                              now));
    Remove(state, id, now);
  }
  return refusals;
}

std::vector<Refusal> RefuseUnserved(State& state, const PoolId& pool,
                                    TimePoint now) {
  std::vector<Refusal> refusals;
  const auto known = state.pools.find(pool);
  if (known == state.pools.end() || now >= known->second.no_targets_until) {
    return refusals;
  }
  for (const auto& [id, organisation] : known->second.organisations) {
    for (const WaitingRequest& waiting : organisation.waiting) {
      refusals.push_back(
          Refuse(waiting.request, RefusalKind::kNoTargets, organisation, now));
    }
  }
  for (const Refusal& refusal : refusals) Remove(state, refusal.id, now);
  return refusals;
}

std::optional<TimePoint> NextDeadlineAt(const State& state) {
  if (state.deadlines.empty()) return std::nullopt;
  return state.deadlines.begin()->first;
}

void Requeue(State& state, const RequestId& id, TimePoint now) {
  const auto known = state.running.find(id);
  if (known == state.running.end()) return;
  RunningRequest running = std::move(known->second);
  state.running.erase(known);
  PoolQueue& pool = state.pools[running.request.pool];
  OrganisationQueue& organisation =
      internal::FindOrCreate(state, pool, running.request.organisation);
  organisation.running -= 1;
  organisation.charged -= running.charged;
  pool.running -= 1;
  TargetRecord& target = pool.targets[running.target];
  target.running -= 1;
  internal::PutWaiting(state, pool, organisation, organisation.waiting.begin(),
                       WaitingRequest{.request = running.request,
                                      .enqueued_at = running.enqueued_at},
                       now);
  MarkChanged(pool, running.request.organisation, organisation, true, now);
  MarkTargetChanged(pool, running.target, target, now);
}

void OnProgress(State& state, const RequestId& id, Tokens seen, TimePoint now) {
  const auto known = state.running.find(id);
  if (known == state.running.end()) return;
  RunningRequest& running = known->second;
  if (seen.value <= running.tokens_seen) return;
  PoolQueue& pool = state.pools[running.request.pool];
  TargetRecord& target = pool.targets[running.target];
  target.tokens += static_cast<uint64_t>(seen.value - running.tokens_seen);
  running.tokens_seen = seen.value;
  if (running.tokens_seen <= running.charged) return;
  OrganisationQueue& organisation =
      pool.organisations.at(running.request.organisation);
  organisation.charged += running.tokens_seen - running.charged;
  running.charged = running.tokens_seen;
  MarkChanged(pool, running.request.organisation, organisation, false, now);
}

void OnEnd(State& state, const RequestId& id, const Outcome& outcome,
           TimePoint now) {
  const auto known = state.running.find(id);
  if (known == state.running.end()) return;
  const RunningRequest running = std::move(known->second);
  state.running.erase(known);
  PoolQueue& pool = state.pools[running.request.pool];
  OrganisationQueue& organisation =
      pool.organisations.at(running.request.organisation);
  const int64_t cost = outcome.tokens.value;
  organisation.running -= 1;
  organisation.charged += cost - running.charged;
  pool.running -= 1;
  TargetRecord& target = pool.targets[running.target];
  target.running -= 1;
  target.tokens +=
      static_cast<uint64_t>(std::max<int64_t>(0, cost - running.tokens_seen));
  if (outcome.failed) {
    target.failed += 1;
  } else {
    internal::RecordCost(pool, running.request, cost);
  }
  MarkChanged(pool, running.request.organisation, organisation, pool.backlogged,
              now);
  MarkTargetChanged(pool, running.target, target, now);
}

}  // namespace samphirebank::queue
