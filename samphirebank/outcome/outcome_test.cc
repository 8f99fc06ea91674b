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

// Driver steps one request and remembers the newest step's actions.
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

  void Do(const Event& event) {
    this->actions = Step(this->request, event, this->budgets, this->now);
  }
  template <typename T>
  const T* Find() const {
    for (const Action& action : this->actions) {
      if (const T* found = std::get_if<T>(&action)) return found;
    }
    return nullptr;
  }
  // Refused returns the refusal's word, or "" when there is none.
  std::string Refused() const {
    const auto* refuse = this->Find<Refuse>();
    return refuse == nullptr ? ""
                             : std::string(ToText(refuse->problem.outcome));
  }
};

TEST_CASE("an idempotent request moves to another target, then is answered") {
  Driver driver(true);
  driver.Do(GrantReceived{GrantOf("t1")});
  REQUIRE(driver.Find<Dispatch>() != nullptr);
  CHECK(MayDispatch(driver.request, 1, kNow));
  CHECK(!MayDispatch(driver.request, 1, kNow + seconds(5)));
  driver.Do(AttemptFailed{.attempt = 1, .sent = net::SendState::kSent});
  REQUIRE(driver.Find<Requeue>() != nullptr);
  CHECK(driver.Find<Requeue>()->avoid == TargetId("t1"));
  CHECK(driver.Find<Settle>()->sent);
  driver.Do(GrantReceived{GrantOf("t2")});
  driver.Do(HeadReceived{.attempt = 1, .status = 200});
  CHECK(driver.actions.empty());  // a late answer of the first attempt
  driver.Do(HeadReceived{.attempt = 2, .status = 200, .event_stream = true});
  driver.Do(BodyReceived{
      .attempt = 2, .bytes = Bytes(9), .events = 1, .tokens = Tokens(1)});
  CHECK(driver.Find<ForwardBuffered>() != nullptr);
  driver.Do(ResponseCompleted{.attempt = 2, .tokens = Tokens(7)});
  CHECK(driver.Find<FinishResponse>() != nullptr);
  CHECK(driver.Find<Settle>()->tokens == Tokens(7));
  CHECK(driver.request.phase == Phase::kEnded);
}

TEST_CASE("a sent request that is not idempotent is unknown, never resent") {
  Driver driver(false);
  driver.Do(GrantReceived{GrantOf("t1")});
  driver.Do(AttemptFailed{.attempt = 1, .sent = net::SendState::kSent});
  CHECK(driver.Find<Requeue>() == nullptr);
  CHECK(driver.Refused() == "unknown");
}

TEST_CASE("an unsent one is tried again, and not-run once that is over") {
  Driver driver(false);
  for (uint32_t attempt = 1; attempt < 3; ++attempt) {
    driver.Do(GrantReceived{GrantOf("t1")});
    driver.Do(
        AttemptFailed{.attempt = attempt, .sent = net::SendState::kNotSent});
    CHECK(driver.Find<Requeue>() != nullptr);
  }
  driver.Do(GrantReceived{GrantOf("t1")});
  driver.Do(AttemptFailed{.attempt = 3, .sent = net::SendState::kNotSent});
  CHECK(driver.Refused() == "not-run");
  CHECK(driver.Find<Refuse>()->problem.retry_after.has_value());
}

TEST_CASE("not-run is not said when an earlier attempt may have run") {
  Driver driver(true);
  driver.Do(GrantReceived{GrantOf("t1")});
  driver.Do(AttemptFailed{.attempt = 1, .sent = net::SendState::kSent});
  driver.Do(DeadlinePassed{});
  CHECK(driver.Refused() == "unknown");
}

TEST_CASE("a target's statement that it refused before running is not-run") {
  Driver driver(false, true);
  driver.Do(GrantReceived{GrantOf("t1")});
  CHECK(driver.Find<Dispatch>() == nullptr);
  driver.Do(ClaimDecided{.decision = claims::Decision::kGranted});
  REQUIRE(driver.Find<Dispatch>() != nullptr);
  driver.Do(HeadReceived{.attempt = 1,
                         .status = 503,
                         .states_not_run = true,
                         .retry_after = seconds(4)});
  CHECK(driver.Refused() == "not-run");
  CHECK(driver.Find<Refuse>()->problem.retry_after == seconds(4));
  CHECK(driver.Find<RecordClaimEnd>()->end.kind == claims::EndKind::kNotRun);
}

TEST_CASE("a claim that is not granted decides the answer") {
  const auto refused = [](claims::Decision decision) {
    Driver driver(false, true);
    driver.Do(GrantReceived{GrantOf("t1")});
    driver.Do(ClaimDecided{.decision = decision});
    CHECK(driver.Find<Dispatch>() == nullptr);
    CHECK(!driver.Find<Settle>()->sent);
    CHECK(driver.request.phase == Phase::kEnded);
    const auto* refuse = driver.Find<Refuse>();
    return refuse == nullptr ? std::string("answered")
                             : std::to_string(refuse->problem.status) + " " +
                                   driver.Refused();
  };
  CHECK(refused(claims::Decision::kRunning) == "409 unknown");
  CHECK(refused(claims::Decision::kUnknown) == "409 unknown");
  CHECK(refused(claims::Decision::kRan) == "409 ran");
  CHECK(refused(claims::Decision::kMismatch) == "422 not-run");
  CHECK(refused(claims::Decision::kFull) == "503 not-run");
  CHECK(refused(claims::Decision::kRecorded) == "answered");
}

TEST_CASE("a stale claim sends no first byte") {
  Driver driver(false, true);
  driver.Do(GrantReceived{GrantOf("t1")});
  driver.now = kNow + claims::kSendWindow + seconds(1);
  driver.Do(ClaimDecided{.decision = claims::Decision::kGranted});
  CHECK(driver.Find<Dispatch>() == nullptr);
  CHECK(driver.Refused() == "not-run");
  CHECK(driver.Find<RecordClaimEnd>()->end.kind == claims::EndKind::kNotRun);
}

TEST_CASE("a cut stream is resumed where the target can, else ended as cut") {
  for (const bool can_resume : {true, false}) {
    Driver driver(true);
    driver.Do(GrantReceived{GrantOf("t1", can_resume)});
    driver.Do(HeadReceived{.attempt = 1, .status = 200, .event_stream = true});
    driver.Do(BodyReceived{.attempt = 1, .bytes = Bytes(9), .events = 3});
    driver.Do(ResponseFailed{.attempt = 1, .detail = "cut"});
    if (can_resume) {
      CHECK(driver.Find<Dispatch>()->resume_after == 3);
      driver.Do(
          ResponseFailed{.attempt = 2, .detail = "x", .can_resume = false});
    }
    CHECK(driver.Find<AbortResponse>() != nullptr);
    CHECK(driver.Find<FinishResponse>() == nullptr);
    CHECK(driver.Find<Settle>()->sent);
  }
}

TEST_CASE("an answer found faulty at its head is cancelled") {
  Driver driver(true);
  driver.Do(GrantReceived{GrantOf("t1")});
  driver.Do(ResponseFailed{.attempt = 1, .can_resume = false});
  CHECK(driver.Find<CancelAttempt>()->attempt == 1);
  CHECK(driver.Find<Requeue>() != nullptr);
}

TEST_CASE("a caller that leaves cancels its work and pays what ran") {
  Driver driver(true);
  driver.Do(GrantReceived{GrantOf("t1")});
  driver.Do(HeadReceived{.attempt = 1, .status = 200, .event_stream = true});
  driver.Do(BodyReceived{
      .attempt = 1, .bytes = Bytes(9), .events = 4, .tokens = Tokens(4)});
  driver.Do(CallerDisconnected{});
  CHECK(driver.Find<CancelAttempt>() != nullptr);
  CHECK(driver.Find<Settle>()->tokens == Tokens(4));
  CHECK(driver.Find<AbortResponse>() == nullptr);
}

TEST_CASE("under a claim the call outlives its caller and is recorded") {
  Driver driver(false, true);
  driver.Do(GrantReceived{GrantOf("t1")});
  driver.Do(ClaimDecided{.decision = claims::Decision::kGranted});
  driver.Do(CallerDisconnected{});
  CHECK(driver.actions.empty());
  driver.Do(HeadReceived{.attempt = 1, .status = 200});
  driver.Do(ResponseCompleted{.attempt = 1, .record = {.status = 200}});
  CHECK(driver.Find<RecordClaimEnd>()->end.response.status == 200);
  CHECK(driver.Find<FinishResponse>() == nullptr);
}

TEST_CASE("a lost lease refuses what waits and lets what runs end") {
  Driver waiting(true);
  waiting.Do(LeaseLost{});
  CHECK(waiting.Refused() == "not-run");
  Driver running(true);
  running.Do(GrantReceived{GrantOf("t1")});
  running.Do(LeaseLost{});
  CHECK(running.actions.empty());
  CHECK(!MayDispatch(running.request, 1, kNow));
  running.Do(HeadReceived{.attempt = 1, .status = 200});
  running.Do(ResponseCompleted{.attempt = 1});
  CHECK(running.Find<FinishResponse>() != nullptr);
}

TEST_CASE("a target's overload moves on within the budget, else is passed on") {
  Driver driver(true);
  uint32_t attempt = 1;
  for (; attempt < 3; ++attempt) {
    driver.Do(GrantReceived{GrantOf("t1")});
    driver.Do(HeadReceived{.attempt = attempt, .status = 503});
    CHECK(driver.Find<Requeue>() != nullptr);
    CHECK(driver.Find<Settle>() != nullptr);
  }
  driver.Do(GrantReceived{GrantOf("t1")});
  driver.Do(HeadReceived{.attempt = attempt, .status = 503});
  CHECK(driver.actions.empty());
  driver.Do(ResponseCompleted{.attempt = attempt});
  CHECK(driver.Find<ForwardBuffered>() != nullptr);
}

TEST_CASE("a grant that comes too late goes back unused") {
  Driver driver(true);
  driver.Do(CallerDisconnected{});
  CHECK(driver.request.phase == Phase::kEnded);
  driver.Do(GrantReceived{GrantOf("t1")});
  CHECK(!driver.Find<Settle>()->sent);
}

}  // namespace
}  // namespace samphirebank::outcome
