#include "samphirebank/quota/quota.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cmath>
#include <numeric>
#include <string>
#include <vector>

namespace samphirebank::quota {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1000)};
const OrganisationId kOrganisation("workshop-1");

PoolId PoolOf(size_t number) {
  return {RegionId("r"), ServiceId("s" + std::to_string(number))};
}

// Fleet returns a configuration of `pools` pools on as many instances, with
// one contract for 10 requests at once.
contracts::Configuration Fleet(size_t pools) {
  contracts::Configuration configuration;
  for (size_t i = 0; i < pools; ++i) {
    configuration.pools[PoolOf(i)].value = {
        .holder = InstanceId("i" + std::to_string(i)),
        .address = {},
        .epoch = Epoch(1)};
  }
  contracts::Contract contract;
  contract.organisation = kOrganisation;
  contract.concurrency = 10;
  configuration.contracts[kOrganisation].value = contract;
  return configuration;
}

sharing::QuotaRequest AskOf(const Coordinator& coordinator, size_t pool,
                            uint64_t sequence, sharing::QuotaUse use) {
  use.organisation = kOrganisation;
  return {.to = coordinator.id,
          .pool = PoolOf(pool),
          .epoch = Epoch(1),
          .sequence = sequence,
          .uses = {use}};
}

TEST_CASE("a split gives all of the limit, in proportion to demand") {
  CHECK(rc::check("split", [] {
    const auto total = *rc::gen::inRange<uint64_t>(0, 1'000'000);
    const auto demands = *rc::gen::nonEmpty<std::vector<uint64_t>>(
        rc::gen::container<std::vector<uint64_t>>(
            rc::gen::inRange<uint64_t>(0, 1000)));
    const auto first = *rc::gen::inRange<size_t>(0, demands.size());
    const auto parts = Split(total, demands, first);
    const auto sum = std::accumulate(demands.begin(), demands.end(), 0.0);
    uint64_t given = 0;
    for (size_t i = 0; i < parts.size(); ++i) {
      given += parts[i];
      if (sum == 0) continue;
      const double exact = static_cast<double>(total * demands[i]) / sum;
      RC_ASSERT(std::abs(static_cast<double>(parts[i]) - exact) <= 1.0);
    }
    RC_ASSERT(given == (sum == 0 ? uint64_t{0} : total));
  }));
}

TEST_CASE("an assignment that changes moves only the groups it had or gets") {
  contracts::Configuration configuration = Fleet(6);
  const Coordinators before = CoordinatorsOf(configuration);
  const PoolId lost = before[0]->pool;
  configuration.pools.erase(lost);
  const Coordinators after = CoordinatorsOf(configuration);
  for (uint32_t group = 0; group < kGroups; ++group) {
    CHECK((before[group]->pool == lost) == (before[group] != after[group]));
  }
}

TEST_CASE("a coordinator gives nothing while an earlier one's may be in use") {
  const contracts::Configuration configuration = Fleet(2);
  Coordinator coordinator = Create({}, {.pool = PoolOf(0)}, kStart);
  TimePoint now = kStart + seconds(4);
  const sharing::QuotaUse wants{.waiting = 5};
  CHECK(!OnQuotaRequest(coordinator, AskOf(coordinator, 0, 1, wants),
                        configuration, now));
  now = kStart + seconds(3) + kQuotaTtl;
  const auto grant = OnQuotaRequest(
      coordinator, AskOf(coordinator, 0, 2, wants), configuration, now);
  REQUIRE(grant);
  CHECK(grant->items[0].quota.concurrency == 10);
  // The same ask again is old.
  CHECK(!OnQuotaRequest(coordinator, AskOf(coordinator, 0, 2, wants),
                        configuration, now));
}

TEST_CASE("what one pool may use is given to no other") {
  const contracts::Configuration configuration = Fleet(2);
  Coordinator coordinator = Create({}, {.pool = PoolOf(0)}, kStart);
  TimePoint now = kStart + seconds(5);
  const auto ask = [&](size_t pool, uint64_t sequence,
                       const sharing::QuotaUse& use) {
    return OnQuotaRequest(coordinator, AskOf(coordinator, pool, sequence, use),
                          configuration, now)
        ->items[0]
        .quota.concurrency;
  };
  CHECK(ask(0, 1, {.waiting = 5}) == 10);
  CHECK(ask(1, 1, {.waiting = 5}) == 0);
  // Its half is told to the first pool, whose receipt is not known yet.
  CHECK(ask(0, 2, {.waiting = 0, .running = 5, .applied_sequence = 1}) == 5);
  CHECK(ask(1, 2, {.waiting = 5}) == 0);
  CHECK(ask(0, 3, {.waiting = 0, .running = 5, .applied_sequence = 2}) == 5);
  CHECK(ask(1, 3, {.waiting = 5}) == 5);
  // What a silent pool runs counts beyond the expiry of its quota, not for
  // ever.
  now += seconds(20);
  CHECK(ask(1, 4, {.waiting = 50, .applied_sequence = 3}) == 5);
  now += seconds(11);
  CHECK(ask(1, 5, {.waiting = 50, .applied_sequence = 4}) == 10);
}

TEST_CASE("after a gap in acting a coordinator starts anew") {
  const contracts::Configuration configuration = Fleet(1);
  LocalCoordinators duties;
  Refresh(duties, InstanceId("i0"), configuration, kStart);
  const sharing::CoordinatorId id = *CoordinatorsOf(configuration)[0];
  REQUIRE(Find(duties, id) != nullptr);
  TimePoint now = kStart + seconds(1);
  Refresh(duties, InstanceId("i0"), configuration, now);
  CHECK(Find(duties, id)->created_at == kStart);
  now += kQuotaTtl;
  Refresh(duties, InstanceId("i0"), configuration, now);
  CHECK(Find(duties, id)->created_at == now);
  Refresh(duties, InstanceId("i1"), configuration, now);
  CHECK(Find(duties, id) == nullptr);
}

}  // namespace
}  // namespace samphirebank::quota
