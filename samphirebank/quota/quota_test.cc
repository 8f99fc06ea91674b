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

// MakeConfiguration returns a configuration of `pools` pools, each on its own
// instance, with one contract for 10 concurrent requests.
contracts::Configuration MakeConfiguration(size_t pools) {
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

sharing::QuotaRequest RequestOf(const Coordinator& coordinator, size_t pool,
                                uint64_t sequence, sharing::QuotaUse use) {
  use.organisation = kOrganisation;
  return {.to = coordinator.id,
          .pool = PoolOf(pool),
          .epoch = Epoch(1),
          .sequence = sequence,
          .uses = {use}};
}

TEST_CASE("a split distributes the whole limit in proportion to demand") {
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

TEST_CASE("a changed assignment moves only the groups that it had or gets") {
  contracts::Configuration configuration = MakeConfiguration(6);
  const Coordinators before = CoordinatorsOf(configuration);
  const PoolId lost = before[0]->pool;
  configuration.pools.erase(lost);
  const Coordinators after = CoordinatorsOf(configuration);
  for (uint32_t group = 0; group < kGroups; ++group) {
    CHECK((before[group]->pool == lost) == (before[group] != after[group]));
  }
}

TEST_CASE("a coordinator grants nothing while earlier quotas may be in use") {
  const contracts::Configuration configuration = MakeConfiguration(2);
  Coordinator coordinator = Create({}, {.pool = PoolOf(0)}, kStart);
  TimePoint now = kStart + seconds(4);
  const sharing::QuotaUse use{.waiting = 5};
  CHECK(!OnQuotaRequest(coordinator, RequestOf(coordinator, 0, 1, use),
                        configuration, now));
  now = kStart + seconds(3) + kQuotaTtl;
  const auto grant = OnQuotaRequest(
      coordinator, RequestOf(coordinator, 0, 2, use), configuration, now);
  REQUIRE(grant);
  CHECK(grant->items[0].quota.concurrency == 10);
  // A duplicate of the request is ignored.
  CHECK(!OnQuotaRequest(coordinator, RequestOf(coordinator, 0, 2, use),
                        configuration, now));
}

TEST_CASE("a quota that one pool may be using is not granted to another") {
  const contracts::Configuration configuration = MakeConfiguration(2);
  Coordinator coordinator = Create({}, {.pool = PoolOf(0)}, kStart);
  TimePoint now = kStart + seconds(5);
  const auto granted = [&](size_t pool, uint64_t sequence,
                           const sharing::QuotaUse& use) {
    return OnQuotaRequest(coordinator,
                          RequestOf(coordinator, pool, sequence, use),
                          configuration, now)
        ->items[0]
        .quota.concurrency;
  };
  CHECK(granted(0, 1, {.waiting = 5}) == 10);
  CHECK(granted(1, 1, {.waiting = 5}) == 0);
  // The first pool's quota is halved, but it has not reported yet that it uses
  // the smaller one, so the second pool still gets nothing.
  CHECK(granted(0, 2, {.waiting = 0, .running = 5, .applied_sequence = 1}) ==
        5);
  CHECK(granted(1, 2, {.waiting = 5}) == 0);
  CHECK(granted(0, 3, {.waiting = 0, .running = 5, .applied_sequence = 2}) ==
        5);
  CHECK(granted(1, 3, {.waiting = 5}) == 5);
  // The running requests of a silent pool count after its quota has expired,
  // but only until the usage timeout.
  now += seconds(20);
  CHECK(granted(1, 4, {.waiting = 50, .applied_sequence = 3}) == 5);
  now += seconds(11);
  CHECK(granted(1, 5, {.waiting = 50, .applied_sequence = 4}) == 10);
}

TEST_CASE("a coordinator is started anew after a gap between refreshes") {
  const contracts::Configuration configuration = MakeConfiguration(1);
  LocalCoordinators local;
  Refresh(local, InstanceId("i0"), configuration, kStart);
  const sharing::CoordinatorId id = *CoordinatorsOf(configuration)[0];
  REQUIRE(Find(local, id) != nullptr);
  TimePoint now = kStart + seconds(1);
  Refresh(local, InstanceId("i0"), configuration, now);
  CHECK(Find(local, id)->created_at == kStart);
  now += kQuotaTtl;
  Refresh(local, InstanceId("i0"), configuration, now);
  CHECK(Find(local, id)->created_at == now);
  Refresh(local, InstanceId("i1"), configuration, now);
  CHECK(Find(local, id) == nullptr);
}

}  // namespace
}  // namespace samphirebank::quota
