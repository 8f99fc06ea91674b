#include "samphirebank/assignment/assignment.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>

namespace samphirebank::assignment {
namespace {

using std::chrono::seconds;

const PoolId kPool{RegionId("south"), ServiceId("drafting")};

TimePoint At(int s) { return TimePoint(seconds(s)); }

void ReceivePoll(lease::Registry& registry, const std::string& instance,
                 TimePoint at, bool draining = false,
                 const std::string& region = "south") {
  lease::ConfigPoll poll;
  poll.requester = {.instance = InstanceId(instance),
                    .region = RegionId(region),
                    .address = {instance, 1},
                    .draining = draining};
  lease::RecordPoll(registry, poll, at);
}

// Apply applies a plan to the configuration and returns the number of its
// assignments.
size_t Apply(contracts::Configuration& configuration,
             const std::vector<contracts::AssignScheduler>& plan) {
  for (const auto& assign : plan) {
    configuration.pools[assign.pool].value = assign.assignment;
  }
  return plan.size();
}

struct Fixture {
  contracts::Configuration configuration;
  lease::Registry registry;
  RequestedPools requested_pools{{kPool, Epoch(0)}};
  Options options{.leader_since = At(0),
                  .holder_timeout = seconds(4),
                  .candidate_timeout = seconds(3)};

  size_t PlanAndApply(int s) {
    return Apply(this->configuration,
                 PlanAssignments(this->configuration, this->registry,
                                 this->requested_pools, this->options, At(s)));
  }
  const contracts::SchedulerAssignment& current() {
    return this->configuration.pools[kPool].value;
  }
};

TEST_CASE("a pool is assigned to a live router of its region and stays there") {
  Fixture fixture;
  ReceivePoll(fixture.registry, "far", At(100), false, "north");
  CHECK(fixture.PlanAndApply(100) == 0);
  ReceivePoll(fixture.registry, "a", At(100));
  CHECK(fixture.PlanAndApply(100) == 1);
  CHECK(fixture.current().holder == InstanceId("a"));
  for (int s = 101; s < 110; ++s) {
    for (const char* name : {"a", "b", "c", "d", "e"}) {
      ReceivePoll(fixture.registry, name, At(s));
    }
    CHECK(fixture.PlanAndApply(s) == 0);
  }
}

TEST_CASE("a silent holder is replaced and does not get the pool back") {
  Fixture fixture;
  ReceivePoll(fixture.registry, "a", At(100));
  fixture.PlanAndApply(100);
  ReceivePoll(fixture.registry, "b", At(103));
  CHECK(fixture.PlanAndApply(103) == 0);
  CHECK(fixture.PlanAndApply(104) == 1);
  CHECK(fixture.current().holder == InstanceId("b"));
  CHECK(fixture.current().epoch == Epoch(2));
  ReceivePoll(fixture.registry, "a", At(105));
  ReceivePoll(fixture.registry, "b", At(105));
  CHECK(fixture.PlanAndApply(105) == 0);
}

TEST_CASE(
    "a draining holder is replaced at once, but only if there is a candidate") {
  Fixture fixture;
  ReceivePoll(fixture.registry, "a", At(100));
  fixture.PlanAndApply(100);
  ReceivePoll(fixture.registry, "a", At(101), true);
  CHECK(fixture.PlanAndApply(101) == 0);
  ReceivePoll(fixture.registry, "b", At(101));
  CHECK(fixture.PlanAndApply(101) == 1);
  CHECK(fixture.current().holder == InstanceId("b"));
}

TEST_CASE("by default a holder is replaced after two seconds of silence") {
  Fixture fixture;
  fixture.options = {.leader_since = At(0)};
  ReceivePoll(fixture.registry, "a", At(100));
  fixture.PlanAndApply(100);
  ReceivePoll(fixture.registry, "b", At(101));
  CHECK(fixture.PlanAndApply(101) == 0);
  ReceivePoll(fixture.registry, "b", At(102));
  CHECK(fixture.PlanAndApply(102) == 1);
}

TEST_CASE("a new leader replaces no holder before the holder timeout") {
  Fixture fixture;
  ReceivePoll(fixture.registry, "a", At(100));
  fixture.PlanAndApply(100);
  fixture.registry = {};
  fixture.options.leader_since = At(200);
  ReceivePoll(fixture.registry, "b", At(202));
  CHECK(fixture.PlanAndApply(202) == 0);
  ReceivePoll(fixture.registry, "b", At(204));
  CHECK(fixture.PlanAndApply(204) == 1);
}

TEST_CASE("a holder that lost its state gets the next epoch") {
  Fixture fixture;
  ReceivePoll(fixture.registry, "a", At(100));
  fixture.PlanAndApply(100);
  PoolRequest request{
      .pool = kPool, .failed_epoch = Epoch(1), .requester = InstanceId("a")};
  RecordRequest(fixture.requested_pools, fixture.configuration, request);
  CHECK(fixture.PlanAndApply(100) == 1);
  CHECK(fixture.current().epoch == Epoch(2));
  CHECK(fixture.PlanAndApply(100) == 0);
}

TEST_CASE("only the holder of an epoch can report that epoch as failed") {
  Fixture fixture;
  ReceivePoll(fixture.registry, "a", At(100));
  fixture.PlanAndApply(100);
  ReceivePoll(fixture.registry, "b", At(100));
  for (const uint64_t epoch : {1, 2, 9}) {
    PoolRequest request{.pool = kPool,
                        .failed_epoch = Epoch(epoch),
                        .requester = InstanceId("b")};
    RecordRequest(fixture.requested_pools, fixture.configuration, request);
    CHECK(fixture.PlanAndApply(100) == 0);
  }
  // A report with a later epoch than the current one is ignored, even if it
  // comes from the holder and that epoch is assigned afterwards.
  PoolRequest early{
      .pool = kPool, .failed_epoch = Epoch(2), .requester = InstanceId("a")};
  RecordRequest(fixture.requested_pools, fixture.configuration, early);
  fixture.configuration.pools[kPool].value.epoch = Epoch(2);
  CHECK(fixture.PlanAndApply(100) == 0);
}

}  // namespace
}  // namespace samphirebank::assignment
