#include "samphirebank/admission/admission.h"

#include <doctest/doctest.h>

#include <cmath>
#include <limits>
#include <vector>

namespace samphirebank::admission {
namespace {

using std::chrono::milliseconds;

constexpr Duration kLatencyTarget = milliseconds(800);

bool IsAdmitted(Duration wait, double used, double fair_share) {
  return ShouldAdmit(
      {}, {.latency_target = kLatencyTarget,
           .wait = wait,
           .mean_wait = wait,
           .used = used,
           .fair_shares = {.nominal = fair_share, .current = fair_share}});
}

TEST_CASE("a prompt for an idle target is always admitted") {
  CHECK(IsAdmitted(milliseconds(0), 1'000'000, 10));
}

TEST_CASE("the wait limit falls with the usage of the organisation") {
  CHECK(IsAdmitted(milliseconds(900), 40, 100));
  CHECK_FALSE(IsAdmitted(milliseconds(900), 100, 100));
  CHECK(IsAdmitted(milliseconds(300), 100, 100));
  CHECK_FALSE(IsAdmitted(milliseconds(100), 200, 100));
  CHECK(IsAdmitted(milliseconds(70), 200, 100));
  CHECK_FALSE(IsAdmitted(milliseconds(70), 400, 100));
  CHECK(IsAdmitted(milliseconds(900), 1e9,
                   std::numeric_limits<double>::infinity()));
}

TEST_CASE("a prompt that would miss the latency target is not admitted") {
  CHECK_FALSE(IsAdmitted(milliseconds(1000), 0, 100));
}

TEST_CASE("a current capacity above the stated one raises the limits") {
  CHECK(CurrentCapacity(100, 50) == 100);
  CHECK(CurrentCapacity(100, 200) > 200);
  Request request{.latency_target = kLatencyTarget,
                  .wait = milliseconds(0),
                  .used = 300,
                  .fair_shares = {.nominal = 100, .current = 100}};
  request.wait = milliseconds(150);
  CHECK_FALSE(ShouldAdmit({}, request));
  request.fair_shares.current = 300;
  CHECK(ShouldAdmit({}, request));
  // The current capacity has no effect if all targets are busy.
  request.mean_wait = milliseconds(100);
  CHECK_FALSE(ShouldAdmit({}, request));
}

TEST_CASE("the retry delay grows with the usage and differs between seeds") {
  const Options options;
  CHECK(RetryAfter(options, 800, 100, 5) > RetryAfter(options, 100, 100, 5));
  CHECK(RetryAfter(options, 100, 100, 1) != RetryAfter(options, 100, 100, 2));
  CHECK(RetryAfter(options, 1e9, 1, 1023) < milliseconds(3200));
}

// Organisation simulates a sender of prompts of equal length at a constant
// rate.
struct Organisation {
  double demand = 0;    // tokens per second
  double used = 0;      // tokens per second, averaged over kDecaySeconds
  double admitted = 0;  // tokens
  double pending = 0;   // tokens of the prompts not sent yet
};

constexpr double kDecaySeconds = 2.0;
constexpr double kStepSeconds = 0.01;
constexpr double kPromptTokens = 4000;

// Simulate runs the organisations for 60 s against one engine that
// prefills `capacity` tokens per second. Returns the longest wait of an
// admitted prompt in seconds.
double Simulate(std::vector<Organisation>& organisations, double capacity,
                double fair_share) {
  double backlog = 0;
  double longest = 0;
  for (double now = 0; now < 60; now += kStepSeconds) {
    backlog = std::max(0.0, backlog - capacity * kStepSeconds);
    for (Organisation& organisation : organisations) {
      organisation.used -= organisation.used * kStepSeconds / kDecaySeconds;
      organisation.pending += organisation.demand * kStepSeconds;
      while (organisation.pending >= kPromptTokens) {
        organisation.pending -= kPromptTokens;
        const double wait = backlog / capacity;
        if (!IsAdmitted(std::chrono::duration_cast<Duration>(
                            std::chrono::duration<double>(wait)),
                        organisation.used, fair_share)) {
          continue;
        }
        longest = std::max(longest, wait);
        backlog += kPromptTokens;
        organisation.used += kPromptTokens / kDecaySeconds;
        organisation.admitted += kPromptTokens;
      }
    }
  }
  return longest;
}

TEST_CASE("organisations above their fair share leave the others theirs") {
  std::vector<Organisation> organisations = {{.demand = 20'000},
                                             {.demand = 15'000},
                                             {.demand = 500'000},
                                             {.demand = 300'000}};
  const double capacity = 100'000;
  const double longest = Simulate(organisations, capacity, 32'500);
  CHECK(organisations[0].admitted >= 0.95 * 20'000 * 60);
  CHECK(organisations[1].admitted >= 0.95 * 15'000 * 60);
  // The two large organisations get similar parts of the remaining capacity.
  CHECK(organisations[2].admitted < 1.5 * organisations[3].admitted);
  CHECK(organisations[3].admitted < 1.5 * organisations[2].admitted);
  const double total = organisations[0].admitted + organisations[1].admitted +
                       organisations[2].admitted + organisations[3].admitted;
  CHECK(total >= 0.93 * capacity * 60);
  // No admitted prompt waits longer than the latency target.
  CHECK(longest < 0.8);
}

}  // namespace
}  // namespace samphirebank::admission
