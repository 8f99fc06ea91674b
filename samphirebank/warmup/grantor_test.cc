#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <vector>

#include "samphirebank/warmup/warmup.h"

namespace samphirebank::warmup {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(100)};
const SuspendAwareTime kAsked{seconds(7)};
const GrantorOptions kOptions{.overrun = 1.5, .slack = 5};
constexpr double kRate = 5.2;
const TargetId kTarget("t");

std::vector<InstanceId> Members(size_t count) {
  std::vector<InstanceId> members;
  for (size_t i = 0; i < count; ++i) {
    members.emplace_back("10.0.0." + std::to_string(i));
  }
  return members;
}

LimitedTarget Cold(double rate = kRate) {
  return {.target = fleetload::HashId(kTarget.value),
          .requests_per_second = rate};
}

// All coordinators that may grant, one that is being replaced included, must
// stay within the limit.
TEST_CASE("the rates of all coordinators stay within the limit") {
  const std::chrono::duration<double> validity = kTokenValidity;
  for (const double rate : {0.01, 0.5, 1.0, 5.2, 8.4, 40.0}) {
    for (const double slack : {0.0, 1.0, 5.0}) {
      const GrantorOptions options{.overrun = 1.5, .slack = slack};
      for (size_t coordinators = 1; coordinators <= 9; ++coordinators) {
        double most = 0;
        for (size_t rank = 0; rank <= coordinators; ++rank) {
          const GrantRate share = RateOf(options, rate, coordinators, rank);
          most +=
              share.burst + share.tokens_per_second * (1.0 + validity.count());
        }
        CAPTURE(rate);
        CAPTURE(slack);
        CAPTURE(coordinators);
        CHECK(most <= rate * 1.5 + slack + 1e-9);
      }
    }
  }
}

// Guards against a target that gets more than it stated: in any 4 s up to one
// and a half times that, and five requests, may arrive.
TEST_CASE("all coordinators together keep to a stated rate") {
  const std::chrono::duration<double> validity = kTokenValidity;
  constexpr double kWindowSeconds = 4.0;
  for (const double rate : {0.0, 0.3, 1.0, 1.9, 3.8, 5.1, 12.0, 300.0}) {
    for (size_t coordinators = 1; coordinators <= 9; ++coordinators) {
      double most = 0;
      double usable = 0;
      for (size_t rank = 0; rank <= coordinators; ++rank) {
        const GrantRate share = StatedRateOf(rate, coordinators, rank);
        most += share.burst +
                share.tokens_per_second * (kWindowSeconds + validity.count());
        if (rank < coordinators) usable += share.tokens_per_second;
      }
      CAPTURE(rate);
      CAPTURE(coordinators);
      CHECK(most <= 1.5 * rate * kWindowSeconds + 5.0);
      CHECK(usable >= rate / 2.0 - 1e-9);
    }
  }
}

// Without a limit there is nothing to grant; a division by zero must not yield
// an unlimited rate.
TEST_CASE("a limit below one request grants nothing") {
  CHECK(RateOf({}, 0.0, 6, 0).burst == 0.0);
  CHECK(RateOf({}, 1.5, 6, 0).burst == 0.0);
  CHECK(RateOf({}, 5.2, 6, 0).burst > 0.0);
  CHECK(RateOf({}, 5.2, 6, 5).burst == 0.0);
}

TEST_CASE("a coordinator that is no member, or has just started, grants none") {
  const std::vector<InstanceId> members = Members(3);
  Grantor grantor{.options = kOptions, .started_at = kStart};
  const WarmupRequest request{.number = 1, .targets = {Cold()}};
  CHECK(BuildGrant(grantor, request, members, members[0],
                   kStart + milliseconds(1400))
            .targets.empty());
  const TimePoint later = kStart + milliseconds(1500);
  CHECK(BuildGrant(grantor, request, members, InstanceId("other"), later)
            .targets.empty());
  const WarmupGrant grant =
      BuildGrant(grantor, request, members, members[0], later);
  CHECK(grant.number == 1);
  CHECK(grant.targets.size() == 1);
  CHECK(
      BuildGrant(grantor, request, members, members[0], later).targets.empty());
}

// A grant that was delayed, repeated, or made for an earlier run of a gateway
// must not add requests beyond the limit.
TEST_CASE("a token counts once, and from the request on") {
  Allowance allowance{.next_number = 40};
  const WarmupRequest request = BuildRequest(allowance, {Cold()}, kAsked);
  const WarmupGrant grant{.number = request.number,
                          .targets = {request.targets[0].target}};
  const SuspendAwareTime now = kAsked + milliseconds(100);
  CHECK(RecordGrant(allowance, {.number = 7, .targets = grant.targets}, now) ==
        0);
  CHECK(RecordGrant(allowance, grant, now) == 1);
  CHECK(RecordGrant(allowance, grant, now) == 0);
  CHECK(HasToken(allowance, kTarget, now));
  CHECK_FALSE(HasToken(allowance, kTarget, kAsked + kTokenValidity));
  const auto token = TakeToken(allowance, kTarget, now);
  REQUIRE(token);
  CHECK_FALSE(TakeToken(allowance, kTarget, now));
  ReturnToken(allowance, *token);
  CHECK(TakeToken(allowance, kTarget, now));
  const WarmupRequest late = BuildRequest(allowance, {Cold()}, kAsked);
  CHECK(RecordGrant(allowance,
                    {.number = late.number, .targets = grant.targets},
                    kAsked + kTokenValidity) == 0);
  CHECK(allowance.num_expired == 1);
}

}  // namespace
}  // namespace samphirebank::warmup
