// File: fleetload.h
//
// Aggregates load over the whole fleet: the prefill backlog that all gateways
// together have at each target, and the token rates that each organisation
// demands and is admitted. Each gateway reports its own load to one coordinator
// several times a second, coordinators exchange the sums of their gateways, and
// the response to a report contains the sum of all other gateways. Gateways do
// not communicate with each other. No I/O.
//
// Example, on a coordinator:
//
//   RecordGatewayLoad(aggregate, from, report.load, now);
//   LoadSum response{.load = SumExcluding(aggregate, from)};
//
// and on a gateway:
//
//   double level = MaxMinFairShare(demands, capacity);
#ifndef SAMPHIREBANK_FLEETLOAD_FLEETLOAD_H_
#define SAMPHIREBANK_FLEETLOAD_FLEETLOAD_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "samphirebank/base/base.h"

namespace samphirebank::wire {
enum class Kind : uint16_t;
}  // namespace samphirebank::wire

namespace samphirebank::fleetload {

// IdHash is a 32-bit hash that identifies a target or an organisation in a
// report.
using IdHash = uint32_t;
// HashId returns the hash of an id, the same on every instance.
IdHash HashId(std::string_view id);

// TargetBacklog is the estimated prefill backlog of one target.
struct TargetBacklog {
  IdHash target = 0;
  // Estimated time to prefill the prompts that it has not processed yet.
  uint32_t prefill_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(target, prefill_ms);
  }
};

// OrganisationRates holds the token rates of one organisation, in tokens per
// second.
struct OrganisationRates {
  IdHash organisation = 0;
  uint32_t demand = 0;    // requested
  uint32_t admitted = 0;  // admitted by the gateways

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(organisation, demand, admitted);
  }
};

// Load is the load of one gateway, or the sum over several. Targets and
// organisations without load are omitted.
struct Load {
  std::vector<TargetBacklog> targets{};
  std::vector<OrganisationRates> organisations{};

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(targets, organisations);
  }
};

// LoadReport is sent by a gateway to a coordinator: its own load.
struct LoadReport {
  static constexpr wire::Kind kKind = static_cast<wire::Kind>(17);
  Load load{};

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(load);
  }
};

// LoadShare is sent by a coordinator to the other coordinators: the sum over
// the gateways that report to it.
struct LoadShare {
  static constexpr wire::Kind kKind = static_cast<wire::Kind>(18);
  Load load{};

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(load);
  }
};

// LoadSum is the response to a LoadReport: the sum over all other gateways.
struct LoadSum {
  static constexpr wire::Kind kKind = static_cast<wire::Kind>(19);
  Load load{};

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(load);
  }
};

// kLoadReportTtl is the age at which a report becomes stale.
inline constexpr Duration kLoadReportTtl = std::chrono::milliseconds(1000);

// Aggregate holds the latest reports that one coordinator received, by sender.
struct Aggregate {
  struct Report {
    Load load{};
    TimePoint received_at{};
  };
  std::map<InstanceId, Report> gateways{};
  std::map<InstanceId, Report> coordinators{};
  // The sum over all reports, kept up with each of them: a coordinator responds
  // to hundreds of reports a second.
  std::unordered_map<IdHash, uint32_t> total_prefill_ms{};
  std::unordered_map<IdHash, OrganisationRates> total_rates{};
};

// RecordGatewayLoad and RecordCoordinatorLoad replace the latest report of the
// sender `from`.
void RecordGatewayLoad(Aggregate& aggregate, const InstanceId& from, Load load,
                       TimePoint now);
void RecordCoordinatorLoad(Aggregate& aggregate, const InstanceId& from,
                           Load load, TimePoint now);

// SumExcluding returns the load of all gateways of the fleet but `excluded`.
// Stale reports count until EvictStale removes them.
Load SumExcluding(const Aggregate& aggregate, const InstanceId& excluded);

// SumOfGateways returns the load of the gateways that report to this
// coordinator. Stale reports are ignored.
Load SumOfGateways(const Aggregate& aggregate, TimePoint now);

// SumInterval returns how often a sum is sent to one receiver. It is longer for
// a large fleet, so that the bytes per second are bounded, and at most half of
// kLoadReportTtl.
Duration SumInterval(const Aggregate& aggregate);
// kReportInterval is the interval of small sums, and of the reports.
inline constexpr Duration kReportInterval = std::chrono::milliseconds(100);

// EvictStale removes stale reports.
void EvictStale(Aggregate& aggregate, TimePoint now);

// kRateTimeConstant is the time constant of what organisations are admitted,
// kRefusedTimeConstant that of what they are refused: who is refused no more is
// not backlogged any more.
inline constexpr Duration kRateTimeConstant = std::chrono::milliseconds(2000);
inline constexpr Duration kRefusedTimeConstant =
    std::chrono::milliseconds(1000);
// RateMeter estimates a rate by an exponentially decaying average.
struct RateMeter {
  Duration time_constant = kRateTimeConstant;
  double per_second = 0.0;  // at `updated_at`
  TimePoint updated_at{};
};
// Add adds an amount that occurred at `now`.
void Add(RateMeter& meter, double amount, TimePoint now);
// Rate returns the estimate at `now`, per second.
double Rate(const RateMeter& meter, TimePoint now);

// MaxMinFairShare returns the max-min fair level: with each of `demands`
// granted up to this level, the grants add up to `capacity`. Infinite if the
// demands add up to no more than the capacity.
double MaxMinFairShare(std::vector<double> demands, double capacity);

}  // namespace samphirebank::fleetload

#endif  // SAMPHIREBANK_FLEETLOAD_FLEETLOAD_H_
