#include "samphirebank/scheduler/scheduler.h"

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "samphirebank/lease/lease.h"
#include "samphirebank/queue/queue.h"

namespace samphirebank::scheduler {
namespace {

using contracts::TargetIntent;
using std::chrono::milliseconds;
using std::chrono::seconds;

const PoolId kPool{RegionId("aqaba"), ServiceId("assistant")};
constexpr TimePoint kStart{seconds(1000)};

contracts::Contract ContractOf(const std::string& organisation) {
  contracts::Contract contract;
  contract.organisation = OrganisationId(organisation);
  return contract;
}

// Bench is one scheduler with a simulated clock.
struct Bench {
  TimePoint now = kStart;
  State state = Create({.headroom = 0}, kPool, Epoch(1), kStart);
  contracts::Configuration configuration;
  std::map<std::string, uint64_t> sequences;
  std::map<uint32_t, std::string> names;  // of organisations, by generation

  Bench() {
    this->SetContract(ContractOf("a"));
    this->SetContract(ContractOf("b"));
  }

  void SetContract(const contracts::Contract& contract) {
    this->configuration.revision = this->configuration.revision.Next();
    this->configuration.contracts[contract.organisation] = {
        contract, this->configuration.revision};
    OnConfiguration(this->state, this->configuration, this->now);
  }

  void Report(const std::string& target, uint32_t slots,
              TargetIntent intent = TargetIntent::kServing,
              const sharing::TargetTraits& traits = {}) {
    OnTargetState(this->state,
                  {.pool = kPool,
                   .target = TargetId(target),
                   .incarnation = 1,
                   .sequence = ++this->sequences[target],
                   .intent = intent,
                   .slots = slots,
                   .traits = traits},
                  this->now);
  }

  void SendDemand(const std::string& router,
                  std::vector<sharing::OrganisationDemand> organisations,
                  std::vector<sharing::TargetUse> uses = {},
                  uint64_t grants = 0, Epoch epoch = Epoch(1)) {
    for (const auto& reported : organisations) {
      this->names[reported.generation] = reported.organisation.value;
    }
    sharing::Demand demand{.pool = kPool,
                           .epoch = epoch,
                           .sequence = ++this->sequences[router],
                           .full = this->sequences[router] == 1,
                           .organisations = std::move(organisations),
                           .targets = std::move(uses)};
    demand.grants.newest = grants;
    OnDemand(this->state, InstanceId(router), BootId(1), demand, this->now);
  }

  // Granted calls Tick and returns how many requests it grants each
  // organisation.
  std::map<std::string, uint32_t> Granted() {
    std::map<std::string, uint32_t> counts;
    for (const Outgoing& out : Tick(this->state, this->now)) {
      for (const auto& item : out.grant.items) {
        counts[this->names.at(item.generation)] += item.count;
      }
    }
    return counts;
  }
};

sharing::OrganisationDemand DemandOf(const std::string& organisation,
                                     uint32_t waiting,
                                     uint32_t estimate = 100) {
  return {.organisation = OrganisationId(organisation),
          .generation = static_cast<uint32_t>(organisation[0]),
          .waiting = waiting,
          .estimate = estimate};
}

using Counts = std::map<std::string, uint32_t>;

TEST_CASE("slots are granted in order of counters, in proportion to weights") {
  Bench bench;
  contracts::Contract heavy = ContractOf("b");
  heavy.weight = 3;
  bench.SetContract(heavy);
  bench.Report("t1", 8);
  bench.SendDemand("r1", {DemandOf("a", 50)});
  bench.SendDemand("r2", {DemandOf("b", 50)});
  CHECK(bench.Granted().empty());  // still collects demands
  bench.now += seconds(1);
  CHECK(bench.Granted() == Counts{{"a", 2}, {"b", 6}});
  CHECK(bench.Granted().empty());  // no free slot
}

TEST_CASE("an unacknowledged grant releases its slots after its expiry") {
  Bench bench;
  bench.Report("t1", 2);
  bench.now += seconds(1);
  bench.Report("t1", 2);
  bench.SendDemand("r1", {DemandOf("a", 9)});
  CHECK(bench.Granted() == Counts{{"a", 2}});
  bench.now += milliseconds(1700);
  bench.Report("t1", 2);
  CHECK(bench.Granted().empty());
  bench.now += milliseconds(200);
  CHECK(bench.Granted() == Counts{{"a", 2}});
}

TEST_CASE("a grant that its router did not receive releases its slots early") {
  Bench bench;
  bench.now += seconds(1);
  bench.Report("t1", 2);
  bench.SendDemand("r1", {DemandOf("a", 9)});
  CHECK(bench.Granted() == Counts{{"a", 2}});
  bench.now += milliseconds(100);
  bench.SendDemand("r1", {DemandOf("a", 9)});
  CHECK(bench.Granted().empty());  // may still be in flight
  bench.now += milliseconds(200);
  bench.SendDemand("r1", {DemandOf("a", 9)});
  CHECK(bench.Granted() == Counts{{"a", 2}});
}

TEST_CASE("all routers are notified at once when requests begin to wait") {
  Bench bench;
  bench.now += seconds(1);
  bench.Report("t1", 1);
  bench.SendDemand("r1", {DemandOf("a", 1)});
  bench.Granted();
  bench.now += milliseconds(300);
  auto running = DemandOf("a", 0);
  running.running = 1;
  bench.SendDemand("r1", {running}, {{.target = TargetId("t1"), .running = 1}},
                   1);
  bench.now += milliseconds(300);
  CHECK(bench.Granted().empty());  // an acknowledgement
  bench.SendDemand("r2", {DemandOf("b", 5)});
  std::map<std::string, bool> backlogged;
  for (const Outgoing& out : Tick(bench.state, bench.now)) {
    backlogged[out.router.value] = out.grant.backlogged;
  }
  CHECK(backlogged["r1"]);
}

TEST_CASE("a flapping target gets no grants for longer each time") {
  Bench bench;
  bench.now += seconds(1);
  bench.SendDemand("r1", {DemandOf("a", 1000)});
  std::vector<bool> granted;
  for (int i = 0; i < 4; ++i) {
    bench.Report("t1", 100 + 100 * static_cast<uint32_t>(i));
    granted.push_back(!bench.Granted().empty());
    bench.now += milliseconds(2500);
    bench.SendDemand("r1", {DemandOf("a", 1000)});
    bench.Granted();
  }
  CHECK(granted == std::vector<bool>{true, true, false, false});
  for (int i = 0; i < 20; ++i) {
    bench.now += milliseconds(500);
    bench.Report("t1", 600);
    bench.SendDemand("r1", {DemandOf("a", 1000)});
  }
  CHECK(!bench.Granted().empty());
}

TEST_CASE("an organisation accrues no credit while idle") {
  Bench bench;
  bench.Report("t1", 1000);
  bench.now += seconds(1);
  bench.SendDemand("r1", {DemandOf("a", 100)});
  CHECK(bench.Granted() == Counts{{"a", 100}});
  bench.now += seconds(1);
  bench.Report("t1", 110);
  auto running = DemandOf("a", 50);
  running.running = 100;
  running.charged = 10'000;
  running.cost_known = true;
  bench.SendDemand("r1", {running, DemandOf("b", 50)},
                   {{.target = TargetId("t1"), .running = 100}}, 1);
  CHECK(bench.Granted() == Counts{{"a", 5}, {"b", 5}});
}

TEST_CASE("limits are enforced over all routers") {
  Bench bench;
  contracts::Contract capped = ContractOf("a");
  capped.concurrency = 3;
  bench.SetContract(capped);
  contracts::Contract limited = ContractOf("b");
  limited.requests_per_second = 10;
  bench.SetContract(limited);
  bench.Report("t1", 100);
  bench.now += seconds(1);
  bench.Report("t1", 100);
  bench.SendDemand("r1", {DemandOf("a", 9), DemandOf("b", 9)});
  bench.SendDemand("r2", {DemandOf("a", 9), DemandOf("b", 9)});
  CHECK(bench.Granted() == Counts{{"a", 3}, {"b", 2}});
  bench.now += milliseconds(500);
  CHECK(bench.Granted() == Counts{{"b", 2}});
  bench.now += milliseconds(110);
  CHECK(bench.Granted() == Counts{{"b", 1}});
}

TEST_CASE("an organisation without a contract gets nothing") {
  Bench bench;
  bench.Report("t1", 100);
  bench.SendDemand("r1", {DemandOf("stranger", 9)});
  bench.now += seconds(1);
  CHECK(bench.Granted().empty());
}

TEST_CASE(
    "a target that leaves, is stopped or does not report gets no grants") {
  Bench bench;
  bench.now += seconds(1);
  bench.Report("t1", 1);
  bench.SendDemand("r1", {DemandOf("a", 99)});
  CHECK(bench.Granted() == Counts{{"a", 1}});
  bench.Report("t2", 5, TargetIntent::kLeaving);
  bench.Report("t3", 5);
  bench.configuration.revision = bench.configuration.revision.Next();
  bench.configuration.targets[TargetId("t3")] = {TargetIntent::kStopped,
                                                 Revision(9)};
  OnConfiguration(bench.state, bench.configuration, bench.now);
  CHECK(bench.Granted().empty());
  bench.Report("t4", 1);
  bench.now += milliseconds(1200);
  CHECK(bench.Granted().empty());
  bench.Report("t4", 1);
  CHECK(bench.Granted() == Counts{{"a", 1}});
}

TEST_CASE("a generation without a known organisation requests a full demand") {
  Bench bench;
  bench.now += seconds(1);
  bench.Report("t1", 4);
  sharing::OrganisationDemand unnamed = DemandOf("a", 2);
  unnamed.organisation = {};
  bench.SendDemand("r1", {});
  bench.Granted();
  bench.SendDemand("r1", {unnamed});
  bench.now += milliseconds(200);
  const auto out = Tick(bench.state, bench.now);
  REQUIRE(out.size() == 1);
  CHECK(out[0].grant.full_demand_requested);
  bench.SendDemand("r1", {DemandOf("a", 1)});
  CHECK(bench.Granted() == Counts{{"a", 1}});
  unnamed.waiting = 3;
  bench.SendDemand("r1", {unnamed});
  bench.names['a'] = "a";
  CHECK(bench.Granted() == Counts{{"a", 2}});
}

TEST_CASE("a target's address is sent until acknowledged and when it changes") {
  Bench bench;
  bench.now += seconds(1);
  uint64_t sequence = 0;
  // sent_port returns the port that the next grant carries; 0 if none.
  const auto sent_port = [&](uint16_t port, uint64_t confirmed) {
    OnTargetState(bench.state,
                  {.pool = kPool,
                   .target = TargetId("t1"),
                   .address = {.ip = "10.0.0.1", .port = port},
                   .sequence = ++sequence,
                   .slots = 100},
                  bench.now);
    bench.SendDemand("r1", {DemandOf("a", 1)}, {}, confirmed);
    const auto out = Tick(bench.state, bench.now);
    bench.now += milliseconds(300);  // unacknowledged grants were lost
    return out.at(0).grant.items.at(0).address.port;
  };
  CHECK(sent_port(80, 0) == 80);
  CHECK(sent_port(80, 0) == 80);
  CHECK(sent_port(80, 2) == 0);
  CHECK(sent_port(90, 3) == 90);
  CHECK(sent_port(90, 3) == 90);
  CHECK(sent_port(90, 5) == 0);
}

TEST_CASE("a router that times out or restarts holds no slots") {
  Bench bench;
  bench.now += seconds(1);
  bench.Report("t1", 2);
  bench.SendDemand("r1", {DemandOf("a", 9)},
                   {{.target = TargetId("t1"), .running = 2}});
  CHECK(bench.Granted().empty());
  bench.names['b'] = "b";
  OnDemand(bench.state, InstanceId("r1"), BootId(2),
           {.pool = kPool,
            .epoch = Epoch(1),
            .sequence = 1,
            .full = true,
            .organisations = {DemandOf("b", 1)}},
           bench.now);
  CHECK(bench.Granted() == Counts{{"b", 1}});
  bench.now += seconds(5);
  bench.Report("t1", 2);
  CHECK(bench.Granted().empty());
  CHECK(Summarize(bench.state).routers == 0);
  CHECK(Summarize(bench.state).reserved == 0);
  CHECK(Summarize(bench.state).running == 0);
}

// LastPredecessorDispatch returns when the last dispatch expires that a router
// makes of a grant by the previous scheduler at time `at`, if both are
// partitioned from all others.
TimePoint LastPredecessorDispatch(TimePoint at) {
  Bench predecessor;
  predecessor.now = at;
  queue::State router;
  queue::OnEpoch(router, kPool, Epoch(1), at);
  queue::Enqueue(router,
                 {.id = RequestId("q"),
                  .pool = kPool,
                  .organisation = OrganisationId("a"),
                  .deadline = at + seconds(60)},
                 {}, at);
  predecessor.Report("ignores", 1);
  OnDemand(predecessor.state, InstanceId("r1"), BootId(1),
           queue::BuildDemand(router, kPool, at), at);
  std::vector<queue::Dispatch> dispatches;
  for (const Outgoing& out : Tick(predecessor.state, at)) {
    for (const auto& dispatch : queue::ApplyGrant(router, out.grant, at)) {
      dispatches.push_back(dispatch);
    }
  }
  REQUIRE(dispatches.size() == 1);
  return dispatches.front().expires_at;
}

TEST_CASE("without fencing, grants wait until those of a predecessor expired") {
  const Duration predecessor_lease = lease::InForceAfter({});
  const TimePoint last = LastPredecessorDispatch(kStart + predecessor_lease);
  Bench bench;
  bench.state = Create({.predecessor_lease = predecessor_lease, .headroom = 0},
                       kPool, Epoch(2), kStart);
  OnConfiguration(bench.state, bench.configuration, kStart);
  std::map<std::string, TimePoint> first;
  for (; first.size() < 2; bench.now += milliseconds(10)) {
    REQUIRE(bench.now < kStart + seconds(10));
    bench.Report("checks", 1, TargetIntent::kServing, {.checks_fencing = true});
    bench.Report("ignores", 1);
    bench.SendDemand("r1", {DemandOf("a", 9)}, {}, 0, Epoch(2));
    for (const Outgoing& out : Tick(bench.state, bench.now)) {
      for (const auto& item : out.grant.items) {
        first.try_emplace(item.target.value, bench.now);
      }
    }
  }
  CHECK(first["checks"] == kStart + seconds(1));
  CHECK(first["ignores"] > last);
}

TEST_CASE("an unknown router is requested to send a full demand") {
  Bench bench;
  bench.sequences["r1"] = 5;
  bench.SendDemand("r1", {DemandOf("a", 9)});
  const auto out = Tick(bench.state, bench.now);
  REQUIRE(out.size() == 1);
  CHECK(out[0].grant.full_demand_requested);
  CHECK(Summarize(bench.state).waiting == 0);
}

TEST_CASE("a new scheduler continues from the counters that routers report") {
  Bench bench;
  // The costs are known, so that the cap on held slots does not mask the
  // counters.
  auto ahead = DemandOf("a", 100);
  ahead.cost_known = true;
  ahead.counter = 5000;
  auto behind = DemandOf("b", 100);
  behind.counter = 4600;
  behind.cost_known = true;
  bench.SendDemand("r1", {ahead});
  bench.SendDemand("r2", {behind});
  bench.SetContract(ContractOf("new"));
  auto fresh = DemandOf("new", 100);
  fresh.cost_known = true;
  bench.SendDemand("r3", {fresh});
  bench.now += seconds(1);
  bench.Report("t1", 15);
  const Counts counts = bench.Granted();
  // "b" is 400 behind "a"; "new" starts at the smallest counter, without credit
  // for the past.
  CHECK(counts == Counts{{"a", 3}, {"b", 6}, {"new", 6}});
}

}  // namespace
}  // namespace samphirebank::scheduler
