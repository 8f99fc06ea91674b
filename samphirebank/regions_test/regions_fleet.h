// File: regions_fleet.h
//
// The users' layout of today as real processes on loopback: three regions of
// one availability zone, in each of them one control instance, two routers and
// one process of stand-in targets. A relay stands in for the links between
// regions.
//
// Example:
//
//   Fleet fleet({.slots = {4, 8, 8}});
//   Reply reply = testing::Ask(fleet.regions[0].routers[1].caller,
//                              ModelCall("guides", 20));
#ifndef SAMPHIREBANK_REGIONS_TEST_REGIONS_FLEET_H_
#define SAMPHIREBANK_REGIONS_TEST_REGIONS_FLEET_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "samphirebank/testing/datagram_relay.h"
#include "samphirebank/testing/processes.h"

namespace samphirebank::regions_test {

inline constexpr size_t kRegions = 3;
inline constexpr size_t kRouters = 2;  // a region
// All organisations with a contract; the weights are equal.
inline constexpr std::array kOrganisations = {"desks", "guides", "riders",
                                              "workshops"};

// FleetOptions say what the targets can carry and how bad the links are.
struct FleetOptions {
  std::array<uint32_t, kRegions> slots = {4, 4, 4};  // 0: no target there
  uint32_t tokens_per_second = 200;                  // of one request
  testing::RelayOptions links = {.delay = std::chrono::milliseconds(20)};
};

// Router is one router process with its ports.
struct Router {
  std::string name;
  uint16_t caller = testing::FreePort();
  uint16_t admin = testing::FreePort();
  uint16_t peer = testing::FreePort();
  uint16_t reached_at = 0;  // of the relay
  std::unique_ptr<testing::Process> process;
};

// Region is what stands in one region.
struct Region {
  std::string name;
  uint16_t control_peer = testing::FreePort();
  uint16_t control_operator = testing::FreePort();
  uint16_t control_reached_at = 0;  // of the relay
  std::unique_ptr<testing::Process> control;
  std::array<Router, kRouters> routers;
  std::unique_ptr<testing::Process> targets;
};

// Run is one run on a target, as the target recorded it.
struct Run {
  std::string target;  // "REGION-1"
  std::string router;  // "REGION-rN"
  std::string nonce;
  std::string state;

  std::string TargetRegion() const;
  std::string RouterRegion() const;
};

// Load is a running load generator: one organisation, with a fixed number of
// requests under way at given routers.
struct Load {
  std::string organisation;
  uint32_t concurrency = 8;
  std::chrono::milliseconds length{5000};
  uint32_t max_tokens = 100;
  uint64_t seed = 1;
  FILE* output = nullptr;
};

// Result is what a load generator counted.
struct Result {
  uint64_t sent = 0;
  uint64_t answered = 0;
  uint64_t tokens = 0;
  uint64_t refused = 0;
  uint64_t lost = 0;
  double first_byte_ms_p95 = 0;
  std::string text;  // as printed
};

// Fleet starts everything and waits until each router answers a call of each
// organisation.
class Fleet {
 public:
  explicit Fleet(const FleetOptions& fleet_options);

  void StartRouter(Region& region, Router& router) const;
  void StartTargets(Region& region, uint32_t slots) const;

  // Start starts a load at routers; Finish waits for its end.
  Load Start(Load load, const std::vector<const Router*>& routers) const;
  static Result Finish(const Load& load);

  // Runs reads what a region's targets recorded so far.
  std::vector<Run> Runs(const Region& region) const;
  // Started counts runs on `region`'s targets for the callers of `callers`.
  size_t Started(const Region& region, const Region& callers) const;
  // Running counts the runs that have not ended on a region's targets.
  size_t Running(const Region& region) const;

  // Holder returns the router that schedules the region's pool; null if none
  // says so.
  Router* Holder(Region& region) const;

  // DeclareTarget writes an operator's declaration, waiting for it to hold.
  int DeclareTarget(const std::string& target, const std::string& intent) const;

  testing::DatagramRelay relay;
  testing::Folder folder;
  std::array<Region, kRegions> regions;

 private:
  void StartControl(Region& region) const;
  int PutContract(const std::string& organisation) const;
  testing::Reply Operate(const testing::Call& call) const;
  std::string Log(const std::string& name) const;

  FleetOptions options;
};

// RoutersOf returns a region's routers.
std::vector<const Router*> RoutersOf(const Region& region);

// ModelCall is a streamed completion.
testing::Call ModelCall(const std::string& organisation, uint32_t tokens);

}  // namespace samphirebank::regions_test

#endif  // SAMPHIREBANK_REGIONS_TEST_REGIONS_FLEET_H_
