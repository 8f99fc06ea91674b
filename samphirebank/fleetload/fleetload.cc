#include "samphirebank/fleetload/fleetload.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace samphirebank::fleetload {
namespace {

using Report = Aggregate::Report;

// Sum adds loads by key.
class Sum {
 public:
  void Add(const Load& load) {
    for (const TargetBacklog& work : load.targets) {
      this->work[work.target] += work.prefill_ms;
    }
    for (const OrganisationRates& use : load.organisations) {
      OrganisationRates& sum = this->uses[use.organisation];
      sum.organisation = use.organisation;
      sum.demand += use.demand;
      sum.admitted += use.admitted;
    }
  }

  Load Take() const {
    Load load;
    for (const auto& [target, milliseconds] : this->work) {
      load.targets.push_back({.target = target, .prefill_ms = milliseconds});
    }
    for (const auto& [organisation, use] : this->uses) {
      load.organisations.push_back(use);
    }
    return load;
  }

 private:
  std::unordered_map<IdHash, uint32_t> work;
  std::unordered_map<IdHash, OrganisationRates> uses;
};

bool IsFresh(const Report& told, TimePoint now) {
  return now - told.at < kLoadReportTtl;
}

void AddGateways(const Aggregate& aggregate, const InstanceId* left_out,
                 TimePoint now, Sum* sum) {
  for (const auto& [gateway, told] : aggregate.gateways) {
    const bool counts = left_out == nullptr || gateway != *left_out;
    if (counts && IsFresh(told, now)) sum->Add(told.load);
  }
}

}  // namespace

IdHash HashId(std::string_view id) {
  return static_cast<IdHash>(XXH64(id.data(), id.size(), 0));
}

void RecordGatewayLoad(Aggregate& aggregate, const InstanceId& from, Load load,
                       TimePoint now) {
  aggregate.gateways[from] = {.load = std::move(load), .at = now};
}

void RecordCoordinatorLoad(Aggregate& aggregate, const InstanceId& from,
                           Load load, TimePoint now) {
  aggregate.coordinators[from] = {.load = std::move(load), .at = now};
}

Load SumExcluding(const Aggregate& aggregate, const InstanceId& left_out,
                  TimePoint now) {
  Sum sum;
  AddGateways(aggregate, &left_out, now, &sum);
  for (const auto& [coordinator, told] : aggregate.coordinators) {
    if (IsFresh(told, now)) sum.Add(told.load);
  }
  return sum.Take();
}

Load SumOfGateways(const Aggregate& aggregate, TimePoint now) {
  Sum sum;
  AddGateways(aggregate, nullptr, now, &sum);
  return sum.Take();
}

void EvictStale(Aggregate& aggregate, TimePoint now) {
  const auto is_old = [now](const auto& item) {
    return !IsFresh(item.second, now);
  };
  std::erase_if(aggregate.gateways, is_old);
  std::erase_if(aggregate.coordinators, is_old);
}

void Add(RateMeter& meter, double amount, TimePoint now) {
  const std::chrono::duration<double> memory = kRateTimeConstant;
  meter.per_second = Rate(meter, now) + amount / memory.count();
  meter.at = now;
}

double Rate(const RateMeter& meter, TimePoint now) {
  const std::chrono::duration<double> age = now - meter.at;
  const std::chrono::duration<double> memory = kRateTimeConstant;
  return meter.per_second * std::exp(-age.count() / memory.count());
}

double MaxMinFairShare(std::vector<double> asked, double capacity) {
  std::ranges::sort(asked);
  double left = capacity;
  for (size_t i = 0; i < asked.size(); ++i) {
    const double even = left / static_cast<double>(asked.size() - i);
    if (asked[i] > even) return even;
    left -= asked[i];
  }
  return std::numeric_limits<double>::infinity();
}

}  // namespace samphirebank::fleetload
