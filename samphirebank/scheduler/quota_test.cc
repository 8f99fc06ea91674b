// Quotas of limits that hold over several pools, as one scheduler uses them.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "samphirebank/scheduler/scheduler.h"

namespace samphirebank::scheduler {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const PoolId kPool{RegionId("aqaba"), ServiceId("assistant")};
const PoolId kOtherPool{RegionId("bilbao"), ServiceId("assistant")};
const OrganisationId kOrganisation("a");
constexpr TimePoint kStart{seconds(1000)};

// Bench is one of two pools' schedulers, with an organisation that may run
// four requests at once and let ten wait.
struct Bench {
  TimePoint now = kStart;
  State state = Create({.rebuild_time = Duration::zero(), .headroom = 0}, kPool,
                       Epoch(1), kStart);
  uint64_t sequence = 0;
  uint64_t newest_grant = 0;

  Bench() {
    contracts::Configuration configuration;
    configuration.revision = Revision(1);
    contracts::Contract contract;
    contract.organisation = kOrganisation;
    contract.concurrency = 4;
    contract.queue_length = 10;
    configuration.contracts[kOrganisation] = {contract, Revision(1)};
    for (const PoolId& pool : {kPool, kOtherPool}) {
      configuration.pools[pool].value.epoch = Epoch(1);
    }
    OnConfiguration(this->state, configuration, this->now);
    Tick(this->state, this->now);
  }

  void Ask(uint32_t waiting, uint32_t running = 0) {
    ++this->sequence;
    OnTargetState(this->state,
                  {.pool = kPool,
                   .target = TargetId("t"),
                   .incarnation = 1,
                   .sequence = this->sequence,
                   .slots = 100},
                  this->now);
    OnDemand(this->state, InstanceId("r"), BootId(1),
             {.pool = kPool,
              .epoch = Epoch(1),
              .sequence = this->sequence,
              .full = this->sequence == 1,
              .grants = {.newest = this->newest_grant},
              .organisations = {{.organisation = kOrganisation,
                                 .generation = 1,
                                 .waiting = waiting,
                                 .running = running,
                                 .estimate = 100}}},
             this->now);
  }

  // QuotaRequest returns the one ask that is due.
  sharing::QuotaRequest QuotaRequest() {
    const auto asks = BuildQuotaRequests(this->state, this->now);
    REQUIRE(asks.size() == 1);
    return asks[0];
  }

  void Answer(const sharing::QuotaRequest& ask, uint64_t concurrency,
              uint32_t elsewhere = 0) {
    OnQuotaGrant(this->state,
                 {.from = ask.to,
                  .pool = kPool,
                  .epoch = Epoch(1),
                  .request_sequence = ask.sequence,
                  .expires_ms = 1500,
                  .items = {{.organisation = kOrganisation,
                             .quota = {.concurrency = concurrency},
                             .waiting_elsewhere = elsewhere}}},
                 this->now);
  }

  uint32_t Granted() {
    uint32_t count = 0;
    for (const Outgoing& out : Tick(this->state, this->now)) {
      this->newest_grant = out.grant.sequence;
      for (const auto& item : out.grant.items) count += item.count;
    }
    return count;
  }
};

TEST_CASE("a limit over two pools lets only the quota run") {
  Bench bench;
  bench.Ask(9);
  CHECK(bench.Granted() == 0);
  const sharing::QuotaRequest ask = bench.QuotaRequest();
  CHECK(ask.uses[0].waiting == 9);
  bench.Answer(ask, 3);
  CHECK(bench.Granted() == 3);
  bench.now += milliseconds(500);
  const sharing::QuotaRequest next = bench.QuotaRequest();
  CHECK(next.uses[0].running == 3);
  CHECK(next.uses[0].applied_sequence == ask.sequence);
}

TEST_CASE("a quota expires counted from its ask, however late it comes") {
  Bench bench;
  bench.Ask(9);
  const sharing::QuotaRequest ask = bench.QuotaRequest();
  bench.now += milliseconds(1400);
  bench.Ask(9);
  bench.Answer(ask, 2);
  CHECK(bench.Granted() == 2);
  bench.now += milliseconds(101);
  bench.Ask(9, 1);  // one has ended
  CHECK(bench.Granted() == 0);
}

TEST_CASE("what was given back is not used by a late answer") {
  Bench bench;
  bench.Ask(1);
  const sharing::QuotaRequest first = bench.QuotaRequest();
  bench.Ask(0);  // the caller went away
  bench.now += milliseconds(500);
  const sharing::QuotaRequest second = bench.QuotaRequest();
  CHECK(second.uses[0].IsIdle());
  bench.Ask(9);
  bench.Answer(first, 4);
  CHECK(bench.Granted() == 0);
  // It is asked for again soon.
  bench.now += milliseconds(50);
  bench.Answer(bench.QuotaRequest(), 4);
  CHECK(bench.Granted() == 4);
}

TEST_CASE("routers hear what waits in other pools") {
  Bench bench;
  bench.Ask(3);
  bench.Answer(bench.QuotaRequest(), 0, 6);
  bench.Ask(3);
  bench.now += milliseconds(200);
  const auto out = Tick(bench.state, bench.now);
  REQUIRE(out.size() == 1);
  REQUIRE(out[0].grant.notices.size() == 1);
  CHECK(out[0].grant.notices[0].waiting_elsewhere == 6);
}

}  // namespace
}  // namespace samphirebank::scheduler
