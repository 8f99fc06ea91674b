#include "samphirebank/scheduler/scheduler.h"

#include <algorithm>

#include "samphirebank/scheduler/internal/state.h"

namespace samphirebank::scheduler {
namespace {

Limits LimitsOf(const contracts::Contract& contract,
                const contracts::Configuration& configuration) {
  const bool spans_pools = quota::SpansPools(contract, configuration);
  return Limits{.weight = std::max<uint32_t>(1, contract.weight),
                .requests_per_second = contract.requests_per_second,
                .concurrency = contract.concurrency,
                .queue_length = contract.queue_length,
                .tokens_per_minute = contract.tokens_per_minute,
                .spans_pools = spans_pools,
                .split = spans_pools && quota::IsLimited(contract)};
}

template <typename Id>
bool Allows(const std::vector<Id>& listed, const Id& wanted) {
  if (listed.empty()) return true;
  return std::find(listed.begin(), listed.end(), wanted) != listed.end();
}

void ApplyContracts(Scheduler& scheduler,
                    const contracts::Configuration& configuration) {
  scheduler.contracts.clear();
  for (const auto& [id, record] : configuration.contracts) {
    const contracts::Contract& contract = record.value;
    if (!Allows(contract.services, scheduler.pool.service)) continue;
    if (!Allows(contract.regions, scheduler.pool.region)) continue;
    scheduler.contracts.emplace(id, LimitsOf(contract, configuration));
  }
}

}  // namespace

void SchedulerDeleter::operator()(Scheduler* scheduler) const {
  delete scheduler;
}

State Create(const Options& options, const PoolId& pool, Epoch epoch,
             TimePoint now) {
  State state(new Scheduler);
  state->options = options;
  state->pool = pool;
  state->epoch = epoch;
  state->created_at = now;
  state->targets_seen_at = now;
  state->swept_at = now;
  state->records_swept_at = now;
  return state;
}

void OnConfiguration(State& state,
                     const contracts::Configuration& configuration,
                     TimePoint now) {
  Scheduler& scheduler = *state;
  if (configuration.revision <= scheduler.revision) return;
  scheduler.revision = configuration.revision;
  ApplyContracts(scheduler, configuration);
  internal::UpdateCoordinators(scheduler, configuration);
  for (auto& [id, organisation] : scheduler.organisations) {
    internal::UpdateLimits(scheduler, organisation);
    internal::UpdateReadiness(scheduler, organisation, now);
  }
  scheduler.declared.clear();
  for (const auto& [id, record] : configuration.targets) {
    scheduler.declared.emplace(id, record.value);
  }
  for (auto& [id, target] : scheduler.targets) {
    const auto declared = scheduler.declared.find(id);
    target.declared = declared == scheduler.declared.end()
                          ? contracts::TargetIntent::kServing
                          : declared->second;
    internal::UpdateFreeList(scheduler, target, now);
  }
}

Summary Summarize(const State& state) {
  const Scheduler& scheduler = *state;
  Summary summary{.waiting = scheduler.waiting,
                  .running = scheduler.running,
                  .reserved = scheduler.reserved,
                  .organisations = scheduler.organisations.size(),
                  .routers = scheduler.routers.size(),
                  .targets = scheduler.targets.size()};
  for (const auto& [id, target] : scheduler.targets) {
    if (target.known && !target.suspected && !target.remote) {
      summary.capacity += capacity::Limit(target.capacity);
    }
  }
  return summary;
}

std::optional<double> Counter(const State& state,
                              const OrganisationId& organisation) {
  const auto known = state->organisations.find(organisation);
  if (known == state->organisations.end()) return std::nullopt;
  return known->second.counter;
}

}  // namespace samphirebank::scheduler
