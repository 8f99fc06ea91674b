#include "samphirebank/queue/internal/records.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace samphirebank::queue::internal {
namespace {

// kCostDecay is the factor by which each request reduces the weight of the
// earlier ones.
constexpr double kCostDecay = 0.98;
// kMinCostSamples is the minimum of CostSums::requests for the mean cost of an
// organisation to count as known.
constexpr double kMinCostSamples = 5;
// kMaxOrganisations bounds PoolQueue::costs, which is cleared beyond it.
constexpr size_t kMaxOrganisations = 50'000;

double Seconds(Duration span) {
  return std::chrono::duration<double>(span).count();
}

}  // namespace

OrganisationQueue& FindOrCreate(State& state, PoolQueue& pool,
                                const OrganisationId& id) {
  auto [position, added] = pool.organisations.try_emplace(id);
  if (added) {
    position->second.generation = ++state.last_assigned_generation;
    pool.generations.emplace(position->second.generation, id);
  }
  return position->second;
}

void MarkChanged(PoolQueue& pool, const OrganisationId& id,
                 OrganisationQueue& organisation, bool is_urgent,
                 TimePoint now) {
  organisation.changed = true;
  pool.unacknowledged.insert(id);
  if (is_urgent) pool.is_demand_urgent = true;
  if (!pool.changed_since) pool.changed_since = now;
}

void MarkTargetChanged(PoolQueue& pool, const TargetId& id,
                       TargetRecord& target, TimePoint now) {
  target.changed = true;
  pool.unacknowledged_targets.insert(id);
  if (!pool.changed_since) pool.changed_since = now;
}

int64_t PredictedCost(const Options& options, const PoolQueue& pool,
                      const OrganisationId& id, int64_t estimate) {
  if (!IsCostKnown(pool, id)) {
    return std::clamp<int64_t>(estimate, 1, options.max_initial_charge);
  }
  const CostSums& sums = pool.costs.at(id);
  const double mean = sums.tokens / sums.requests;
  return std::max<int64_t>(1, static_cast<int64_t>(mean));
}

bool IsCostKnown(const PoolQueue& pool, const OrganisationId& id) {
  const auto known = pool.costs.find(id);
  return known != pool.costs.end() && known->second.requests >= kMinCostSamples;
}

void RecordCost(PoolQueue& pool, const Request& request, int64_t tokens) {
  if (pool.costs.size() > kMaxOrganisations) pool.costs.clear();
  CostSums& sums = pool.costs[request.organisation];
  sums.tokens = sums.tokens * kCostDecay +
                static_cast<double>(std::max<int64_t>(0, tokens));
  sums.requests = sums.requests * kCostDecay + 1;
}

WaitingRequest TakeWaiting(State& state, PoolQueue& pool,
                           OrganisationQueue& organisation,
                           std::list<WaitingRequest>::iterator position) {
  WaitingRequest taken = std::move(*position);
  organisation.waiting.erase(position);
  organisation.waiting_estimate -= taken.request.estimate.value;
  pool.waiting -= 1;
  state.waiting.erase(taken.request.id);
  const auto waiting_of =
      state.waiting_by_organisation.find(taken.request.organisation);
  waiting_of->second -= 1;
  if (waiting_of->second == 0) state.waiting_by_organisation.erase(waiting_of);
  state.deadlines.erase({taken.request.deadline, taken.request.id});
  return taken;
}

void PutWaiting(State& state, PoolQueue& pool, OrganisationQueue& organisation,
                std::list<WaitingRequest>::iterator position,
                WaitingRequest request, TimePoint now) {
  if (organisation.waiting.empty()) organisation.backlogged_since = now;
  organisation.waiting_estimate += request.request.estimate.value;
  pool.waiting += 1;
  state.waiting_by_organisation[request.request.organisation] += 1;
  state.deadlines.emplace(request.request.deadline, request.request.id);
  const RequestId id = request.request.id;
  state.waiting[id] = organisation.waiting.insert(position, std::move(request));
}

double DispatchRate(const OrganisationQueue& organisation, TimePoint now) {
  const double age = Seconds(now - organisation.dispatch_rate_at);
  return organisation.dispatch_rate * std::exp(-age / Seconds(kRateWindow));
}

void CountDispatch(OrganisationQueue& organisation, TimePoint now) {
  organisation.dispatch_rate =
      DispatchRate(organisation, now) + 1 / Seconds(kRateWindow);
  organisation.dispatch_rate_at = now;
}

}  // namespace samphirebank::queue::internal
