#include <chrono>
#include <utility>

#include "samphirebank/outcome/internal/step.h"

namespace samphirebank::outcome::internal {
namespace {

Problem StaleClaim() {
  return {.status = 503,
          .title = "No capacity in time",
          .detail =
              "The claim of the Idempotency-Key went stale before a "
              "target was free."};
}

bool NeedsClaim(const Request& request) {
  return request.options.has_key && !request.options.idempotent;
}

void AskForClaim(Context& context) {
  context.request.claim_asked = true;
  context.request.claim_asked_at = context.now;
  context.actions.push_back(MakeClaim{});
}

void OnClaimGranted(Context& context) {
  Request& request = context.request;
  request.claim_granted = true;
  if (ClaimIsStale(request, context.now)) {
    SettleGrant(context, false);
    RefuseUnsent(context, StaleClaim());
    return;
  }
  if (context.now >= request.grant->expires) {
    SettleGrant(context, false);
    request.phase = Phase::kQueued;
    context.actions.push_back(
        Requeue{.delay = Duration(0), .avoid = std::nullopt});
    return;
  }
  Launch(context);
}

// ProblemFor is the refusal for a claim that was not granted.
Problem ProblemFor(claims::Decision decision) {
  switch (decision) {
    case claims::Decision::kRunning:
      return {.status = 409,
              .ran = Ran::kUnknown,
              .retry_after = std::chrono::seconds(1),
              .title = "Still running",
              .detail =
                  "An earlier request under this Idempotency-Key has "
                  "not ended."};
    case claims::Decision::kRan:
      return {.status = 409,
              .ran = Ran::kRan,
              .title = "Already ran",
              .detail =
                  "An earlier request under this Idempotency-Key was "
                  "answered; the answer was too large to be kept."};
    case claims::Decision::kMismatch:
      return {.status = 422,
              .ran = Ran::kNotRun,
              .title = "Idempotency-Key reused",
              .detail = "This Idempotency-Key belongs to a different request."};
    case claims::Decision::kFull:
      return {.status = 503,
              .ran = Ran::kNotRun,
              .retry_after = std::chrono::seconds(60),
              .title = "Too many Idempotency-Keys",
              .detail = "No further key can be recorded at present."};
    case claims::Decision::kInvalid:
      return {.status = 400,
              .ran = Ran::kNotRun,
              .title = "Idempotency-Key refused",
              .detail = "The key is empty or too long."};
    default:
      return {.status = 409,
              .ran = Ran::kUnknown,
              .title = "Outcome unknown",
              .detail =
                  "An earlier request under this Idempotency-Key may "
                  "have run; it will not be run again."};
  }
}

}  // namespace

void OnGrant(Context& context, const GrantGot& event) {
  Request& request = context.request;
  if (request.phase != Phase::kQueued) {
    context.actions.push_back(
        Settle{.grant = event.grant, .sent = false, .tokens = Tokens(0)});
    return;
  }
  request.grant = event.grant;
  if (ClaimIsStale(request, context.now)) {
    SettleGrant(context, false);
    RefuseUnsent(context, StaleClaim());
    return;
  }
  if (NeedsClaim(request) && !request.claim_granted) {
    request.phase = Phase::kClaimed;
    AskForClaim(context);
    return;
  }
  Launch(context);
}

void OnClaimAnswered(Context& context, const ClaimAnswered& event) {
  Request& request = context.request;
  if (event.decision == claims::Decision::kGranted) {
    OnClaimGranted(context);
    return;
  }
  request.claim_asked = false;
  SettleGrant(context, false);
  if (event.decision == claims::Decision::kRecorded) {
    ToCaller(context, ReplyRecorded{.answer = event.answer});
  } else {
    ToCaller(context, Refuse{.problem = ProblemFor(event.decision)});
  }
  EndRequest(context);
}

void OnAttemptFailed(Context& context, const AttemptFailed& event) {
  Request& request = context.request;
  if (request.resuming) {
    OnBroken(context, AnswerBroken{.attempt = event.attempt,
                                   .detail = "The target was lost.",
                                   .can_resume = true});
    return;
  }
  const TargetId target = request.grant->target;
  const bool sent = event.sent == net::SendState::kSent;
  SettleGrant(context, sent);
  if (!sent) {
    if (TryRequeue(context, target)) return;
    RefuseUnsent(context, {.status = 503,
                           .title = "Target not reached",
                           .detail = "No connection to a target was made."});
    return;
  }
  request.may_have_run = true;
  if (request.options.idempotent && TryRequeue(context, target)) return;
  RefuseUnknown(
      context,
      {.status = event.timed_out ? 504 : 502,
       .title = "Outcome unknown",
       .detail = event.timed_out ? "The target did not answer in time."
                                 : "The target was lost before it answered."});
}

}  // namespace samphirebank::outcome::internal
