#include "samphirebank/queue/queue.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace samphirebank::queue {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const PoolId kPool{RegionId("aqaba"), ServiceId("assistant")};
const OrganisationId kOrganisation("workshop-1");
const TargetId kTarget("t1");
constexpr TimePoint kStart{seconds(1000)};

Request MakeRequest(const std::string& id,
                    Duration time_to_deadline = seconds(60)) {
  return Request{.id = RequestId(id),
                 .pool = kPool,
                 .organisation = kOrganisation,
                 .estimate = Tokens(100),
                 .deadline = kStart + time_to_deadline};
}

State StartedState() {
  State state;
  OnEpoch(state, kPool, Epoch(3), kStart);
  return state;
}

// MakeGrant returns a grant of `count` requests in response to the newest
// demand of `state`.
sharing::Grant MakeGrant(const State& state, uint64_t sequence,
                         uint32_t count) {
  const PoolQueue& pool = state.pools.at(kPool);
  sharing::Grant grant{.pool = kPool,
                       .epoch = pool.epoch,
                       .sequence = sequence,
                       .held_ms = 10,
                       .expires_ms = 800};
  grant.demands.newest = pool.last_sequence;
  if (count > 0) {
    grant.items.push_back({.generation = state.last_assigned_generation,
                           .target = kTarget,
                           .count = count,
                           .counter = 7});
  }
  return grant;
}

TEST_CASE("waiting requests are refused while no target serves the pool") {
  State state = StartedState();
  CHECK(!Enqueue(state, MakeRequest("a"), {}, kStart));
  BuildDemand(state, kPool, kStart);
  auto grant = MakeGrant(state, 1, 0);
  grant.no_targets = true;
  ApplyGrant(state, grant, kStart);
  const auto refused = RefuseUnserved(state, kPool, kStart);
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].kind == RefusalKind::kNoTargets);
  CHECK(Enqueue(state, MakeRequest("b"), {}, kStart)->kind ==
        RefusalKind::kNoTargets);
  // After the TTL the next request waits for a new report of the scheduler.
  CHECK(!Enqueue(state, MakeRequest("c"), {}, kStart + seconds(1)));
  CHECK(RefuseUnserved(state, kPool, kStart + seconds(1)).empty());
}

TEST_CASE("a grant dispatches the oldest requests, until it expires") {
  State state = StartedState();
  for (const char* id : {"a", "b", "c"}) {
    CHECK(!Enqueue(state, MakeRequest(id), {}, kStart));
  }
  const sharing::Demand demand = BuildDemand(state, kPool, kStart);
  CHECK(demand.full);
  REQUIRE(demand.organisations.size() == 1);
  CHECK(demand.organisations[0].waiting == 3);
  const auto grant = MakeGrant(state, 1, 2);
  const auto dispatches = ApplyGrant(state, grant, kStart + milliseconds(20));
  REQUIRE(dispatches.size() == 2);
  CHECK(dispatches[0].id == RequestId("a"));
  CHECK(dispatches[1].id == RequestId("b"));
  CHECK(dispatches[0].expires_at == kStart + milliseconds(810));
  // A duplicate dispatches nothing.
  CHECK(ApplyGrant(state, grant, kStart + milliseconds(21)).empty());
  // A grant received after its expiry dispatches nothing.
  const auto late = MakeGrant(state, 2, 1);
  CHECK(ApplyGrant(state, late, kStart + milliseconds(810)).empty());
  // A grant of an older epoch dispatches nothing.
  auto old = MakeGrant(state, 3, 1);
  old.epoch = Epoch(2);
  CHECK(ApplyGrant(state, old, kStart + milliseconds(30)).empty());
  // A grant in response to an unknown demand dispatches nothing, since its age
  // is unknown.
  auto unknown_grant = MakeGrant(state, 4, 1);
  unknown_grant.demands.newest = 99;
  CHECK(ApplyGrant(state, unknown_grant, kStart + milliseconds(30)).empty());
}

TEST_CASE(
    "a request is charged its estimate, then its progress, then its cost") {
  State state = StartedState();
  Enqueue(state, MakeRequest("a"), {}, kStart);
  BuildDemand(state, kPool, kStart);
  ApplyGrant(state, MakeGrant(state, 1, 1), kStart);
  auto charged = [&] {
    const auto demand = BuildDemand(state, kPool, kStart);
    REQUIRE(demand.organisations.size() == 1);
    return demand.organisations[0].charged;
  };
  CHECK(charged() == 100);
  OnProgress(state, RequestId("a"), Tokens(60), kStart);
  OnProgress(state, RequestId("a"), Tokens(250), kStart);
  CHECK(charged() == 250);
  OnEnd(state, RequestId("a"), {.tokens = Tokens(260)}, kStart);
  CHECK(charged() == 260);
}

TEST_CASE("a demand repeats changes until they are acknowledged") {
  State state = StartedState();
  Enqueue(state, MakeRequest("a"), {}, kStart);
  BuildDemand(state, kPool, kStart);
  TimePoint now = kStart + milliseconds(50);
  CHECK(BuildDemand(state, kPool, now).organisations.empty());
  now += state.options.resend_delay;
  CHECK(BuildDemand(state, kPool, now).organisations.size() == 1);
  ApplyGrant(state, MakeGrant(state, 1, 0), now);
  now += state.options.resend_delay;
  CHECK(BuildDemand(state, kPool, now).organisations.empty());
  // A new epoch requires a full demand.
  OnEpoch(state, kPool, Epoch(4), now);
  const auto full = BuildDemand(state, kPool, now);
  CHECK(full.full);
  CHECK(full.organisations.size() == 1);
}

TEST_CASE("a demand names an organisation until the name is acknowledged") {
  State state = StartedState();
  const auto name = [&](const char* id) {
    Enqueue(state, MakeRequest(id), {}, kStart);
    return BuildDemand(state, kPool, kStart).organisations.at(0).organisation;
  };
  CHECK(name("a") == kOrganisation);
  CHECK(name("b") == kOrganisation);  // the first demand may be lost
  ApplyGrant(state, MakeGrant(state, 1, 0), kStart);
  CHECK(name("c").value.empty());
  OnEpoch(state, kPool, Epoch(4), kStart);
  CHECK(name("d") == kOrganisation);
  CHECK(name("e") == kOrganisation);
}

TEST_CASE("a grant may refer to a described target by its number") {
  State state = StartedState();
  for (const char* id : {"a", "b", "c", "d"}) {
    Enqueue(state, MakeRequest(id), {}, kStart);
  }
  BuildDemand(state, kPool, kStart);
  const auto apply = [&](uint64_t sequence, const std::string& name,
                         uint16_t port) {
    auto grant = MakeGrant(state, sequence, 1);
    grant.items[0].target_number = 9;
    grant.items[0].target = TargetId(name);
    grant.items[0].address.port = port;
    return ApplyGrant(state, grant, kStart);
  };
  CHECK(apply(1, "", 0).empty());
  CHECK(apply(3, "t1", 80).at(0).address.port == 80);
  CHECK(apply(2, "t1", 70).at(0).address.port == 80);  // received out of order
  CHECK(apply(4, "", 0).at(0).target == kTarget);
  const sharing::Demand demand = BuildDemand(state, kPool, kStart);
  CHECK(demand.targets.at(0).target.value.empty());
  CHECK(demand.targets.at(0).target_number == 9);
  // The next scheduler assigns new numbers.
  OnEpoch(state, kPool, Epoch(4), kStart);
  CHECK(BuildDemand(state, kPool, kStart).targets.at(0).target == kTarget);
  Enqueue(state, MakeRequest("e"), {}, kStart);
  CHECK(apply(1, "", 0).empty());
}

TEST_CASE("the record of an idle organisation is deleted once acknowledged") {
  State state = StartedState();
  Enqueue(state, MakeRequest("a"), {}, kStart);
  CHECK(Remove(state, RequestId("a"), kStart));
  CHECK(!Remove(state, RequestId("a"), kStart));
  BuildDemand(state, kPool, kStart);
  CHECK(state.pools.at(kPool).organisations.size() == 1);
  ApplyGrant(state, MakeGrant(state, 1, 0), kStart);
  CHECK(state.pools.at(kPool).organisations.empty());
  CHECK(state.waiting.empty());
  CHECK(state.deadlines.empty());
}

TEST_CASE("a request beyond a limit or its deadline is refused") {
  State state = StartedState();
  const Limits two{.queue_length = 2};
  CHECK(!Enqueue(state, MakeRequest("a"), two, kStart));
  CHECK(!Enqueue(state, MakeRequest("b", seconds(5)), two, kStart));
  const auto full = Enqueue(state, MakeRequest("c"), two, kStart);
  REQUIRE(full);
  CHECK(full->kind == RefusalKind::kQueueFull);
  CHECK(full->retry_after >= seconds(1));
  const auto past = Enqueue(state, MakeRequest("d", seconds(0)), {}, kStart);
  REQUIRE(past);
  CHECK(past->kind == RefusalKind::kDeadlinePast);
  // Requests that wait at other routers count towards the queue length limit.
  BuildDemand(state, kPool, kStart);
  auto grant = MakeGrant(state, 1, 0);
  grant.notices.push_back(
      {.organisation = kOrganisation, .waiting_elsewhere = 5});
  ApplyGrant(state, grant, kStart);
  CHECK(Enqueue(state, MakeRequest("e"), {.queue_length = 7}, kStart));
  CHECK(!Enqueue(state, MakeRequest("f"), {.queue_length = 8}, kStart));
  // A request whose deadline passes is refused, not dispatched.
  CHECK(NextDeadlineAt(state) == kStart + seconds(5));
  const auto expired = Expire(state, kStart + seconds(5));
  REQUIRE(expired.size() == 1);
  CHECK(expired[0].id == RequestId("b"));
}

TEST_CASE("a request that cannot be served in time is refused at once") {
  State state = StartedState();
  for (int i = 0; i < 100; ++i) {
    Enqueue(state, MakeRequest(std::to_string(i), seconds(600)), {}, kStart);
  }
  TimePoint now = kStart;
  for (uint64_t i = 1; i <= 20; ++i) {
    now += seconds(1);
    BuildDemand(state, kPool, now);
    ApplyGrant(state, MakeGrant(state, i, 1), now);
  }
  // 80 requests wait and about one a second is dispatched.
  Request short_deadline = MakeRequest("hasty");
  short_deadline.deadline = now + seconds(20);
  const auto refusal = Enqueue(state, short_deadline, {}, now);
  REQUIRE(refusal);
  CHECK(refusal->kind == RefusalKind::kWouldExpire);
  CHECK(refusal->retry_after > seconds(20));
  Request long_deadline = MakeRequest("patient", seconds(600));
  CHECK(!Enqueue(state, long_deadline, {}, now));
}

TEST_CASE("a request of which no byte was sent goes back to the head") {
  State state = StartedState();
  Enqueue(state, MakeRequest("a"), {}, kStart);
  Enqueue(state, MakeRequest("b"), {}, kStart);
  BuildDemand(state, kPool, kStart);
  REQUIRE(ApplyGrant(state, MakeGrant(state, 1, 1), kStart).size() == 1);
  Requeue(state, RequestId("a"), kStart);
  const auto demand = BuildDemand(state, kPool, kStart);
  CHECK(demand.organisations[0].waiting == 2);
  CHECK(demand.organisations[0].running == 0);
  CHECK(demand.organisations[0].charged == 0);
  const auto again = ApplyGrant(state, MakeGrant(state, 2, 1), kStart);
  REQUIRE(again.size() == 1);
  CHECK(again[0].id == RequestId("a"));
}

TEST_CASE("the queue length limit applies over all pools of this router") {
  State state = StartedState();
  Request other = MakeRequest("other");
  other.pool.service = ServiceId("another");
  const Limits limits{.queue_length = 2};
  CHECK(!Enqueue(state, MakeRequest("a"), limits, kStart));
  CHECK(!Enqueue(state, other, limits, kStart));
  const auto refusal = Enqueue(state, MakeRequest("b"), limits, kStart);
  REQUIRE(refusal);
  CHECK(refusal->kind == RefusalKind::kQueueFull);
  Remove(state, RequestId("other"), kStart);
  CHECK(!Enqueue(state, MakeRequest("b"), limits, kStart));
}

}  // namespace
}  // namespace samphirebank::queue
