// File: fleetload.h
//
// How much work all gateways have at each target, and how much each
// organisation asks for and gets over the whole fleet. Each gateway reports its
// own part to one coordinator several times a second; coordinators exchange the
// sums of their gateways; the answer tells a gateway what all others do. No
// gateway talks to another. No I/O.
//
// Example, on a coordinator:
//
//   RecordGatewayLoad(aggregate, from, report.load, now);
//   LoadSum answer{.load = SumExcluding(aggregate, from, now)};
//
// and on a gateway:
//
//   double level = MaxMinFairShare(asked_by_organisation, capacity);
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

// IdHash stands for a target or an organisation in a report: a short hash.
using IdHash = uint32_t;
IdHash HashId(std::string_view id);

// TargetBacklog is what waits at a target.
struct TargetBacklog {
  IdHash target = 0;
  uint32_t prefill_ms = 0;  // until all prompts sent there are read

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(target, prefill_ms);
  }
};

// OrganisationRates is what an organisation asks for and gets, in tokens a
// second.
struct OrganisationRates {
  IdHash organisation = 0;
  uint32_t demand = 0;
  uint32_t admitted = 0;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(organisation, demand, admitted);
  }
};

// Load is some gateways' part. What is zero is left out.
struct Load {
  std::vector<TargetBacklog> targets{};
  std::vector<OrganisationRates> organisations{};

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(targets, organisations);
  }
};

// LoadReport goes from a gateway to a coordinator.
struct LoadReport {
  static constexpr wire::Kind kKind = static_cast<wire::Kind>(17);
  Load load{};

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(load);
  }
};

// LoadShare goes from a coordinator to the others: its gateways' sum.
struct LoadShare {
  static constexpr wire::Kind kKind = static_cast<wire::Kind>(18);
  Load load{};

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(load);
  }
};

// LoadSum answers a report: what all other gateways have.
struct LoadSum {
  static constexpr wire::Kind kKind = static_cast<wire::Kind>(19);
  Load load{};

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(load);
  }
};

// kLoadReportTtl is how long a report counts.
inline constexpr Duration kLoadReportTtl = std::chrono::milliseconds(1000);

// Aggregate is what one coordinator was told.
struct Aggregate {
  struct Report {
    Load load{};
    TimePoint at{};
  };
  std::map<InstanceId, Report> gateways{};
  std::map<InstanceId, Report> coordinators{};
};

// RecordGatewayLoad and RecordCoordinatorLoad take reports in.
void RecordGatewayLoad(Aggregate& aggregate, const InstanceId& from, Load load,
                       TimePoint now);
void RecordCoordinatorLoad(Aggregate& aggregate, const InstanceId& from,
                           Load load, TimePoint now);

// SumExcluding is the fresh load of all gateways but one.
Load SumExcluding(const Aggregate& aggregate, const InstanceId& left_out,
                  TimePoint now);

// SumOfGateways is the fresh load of the gateways that report here.
Load SumOfGateways(const Aggregate& aggregate, TimePoint now);

// EvictStale drops reports that no longer count.
void EvictStale(Aggregate& aggregate, TimePoint now);

// RateMeter measures a rate that forgets what is more than a few times
// `kRateTimeConstant` ago.
struct RateMeter {
  double per_second = 0.0;
  TimePoint at{};
};
inline constexpr Duration kRateTimeConstant = std::chrono::milliseconds(2000);
void Add(RateMeter& meter, double amount, TimePoint now);
double Rate(const RateMeter& meter, TimePoint now);

// MaxMinFairShare returns the max-min level: the most that one of several may
// get so that each gets what it asks, or the level, and all get `capacity`
// together. Infinite when all ask for less than the capacity.
double MaxMinFairShare(std::vector<double> asked, double capacity);

}  // namespace samphirebank::fleetload

#endif  // SAMPHIREBANK_FLEETLOAD_FLEETLOAD_H_
