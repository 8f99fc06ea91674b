// File: regions_fleet.h
//
// A fleet of real processes on loopback, in the current deployment layout of
// the users: three regions with one availability zone each, and in each region
// one control instance, two routers and one emulator process with the targets.
// A datagram relay emulates the links between regions.
//
// Example:
//
//   Fleet fleet({.slots = {4, 8, 8}});
//   Reply reply = testing::Ask(fleet.regions[0].routers[1].caller_port,
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

inline constexpr size_t kNumRegions = 3;
inline constexpr size_t kRoutersPerRegion = 2;
// All organisations with a contract, in which the weights are equal.
inline constexpr std::array kOrganisations = {"desks", "guides", "riders",
                                              "workshops"};

// FleetOptions sets the capacity of the targets and the quality of the links.
struct FleetOptions {
  std::array<uint32_t, kNumRegions> slots = {4, 4, 4};  // 0: no target
  uint32_t tokens_per_second = 200;                     // for each request
  testing::RelayOptions links = {.delay = std::chrono::milliseconds(20)};
};

// Router is one router process with its ports.
struct Router {
  std::string name;
  uint16_t caller_port = testing::FreePort();
  uint16_t admin_port = testing::FreePort();
  uint16_t peer_port = testing::FreePort();
  uint16_t relay_port = 0;  // forwards to peer_port
  std::unique_ptr<testing::Process> process;
};

// Region holds the processes of one region and their ports.
struct Region {
  std::string name;
  uint16_t control_peer_port = testing::FreePort();
  uint16_t control_operator_port = testing::FreePort();
  uint16_t control_relay_port = 0;  // forwards to control_peer_port
  std::unique_ptr<testing::Process> control;
  std::array<Router, kRoutersPerRegion> routers;
  std::unique_ptr<testing::Process> targets;
};

// TargetRun is one entry of the runs file of a target: the start or the end of
// a request that it ran.
struct TargetRun {
  std::string target;  // "REGION-1"
  std::string router;  // "REGION-rN"
  std::string nonce;
  std::string state;  // "started", "ended" or "cut"

  std::string TargetRegion() const;
  std::string RouterRegion() const;
};

// LoadGenerator is a load generator process that keeps a fixed number of
// requests of one organisation in flight at the given routers.
struct LoadGenerator {
  std::string organisation;
  uint32_t concurrency = 8;
  std::chrono::milliseconds duration{5000};
  uint32_t max_tokens = 100;
  uint64_t seed = 1;
  FILE* output = nullptr;
};

// LoadResult holds the counts that a load generator reports.
struct LoadResult {
  uint64_t sent = 0;
  uint64_t answered = 0;
  uint64_t tokens = 0;
  uint64_t refused = 0;
  uint64_t lost = 0;
  double first_byte_ms_p95 = 0;
  std::string text;  // the unparsed report
};

// Fleet starts all processes and waits until each router serves a request of
// each organisation. Throws std::runtime_error if that does not happen in time.
class Fleet {
 public:
  explicit Fleet(const FleetOptions& fleet_options);

  void StartRouter(Region& region, Router& router) const;
  void StartTargets(Region& region, uint32_t slots) const;

  // StartLoad starts a load generator for `routers`; FinishLoad waits for its
  // end and returns its counts.
  LoadGenerator StartLoad(LoadGenerator load,
                          const std::vector<const Router*>& routers) const;
  static LoadResult FinishLoad(const LoadGenerator& load);

  // ReadRuns returns the entries that a region's targets have recorded so far.
  std::vector<TargetRun> ReadRuns(const Region& region) const;
  // CountStarted returns the number of requests started on the targets of
  // `region` that entered the fleet at a router of `callers`.
  size_t CountStarted(const Region& region, const Region& callers) const;
  // CountRunning returns the number of requests in progress on a region's
  // targets.
  size_t CountRunning(const Region& region) const;

  // FindScheduler returns the router that reports to schedule the region's
  // pool; nullptr if none does.
  Router* FindScheduler(Region& region) const;

  // DeclareTarget sets the operators' intent for a target, waits until it is in
  // force and returns the HTTP status.
  int DeclareTarget(const std::string& target, const std::string& intent) const;

  testing::DatagramRelay relay;
  testing::Folder folder;
  std::array<Region, kNumRegions> regions;

 private:
  void StartControl(Region& region) const;
  int PutContract(const std::string& organisation) const;
  testing::Reply SendOperatorCall(const testing::Call& call) const;
  std::string LogFileFlag(const std::string& name) const;

  FleetOptions options;
};

// RoutersOf returns the routers of a region.
std::vector<const Router*> RoutersOf(const Region& region);

// ModelCall returns a streamed completion request with at most `tokens`
// generated tokens.
testing::Call ModelCall(const std::string& organisation, uint32_t tokens);

}  // namespace samphirebank::regions_test

#endif  // SAMPHIREBANK_REGIONS_TEST_REGIONS_FLEET_H_
