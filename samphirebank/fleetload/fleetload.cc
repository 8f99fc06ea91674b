#include "samphirebank/fleetload/fleetload.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace samphirebank::fleetload {
namespace {

using Report = Aggregate::Report;

void AddToTotal(Aggregate& aggregate, const Load& load) {
  for (const TargetBacklog& backlog : load.targets) {
    aggregate.total_prefill_ms[backlog.target] += backlog.prefill_ms;
  }
  for (const OrganisationRates& rate : load.organisations) {
    OrganisationRates& sum = aggregate.total_rates[rate.organisation];
    sum.organisation = rate.organisation;
    sum.demand += rate.demand;
    sum.admitted += rate.admitted;
  }
}

void RemoveFromTotal(Aggregate& aggregate, const Load& load) {
  for (const TargetBacklog& backlog : load.targets) {
    uint32_t& sum = aggregate.total_prefill_ms[backlog.target];
    sum -= backlog.prefill_ms;
    if (sum == 0) aggregate.total_prefill_ms.erase(backlog.target);
  }
  for (const OrganisationRates& rate : load.organisations) {
    OrganisationRates& sum = aggregate.total_rates[rate.organisation];
    sum.demand -= rate.demand;
    sum.admitted -= rate.admitted;
    if (sum.demand == 0 && sum.admitted == 0) {
      aggregate.total_rates.erase(rate.organisation);
    }
  }
}

Load TotalOf(const Aggregate& aggregate) {
  Load load;
  load.targets.reserve(aggregate.total_prefill_ms.size());
  for (const auto& [target, prefill_ms] : aggregate.total_prefill_ms) {
    load.targets.push_back({.target = target, .prefill_ms = prefill_ms});
  }
  load.organisations.reserve(aggregate.total_rates.size());
  for (const auto& [organisation, rate] : aggregate.total_rates) {
    load.organisations.push_back(rate);
  }
  return load;
}

bool IsFresh(const Report& report, TimePoint now) {
  return now - report.received_at < kLoadReportTtl;
}

// Replace records a report in place of the sender's earlier one.
void Replace(Aggregate& aggregate, Report& report, Load load, TimePoint now) {
  RemoveFromTotal(aggregate, report.load);
  report = {.load = std::move(load), .received_at = now};
  AddToTotal(aggregate, report.load);
}

}  // namespace

IdHash HashId(std::string_view id) {
  return static_cast<IdHash>(XXH64(id.data(), id.size(), 0));
}

void RecordGatewayLoad(Aggregate& aggregate, const InstanceId& from, Load load,
                       TimePoint now) {
  Replace(aggregate, aggregate.gateways[from], std::move(load), now);
}

void RecordCoordinatorLoad(Aggregate& aggregate, const InstanceId& from,
                           Load load, TimePoint now) {
  Replace(aggregate, aggregate.coordinators[from], std::move(load), now);
}

Load SumExcluding(const Aggregate& aggregate, const InstanceId& excluded) {
  Load others = TotalOf(aggregate);
  const auto found = aggregate.gateways.find(excluded);
  if (found == aggregate.gateways.end()) return others;
  Aggregate own;
  AddToTotal(own, found->second.load);
  for (TargetBacklog& backlog : others.targets) {
    const auto part = own.total_prefill_ms.find(backlog.target);
    if (part == own.total_prefill_ms.end()) continue;
    backlog.prefill_ms -= part->second;
  }
  for (OrganisationRates& rate : others.organisations) {
    const auto part = own.total_rates.find(rate.organisation);
    if (part == own.total_rates.end()) continue;
    rate.demand -= part->second.demand;
    rate.admitted -= part->second.admitted;
  }
  std::erase_if(others.targets, [](const TargetBacklog& backlog) {
    return backlog.prefill_ms == 0;
  });
  return others;
}

Load SumOfGateways(const Aggregate& aggregate, TimePoint now) {
  Aggregate sum;
  for (const auto& [gateway, report] : aggregate.gateways) {
    if (IsFresh(report, now)) AddToTotal(sum, report.load);
  }
  return TotalOf(sum);
}

Duration SumInterval(const Aggregate& aggregate) {
  // Targets whose sums are sent at each report.
  constexpr size_t kTargetsPerInterval = 500;
  const size_t num_intervals =
      1 + aggregate.total_prefill_ms.size() / kTargetsPerInterval;
  return std::min<Duration>(num_intervals * kReportInterval,
                            kLoadReportTtl / 2);
}

void EvictStale(Aggregate& aggregate, TimePoint now) {
  const auto evict = [&](const auto& item) {
    if (IsFresh(item.second, now)) return false;
    RemoveFromTotal(aggregate, item.second.load);
    return true;
  };
  std::erase_if(aggregate.gateways, evict);
  std::erase_if(aggregate.coordinators, evict);
}

void Add(RateMeter& meter, double amount, TimePoint now) {
  const std::chrono::duration<double> time_constant = meter.time_constant;
  meter.per_second = Rate(meter, now) + amount / time_constant.count();
  meter.updated_at = now;
}

double Rate(const RateMeter& meter, TimePoint now) {
  const std::chrono::duration<double> age = now - meter.updated_at;
  const std::chrono::duration<double> time_constant = meter.time_constant;
  return meter.per_second * std::exp(-age.count() / time_constant.count());
}

double MaxMinFairShare(std::vector<double> demands, double capacity) {
  std::ranges::sort(demands);
  double remaining = capacity;
  for (size_t i = 0; i < demands.size(); ++i) {
    const double equal_share =
        remaining / static_cast<double>(demands.size() - i);
    if (demands[i] > equal_share) return equal_share;
    remaining -= demands[i];
  }
  return std::numeric_limits<double>::infinity();
}

}  // namespace samphirebank::fleetload
