// How one scheduler uses its quota of limits that span several pools.
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

// Bench is the scheduler of one of two pools, with an organisation whose limits
// are four concurrent requests and a queue length of ten.
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

  void SendDemand(uint32_t waiting, uint32_t running = 0) {
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

  // DueRequest returns the one quota request that is due.
  sharing::QuotaRequest DueRequest() {
    const auto requests = BuildQuotaRequests(this->state, this->now);
    REQUIRE(requests.size() == 1);
    return requests[0];
  }

  void Respond(const sharing::QuotaRequest& request, uint64_t concurrency,
               uint32_t elsewhere = 0) {
    OnQuotaGrant(this->state,
                 {.from = request.to,
                  .pool = kPool,
                  .epoch = Epoch(1),
                  .request_sequence = request.sequence,
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

TEST_CASE("only the quota of a limit over two pools may run") {
  Bench bench;
  bench.SendDemand(9);
  CHECK(bench.Granted() == 0);
  const sharing::QuotaRequest request = bench.DueRequest();
  CHECK(request.uses[0].waiting == 9);
  bench.Respond(request, 3);
  CHECK(bench.Granted() == 3);
  bench.now += milliseconds(500);
  const sharing::QuotaRequest next = bench.DueRequest();
  CHECK(next.uses[0].running == 3);
  CHECK(next.uses[0].applied_sequence == request.sequence);
}

TEST_CASE("the expiry of a quota counts from its request, not its arrival") {
  Bench bench;
  bench.SendDemand(9);
  const sharing::QuotaRequest request = bench.DueRequest();
  bench.now += milliseconds(1400);
  bench.SendDemand(9);
  bench.Respond(request, 2);
  CHECK(bench.Granted() == 2);
  bench.now += milliseconds(101);
  bench.SendDemand(9, 1);  // one has ended
  CHECK(bench.Granted() == 0);
}

TEST_CASE("a late response does not restore a returned quota") {
  Bench bench;
  bench.SendDemand(1);
  const sharing::QuotaRequest first = bench.DueRequest();
  bench.SendDemand(0);  // the caller cancelled
  bench.now += milliseconds(500);
  const sharing::QuotaRequest second = bench.DueRequest();
  CHECK(second.uses[0].IsIdle());
  bench.SendDemand(9);
  bench.Respond(first, 4);
  CHECK(bench.Granted() == 0);
  // The quota is requested again soon.
  bench.now += milliseconds(50);
  bench.Respond(bench.DueRequest(), 4);
  CHECK(bench.Granted() == 4);
}

TEST_CASE("routers are notified of requests that wait in other pools") {
  Bench bench;
  bench.SendDemand(3);
  bench.Respond(bench.DueRequest(), 0, 6);
  bench.SendDemand(3);
  bench.now += milliseconds(200);
  const auto out = Tick(bench.state, bench.now);
  REQUIRE(out.size() == 1);
  REQUIRE(out[0].grant.notices.size() == 1);
  CHECK(out[0].grant.notices[0].waiting_elsewhere == 6);
}

}  // namespace
}  // namespace samphirebank::scheduler
