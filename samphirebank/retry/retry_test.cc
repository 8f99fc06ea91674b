#include "samphirebank/retry/retry.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace samphirebank::retry {
namespace {

using std::chrono::seconds;

const TimePoint kNow{};

Attempt FailedAttempt(const std::string& organisation) {
  return {.organisation = OrganisationId(organisation),
          .service = ServiceId("drafts"),
          .attempt = 1,
          .seed = 7,
          .deadline = kNow + seconds(10)};
}

TEST_CASE("retries stay within the ratio, however many requests fail") {
  CHECK(rc::check("retries <= initial + ratio * successes", [] {
    Budgets budgets;
    const int length = *rc::gen::inRange(0, 300);
    int64_t successes = 0;
    int64_t retries = 0;
    for (int i = 0; i < length; ++i) {
      if (*rc::gen::inRange(0, 3) == 0) {
        RecordSuccess(budgets, OrganisationId("a"), ServiceId("drafts"));
        ++successes;
      } else if (TryRetry(budgets, FailedAttempt("a"), kNow)) {
        ++retries;
      }
    }
    const Options& options = budgets.options;
    RC_ASSERT(retries * kCostMilli <=
              options.initial_milli + successes * options.deposit_milli);
  }));
}

TEST_CASE("the failures of one organisation do not use up another's budget") {
  Budgets budgets;
  for (int i = 0; i < 60; ++i) {
    RecordSuccess(budgets, OrganisationId("c"), ServiceId("drafts"));
  }
  int retries = 0;
  while (TryRetry(budgets, FailedAttempt("a"), kNow)) ++retries;
  CHECK(retries == 3);
  CHECK(TryRetry(budgets, FailedAttempt("b"), kNow).has_value());
}

TEST_CASE("no retry starts at or after the deadline") {
  Budgets budgets;
  Attempt attempt = FailedAttempt("a");
  attempt.deadline = kNow;
  CHECK(!TryRetry(budgets, attempt, kNow));
  CHECK(budgets.organisations_milli.empty());
  attempt.deadline = kNow + seconds(1);
  attempt.attempt = budgets.options.max_attempts;
  CHECK(!TryRetry(budgets, attempt, kNow));
}

TEST_CASE("backoff stays within its limits and is equal for equal seeds") {
  const Options options;
  for (uint32_t attempt = 1; attempt < 40; ++attempt) {
    for (uint64_t seed = 0; seed < 20; ++seed) {
      const Duration delay = Backoff(options, attempt, seed);
      CHECK(delay == Backoff(options, attempt, seed));
      CHECK(delay >= Duration(0));
      CHECK(delay <= options.max_delay);
      if (attempt == 1) CHECK(delay <= options.base_delay);
    }
  }
  CHECK(Backoff(options, 1, 1) != Backoff(options, 1, 2));
}

TEST_CASE("the number of stored balances is limited") {
  Budgets budgets;
  budgets.options.max_budgets = 4;
  for (int i = 0; i < 100; ++i) {
    TryRetry(budgets, FailedAttempt("o" + std::to_string(i)), kNow);
    RecordSuccess(budgets, OrganisationId("p" + std::to_string(i)),
                  ServiceId("drafts"));
  }
  CHECK(budgets.organisations_milli.size() <= 4);
}

}  // namespace
}  // namespace samphirebank::retry
