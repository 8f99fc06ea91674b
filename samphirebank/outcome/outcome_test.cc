#include "samphirebank/outcome/outcome.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace samphirebank::outcome {
namespace {

using std::chrono::seconds;

const TimePoint kNow = TimePoint(seconds(100));

Grant GrantOf(const std::string& target, bool can_resume = false) {
  return {.target = TargetId(target),
          .address = {.ip = "127.0.0.1", .port = 9},
          .epoch = Epoch(1),
          .expires = kNow + seconds(5),
          .can_resume = can_resume};
}

// Driver steps one request and keeps the actions of the latest step.
struct Driver {
  Request request;
  retry::Budgets budgets;
  TimePoint now = kNow;
  std::vector<Action> actions;

  explicit Driver(bool idempotent, bool has_key = false)
      : request(Start({.organisation = OrganisationId("a"),
                       .service = ServiceId("s"),
                       .idempotent = idempotent,
                       .has_key = has_key,
                       .deadline = kNow + seconds(30),
                       .seed = 3})) {}

  void Raise(const Event& event) {
    this->actions = Step(this->request, event, this->budgets, this->now);
  }
  template <typename T>
  const T* Find() const {
    for (const Action& action : this->actions) {
      if (const T* found = std::get_if<T>(&action)) return found;
    }
    return nullptr;
  }
  // Refused returns the outcome in the refusal as text, or "" if the latest
  // step refused nothing.
  std::string Refused() const {
    const auto* refuse = this->Find<Refuse>();
    return refuse == nullptr ? ""
                             : std::string(ToText(refuse->problem.outcome));
  }
};

TEST_CASE("an idempotent request is retried at another target and completes") {
  Driver driver(true);
  driver.Raise(GrantReceived{GrantOf("t1")});
  REQUIRE(driver.Find<Dispatch>() != nullptr);
  CHECK(MayDispatch(driver.request, 1, kNow));
  CHECK(!MayDispatch(driver.request, 1, kNow + seconds(5)));
  driver.Raise(AttemptFailed{.attempt = 1, .sent = net::SendState::kSent});
  REQUIRE(driver.Find<Requeue>() != nullptr);
  CHECK(driver.Find<Requeue>()->avoid == TargetId("t1"));
  CHECK(driver.Find<Settle>()->sent);
  driver.Raise(GrantReceived{GrantOf("t2")});
  driver.Raise(HeadReceived{.attempt = 1, .status = 200});
  CHECK(driver.actions.empty());  // a late response to the first attempt
  driver.Raise(HeadReceived{.attempt = 2, .status = 200, .event_stream = true});
  driver.Raise(BodyReceived{
      .attempt = 2, .bytes = Bytes(9), .events = 1, .tokens = Tokens(1)});
  CHECK(driver.Find<ForwardBuffered>() != nullptr);
  driver.Raise(ResponseCompleted{.attempt = 2, .tokens = Tokens(7)});
  CHECK(driver.Find<FinishResponse>() != nullptr);
  CHECK(driver.Find<Settle>()->tokens == Tokens(7));
  CHECK(driver.request.phase == Phase::kEnded);
}

TEST_CASE("a sent non-idempotent request fails as unknown, never resent") {
  Driver driver(false);
  driver.Raise(GrantReceived{GrantOf("t1")});
  driver.Raise(AttemptFailed{.attempt = 1, .sent = net::SendState::kSent});
  CHECK(driver.Find<Requeue>() == nullptr);
  CHECK(driver.Refused() == "unknown");
}

TEST_CASE("an unsent request is retried, then refused as not-run") {
  Driver driver(false);
  for (uint32_t attempt = 1; attempt < 3; ++attempt) {
    driver.Raise(GrantReceived{GrantOf("t1")});
    driver.Raise(
        AttemptFailed{.attempt = attempt, .sent = net::SendState::kNotSent});
    CHECK(driver.Find<Requeue>() != nullptr);
  }
  driver.Raise(GrantReceived{GrantOf("t1")});
  driver.Raise(AttemptFailed{.attempt = 3, .sent = net::SendState::kNotSent});
  CHECK(driver.Refused() == "not-run");
  CHECK(driver.Find<Refuse>()->problem.retry_after.has_value());
}

TEST_CASE("not-run is not reported if an earlier attempt may have run") {
  Driver driver(true);
  driver.Raise(GrantReceived{GrantOf("t1")});
  driver.Raise(AttemptFailed{.attempt = 1, .sent = net::SendState::kSent});
  driver.Raise(DeadlinePassed{});
  CHECK(driver.Refused() == "unknown");
}

TEST_CASE("a target's statement that it refused before running gives not-run") {
  Driver driver(false, true);
  driver.Raise(GrantReceived{GrantOf("t1")});
  CHECK(driver.Find<Dispatch>() == nullptr);
  driver.Raise(ClaimDecided{.decision = claims::Decision::kGranted});
  REQUIRE(driver.Find<Dispatch>() != nullptr);
  driver.Raise(HeadReceived{.attempt = 1,
                            .status = 503,
                            .states_not_run = true,
                            .retry_after = seconds(4)});
  CHECK(driver.Refused() == "not-run");
  CHECK(driver.Find<Refuse>()->problem.retry_after == seconds(4));
  CHECK(driver.Find<RecordClaimEnd>()->end.kind == claims::EndKind::kNotRun);
}

TEST_CASE("a claim that is not granted determines the response") {
  const auto response_to = [](claims::Decision decision) {
    Driver driver(false, true);
    driver.Raise(GrantReceived{GrantOf("t1")});
    driver.Raise(ClaimDecided{.decision = decision});
    CHECK(driver.Find<Dispatch>() == nullptr);
    CHECK(!driver.Find<Settle>()->sent);
    CHECK(driver.request.phase == Phase::kEnded);
    const auto* refuse = driver.Find<Refuse>();
    return refuse == nullptr ? std::string("answered")
                             : std::to_string(refuse->problem.status) + " " +
                                   driver.Refused();
  };
  CHECK(response_to(claims::Decision::kRunning) == "409 unknown");
  CHECK(response_to(claims::Decision::kUnknown) == "409 unknown");
  CHECK(response_to(claims::Decision::kRan) == "409 ran");
  CHECK(response_to(claims::Decision::kMismatch) == "422 not-run");
  CHECK(response_to(claims::Decision::kFull) == "503 not-run");
  CHECK(response_to(claims::Decision::kRecorded) == "answered");
}

TEST_CASE("a request with a stale claim is not sent") {
  Driver driver(false, true);
  driver.Raise(GrantReceived{GrantOf("t1")});
  driver.now = kNow + claims::kSendWindow + seconds(1);
  driver.Raise(ClaimDecided{.decision = claims::Decision::kGranted});
  CHECK(driver.Find<Dispatch>() == nullptr);
  CHECK(driver.Refused() == "not-run");
  CHECK(driver.Find<RecordClaimEnd>()->end.kind == claims::EndKind::kNotRun);
}

TEST_CASE("an interrupted stream is resumed if the target can, else aborted") {
  for (const bool can_resume : {true, false}) {
    Driver driver(true);
    driver.Raise(GrantReceived{GrantOf("t1", can_resume)});
    driver.Raise(
        HeadReceived{.attempt = 1, .status = 200, .event_stream = true});
    driver.Raise(BodyReceived{.attempt = 1, .bytes = Bytes(9), .events = 3});
    driver.Raise(ResponseFailed{.attempt = 1, .detail = "cut"});
    if (can_resume) {
      CHECK(driver.Find<Dispatch>()->resume_after == 3);
      driver.Raise(
          ResponseFailed{.attempt = 2, .detail = "x", .can_resume = false});
    }
    CHECK(driver.Find<AbortResponse>() != nullptr);
    CHECK(driver.Find<FinishResponse>() == nullptr);
    CHECK(driver.Find<Settle>()->sent);
  }
}

TEST_CASE("an answer that is no stream is not passed on into a resumed one") {
  for (const HeadReceived& head :
       {HeadReceived{.attempt = 2, .status = 500, .event_stream = true},
        HeadReceived{.attempt = 2, .status = 503, .states_not_run = true},
        HeadReceived{.attempt = 2, .status = 200, .event_stream = false}}) {
    Driver driver(true);
    driver.Raise(GrantReceived{GrantOf("t1", true)});
    driver.Raise(
        HeadReceived{.attempt = 1, .status = 200, .event_stream = true});
    driver.Raise(BodyReceived{.attempt = 1, .bytes = Bytes(9), .events = 3});
    driver.Raise(ResponseFailed{.attempt = 1, .detail = "cut"});
    REQUIRE(driver.Find<Dispatch>() != nullptr);
    driver.Raise(head);
    CHECK(driver.Find<AbortResponse>() != nullptr);
    CHECK(driver.Find<ForwardBuffered>() == nullptr);
    CHECK(driver.Find<FinishResponse>() == nullptr);
  }
}

TEST_CASE("an attempt with a faulty response head is cancelled") {
  Driver driver(true);
  driver.Raise(GrantReceived{GrantOf("t1")});
  driver.Raise(ResponseFailed{.attempt = 1, .can_resume = false});
  CHECK(driver.Find<CancelAttempt>()->attempt == 1);
  CHECK(driver.Find<Requeue>() != nullptr);
}

TEST_CASE("a disconnect cancels the request and settles its tokens") {
  Driver driver(true);
  driver.Raise(GrantReceived{GrantOf("t1")});
  driver.Raise(HeadReceived{.attempt = 1, .status = 200, .event_stream = true});
  driver.Raise(BodyReceived{
      .attempt = 1, .bytes = Bytes(9), .events = 4, .tokens = Tokens(4)});
  driver.Raise(CallerDisconnected{});
  CHECK(driver.Find<CancelAttempt>() != nullptr);
  CHECK(driver.Find<Settle>()->tokens == Tokens(4));
  CHECK(driver.Find<AbortResponse>() == nullptr);
}

TEST_CASE("a claimed request is recorded though its caller disconnects") {
  Driver driver(false, true);
  driver.Raise(GrantReceived{GrantOf("t1")});
  driver.Raise(ClaimDecided{.decision = claims::Decision::kGranted});
  driver.Raise(CallerDisconnected{});
  CHECK(driver.actions.empty());
  driver.Raise(HeadReceived{.attempt = 1, .status = 200});
  driver.Raise(ResponseCompleted{.attempt = 1, .record = {.status = 200}});
  CHECK(driver.Find<RecordClaimEnd>()->end.response.status == 200);
  CHECK(driver.Find<FinishResponse>() == nullptr);
}

TEST_CASE("a lost lease refuses waiting requests; running ones finish") {
  Driver waiting(true);
  waiting.Raise(LeaseLost{});
  CHECK(waiting.Refused() == "not-run");
  Driver running(true);
  running.Raise(GrantReceived{GrantOf("t1")});
  running.Raise(LeaseLost{});
  CHECK(running.actions.empty());
  CHECK(!MayDispatch(running.request, 1, kNow));
  running.Raise(HeadReceived{.attempt = 1, .status = 200});
  running.Raise(ResponseCompleted{.attempt = 1});
  CHECK(running.Find<FinishResponse>() != nullptr);
}

TEST_CASE("a target's 503 is retried within the budget, then forwarded") {
  Driver driver(true);
  uint32_t attempt = 1;
  for (; attempt < 3; ++attempt) {
    driver.Raise(GrantReceived{GrantOf("t1")});
    driver.Raise(HeadReceived{.attempt = attempt, .status = 503});
    CHECK(driver.Find<Requeue>() != nullptr);
    CHECK(driver.Find<Settle>() != nullptr);
  }
  driver.Raise(GrantReceived{GrantOf("t1")});
  driver.Raise(HeadReceived{.attempt = attempt, .status = 503});
  CHECK(driver.actions.empty());
  driver.Raise(ResponseCompleted{.attempt = attempt});
  CHECK(driver.Find<ForwardBuffered>() != nullptr);
}

TEST_CASE("a grant received after the request ended is returned unused") {
  Driver driver(true);
  driver.Raise(CallerDisconnected{});
  CHECK(driver.request.phase == Phase::kEnded);
  driver.Raise(GrantReceived{GrantOf("t1")});
  CHECK(!driver.Find<Settle>()->sent);
}

}  // namespace
}  // namespace samphirebank::outcome
