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

TEST_CASE(
    "a request that may have run is sent again only if it is repeatable") {
  for (const SendResult result :
       {SendResult::kIncomplete, SendResult::kTargetError}) {
    CHECK(DecideNextAction(Sent(RetryPolicy::kRetry, 2), result, true) ==
          NextAction::kResend);
    CHECK(DecideNextAction(Sent(RetryPolicy::kResume, 2), result, true) ==
          NextAction::kResend);
  }
  CHECK(DecideNextAction(Sent(RetryPolicy::kNever, 2), SendResult::kIncomplete,
                         true) == NextAction::kReportUnknown);
  CHECK(DecideNextAction(Sent(RetryPolicy::kNever, 2), SendResult::kTargetError,
                         true) == NextAction::kForwardFailure);
}

TEST_CASE("a request that did not run is sent again or refused as not run") {
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

TEST_CASE("an unreachable target uses up no attempt and no budget") {
  Progress progress = Sent(RetryPolicy::kNever, 1);
  progress.num_sends = 0;
  progress.connect_failures = 1;
  CHECK(DecideNextAction(progress, SendResult::kConnectFailed, false) ==
        NextAction::kResend);
  progress.connect_failures = kMaxConnectFailures;
  CHECK(DecideNextAction(progress, SendResult::kConnectFailed, true) ==
        NextAction::kRefuse);
}

TEST_CASE("a response that has started is never followed by another status") {
  for (const SendResult result :
       {SendResult::kConnectFailed, SendResult::kNotRun,
        SendResult::kTargetError, SendResult::kIncomplete}) {
    Progress progress = Sent(RetryPolicy::kResume, 1);
    progress.connect_failures = kMaxConnectFailures;
    progress.response_started = true;
    CHECK(DecideNextAction(progress, result, false) ==
          NextAction::kAbortResponse);
  }
}

TEST_CASE("repeats use up the budget until the window has passed") {
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

// ReferenceBudget counts single requests and repeats in exact windows.
struct ReferenceBudget {
  std::vector<TimePoint> requests;
  std::vector<TimePoint> repeats;

  size_t Count(const std::vector<TimePoint>& all, TimePoint from,
               TimePoint to) const {
    size_t count = 0;
    for (const TimePoint at : all) count += at > from && at <= to ? 1 : 0;
    return count;
  }
};

TEST_CASE("no window ever holds more repeats than the limit") {
  CHECK(rc::check("repeat budget", [] {
    const BudgetOptions options{.ratio = 0.2, .allowance = 2};
    RepeatBudget budget;
    ReferenceBudget reference;
    TimePoint now = kStart;
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 700));
    for (const int step : steps) {
      now += milliseconds(step);
      RecordRequest(budget, options, now);
      reference.requests.push_back(now);
      if (!MayRepeat(budget, options, now)) continue;
      RecordRepeat(budget, options, now);
      reference.repeats.push_back(now);
    }
    for (const TimePoint end : reference.repeats) {
      const TimePoint begin = end - options.window;
      const double max_repeats =
          options.ratio * static_cast<double>(
                              reference.Count(reference.requests, begin, end)) +
          options.allowance;
      RC_ASSERT(static_cast<double>(reference.Count(reference.repeats, begin,
                                                    end)) <= max_repeats);
    }
  }));
}

TEST_CASE("only complete events are returned") {
  EventStream stream;
  CHECK(TakeEvents(stream, "id: 1\ndata: a\n") == "");
  CHECK(TakeEvents(stream, "\nid: 2\nda") == "id: 1\ndata: a\n\n");
  CHECK(stream.last_event_id == EventId(1));
  CHECK(TakeEvents(stream, "ta: b\r\n\r\nid: 3") == "id: 2\ndata: b\r\n\r\n");
  CHECK(stream.buffer == "id: 3");
}

TEST_CASE("an event that was returned before is not returned again") {
  EventStream stream{.last_event_id = EventId(2)};
  CHECK(TakeEvents(stream, "id: 2\ndata: b\n\nid: 3\ndata: c\n\n") ==
        "id: 3\ndata: c\n\n");
}

TEST_CASE("the events do not depend on how the stream is split into pieces") {
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
