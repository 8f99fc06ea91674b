// Three regions as real processes while some are killed, stopped or cut off,
// and targets that leave.
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

// Served says whether a call is answered; what came instead is printed.
bool Served(const Router& router) {
  const Reply reply = Ask(router.caller, ModelCall("guides", 1));
  if (reply.status == 200) return true;
  MESSAGE(router.name, " answered ", reply.status, ": ", reply.body);
  return false;
}

// Truthful says that a reply is a whole answer or a refusal before running.
bool Truthful(const Reply& reply) {
  if (reply.status == 200) return reply.whole;
  return reply.body.find("\"outcome\":\"not-run\"") != std::string::npos &&
         reply.head.find("retry-after: ") != std::string::npos;
}

TEST_CASE("a killed scheduler's work goes to the next, a region's to none") {
  Fleet fleet({});
  Region& aqaba = fleet.regions[0];
  Region& amman = fleet.regions[1];
  Region& maan = fleet.regions[2];
  Router* const holder = fleet.Holder(aqaba);
  REQUIRE(holder != nullptr);
  Router& other = aqaba.routers[holder == &aqaba.routers[0] ? 1 : 0];
  holder->process->Signal(SIGKILL);
  holder->process->Wait();
  CHECK(Served(other));  // once the next scheduler knows the targets
  CHECK(fleet.Holder(aqaba) == &other);

  other.process->Signal(SIGKILL);
  other.process->Wait();
  for (const Region* region : {&amman, &maan}) {
    for (const Router& router : region->routers) CHECK(Served(router));
  }
  for (Router& router : aqaba.routers) fleet.StartRouter(aqaba, router);
  for (const Router& router : aqaba.routers) {
    CHECK(WaitUntil([&] { return Served(router); }));
  }
}

TEST_CASE("a scheduler stopped for longer than its lease does not act on") {
  Fleet fleet({});
  Region& aqaba = fleet.regions[0];
  Router* const holder = fleet.Holder(aqaba);
  REQUIRE(holder != nullptr);
  Router& other = aqaba.routers[holder == &aqaba.routers[0] ? 1 : 0];
  holder->process->Signal(SIGSTOP);
  // What its callers sent waits in its sockets.
  const int held = testing::Begin(holder->caller, ModelCall("guides", 1));
  std::this_thread::sleep_for(seconds(4));  // a lease lasts 3 s
  CHECK(Served(other));
  const size_t before = fleet.Started(aqaba, aqaba);
  holder->process->Signal(SIGCONT);
  CHECK(Truthful(testing::End(held)));
  CHECK(fleet.Started(aqaba, aqaba) <= before + 1);
  // It serves again, under the other's schedule.
  CHECK(WaitUntil([&] { return Served(*holder); }));
  CHECK(fleet.Holder(aqaba) == &other);
}

TEST_CASE("a region whose links are cut refuses truthfully, then goes on") {
  Fleet fleet({});
  Region& aqaba = fleet.regions[0];
  Region& amman = fleet.regions[1];
  Region& maan = fleet.regions[2];
  fleet.relay.Drop(0.1);
  for (const Router& router : aqaba.routers) CHECK(Served(router));
  fleet.relay.Cut("aqaba", true);
  // Without a lease nothing starts there; the other two go on.
  for (const Router& router : aqaba.routers) {
    CHECK(WaitUntil(
        [&] { return Ask(router.admin, {.path = "/readyz"}).status == 503; }));
    const Reply reply = Ask(router.caller, ModelCall("guides", 1));
    CHECK(reply.status == 503);
    CHECK(Truthful(reply));
  }
  for (const Region* region : {&amman, &maan}) {
    for (const Router& router : region->routers) {
      CHECK(WaitUntil([&] { return Served(router); }));
    }
  }
  fleet.relay.Cut("aqaba", false);
  for (const Router& router : aqaba.routers) {
    CHECK(WaitUntil([&] { return Served(router); }));
  }
}

TEST_CASE("a target that leaves gets no new work after 2 s, cut off or not") {
  Fleet fleet({});
  Region& aqaba = fleet.regions[0];
  Region& amman = fleet.regions[1];
  Region& maan = fleet.regions[2];
  // All regions want slots: the leaving one is used from everywhere.
  std::vector<const Router*> routers;
  for (const Region& region : fleet.regions) {
    for (const Router& router : region.routers) routers.push_back(&router);
  }
  const Load load = fleet.Start({.organisation = "guides",
                                 .concurrency = 60,
                                 .length = seconds(14),
                                 .max_tokens = 40},
                                routers);
  REQUIRE(WaitUntil([&] { return fleet.Running(maan) == 4; }));
  const auto started = [&](const Region& region) {
    size_t count = 0;
    for (const Region& from : fleet.regions) {
      count += fleet.Started(region, from);
    }
    return count;
  };
  const auto gets_none = [&](const Region& region) {
    const size_t before = started(region);
    std::this_thread::sleep_for(seconds(1));
    return started(region) == before;
  };
  CHECK(fleet.DeclareTarget("aqaba-1", "leaving") == 200);
  std::this_thread::sleep_for(seconds(2));
  CHECK(gets_none(aqaba));
  amman.targets->Signal(SIGTERM);
  std::this_thread::sleep_for(seconds(2));
  CHECK(gets_none(amman));
  // The word of the last one is lost: the routers it reports to are cut off
  // from all others.
  fleet.relay.Cut(std::to_string(maan.routers[0].peer), true);
  fleet.relay.Cut(std::to_string(maan.routers[1].peer), true);
  maan.targets->Signal(SIGTERM);
  std::this_thread::sleep_for(seconds(2));
  CHECK(gets_none(maan));
  const Result result = Fleet::Finish(load);
  INFO(result.text);
  CHECK(result.lost == 0);
  CHECK(result.answered > 0);
}

}  // namespace
}  // namespace samphirebank::regions_test
