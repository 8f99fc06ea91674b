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
//   NoteGateway(aggregate, from, report.load, now);
//   LoadSum answer{.load = SumWithout(aggregate, from, now)};
//
// and on a gateway:
//
//   double level = FairLevel(asked_by_organisation, capacity);
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

// Key stands for a target or an organisation in a report: a short hash.
using Key = uint32_t;
Key KeyOf(std::string_view id);

// TargetWork is what waits at a target.
struct TargetWork {
  Key target = 0;
  uint32_t milliseconds = 0;  // until all prompts sent there are read

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(target, milliseconds);
  }
};

// OrganisationUse is what an organisation asks for and gets, in tokens a
// second.
struct OrganisationUse {
  Key organisation = 0;
  uint32_t asked = 0;
  uint32_t admitted = 0;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(organisation, asked, admitted);
  }
};

// Load is some gateways' part. What is zero is left out.
struct Load {
  std::vector<TargetWork> targets{};
  std::vector<OrganisationUse> organisations{};

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

// kFresh is how long a report counts.
inline constexpr Duration kFresh = std::chrono::milliseconds(1000);

// Aggregate is what one coordinator was told.
struct Aggregate {
  struct Told {
    Load load{};
    TimePoint at{};
  };
  std::map<InstanceId, Told> gateways{};
  std::map<InstanceId, Told> coordinators{};
};

// NoteGateway and NoteCoordinator take reports in.
void NoteGateway(Aggregate& aggregate, const InstanceId& from, Load load,
                 TimePoint now);
void NoteCoordinator(Aggregate& aggregate, const InstanceId& from, Load load,
                     TimePoint now);

// SumWithout is the fresh load of all gateways but one.
Load SumWithout(const Aggregate& aggregate, const InstanceId& left_out,
                TimePoint now);

// OwnShare is the fresh load of the gateways that report here.
Load OwnShare(const Aggregate& aggregate, TimePoint now);

// ForgetOld drops reports that no longer count.
void ForgetOld(Aggregate& aggregate, TimePoint now);

// Meter measures a rate that forgets what is more than a few times `kMemory`
// ago.
struct Meter {
  double per_second = 0.0;
  TimePoint at{};
};
inline constexpr Duration kMemory = std::chrono::milliseconds(2000);
void Add(Meter& meter, double amount, TimePoint now);
double Rate(const Meter& meter, TimePoint now);

// FairLevel returns the max-min level: the most that one of several may get so
// that each gets what it asks, or the level, and all get `capacity` together.
// Infinite when all ask for less than the capacity.
double FairLevel(std::vector<double> asked, double capacity);

}  // namespace samphirebank::fleetload

#endif  // SAMPHIREBANK_FLEETLOAD_FLEETLOAD_H_
