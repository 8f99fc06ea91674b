// Tests, with three regions of real processes, that requests are served or
// refused correctly while processes are killed, stopped or partitioned and
// while targets leave.
#include <doctest/doctest.h>

#include <algorithm>
#include <csignal>
#include <thread>

#include "samphirebank/regions_test/regions_fleet.h"

namespace samphirebank::regions_test {
namespace {

using std::chrono::seconds;
using testing::Ask;
using testing::Reply;
using testing::WaitUntil;

// IsServed returns whether a request is answered with status 200, and prints
// any other reply.
bool IsServed(const Router& router) {
  const Reply reply = Ask(router.caller_port, ModelCall("guides", 1));
  if (reply.status == 200) return true;
  MESSAGE(router.name, " answered ", reply.status, ": ", reply.body);
  return false;
}

// IsCompleteOrNotRun returns whether a reply is a complete response or a
// refusal that states that the request was not run and when to retry.
bool IsCompleteOrNotRun(const Reply& reply) {
  if (reply.status == 200) return reply.whole;
  return reply.body.find("\"outcome\":\"not-run\"") != std::string::npos &&
         reply.head.find("retry-after: ") != std::string::npos;
}

TEST_CASE("a killed scheduler's work goes to the next, a region's to none") {
  Fleet fleet({});
  Region& aqaba = fleet.regions[0];
  Region& amman = fleet.regions[1];
  Region& maan = fleet.regions[2];
  Router* const scheduler = fleet.FindScheduler(aqaba);
  REQUIRE(scheduler != nullptr);
  Router& other = aqaba.routers[scheduler == &aqaba.routers[0] ? 1 : 0];
  scheduler->process->Signal(SIGKILL);
  scheduler->process->Wait();
  CHECK(IsServed(other));  // once the next scheduler has the target states
  CHECK(fleet.FindScheduler(aqaba) == &other);

  other.process->Signal(SIGKILL);
  other.process->Wait();
  for (const Region* region : {&amman, &maan}) {
    for (const Router& router : region->routers) CHECK(IsServed(router));
  }
  for (Router& router : aqaba.routers) fleet.StartRouter(aqaba, router);
  for (const Router& router : aqaba.routers) {
    CHECK(WaitUntil([&] { return IsServed(router); }));
  }
}

TEST_CASE("a scheduler suspended for longer than its lease does not dispatch") {
  Fleet fleet({});
  Region& aqaba = fleet.regions[0];
  Router* const scheduler = fleet.FindScheduler(aqaba);
  REQUIRE(scheduler != nullptr);
  Router& other = aqaba.routers[scheduler == &aqaba.routers[0] ? 1 : 0];
  scheduler->process->Signal(SIGSTOP);
  // Requests to the stopped process remain in its socket buffers.
  const int pending_call =
      testing::Begin(scheduler->caller_port, ModelCall("guides", 1));
  std::this_thread::sleep_for(seconds(4));  // the lease expires after 3 s
  CHECK(IsServed(other));
  const size_t before = fleet.CountStarted(aqaba, aqaba);
  scheduler->process->Signal(SIGCONT);
  CHECK(IsCompleteOrNotRun(testing::End(pending_call)));
  CHECK(fleet.CountStarted(aqaba, aqaba) <= before + 1);
  // It serves requests again, with the other router as scheduler.
  CHECK(WaitUntil([&] { return IsServed(*scheduler); }));
  CHECK(fleet.FindScheduler(aqaba) == &other);
}

TEST_CASE("a partitioned region refuses requests as not run, then recovers") {
  Fleet fleet({});
  Region& aqaba = fleet.regions[0];
  Region& amman = fleet.regions[1];
  Region& maan = fleet.regions[2];
  fleet.relay.Drop(0.1);
  for (const Router& router : aqaba.routers) CHECK(IsServed(router));
  fleet.relay.Cut("aqaba", true);
  // Without a lease the region starts no request; the other two serve.
  for (const Router& router : aqaba.routers) {
    CHECK(WaitUntil([&] {
      return Ask(router.admin_port, {.path = "/readyz"}).status == 503;
    }));
    const Reply reply = Ask(router.caller_port, ModelCall("guides", 1));
    CHECK(reply.status == 503);
    CHECK(IsCompleteOrNotRun(reply));
  }
  for (const Region* region : {&amman, &maan}) {
    for (const Router& router : region->routers) {
      CHECK(WaitUntil([&] { return IsServed(router); }));
    }
  }
  fleet.relay.Cut("aqaba", false);
  for (const Router& router : aqaba.routers) {
    CHECK(WaitUntil([&] { return IsServed(router); }));
  }
}

TEST_CASE("a leaving target gets no new work after 2 s, even if partitioned") {
  Fleet fleet({});
  Region& aqaba = fleet.regions[0];
  Region& amman = fleet.regions[1];
  Region& maan = fleet.regions[2];
  // The load exceeds the capacity of each region, so that each leaving target
  // is used from all regions.
  std::vector<const Router*> routers;
  for (const Region& region : fleet.regions) {
    for (const Router& router : region.routers) routers.push_back(&router);
  }
  const LoadGenerator load = fleet.StartLoad({.organisation = "guides",
                                              .concurrency = 60,
                                              .duration = seconds(14),
                                              .max_tokens = 40},
                                             routers);
  REQUIRE(WaitUntil([&] { return fleet.CountRunning(maan) == 4; }));
  const auto num_started = [&](const Region& region) {
    size_t count = 0;
    for (const Region& from : fleet.regions) {
      count += fleet.CountStarted(region, from);
    }
    return count;
  };
  const auto gets_no_work = [&](const Region& region) {
    const size_t before = num_started(region);
    std::this_thread::sleep_for(seconds(1));
    return num_started(region) == before;
  };
  CHECK(fleet.DeclareTarget("aqaba-1", "leaving") == 200);
  std::this_thread::sleep_for(seconds(2));
  CHECK(gets_no_work(aqaba));
  amman.targets->Signal(SIGTERM);
  std::this_thread::sleep_for(seconds(2));
  CHECK(gets_no_work(amman));
  // The last target reports that it leaves only to routers that are cut off
  // from all other instances.
  fleet.relay.Cut(std::to_string(maan.routers[0].peer_port), true);
  fleet.relay.Cut(std::to_string(maan.routers[1].peer_port), true);
  maan.targets->Signal(SIGTERM);
  std::this_thread::sleep_for(seconds(2));
  CHECK(gets_no_work(maan));
  const LoadResult result = Fleet::FinishLoad(load);
  INFO(result.text);
  CHECK(result.lost == 0);
  CHECK(result.answered > 0);
}

}  // namespace
}  // namespace samphirebank::regions_test
