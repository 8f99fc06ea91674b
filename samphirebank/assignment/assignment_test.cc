#include "samphirebank/assignment/assignment.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>

namespace samphirebank::assignment {
namespace {

using std::chrono::seconds;

const PoolId kPool{RegionId("south"), ServiceId("drafting")};

TimePoint At(int s) { return TimePoint(seconds(s)); }

void Hear(lease::Registry& registry, const std::string& instance, TimePoint at,
          bool draining = false, const std::string& region = "south") {
  lease::ConfigPoll poll;
  poll.asker = {.instance = InstanceId(instance),
                .region = RegionId(region),
                .address = {instance, 1},
                .draining = draining};
  lease::Hear(registry, poll, at);
}

// Carry applies a plan; returns how many assignments it had.
size_t Carry(contracts::Configuration& configuration,
             const std::vector<contracts::AssignScheduler>& plan) {
  for (const auto& assign : plan) {
    configuration.pools[assign.pool].value = assign.assignment;
  }
  return plan.size();
}

struct Fixture {
  contracts::Configuration configuration;
  lease::Registry registry;
  RequestedPools wanted{{kPool, Epoch(0)}};
  Options options{.leader_since = At(0),
                  .holder_silence = seconds(4),
                  .candidate_silence = seconds(3)};

  size_t Run(int s) {
    return Carry(this->configuration,
                 PlanAssignments(this->configuration, this->registry,
                                 this->wanted, this->options, At(s)));
  }
  const contracts::SchedulerAssignment& standing() {
    return this->configuration.pools[kPool].value;
  }
};

TEST_CASE("a pool goes to a live router of its region and stays there") {
  Fixture fixture;
  Hear(fixture.registry, "far", At(100), false, "north");
  CHECK(fixture.Run(100) == 0);
  Hear(fixture.registry, "a", At(100));
  CHECK(fixture.Run(100) == 1);
  CHECK(fixture.standing().holder == InstanceId("a"));
  for (int s = 101; s < 110; ++s) {
    for (const char* name : {"a", "b", "c", "d", "e"}) {
      Hear(fixture.registry, name, At(s));
    }
    CHECK(fixture.Run(s) == 0);
  }
}

TEST_CASE("a silent holder is replaced and takes nothing back") {
  Fixture fixture;
  Hear(fixture.registry, "a", At(100));
  fixture.Run(100);
  Hear(fixture.registry, "b", At(103));
  CHECK(fixture.Run(103) == 0);
  CHECK(fixture.Run(104) == 1);
  CHECK(fixture.standing().holder == InstanceId("b"));
  CHECK(fixture.standing().epoch == Epoch(2));
  Hear(fixture.registry, "a", At(105));
  Hear(fixture.registry, "b", At(105));
  CHECK(fixture.Run(105) == 0);
}

TEST_CASE("a draining holder hands over at once, but not into nothing") {
  Fixture fixture;
  Hear(fixture.registry, "a", At(100));
  fixture.Run(100);
  Hear(fixture.registry, "a", At(101), true);
  CHECK(fixture.Run(101) == 0);
  Hear(fixture.registry, "b", At(101));
  CHECK(fixture.Run(101) == 1);
  CHECK(fixture.standing().holder == InstanceId("b"));
}

TEST_CASE("by default a holder is replaced after two seconds of silence") {
  Fixture fixture;
  fixture.options = {.leader_since = At(0)};
  Hear(fixture.registry, "a", At(100));
  fixture.Run(100);
  Hear(fixture.registry, "b", At(101));
  CHECK(fixture.Run(101) == 0);
  Hear(fixture.registry, "b", At(102));
  CHECK(fixture.Run(102) == 1);
}

TEST_CASE("a new leader waits until it can have heard all") {
  Fixture fixture;
  Hear(fixture.registry, "a", At(100));
  fixture.Run(100);
  fixture.registry = {};
  fixture.options.leader_since = At(200);
  Hear(fixture.registry, "b", At(202));
  CHECK(fixture.Run(202) == 0);
  Hear(fixture.registry, "b", At(204));
  CHECK(fixture.Run(204) == 1);
}

TEST_CASE("a holder without its memory gets the next epoch") {
  Fixture fixture;
  Hear(fixture.registry, "a", At(100));
  fixture.Run(100);
  PoolRequest request{
      .pool = kPool, .failed_epoch = Epoch(1), .requester = InstanceId("a")};
  RecordRequest(fixture.wanted, fixture.configuration, request);
  CHECK(fixture.Run(100) == 1);
  CHECK(fixture.standing().epoch == Epoch(2));
  CHECK(fixture.Run(100) == 0);
}

TEST_CASE("nobody gives up a pool for its holder") {
  Fixture fixture;
  Hear(fixture.registry, "a", At(100));
  fixture.Run(100);
  Hear(fixture.registry, "b", At(100));
  for (const uint64_t epoch : {1, 2, 9}) {
    PoolRequest request{.pool = kPool,
                        .failed_epoch = Epoch(epoch),
                        .requester = InstanceId("b")};
    RecordRequest(fixture.wanted, fixture.configuration, request);
    CHECK(fixture.Run(100) == 0);
  }
  // Nor does a holder for an epoch that is still to come.
  PoolRequest early{
      .pool = kPool, .failed_epoch = Epoch(2), .requester = InstanceId("a")};
  RecordRequest(fixture.wanted, fixture.configuration, early);
  fixture.configuration.pools[kPool].value.epoch = Epoch(2);
  CHECK(fixture.Run(100) == 0);
}

}  // namespace
}  // namespace samphirebank::assignment
