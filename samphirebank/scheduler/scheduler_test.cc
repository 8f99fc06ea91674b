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

// Bench is one scheduler with the clock of its test.
struct Bench {
  TimePoint now = kStart;
  State state = Create({.headroom = 0}, kPool, Epoch(1), kStart);
  contracts::Configuration configuration;
  std::map<std::string, uint64_t> sequences;
  std::map<uint32_t, std::string> names;  // of records, by generation

  Bench() {
    this->Contract(ContractOf("a"));
    this->Contract(ContractOf("b"));
  }

  void Contract(const contracts::Contract& contract) {
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

  void Ask(const std::string& router,
           std::vector<sharing::OrganisationDemand> organisations,
           std::vector<sharing::TargetUse> uses = {}, uint64_t grants = 0,
           Epoch epoch = Epoch(1)) {
    for (const auto& told : organisations) {
      this->names[told.generation] = told.organisation.value;
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

  // Granted returns how many requests of each organisation Tick grants.
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

sharing::OrganisationDemand Wants(const std::string& organisation,
                                  uint32_t waiting, uint32_t estimate = 100) {
  return {.organisation = OrganisationId(organisation),
          .generation = static_cast<uint32_t>(organisation[0]),
          .waiting = waiting,
          .estimate = estimate};
}

using Counts = std::map<std::string, uint32_t>;

TEST_CASE("slots go to the organisations by their counters and weights") {
  Bench bench;
  contracts::Contract heavy = ContractOf("b");
  heavy.weight = 3;
  bench.Contract(heavy);
  bench.Report("t1", 8);
  bench.Ask("r1", {Wants("a", 50)});
  bench.Ask("r2", {Wants("b", 50)});
  CHECK(bench.Granted().empty());  // it still collects reports
  bench.now += seconds(1);
  CHECK(bench.Granted() == Counts{{"a", 2}, {"b", 6}});
  CHECK(bench.Granted().empty());  // no slot is free
}

TEST_CASE("a grant that is not confirmed frees its slots after its expiry") {
  Bench bench;
  bench.Report("t1", 2);
  bench.now += seconds(1);
  bench.Report("t1", 2);
  bench.Ask("r1", {Wants("a", 9)});
  CHECK(bench.Granted() == Counts{{"a", 2}});
  bench.now += milliseconds(1700);
  bench.Report("t1", 2);
  CHECK(bench.Granted().empty());
  bench.now += milliseconds(200);
  CHECK(bench.Granted() == Counts{{"a", 2}});
}

TEST_CASE("a grant that its router does not know of frees its slots soon") {
  Bench bench;
  bench.now += seconds(1);
  bench.Report("t1", 2);
  bench.Ask("r1", {Wants("a", 9)});
  CHECK(bench.Granted() == Counts{{"a", 2}});
  bench.now += milliseconds(100);
  bench.Ask("r1", {Wants("a", 9)});
  CHECK(bench.Granted().empty());  // it may still be on its way
  bench.now += milliseconds(200);
  bench.Ask("r1", {Wants("a", 9)});
  CHECK(bench.Granted() == Counts{{"a", 2}});
}

TEST_CASE("routers hear at once when requests begin to wait") {
  Bench bench;
  bench.now += seconds(1);
  bench.Report("t1", 1);
  bench.Ask("r1", {Wants("a", 1)});
  bench.Granted();
  bench.now += milliseconds(300);
  auto running = Wants("a", 0);
  running.running = 1;
  bench.Ask("r1", {running}, {{.target = TargetId("t1"), .running = 1}}, 1);
  bench.now += milliseconds(300);
  CHECK(bench.Granted().empty());  // acknowledges
  bench.Ask("r2", {Wants("b", 5)});
  std::map<std::string, bool> told;
  for (const Outgoing& out : Tick(bench.state, bench.now)) {
    told[out.router.value] = out.grant.backlogged;
  }
  CHECK(told["r1"]);
}

TEST_CASE("a target that comes and goes waits longer for work each time") {
  Bench bench;
  bench.now += seconds(1);
  bench.Ask("r1", {Wants("a", 1000)});
  std::vector<bool> granted;
  for (int i = 0; i < 4; ++i) {
    bench.Report("t1", 100 + 100 * static_cast<uint32_t>(i));
    granted.push_back(!bench.Granted().empty());
    bench.now += milliseconds(2500);
    bench.Ask("r1", {Wants("a", 1000)});
    bench.Granted();
  }
  CHECK(granted == std::vector<bool>{true, true, false, false});
  for (int i = 0; i < 20; ++i) {
    bench.now += milliseconds(500);
    bench.Report("t1", 600);
    bench.Ask("r1", {Wants("a", 1000)});
  }
  CHECK(!bench.Granted().empty());
}

TEST_CASE("an organisation back from idle brings no credit") {
  Bench bench;
  bench.Report("t1", 1000);
  bench.now += seconds(1);
  bench.Ask("r1", {Wants("a", 100)});
  CHECK(bench.Granted() == Counts{{"a", 100}});
  bench.now += seconds(1);
  bench.Report("t1", 110);
  auto running = Wants("a", 50);
  running.running = 100;
  running.charged = 10'000;
  running.cost_known = true;
  bench.Ask("r1", {running, Wants("b", 50)},
            {{.target = TargetId("t1"), .running = 100}}, 1);
  CHECK(bench.Granted() == Counts{{"a", 5}, {"b", 5}});
}

TEST_CASE("limits hold over all routers") {
  Bench bench;
  contracts::Contract few = ContractOf("a");
  few.concurrency = 3;
  bench.Contract(few);
  contracts::Contract slow = ContractOf("b");
  slow.requests_per_second = 10;
  bench.Contract(slow);
  bench.Report("t1", 100);
  bench.now += seconds(1);
  bench.Report("t1", 100);
  bench.Ask("r1", {Wants("a", 9), Wants("b", 9)});
  bench.Ask("r2", {Wants("a", 9), Wants("b", 9)});
  CHECK(bench.Granted() == Counts{{"a", 3}, {"b", 2}});
  bench.now += milliseconds(500);
  CHECK(bench.Granted() == Counts{{"b", 2}});
  bench.now += milliseconds(110);
  CHECK(bench.Granted() == Counts{{"b", 1}});
}

TEST_CASE("an organisation without a contract gets nothing") {
  Bench bench;
  bench.Report("t1", 100);
  bench.Ask("r1", {Wants("stranger", 9)});
  bench.now += seconds(1);
  CHECK(bench.Granted().empty());
}

TEST_CASE("a target that leaves, is declared so or falls silent gets nothing") {
  Bench bench;
  bench.now += seconds(1);
  bench.Report("t1", 1);
  bench.Ask("r1", {Wants("a", 99)});
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

TEST_CASE("a record is known by its number once it was named, else asked for") {
  Bench bench;
  bench.now += seconds(1);
  bench.Report("t1", 4);
  sharing::OrganisationDemand unnamed = Wants("a", 2);
  unnamed.organisation = {};
  bench.Ask("r1", {});
  bench.Granted();
  bench.Ask("r1", {unnamed});
  bench.now += milliseconds(200);
  const auto out = Tick(bench.state, bench.now);
  REQUIRE(out.size() == 1);
  CHECK(out[0].grant.full_demand_requested);
  bench.Ask("r1", {Wants("a", 1)});
  CHECK(bench.Granted() == Counts{{"a", 1}});
  unnamed.waiting = 3;
  bench.Ask("r1", {unnamed});
  bench.names['a'] = "a";
  CHECK(bench.Granted() == Counts{{"a", 2}});
}

TEST_CASE("a target's address is told until confirmed, again when it changes") {
  Bench bench;
  bench.now += seconds(1);
  uint64_t sequence = 0;
  // Told returns the port that the next grant tells; 0 if none.
  const auto told = [&](uint16_t port, uint64_t confirmed) {
    OnTargetState(bench.state,
                  {.pool = kPool,
                   .target = TargetId("t1"),
                   .address = {.ip = "10.0.0.1", .port = port},
                   .sequence = ++sequence,
                   .slots = 100},
                  bench.now);
    bench.Ask("r1", {Wants("a", 1)}, {}, confirmed);
    const auto out = Tick(bench.state, bench.now);
    bench.now += milliseconds(300);  // what is not confirmed was lost
    return out.at(0).grant.items.at(0).address.port;
  };
  CHECK(told(80, 0) == 80);
  CHECK(told(80, 0) == 80);
  CHECK(told(80, 2) == 0);
  CHECK(told(90, 3) == 90);
  CHECK(told(90, 3) == 90);
  CHECK(told(90, 5) == 0);
}

TEST_CASE("a router that falls silent or restarts holds no slots") {
  Bench bench;
  bench.now += seconds(1);
  bench.Report("t1", 2);
  bench.Ask("r1", {Wants("a", 9)}, {{.target = TargetId("t1"), .running = 2}});
  CHECK(bench.Granted().empty());
  bench.names['b'] = "b";
  OnDemand(bench.state, InstanceId("r1"), BootId(2),
           {.pool = kPool,
            .epoch = Epoch(1),
            .sequence = 1,
            .full = true,
            .organisations = {Wants("b", 1)}},
           bench.now);
  CHECK(bench.Granted() == Counts{{"b", 1}});
  bench.now += seconds(5);
  bench.Report("t1", 2);
  CHECK(bench.Granted().empty());
  CHECK(Summarize(bench.state).routers == 0);
  CHECK(Summarize(bench.state).reserved == 0);
  CHECK(Summarize(bench.state).running == 0);
}

// LastOldOrder is until when a router may send what the old scheduler granted
// it at `at`, when both are cut off from everyone else.
TimePoint LastOldOrder(TimePoint at) {
  Bench old;
  old.now = at;
  queue::State router;
  queue::OnEpoch(router, kPool, Epoch(1), at);
  queue::Enqueue(router,
                 {.id = RequestId("q"),
                  .pool = kPool,
                  .organisation = OrganisationId("a"),
                  .deadline = at + seconds(60)},
                 {}, at);
  old.Report("ignores", 1);
  OnDemand(old.state, InstanceId("r1"), BootId(1),
           queue::BuildDemand(router, kPool, at), at);
  std::vector<queue::Dispatch> dispatches;
  for (const Outgoing& out : Tick(old.state, at)) {
    for (const auto& dispatch : queue::ApplyGrant(router, out.grant, at)) {
      dispatches.push_back(dispatch);
    }
  }
  REQUIRE(dispatches.size() == 1);
  return dispatches.front().expires_at;
}

TEST_CASE("a new scheduler waits out the old one where fencing is ignored") {
  const Duration predecessor_lease = lease::InForceAfter({});
  const TimePoint last = LastOldOrder(kStart + predecessor_lease);
  Bench bench;
  bench.state = Create({.predecessor_lease = predecessor_lease, .headroom = 0},
                       kPool, Epoch(2), kStart);
  OnConfiguration(bench.state, bench.configuration, kStart);
  std::map<std::string, TimePoint> first;
  for (; first.size() < 2; bench.now += milliseconds(10)) {
    REQUIRE(bench.now < kStart + seconds(10));
    bench.Report("checks", 1, TargetIntent::kServing, {.checks_fencing = true});
    bench.Report("ignores", 1);
    bench.Ask("r1", {Wants("a", 9)}, {}, 0, Epoch(2));
    for (const Outgoing& out : Tick(bench.state, bench.now)) {
      for (const auto& item : out.grant.items) {
        first.try_emplace(item.target.value, bench.now);
      }
    }
  }
  CHECK(first["checks"] == kStart + seconds(1));
  CHECK(first["ignores"] > last);
}

TEST_CASE("a router that was never heard is asked for everything") {
  Bench bench;
  bench.sequences["r1"] = 5;
  bench.Ask("r1", {Wants("a", 9)});
  const auto out = Tick(bench.state, bench.now);
  REQUIRE(out.size() == 1);
  CHECK(out[0].grant.full_demand_requested);
  CHECK(Summarize(bench.state).waiting == 0);
}

TEST_CASE("a new scheduler goes on from the counters that routers tell") {
  Bench bench;
  // Known costs, so that no cap on what they hold hides the counters.
  auto rich = Wants("a", 100);
  rich.cost_known = true;
  rich.counter = 5000;
  auto poor = Wants("b", 100);
  poor.counter = 4600;
  poor.cost_known = true;
  bench.Ask("r1", {rich});
  bench.Ask("r2", {poor});
  bench.Contract(ContractOf("new"));
  auto fresh = Wants("new", 100);
  fresh.cost_known = true;
  bench.Ask("r3", {fresh});
  bench.now += seconds(1);
  bench.Report("t1", 15);
  const Counts counts = bench.Granted();
  // "b" is 400 behind "a"; "new" starts at the smallest counter, without a
  // claim on the past.
  CHECK(counts == Counts{{"a", 3}, {"b", 6}, {"new", 6}});
}

}  // namespace
}  // namespace samphirebank::scheduler
