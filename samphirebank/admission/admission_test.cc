#include "samphirebank/admission/admission.h"

#include <doctest/doctest.h>

#include <cmath>
#include <limits>
#include <vector>

namespace samphirebank::admission {
namespace {

using std::chrono::milliseconds;

constexpr Duration kTarget = milliseconds(800);

bool AdmitsAt(Duration wait, double used, double level) {
  return ShouldAdmit({}, {.latency_target = kTarget,
                          .wait = wait,
                          .mean_wait = wait,
                          .used = used,
                          .fair_shares = {.nominal = level, .current = level}});
}

TEST_CASE("an idle target takes anybody's request") {
  CHECK(AdmitsAt(milliseconds(0), 1'000'000, 10));
}

TEST_CASE("the more an organisation used, the less may wait before it") {
  CHECK(AdmitsAt(milliseconds(900), 40, 100));
  CHECK_FALSE(AdmitsAt(milliseconds(900), 100, 100));
  CHECK(AdmitsAt(milliseconds(300), 100, 100));
  CHECK_FALSE(AdmitsAt(milliseconds(100), 200, 100));
  CHECK(AdmitsAt(milliseconds(70), 200, 100));
  CHECK_FALSE(AdmitsAt(milliseconds(70), 400, 100));
  CHECK(AdmitsAt(milliseconds(900), 1e9,
                 std::numeric_limits<double>::infinity()));
}

TEST_CASE("what can no longer be in time is not admitted either") {
  CHECK_FALSE(AdmitsAt(milliseconds(1000), 0, 100));
}

TEST_CASE("where targets make more than stated, all get more") {
  CHECK(CurrentCapacity(100, 50) == 100);
  CHECK(CurrentCapacity(100, 200) > 200);
  Question question{.latency_target = kTarget,
                    .wait = milliseconds(0),
                    .used = 300,
                    .fair_shares = {.nominal = 100, .current = 100}};
  question.wait = milliseconds(150);
  CHECK_FALSE(ShouldAdmit({}, question));
  question.fair_shares.current = 300;
  CHECK(ShouldAdmit({}, question));
  // Not where all targets are busy.
  question.mean_wait = milliseconds(100);
  CHECK_FALSE(ShouldAdmit({}, question));
}

TEST_CASE("those who used more come back later, and not all together") {
  const Options options;
  CHECK(RetryAfter(options, 800, 100, 5) > RetryAfter(options, 100, 100, 5));
  CHECK(RetryAfter(options, 100, 100, 1) != RetryAfter(options, 100, 100, 2));
  CHECK(RetryAfter(options, 1e9, 1, 1023) < milliseconds(3200));
}

// Organisation plays one that sends equal prompts at a steady rate.
struct Organisation {
  double asked = 0;  // tokens a second
  double used = 0;   // tokens a second, measured over kRateTimeConstant
  double got = 0;    // tokens
  double due = 0;    // tokens of the next prompts
};

constexpr double kMemorySeconds = 2.0;
constexpr double kStepSeconds = 0.01;
constexpr double kPromptTokens = 4000;

// Play runs organisations against one engine that reads `capacity` tokens a
// second, and returns the longest wait of an admitted prompt in seconds.
double Play(std::vector<Organisation>& all, double capacity, double level) {
  double backlog = 0;
  double longest = 0;
  for (double now = 0; now < 60; now += kStepSeconds) {
    backlog = std::max(0.0, backlog - capacity * kStepSeconds);
    for (Organisation& one : all) {
      one.used -= one.used * kStepSeconds / kMemorySeconds;
      one.due += one.asked * kStepSeconds;
      while (one.due >= kPromptTokens) {
        one.due -= kPromptTokens;
        const double wait = backlog / capacity;
        if (!AdmitsAt(std::chrono::duration_cast<Duration>(
                          std::chrono::duration<double>(wait)),
                      one.used, level)) {
          continue;
        }
        longest = std::max(longest, wait);
        backlog += kPromptTokens;
        one.used += kPromptTokens / kMemorySeconds;
        one.got += kPromptTokens;
      }
    }
  }
  return longest;
}

TEST_CASE("a flood leaves the others their share, and none idle") {
  std::vector<Organisation> all = {{.asked = 20'000},
                                   {.asked = 15'000},
                                   {.asked = 500'000},
                                   {.asked = 300'000}};
  const double capacity = 100'000;
  const double longest = Play(all, capacity, 32'500);
  CHECK(all[0].got >= 0.95 * 20'000 * 60);
  CHECK(all[1].got >= 0.95 * 15'000 * 60);
  // What is left goes to the two large ones in about even parts.
  CHECK(all[2].got < 1.5 * all[3].got);
  CHECK(all[3].got < 1.5 * all[2].got);
  const double total = all[0].got + all[1].got + all[2].got + all[3].got;
  CHECK(total >= 0.93 * capacity * 60);
  // Nobody is admitted to wait past the latency target.
  CHECK(longest < 0.8);
}

}  // namespace
}  // namespace samphirebank::admission
