#include "samphirebank/fleetload/fleetload.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace samphirebank::fleetload {
namespace {

using Report = Aggregate::Report;

// LoadAccumulator sums loads by target and by organisation.
class LoadAccumulator {
 public:
  void Add(const Load& load) {
    for (const TargetBacklog& backlog : load.targets) {
      this->backlogs[backlog.target] += backlog.prefill_ms;
    }
    for (const OrganisationRates& rate : load.organisations) {
      OrganisationRates& sum = this->rates[rate.organisation];
      sum.organisation = rate.organisation;
      sum.demand += rate.demand;
      sum.admitted += rate.admitted;
    }
  }

  Load Total() const {
    Load load;
    for (const auto& [target, prefill_ms] : this->backlogs) {
      load.targets.push_back({.target = target, .prefill_ms = prefill_ms});
    }
    for (const auto& [organisation, rate] : this->rates) {
      load.organisations.push_back(rate);
    }
    return load;
  }

 private:
  std::unordered_map<IdHash, uint32_t> backlogs;
  std::unordered_map<IdHash, OrganisationRates> rates;
};

bool IsFresh(const Report& report, TimePoint now) {
  return now - report.received_at < kLoadReportTtl;
}

// AddGateways adds the load of all gateways but `excluded`, which may be null.
// Stale reports are ignored.
void AddGateways(const Aggregate& aggregate, const InstanceId* excluded,
                 TimePoint now, LoadAccumulator* sum) {
  for (const auto& [gateway, report] : aggregate.gateways) {
    const bool is_included = excluded == nullptr || gateway != *excluded;
    if (is_included && IsFresh(report, now)) sum->Add(report.load);
  }
}

}  // namespace

IdHash HashId(std::string_view id) {
  return static_cast<IdHash>(XXH64(id.data(), id.size(), 0));
}

void RecordGatewayLoad(Aggregate& aggregate, const InstanceId& from, Load load,
                       TimePoint now) {
  aggregate.gateways[from] = {.load = std::move(load), .received_at = now};
}

void RecordCoordinatorLoad(Aggregate& aggregate, const InstanceId& from,
                           Load load, TimePoint now) {
  aggregate.coordinators[from] = {.load = std::move(load), .received_at = now};
}

Load SumExcluding(const Aggregate& aggregate, const InstanceId& excluded,
                  TimePoint now) {
  LoadAccumulator sum;
  AddGateways(aggregate, &excluded, now, &sum);
  for (const auto& [coordinator, report] : aggregate.coordinators) {
    if (IsFresh(report, now)) sum.Add(report.load);
  }
  return sum.Total();
}

Load SumOfGateways(const Aggregate& aggregate, TimePoint now) {
  LoadAccumulator sum;
  AddGateways(aggregate, nullptr, now, &sum);
  return sum.Total();
}

void EvictStale(Aggregate& aggregate, TimePoint now) {
  const auto is_stale = [now](const auto& item) {
    return !IsFresh(item.second, now);
  };
  std::erase_if(aggregate.gateways, is_stale);
  std::erase_if(aggregate.coordinators, is_stale);
}

void Add(RateMeter& meter, double amount, TimePoint now) {
  const std::chrono::duration<double> time_constant = kRateTimeConstant;
  meter.per_second = Rate(meter, now) + amount / time_constant.count();
  meter.updated_at = now;
}

double Rate(const RateMeter& meter, TimePoint now) {
  const std::chrono::duration<double> age = now - meter.updated_at;
  const std::chrono::duration<double> time_constant = kRateTimeConstant;
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
