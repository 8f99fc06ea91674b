// Tests, with three regions of real processes and no faults, which region
// serves a request.
#include <doctest/doctest.h>

#include <csignal>
#include <thread>

#include "samphirebank/regions_test/regions_fleet.h"

namespace samphirebank::regions_test {
namespace {

using std::chrono::seconds;
using testing::Ask;
using testing::Reply;
using testing::WaitUntil;

size_t CountStartedRemotely(const Fleet& fleet) {
  size_t count = 0;
  for (const Region& region : fleet.regions) {
    for (const Region& callers : fleet.regions) {
      if (&region != &callers) count += fleet.CountStarted(region, callers);
    }
  }
  return count;
}

TEST_CASE("local targets first, then idle remote ones until needed there") {
  Fleet fleet({});
  const Region& aqaba = fleet.regions[0];
  const Region& amman = fleet.regions[1];
  const Region& maan = fleet.regions[2];
  // With free slots in the local region, no request is sent to another region.
  // The first requests may have arrived before the local target announced
  // itself.
  const size_t before = CountStartedRemotely(fleet);
  for (const Region& region : fleet.regions) {
    for (const Router& router : region.routers) {
      CHECK(Ask(router.caller_port, ModelCall("guides", 1)).status == 200);
    }
  }
  CHECK(CountStartedRemotely(fleet) == before);

  // The load exceeds the capacity of the local region: idle slots of the remote
  // regions are used.
  const LoadGenerator overload = fleet.StartLoad(
      {.organisation = "guides", .concurrency = 24, .duration = seconds(12)},
      RoutersOf(aqaba));
  CHECK(WaitUntil([&] {
    return fleet.CountRunning(aqaba) == 4 && fleet.CountRunning(amman) == 4 &&
           fleet.CountRunning(maan) == 4;
  }));

  // Callers local to a lending region need its slots: they wait only for the
  // requests in progress, and no new request is sent there from other regions.
  const LoadGenerator local_load = fleet.StartLoad({.organisation = "desks",
                                                    .concurrency = 16,
                                                    .duration = seconds(6),
                                                    .seed = 2},
                                                   RoutersOf(amman));
  std::this_thread::sleep_for(seconds(3));
  const size_t remote_starts = fleet.CountStarted(amman, aqaba);
  std::this_thread::sleep_for(seconds(2));
  CHECK(fleet.CountStarted(amman, aqaba) <= remote_starts + 2);
  for (const LoadGenerator* load : {&overload, &local_load}) {
    const LoadResult result = Fleet::FinishLoad(*load);
    INFO(result.text);
    CHECK(result.answered == result.sent);
    CHECK(result.lost == 0);
  }
}

TEST_CASE("callers of a region without targets are served, or refused") {
  Fleet fleet({.slots = {0, 4, 0}});
  Region& aqaba = fleet.regions[0];
  Region& amman = fleet.regions[1];
  CHECK(fleet.CountStarted(amman, aqaba) >=
        kRoutersPerRegion * kOrganisations.size());

  // Targets join the region, and leave it again.
  fleet.StartTargets(aqaba, 4);
  REQUIRE(WaitUntil([&] {
    Ask(aqaba.routers[0].caller_port, ModelCall("guides", 1));
    return fleet.CountStarted(aqaba, aqaba) > 0;
  }));
  aqaba.targets->Signal(SIGTERM);
  aqaba.targets->Wait();
  for (const Router& router : aqaba.routers) {
    const Reply reply = Ask(router.caller_port, ModelCall("guides", 1));
    CHECK(reply.status == 200);
  }

  // No region has a target.
  amman.targets->Signal(SIGTERM);
  amman.targets->Wait();
  std::this_thread::sleep_for(seconds(2));
  for (const Region& region : fleet.regions) {
    const auto sent_at = std::chrono::steady_clock::now();
    const Reply reply =
        Ask(region.routers[0].caller_port, ModelCall("guides", 1));
    CHECK(reply.status == 503);
    CHECK(reply.body.find("\"outcome\":\"not-run\"") != std::string::npos);
    CHECK(std::chrono::steady_clock::now() - sent_at < seconds(10));
  }
}

}  // namespace
}  // namespace samphirebank::regions_test
