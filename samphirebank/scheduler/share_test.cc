// Exchange between regions: counters, loans of slots and the hysteresis of
// spillover; and how long a target that left can still receive requests.
#include <doctest/doctest.h>

#include <cstdlib>
#include <string>
#include <utility>
#include <vector>

#include "samphirebank/queue/queue.h"
#include "samphirebank/scheduler/scheduler.h"

namespace samphirebank::scheduler {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1000)};
const OrganisationId kOrganisation("a");

// Region is one region's scheduler with one router and one target.
struct Region {
  PoolId pool{};
  State state{};
  queue::State router{};
  TargetId target{};
  uint32_t slots = 0;
  uint64_t reports = 0;
  uint64_t last_request = 0;
  bool connected = true;  // the router and the scheduler
  OrganisationId organisation{};
  std::vector<queue::Dispatch> dispatches{};
  std::vector<TimePoint> started_at{};  // by index of dispatches
  size_t ended = 0;                     // number of ended dispatches

  Region(const std::string& name, uint32_t target_slots,
         OrganisationId caller = kOrganisation)
      : slots(target_slots), organisation(std::move(caller)) {
    this->pool = {RegionId(name), ServiceId("assistant")};
    this->target = TargetId("target-" + name);
    this->state = Create({.rebuild_time = Duration::zero(), .headroom = 0},
                         this->pool, Epoch(1), kStart);
    contracts::Configuration configuration;
    configuration.revision = Revision(1);
    for (const char* organisation_name : {"a", "b"}) {
      contracts::Contract contract;
      contract.organisation = OrganisationId(organisation_name);
      configuration.contracts[contract.organisation] = {contract, Revision(1)};
    }
    OnConfiguration(this->state, configuration, kStart);
    queue::OnEpoch(this->router, this->pool, Epoch(1), kStart);
  }

  void Enqueue(uint32_t count, TimePoint now) {
    for (uint32_t i = 0; i < count; ++i) {
      queue::Enqueue(this->router,
                     {.id = RequestId(std::to_string(++this->last_request)),
                      .pool = this->pool,
                      .organisation = this->organisation,
                      .estimate = Tokens(100),
                      .deadline = now + seconds(600)},
                     {}, now);
    }
  }

  void Report(TimePoint now, contracts::TargetIntent intent =
                                 contracts::TargetIntent::kServing) {
    OnTargetState(this->state,
                  {.pool = this->pool,
                   .target = this->target,
                   .incarnation = 1,
                   .sequence = ++this->reports,
                   .intent = intent,
                   .slots = this->slots},
                  now);
  }

  // Step exchanges a demand and grants if the router is connected.
  void Step(TimePoint now) {
    if (!this->connected) return;
    OnDemand(this->state, InstanceId("r"), BootId(1),
             queue::BuildDemand(this->router, this->pool, now), now);
    for (const Outgoing& out : Tick(this->state, now)) {
      for (auto& dispatch : queue::ApplyGrant(this->router, out.grant, now)) {
        this->dispatches.push_back(std::move(dispatch));
        this->started_at.push_back(now);
      }
    }
  }

  // EndStartedBefore ends the requests that were dispatched before `since`.
  void EndStartedBefore(TimePoint since, TimePoint now) {
    for (; this->ended < this->dispatches.size(); ++this->ended) {
      if (this->started_at[this->ended] >= since) return;
      queue::OnEnd(this->router, this->dispatches[this->ended].id,
                   {.tokens = Tokens(100)}, now);
    }
  }

  uint32_t RemoteDispatches() const {
    uint32_t count = 0;
    for (const auto& item : this->dispatches) count += item.is_remote ? 1 : 0;
    return count;
  }
};

void Exchange(Region& from, Region& to, TimePoint now) {
  const OutgoingShare out = BuildCounterShare(from.state, to.pool, now);
  OnCounterShare(to.state, out.share, now);
}

// Run steps both regions for `length` of simulated time.
void Run(Region& one, Region& two, TimePoint& now, Duration length) {
  const TimePoint end = now + length;
  for (; now < end; now += milliseconds(200)) {
    for (Region* region : {&one, &two}) {
      region->Report(now);
      region->Step(now);
    }
    Exchange(one, two, now);
    Exchange(two, one, now);
  }
}

TEST_CASE("requests spill over only while their region stays saturated") {
  Region busy("aqaba", 2);
  Region idle("bilbao", 10);
  TimePoint now = kStart;
  busy.Enqueue(2, now);
  Run(busy, idle, now, seconds(5));
  CHECK(busy.dispatches.size() == 2);
  CHECK(busy.RemoteDispatches() == 0);
  busy.Enqueue(20, now);
  Run(busy, idle, now, seconds(1));
  CHECK(busy.RemoteDispatches() == 0);  // only after a delay
  Run(busy, idle, now, seconds(4));
  CHECK(busy.RemoteDispatches() >= 5);
  CHECK(busy.RemoteDispatches() <= 10);
  CHECK(busy.dispatches.back().target == idle.target);
}

TEST_CASE("a region lends nothing while it has a backlog of its own") {
  Region busy("aqaba", 1);
  Region also_busy("bilbao", 3);
  TimePoint now = kStart;
  busy.Enqueue(20, now);
  also_busy.Enqueue(20, now);
  Run(busy, also_busy, now, seconds(8));
  CHECK(busy.RemoteDispatches() == 0);
  CHECK(also_busy.RemoteDispatches() == 0);
}

TEST_CASE("a region reclaims its unused slots when it gets requests") {
  Region busy("aqaba", 2);
  Region lender("bilbao", 10);
  TimePoint now = kStart;
  busy.Enqueue(6, now);
  Run(busy, lender, now, seconds(6));
  CHECK(busy.RemoteDispatches() == 4);
  busy.Enqueue(1, now);  // keeps needing slots
  Run(busy, lender, now, seconds(1));
  const size_t used = busy.RemoteDispatches();
  lender.Enqueue(20, now);
  Run(busy, lender, now, seconds(3));
  CHECK(lender.dispatches.size() == 10 - used);
}

TEST_CASE("service in the other region is charged") {
  Region one("aqaba", 1);
  Region two("bilbao", 1);
  TimePoint now = kStart;
  one.Enqueue(20, now);
  two.Enqueue(20, now);
  Run(one, two, now, seconds(1));
  const double before = *Counter(one.state, kOrganisation);
  const auto& running = two.dispatches.at(0);
  queue::OnProgress(two.router, running.id, Tokens(5000), now);
  Run(one, two, now, seconds(1));
  CHECK(*Counter(one.state, kOrganisation) >= before + 4800);
}

TEST_CASE("the service reported by two regions is charged separately") {
  Region one("aqaba", 1);
  Region two("bilbao", 1);
  Region three("santander", 1);
  TimePoint now = kStart;
  for (Region* region : {&one, &two, &three}) region->Enqueue(20, now);
  const auto run = [&] {
    Run(one, two, now, milliseconds(200));
    Exchange(three, one, now);
    Exchange(one, three, now);
    three.Report(now);
    three.Step(now);
  };
  for (int i = 0; i < 5; ++i) run();
  const double before = *Counter(one.state, kOrganisation);
  queue::OnProgress(two.router, two.dispatches.at(0).id, Tokens(5000), now);
  queue::OnProgress(three.router, three.dispatches.at(0).id, Tokens(3000), now);
  for (int i = 0; i < 5; ++i) run();
  const double charged = *Counter(one.state, kOrganisation) - before;
  CHECK(charged >= 4800 + 2800);
  CHECK(charged <= 5000 + 3000);
}

TEST_CASE("a slot is not lent to two regions at once") {
  Region busy("aqaba", 2);
  Region also_busy("bilbao", 2);
  Region lender("santander", 8);
  TimePoint now = kStart;
  for (Region* region : {&busy, &also_busy}) region->Enqueue(30, now);
  for (int i = 0; i < 50; ++i) {
    Run(busy, lender, now, milliseconds(200));
    Exchange(also_busy, lender, now);
    Exchange(lender, also_busy, now);
    also_busy.Report(now);
    also_busy.Step(now);
    CHECK(busy.RemoteDispatches() + also_busy.RemoteDispatches() <= 8);
  }
  CHECK(busy.RemoteDispatches() + also_busy.RemoteDispatches() == 8);
}

// LeaveMode is the manner in which a lent target leaves.
struct LeaveMode {
  bool silent = false;  // else it reports that it is leaving
  // How long after that the lender's shares begin to be lost.
  Duration shares_lost_after = seconds(60);
};

// LastDispatchToLent returns how long after a lent target left a request may
// still be sent to it.
Duration LastDispatchToLent(const LeaveMode& mode) {
  Region busy("aqaba", 1);
  Region lender("bilbao", 4);
  TimePoint now = kStart;
  busy.Enqueue(3, now);
  Run(busy, lender, now, seconds(5));
  REQUIRE(busy.RemoteDispatches() == 2);
  const TimePoint left = now;
  TimePoint last = left;
  busy.Enqueue(50, now);
  for (; now < left + seconds(6); now += milliseconds(200)) {
    busy.Report(now);
    if (!mode.silent) lender.Report(now, contracts::TargetIntent::kLeaving);
    busy.EndStartedBefore(now - milliseconds(400), now);
    for (Region* region : {&busy, &lender}) region->Step(now);
    Exchange(busy, lender, now);
    if (now - left < mode.shares_lost_after) Exchange(lender, busy, now);
    for (const auto& dispatch : busy.dispatches) {
      if (dispatch.is_remote) last = std::max(last, dispatch.expires_at);
    }
  }
  return last - left;
}

TEST_CASE("a lent target that leaves or goes silent gets nothing after 2 s") {
  CHECK(LastDispatchToLent({}) <= seconds(2));
  CHECK(LastDispatchToLent({.silent = true}) <= seconds(2));
  for (const int lost_ms : {200, 400, 600, 800, 1000}) {
    const LeaveMode mode{.silent = true,
                         .shares_lost_after = milliseconds(lost_ms)};
    CHECK(LastDispatchToLent(mode) <= seconds(2));
  }
}

TEST_CASE("a backlogged region lends to one below its fair share") {
  const OrganisationId other("b");
  Region small("aqaba", 2);
  Region large("bilbao", 10, other);
  TimePoint now = kStart;
  small.Enqueue(400, now);
  large.Enqueue(400, now);
  for (int i = 0; i < 300; ++i) {
    Run(small, large, now, milliseconds(200));
    small.EndStartedBefore(now - seconds(2), now);
    large.EndStartedBefore(now - seconds(2), now);
  }
  const auto small_count = static_cast<int64_t>(small.dispatches.size());
  const auto large_count = static_cast<int64_t>(large.dispatches.size());
  CHECK(small_count + large_count >= 300);
  // Twice the bound of an ideal fair queue, which is 2 * the largest cost, plus
  // one request for each slot, since requests are counted when they start.
  CHECK(std::abs(large_count - small_count) <= 4 + 12);
}

TEST_CASE(
    "a target that left gets nothing after 2 s, even if a router is cut off") {
  for (const bool cut : {false, true}) {
    for (const bool announced : {false, true}) {
      CAPTURE(cut);
      CAPTURE(announced);
      Region region("aqaba", 100);
      TimePoint now = kStart;
      region.Report(now);
      region.Enqueue(1, now);
      region.Step(now);
      REQUIRE(region.dispatches.size() == 1);
      const TimePoint left = now;
      if (announced) {
        region.Report(now, contracts::TargetIntent::kLeaving);
      }
      if (cut) region.connected = false;
      for (; now < left + seconds(4); now += milliseconds(100)) {
        region.Enqueue(1, now);
        region.Step(now);
      }
      for (const auto& dispatch : region.dispatches) {
        CHECK(dispatch.expires_at <= left + seconds(2));
      }
    }
  }
}

TEST_CASE("a grant delayed in transit expires at the end of its lifetime") {
  Region region("aqaba", 100);
  region.Report(kStart);
  region.Enqueue(1, kStart);
  OnDemand(region.state, InstanceId("r"), BootId(1),
           queue::BuildDemand(region.router, region.pool, kStart), kStart);
  const auto out = Tick(region.state, kStart);
  REQUIRE(out.size() == 1);
  REQUIRE(out[0].grant.items.size() == 1);
  const TimePoint late = kStart + milliseconds(801);
  CHECK(queue::ApplyGrant(region.router, out[0].grant, late).empty());
}

}  // namespace
}  // namespace samphirebank::scheduler
