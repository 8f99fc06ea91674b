#include "samphirebank/forwarding/forwarding.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <vector>

namespace samphirebank::forwarding {
namespace {

using dialect::EventId;
using routes::RetryPolicy;
using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(1000)};

Progress Sent(RetryPolicy repetition, uint32_t attempts) {
  return {.repetition = repetition, .max_attempts = attempts, .num_sends = 1};
}

TEST_CASE("what may have run is sent again only if it may run again") {
  for (const SendResult end :
       {SendResult::kIncomplete, SendResult::kTargetError}) {
    CHECK(DecideNextAction(Sent(RetryPolicy::kRetry, 2), end, true) ==
          NextAction::kResend);
    CHECK(DecideNextAction(Sent(RetryPolicy::kResume, 2), end, true) ==
          NextAction::kResend);
  }
  CHECK(DecideNextAction(Sent(RetryPolicy::kNever, 2), SendResult::kIncomplete,
                         true) == NextAction::kReportUnknown);
  CHECK(DecideNextAction(Sent(RetryPolicy::kNever, 2), SendResult::kTargetError,
                         true) == NextAction::kForwardFailure);
}

TEST_CASE("what did not run is sent again, or refused truthfully") {
  const Progress once = Sent(RetryPolicy::kNever, 1);
  const Progress twice = Sent(RetryPolicy::kNever, 2);
  CHECK(DecideNextAction(twice, SendResult::kNotRun, true) ==
        NextAction::kResend);
  CHECK(DecideNextAction(twice, SendResult::kNotRun, false) ==
        NextAction::kRefuse);
  CHECK(DecideNextAction(once, SendResult::kNotRun, true) ==
        NextAction::kRefuse);
  Progress ran = Sent(RetryPolicy::kRetry, 1);
  ran.may_have_run = true;
  CHECK(DecideNextAction(ran, SendResult::kNotRun, true) ==
        NextAction::kReportUnknown);
}

TEST_CASE("a target out of reach takes no attempt and no budget") {
  Progress progress = Sent(RetryPolicy::kNever, 1);
  progress.num_sends = 0;
  progress.connect_failures = 1;
  CHECK(DecideNextAction(progress, SendResult::kConnectFailed, false) ==
        NextAction::kResend);
  progress.connect_failures = kMaxConnectFailures;
  CHECK(DecideNextAction(progress, SendResult::kConnectFailed, true) ==
        NextAction::kRefuse);
}

TEST_CASE("an answer that began is never followed by another status") {
  for (const SendResult end :
       {SendResult::kConnectFailed, SendResult::kNotRun,
        SendResult::kTargetError, SendResult::kIncomplete}) {
    Progress progress = Sent(RetryPolicy::kResume, 1);
    progress.connect_failures = kMaxConnectFailures;
    progress.response_started = true;
    CHECK(DecideNextAction(progress, end, false) == NextAction::kAbortResponse);
  }
}

TEST_CASE("the budget is used up and comes back with the window") {
  const BudgetOptions options{.ratio = 0.2, .allowance = 1};
  RepeatBudget budget;
  for (int i = 0; i < 10; ++i) RecordRequest(budget, options, kStart);
  for (int i = 0; i < 3; ++i) {
    REQUIRE(MayRepeat(budget, options, kStart));
    RecordRepeat(budget, options, kStart);
  }
  CHECK_FALSE(MayRepeat(budget, options, kStart));
  CHECK_FALSE(MayRepeat(budget, options, kStart + seconds(10)));
  CHECK(MayRepeat(budget, options, kStart + seconds(11)));
}

// Naive is the bound as stated, over single arrivals.
struct Naive {
  std::vector<TimePoint> requests;
  std::vector<TimePoint> repeats;

  size_t Count(const std::vector<TimePoint>& all, TimePoint from,
               TimePoint to) const {
    size_t count = 0;
    for (const TimePoint at : all) count += at > from && at <= to ? 1 : 0;
    return count;
  }
};

TEST_CASE("no window ever holds more repeats than the bound") {
  CHECK(rc::check("repeat budget", [] {
    const BudgetOptions options{.ratio = 0.2, .allowance = 2};
    RepeatBudget budget;
    Naive naive;
    TimePoint now = kStart;
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 700));
    for (const int step : steps) {
      now += milliseconds(step);
      RecordRequest(budget, options, now);
      naive.requests.push_back(now);
      if (!MayRepeat(budget, options, now)) continue;
      RecordRepeat(budget, options, now);
      naive.repeats.push_back(now);
    }
    for (const TimePoint end : naive.repeats) {
      const TimePoint begin = end - options.window;
      const double bound = options.ratio * static_cast<double>(naive.Count(
                                               naive.requests, begin, end)) +
                           options.allowance;
      RC_ASSERT(static_cast<double>(naive.Count(naive.repeats, begin, end)) <=
                bound);
    }
  }));
}

TEST_CASE("only whole events pass") {
  EventStream stream;
  CHECK(TakeEvents(stream, "id: 1\ndata: a\n") == "");
  CHECK(TakeEvents(stream, "\nid: 2\nda") == "id: 1\ndata: a\n\n");
  CHECK(stream.last_event_id == EventId(1));
  CHECK(TakeEvents(stream, "ta: b\r\n\r\nid: 3") == "id: 2\ndata: b\r\n\r\n");
  CHECK(stream.buffer == "id: 3");
}

TEST_CASE("an event that was passed on is not passed on again") {
  EventStream stream{.last_event_id = EventId(2)};
  CHECK(TakeEvents(stream, "id: 2\ndata: b\n\nid: 3\ndata: c\n\n") ==
        "id: 3\ndata: c\n\n");
}

TEST_CASE("events come out the same however they are cut") {
  CHECK(rc::check("event cuts", [] {
    const std::string text =
        "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\nx";
    EventStream stream;
    std::string out;
    size_t at = 0;
    while (at < text.size()) {
      const size_t length = *rc::gen::inRange<size_t>(1, 9);
      out += TakeEvents(stream, text.substr(at, length));
      at += length;
    }
    RC_ASSERT(out == "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n");
  }));
}

}  // namespace
}  // namespace samphirebank::forwarding
