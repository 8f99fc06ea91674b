#include "samphirebank/queue/internal/records.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace samphirebank::queue::internal {
namespace {

constexpr double kLearningRate = 0.1;
constexpr double kLeastRatio = 0.05;
constexpr double kLargestRatio = 50;
constexpr size_t kMaxRatios = 50'000;

double Seconds(Duration span) {
  return std::chrono::duration<double>(span).count();
}

}  // namespace

OrganisationQueue& OrganisationOf(State& state, PoolQueue& pool,
                                  const OrganisationId& id) {
  auto [position, added] = pool.organisations.try_emplace(id);
  if (added) position->second.generation = ++state.last_generation;
  return position->second;
}

void MarkChanged(PoolQueue& pool, const OrganisationId& id,
                 OrganisationQueue& organisation, bool at_once, TimePoint now) {
  organisation.changed = true;
  pool.unsettled.insert(id);
  if (at_once) pool.news = true;
  if (!pool.usage_since) pool.usage_since = now;
}

void MarkTargetChanged(PoolQueue& pool, const TargetId& id,
                       TargetRecord& target, TimePoint now) {
  target.changed = true;
  pool.unsettled_targets.insert(id);
  if (!pool.usage_since) pool.usage_since = now;
}

int64_t PredictedCost(const PoolQueue& pool, const OrganisationId& id,
                      int64_t estimate) {
  const auto known = pool.cost_ratio.find(id);
  const double ratio = known == pool.cost_ratio.end() ? 1 : known->second;
  const double cost = static_cast<double>(estimate) * ratio;
  return std::max<int64_t>(1, static_cast<int64_t>(cost));
}

void LearnCost(PoolQueue& pool, const Request& request, int64_t tokens) {
  if (pool.cost_ratio.size() > kMaxRatios) pool.cost_ratio.clear();
  const auto estimate =
      static_cast<double>(std::max<int64_t>(1, request.estimate.value));
  const double seen = std::clamp(static_cast<double>(tokens) / estimate,
                                 kLeastRatio, kLargestRatio);
  double& ratio =
      pool.cost_ratio.try_emplace(request.organisation, 1.0).first->second;
  ratio += kLearningRate * (seen - ratio);
}

WaitingRequest TakeWaiting(State& state, PoolQueue& pool,
                           OrganisationQueue& organisation,
                           std::list<WaitingRequest>::iterator position) {
  WaitingRequest taken = std::move(*position);
  organisation.waiting.erase(position);
  organisation.waiting_estimate -= taken.request.estimate.value;
  pool.waiting -= 1;
  state.waiting.erase(taken.request.id);
  state.deadlines.erase({taken.request.deadline, taken.request.id});
  return taken;
}

void PutWaiting(State& state, PoolQueue& pool, OrganisationQueue& organisation,
                std::list<WaitingRequest>::iterator position,
                WaitingRequest request, TimePoint now) {
  if (organisation.waiting.empty()) organisation.backlogged_since = now;
  organisation.waiting_estimate += request.request.estimate.value;
  pool.waiting += 1;
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
