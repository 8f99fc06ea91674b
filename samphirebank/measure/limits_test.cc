// Limits of one organisation over several pools, against what one central
// counter would allow.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

#include "samphirebank/measure/measure.h"

namespace samphirebank::measure {
namespace {

using std::chrono::seconds;

constexpr LimitsFault kFaults[] = {
    LimitsFault::kNone, LimitsFault::kLossyLinks, LimitsFault::kCoordinatorLost,
    LimitsFault::kCoordinatorMoved, LimitsFault::kPoolCut};
// kHandover is how long a coordinator gives nothing at first: the lease of the
// configuration and the life of a quota.
constexpr double kHandover = 4.5;  // seconds

LimitsSetup ThreePools() {
  LimitsSetup setup;
  setup.contract.organisation = OrganisationId("workshop-1");
  setup.contract.queue_length = 0;
  setup.requests_per_second = {30, 10, 5};
  return setup;
}

// CheckBounds compares a run with a central token bucket that may hold a tenth
// of a second's rate and one request for each pool, a second of tokens and one
// request for each pool, and with a central count of what runs.
void CheckBounds(const LimitsSetup& setup, const LimitsResult& result) {
  const auto pools = static_cast<double>(setup.requests_per_second.size());
  const contracts::Contract& contract = setup.contract;
  if (contract.requests_per_second > 0) {
    const double rate = contract.requests_per_second;
    RC_ASSERT(result.excess_requests <= pools * (1 + rate / 10));
  }
  if (contract.tokens_per_minute > 0) {
    const double rate = static_cast<double>(contract.tokens_per_minute) / 60;
    const auto cost = static_cast<double>(setup.cost);
    RC_ASSERT(result.excess_tokens <= pools * (rate + cost));
  }
  if (contract.concurrency > 0) {
    RC_ASSERT(result.peak_running <= contract.concurrency);
  }
}

TEST_CASE("no limit is exceeded over several pools, whatever is lost") {
  CHECK(rc::check("limits", [] {
    LimitsSetup setup = ThreePools();
    contracts::Contract& contract = setup.contract;
    contract.requests_per_second = *rc::gen::inRange<uint32_t>(0, 40);
    contract.concurrency = *rc::gen::inRange<uint32_t>(0, 30);
    contract.tokens_per_minute = 1000 * *rc::gen::inRange<int64_t>(0, 200);
    setup.requests_per_second = *rc::gen::container<std::vector<double>>(
        *rc::gen::inRange<size_t>(2, 6), rc::gen::element(0.0, 1.0, 8.0, 40.0));
    setup.service =
        std::chrono::milliseconds(*rc::gen::element(100, 1000, 8000));
    setup.rotation = seconds(*rc::gen::inRange(2, 20));
    setup.fault = *rc::gen::elementOf(
        std::vector<LimitsFault>(std::begin(kFaults), std::end(kFaults)));
    setup.length = seconds(30);
    setup.seed = *rc::gen::arbitrary<uint64_t>();
    CheckBounds(setup, RunLimits(setup));
  }));
}

TEST_CASE(
    "pools that count for themselves exceed limits, split ones use them") {
  LimitsSetup setup = ThreePools();
  setup.contract.requests_per_second = 15;
  setup.contract.concurrency = 20;
  setup.split = false;
  const LimitsResult each = RunLimits(setup);
  CHECK(each.excess_requests > 15 * 10);
  setup.split = true;
  const LimitsResult split = RunLimits(setup);
  CHECK(split.peak_running <= 20);
  // A central counter lets 15 requests a second start.
  const double length = std::chrono::duration<double>(setup.length).count();
  const double central = 15 * (length - kHandover);
  CHECK(static_cast<double>(split.started) >= 0.9 * central);
}

TEST_CASE("a lost coordinator costs a bounded time") {
  LimitsSetup setup = ThreePools();
  setup.contract.requests_per_second = 15;
  setup.fault = LimitsFault::kCoordinatorLost;
  const LimitsResult result = RunLimits(setup);
  // Three seconds until the next one is assigned, three until all know of it.
  CHECK(result.starvation <= 3 + kHandover);
  CHECK(result.use > 0.7);
}

TEST_CASE("organisations without such limits cost no messages") {
  CHECK(RunLimits(ThreePools()).messages == 0);
  LimitsSetup one = ThreePools();
  one.contract.requests_per_second = 15;
  one.requests_per_second = {30};
  CHECK(RunLimits(one).messages == 0);
}

}  // namespace
}  // namespace samphirebank::measure
