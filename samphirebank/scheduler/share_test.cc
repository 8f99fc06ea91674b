// Regions: counters, loans of slots, hysteresis; and what a target that
// left can still receive.
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
  bool link = true;  // between the router and the scheduler
  OrganisationId organisation{};
  std::vector<queue::Dispatch> dispatches{};
  std::vector<TimePoint> begun{};  // of each dispatch
  size_t ended = 0;                // dispatches

  Region(const std::string& name, uint32_t target_slots,
         OrganisationId caller = kOrganisation)
      : slots(target_slots), organisation(std::move(caller)) {
    this->pool = {RegionId(name), ServiceId("assistant")};
    this->target = TargetId("target-" + name);
    this->state = Create({.rebuild_time = Duration::zero(), .headroom = 0},
                         this->pool, Epoch(1), kStart);
    contracts::Configuration configuration;
    configuration.revision = Revision(1);
    for (const char* name_of_one : {"a", "b"}) {
      contracts::Contract contract;
      contract.organisation = OrganisationId(name_of_one);
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

  // Step exchanges a demand and grants, unless the link is cut.
  void Step(TimePoint now) {
    if (!this->link) return;
    OnDemand(this->state, InstanceId("r"), BootId(1),
             queue::BuildDemand(this->router, this->pool, now), now);
    for (const Outgoing& out : Tick(this->state, now)) {
      for (auto& dispatch : queue::ApplyGrant(this->router, out.grant, now)) {
        this->dispatches.push_back(std::move(dispatch));
        this->begun.push_back(now);
      }
    }
  }

  // EndOlder ends what began before `since`.
  void EndOlder(TimePoint since, TimePoint now) {
    for (; this->ended < this->dispatches.size(); ++this->ended) {
      if (this->begun[this->ended] >= since) return;
      queue::OnEnd(this->router, this->dispatches[this->ended].id,
                   {.tokens = Tokens(100)}, now);
    }
  }

  uint32_t FarDispatches() const {
    uint32_t count = 0;
    for (const auto& item : this->dispatches) count += item.is_remote ? 1 : 0;
    return count;
  }
};

void Exchange(Region& from, Region& to, TimePoint now) {
  const OutgoingShare out = BuildCounterShare(from.state, to.pool, now);
  OnCounterShare(to.state, out.share, now);
}

// Run steps both regions for `length`.
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

TEST_CASE("work crosses only when its own region stays saturated") {
  Region busy("aqaba", 2);
  Region idle("bilbao", 10);
  TimePoint now = kStart;
  busy.Enqueue(2, now);
  Run(busy, idle, now, seconds(5));
  CHECK(busy.dispatches.size() == 2);
  CHECK(busy.FarDispatches() == 0);
  busy.Enqueue(20, now);
  Run(busy, idle, now, seconds(1));
  CHECK(busy.FarDispatches() == 0);  // not at once
  Run(busy, idle, now, seconds(4));
  CHECK(busy.FarDispatches() >= 5);
  CHECK(busy.FarDispatches() <= 10);
  CHECK(busy.dispatches.back().target == idle.target);
}

TEST_CASE("a region lends nothing while its own work waits") {
  Region busy("aqaba", 1);
  Region also_busy("bilbao", 3);
  TimePoint now = kStart;
  busy.Enqueue(20, now);
  also_busy.Enqueue(20, now);
  Run(busy, also_busy, now, seconds(8));
  CHECK(busy.FarDispatches() == 0);
  CHECK(also_busy.FarDispatches() == 0);
}

TEST_CASE("a region gets its unused slots back when its own work comes") {
  Region busy("aqaba", 2);
  Region lender("bilbao", 10);
  TimePoint now = kStart;
  busy.Enqueue(6, now);
  Run(busy, lender, now, seconds(6));
  CHECK(busy.FarDispatches() == 4);
  busy.Enqueue(1, now);  // keeps asking for slots
  Run(busy, lender, now, seconds(1));
  const size_t used = busy.FarDispatches();
  lender.Enqueue(20, now);
  Run(busy, lender, now, seconds(3));
  CHECK(lender.dispatches.size() == 10 - used);
}

TEST_CASE("service in the other region counts") {
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

TEST_CASE("what one region tells is not mixed up with another's") {
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
  const double told = *Counter(one.state, kOrganisation) - before;
  CHECK(told >= 4800 + 2800);
  CHECK(told <= 5000 + 3000);
}

TEST_CASE("slots are not lent to two regions at once") {
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
    CHECK(busy.FarDispatches() + also_busy.FarDispatches() <= 8);
  }
  CHECK(busy.FarDispatches() + also_busy.FarDispatches() == 8);
}

// Leave is how a lent target leaves.
struct Leave {
  bool silent = false;                      // else by its word
  Duration words_lost_after = seconds(60);  // of the lender, from then on
};

// LastOfLent is how long after a lent target left an order to it may still be
// sent.
Duration LastOfLent(const Leave& leave) {
  Region busy("aqaba", 1);
  Region lender("bilbao", 4);
  TimePoint now = kStart;
  busy.Enqueue(3, now);
  Run(busy, lender, now, seconds(5));
  REQUIRE(busy.FarDispatches() == 2);
  const TimePoint left = now;
  TimePoint last = left;
  busy.Enqueue(50, now);
  for (; now < left + seconds(6); now += milliseconds(200)) {
    busy.Report(now);
    if (!leave.silent) lender.Report(now, contracts::TargetIntent::kLeaving);
    busy.EndOlder(now - milliseconds(400), now);
    for (Region* region : {&busy, &lender}) region->Step(now);
    Exchange(busy, lender, now);
    if (now - left < leave.words_lost_after) Exchange(lender, busy, now);
    for (const auto& dispatch : busy.dispatches) {
      if (dispatch.is_remote) last = std::max(last, dispatch.expires_at);
    }
  }
  return last - left;
}

TEST_CASE("a lent target that leaves or falls silent gets nothing after 2 s") {
  CHECK(LastOfLent({}) <= seconds(2));
  CHECK(LastOfLent({.silent = true}) <= seconds(2));
  for (const int lost_ms : {200, 400, 600, 800, 1000}) {
    const Leave leave{.silent = true,
                      .words_lost_after = milliseconds(lost_ms)};
    CHECK(LastOfLent(leave) <= seconds(2));
  }
}

TEST_CASE("a backlogged region lends to one that has less than its share") {
  const OrganisationId other("b");
  Region poor("aqaba", 2);
  Region rich("bilbao", 10, other);
  TimePoint now = kStart;
  poor.Enqueue(400, now);
  rich.Enqueue(400, now);
  for (int i = 0; i < 300; ++i) {
    Run(poor, rich, now, milliseconds(200));
    poor.EndOlder(now - seconds(2), now);
    rich.EndOlder(now - seconds(2), now);
  }
  const auto of_poor = static_cast<int64_t>(poor.dispatches.size());
  const auto of_rich = static_cast<int64_t>(rich.dispatches.size());
  CHECK(of_poor + of_rich >= 300);
  // Twice the bound of one ideal queue, 2 * the largest cost; and one request
  // for each slot, since requests count when they begin.
  CHECK(std::abs(of_rich - of_poor) <= 4 + 12);
}

TEST_CASE("a target that left gets nothing after 2 s, router cut off or not") {
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
      if (cut) region.link = false;
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

TEST_CASE("a grant held back on its way is worth no more than its lifetime") {
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
