#include "samphirebank/shedding/shedding.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>

namespace samphirebank::shedding {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

int RefusedOf(const Shedding& shedding, int requests, bool above_share) {
  int refused = 0;
  for (int i = 0; i < requests; ++i) {
    refused += ShouldRefuse(shedding, {.above_share = above_share,
                                       .seed = static_cast<uint64_t>(i)})
                   ? 1
                   : 0;
  }
  return refused;
}

TEST_CASE("an instance that is not overloaded refuses nothing") {
  Shedding shedding;
  for (int i = 0; i < 100; ++i) RecordTick(shedding, milliseconds(5));
  CHECK(RefusedOf(shedding, 1024, true) == 0);
  CHECK(RefusedOf(shedding, 1024, false) == 0);
}

TEST_CASE("one long pause does not make an instance refuse everything") {
  Shedding shedding;
  RecordTick(shedding, seconds(6));
  CHECK(RefusedOf(shedding, 1024, true) < 1024 / 2);
  CHECK(RefusedOf(shedding, 1024, false) == 0);
}

TEST_CASE("requests above the fair share are refused before others") {
  Shedding shedding;
  for (int i = 0; i < 5; ++i) RecordTick(shedding, milliseconds(100));
  CHECK(RefusedOf(shedding, 1024, true) > 512);
  CHECK(RefusedOf(shedding, 1024, false) == 0);
}

TEST_CASE("an instance always serves some requests, and all once it recovers") {
  Shedding shedding;
  for (int i = 0; i < 100; ++i) RecordTick(shedding, milliseconds(500));
  CHECK(RefusedOf(shedding, 1024, true) < 1024);
  CHECK(RefusedOf(shedding, 1024, false) < 1024);
  for (int i = 0; i < 30; ++i) RecordTick(shedding, milliseconds(0));
  CHECK(RefusedOf(shedding, 1024, true) == 0);
}

TEST_CASE("more requests in flight than descriptors allow are refused") {
  const Shedding shedding;
  const size_t most = shedding.options.max_in_flight;
  CHECK_FALSE(ShouldRefuse(shedding, {.in_flight = most - 1, .seed = 1023}));
  CHECK(ShouldRefuse(shedding, {.in_flight = most, .seed = 1023}));
}

TEST_CASE("retries are spread over the configured delays") {
  const Options options;
  Duration least = seconds(1);
  Duration most{};
  for (uint64_t seed = 0; seed < 1 << 20; seed += 1024) {
    const Duration delay = RetryAfter(options, seed);
    least = std::min(least, delay);
    most = std::max(most, delay);
  }
  CHECK(least == options.min_retry_delay);
  CHECK(most > options.max_retry_delay - milliseconds(1));
  CHECK(most <= options.max_retry_delay);
}

// Instance reads its requests in order of arrival.
struct Instance {
  Shedding shedding{};
  std::deque<Duration> unread{};  // times of arrival
  Duration busy_until{};
  Duration last_idle{};
  Duration next_tick = milliseconds(100);
};

// Result counts what became of the requests of a large caller.
struct Result {
  int asked = 0;
  int read = 0;
  int served_in_time = 0;
  int served_late = 0;
  int refused = 0;
  int given_up = 0;
  Duration longest_unread{};
};

// Load is a caller that sends `per_second` requests to one instance, which
// takes `serve_cost` of wall time for each that it serves and `refuse_cost` for
// each that it refuses. A request has to be read within `in_time` to be
// answered within its latency target, and its caller waits until `deadline`.
struct Load {
  int per_second = 0;
  Duration serve_cost = milliseconds(6);
  Duration refuse_cost = milliseconds(1);
  Duration in_time = milliseconds(200);
  Duration deadline = milliseconds(2500);
};

// kBatch is how many requests the event loop reads before it comes to its
// timers. What is ready but not read yet is not seen otherwise.
constexpr int kBatch = 8;

// SeedAt returns the seed of the n-th request, as a hash of its id would be.
uint64_t SeedAt(int n) {
  return (static_cast<uint64_t>(n) * 0x9E3779B97F4A7C15U) >> 32U;
}

// ReadBatch lets the instance read from `now` on, and returns when it is done.
Duration ReadBatch(Instance& instance, const Load& load, Duration now,
                   Result* result) {
  for (int i = 0; i < kBatch && !instance.unread.empty(); ++i) {
    const Duration waited = now - instance.unread.front();
    instance.unread.pop_front();
    result->longest_unread = std::max(result->longest_unread, waited);
    const bool refuses =
        ShouldRefuse(instance.shedding, {.seed = SeedAt(result->read++)});
    now += refuses ? load.refuse_cost : load.serve_cost;
    if (waited >= load.deadline) {
      ++result->given_up;
    } else if (refuses) {
      ++result->refused;
    } else {
      ++(waited <= load.in_time ? result->served_in_time : result->served_late);
    }
  }
  return now;
}

// Play plays `span` of a load at an instance with the given options.
Result Play(const Options& options, const Load& load, Duration span) {
  Instance instance{.shedding = {.options = options}};
  Result result;
  const Duration gap = std::chrono::duration_cast<Duration>(seconds(1)) /
                       static_cast<int64_t>(load.per_second);
  Duration next_arrival{};
  for (Duration now{}; now < span; now += milliseconds(1)) {
    for (; next_arrival <= now; next_arrival += gap) {
      instance.unread.push_back(next_arrival);
      ++result.asked;
    }
    if (now < instance.busy_until) continue;
    if (instance.unread.empty()) instance.last_idle = now;
    if (now >= instance.next_tick) {
      RecordTick(instance.shedding, now - instance.last_idle);
      instance.next_tick = now + milliseconds(100);
    }
    instance.busy_until = ReadBatch(instance, load, now, &result);
  }
  return result;
}

TEST_CASE("an instance at three times its load answers what it reads in time") {
  const Load load{.per_second = 500};  // it can serve 166
  const Result shed = Play(Options{}, load, seconds(20));
  CHECK(shed.given_up == 0);
  CHECK(shed.served_in_time > 20 * 166 / 3);
  CHECK(shed.served_late < shed.served_in_time / 10);
  CHECK(shed.longest_unread < load.deadline / 2);

  // The same load without shedding: nearly all that it reads is too late.
  const Result unshed = Play(Options{.gain = 0.0}, load, seconds(20));
  CHECK(unshed.served_in_time < shed.served_in_time / 4);
  CHECK(unshed.given_up > unshed.asked / 5);
}

TEST_CASE("an instance within its load serves all requests") {
  const Load load{.per_second = 120};
  const Result result = Play(Options{}, load, seconds(20));
  CHECK(result.refused == 0);
  CHECK(result.served_late == 0);
}

}  // namespace
}  // namespace samphirebank::shedding
