#include <algorithm>
#include <cmath>
#include <random>
#include <string>
#include <utility>

#include "samphirebank/measure/measure.h"

namespace samphirebank::measure {
namespace {

// MeanCost is the mean of the truncated Pareto distribution of costs.
double MeanCost(const Workload& workload) {
  const auto least = static_cast<double>(workload.least_cost);
  const auto largest = static_cast<double>(workload.largest_cost);
  const double tail = workload.tail;
  const double ratio = std::pow(least / largest, tail);
  return least * tail / (tail - 1) * (1 - std::pow(least / largest, tail - 1)) /
         (1 - ratio);
}

double Capacity(const Workload& workload) {
  return workload.targets * workload.slots * workload.tokens_per_second;
}

// AddOrganisations makes 16 organisations: three large ones that each ask for
// 0.4 of the capacity, ten that ask for more than their fair share, three that
// ask for less. Each comes in at one to three routers.
void AddOrganisations(Workload& workload) {
  constexpr uint32_t kOrganisations = 16;
  const double requests = Capacity(workload) / MeanCost(workload);
  for (uint32_t i = 0; i < kOrganisations; ++i) {
    OrganisationLoad load;
    load.contract.organisation = OrganisationId("org-" + std::to_string(i));
    load.contract.queue_length = 0;
    const double share = i < 3 ? 0.4 : (i < 13 ? 0.09 : 0.02);
    load.requests_per_second = share * requests;
    load.routers.assign(workload.routers, 0);
    load.routers[i % workload.routers] = 0.7;
    load.routers[(i * i + 1) % workload.routers] += 0.2;
    load.routers[(i * 3 + 2) % workload.routers] += 0.1;
    if (i % 5 == 1) load.hint_bias = 0.25;
    if (i % 5 == 2) load.hint_bias = 3;
    workload.organisations.push_back(std::move(load));
  }
}

int64_t DrawCost(const Workload& workload, std::mt19937_64& random) {
  std::uniform_real_distribution<double> uniform(0, 1);
  const auto least = static_cast<double>(workload.least_cost);
  const auto largest = static_cast<double>(workload.largest_cost);
  const double ratio = std::pow(least / largest, workload.tail);
  const double u = uniform(random) * (1 - ratio);
  return static_cast<int64_t>(least * std::pow(1 - u, -1 / workload.tail));
}

int64_t DrawHint(const Workload& workload, const OrganisationLoad& load,
                 int64_t cost, std::mt19937_64& random) {
  std::normal_distribution<double> noise(0, workload.hint_spread);
  const double hint =
      static_cast<double>(cost) * load.hint_bias * std::exp(noise(random));
  const int64_t most = workload.largest_cost * 2;
  return std::clamp<int64_t>(static_cast<int64_t>(hint), 1, most);
}

}  // namespace

Workload Cooperative() {
  Workload workload;
  workload.name = "cooperative";
  workload.routers = 9;
  workload.link_delay = std::chrono::milliseconds(2);
  AddOrganisations(workload);
  return workload;
}

Workload Imprenta() {
  Workload workload;
  workload.name = "imprenta";
  workload.routers = 6;
  workload.least_cost = 30;
  workload.largest_cost = 2048;
  workload.tail = 1.1;
  workload.link_delay = std::chrono::milliseconds(1);
  workload.seed = 2;
  AddOrganisations(workload);
  return workload;
}

std::vector<Request> MakeTrace(const Workload& workload) {
  std::mt19937_64 random(workload.seed);
  std::vector<Request> trace;
  for (uint32_t i = 0; i < workload.organisations.size(); ++i) {
    const OrganisationLoad& load = workload.organisations[i];
    std::exponential_distribution<double> gaps(load.requests_per_second);
    std::discrete_distribution<uint32_t> routers(load.routers.begin(),
                                                 load.routers.end());
    std::chrono::duration<double> at(gaps(random));
    while (at < workload.length) {
      Request request{.at = TimePoint(std::chrono::duration_cast<Duration>(at)),
                      .organisation = i,
                      .router = routers(random)};
      request.cost =
          load.fixed_cost > 0 ? load.fixed_cost : DrawCost(workload, random);
      request.hint = DrawHint(workload, load, request.cost, random);
      trace.push_back(request);
      at += std::chrono::duration<double>(gaps(random));
    }
  }
  std::sort(trace.begin(), trace.end(),
            [](const Request& a, const Request& b) { return a.at < b.at; });
  return trace;
}

std::string Name(Variant variant) {
  switch (variant) {
    case Variant::kCentral:
      return "central";
    case Variant::kNaive:
      return "naive";
    case Variant::kRouterFair:
      return "router-fair";
    case Variant::kPoolScheduler:
      return "pool-scheduler";
    case Variant::kHintsOnly:
      return "hints-only";
    case Variant::kBatched:
      return "batched";
  }
  return "";
}

std::string Name(Fault fault) {
  switch (fault) {
    case Fault::kNone:
      return "calm";
    case Fault::kRouterLost:
      return "router-lost";
    case Fault::kSchedulerLost:
      return "scheduler-lost";
    case Fault::kPartition:
      return "partition";
    case Fault::kTargetLeaves:
      return "target-leaves";
    case Fault::kCapacityHalves:
      return "capacity-halves";
    case Fault::kLossyLinks:
      return "lossy-links";
  }
  return "";
}

}  // namespace samphirebank::measure
