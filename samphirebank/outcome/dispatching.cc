#include <chrono>
#include <utility>

#include "samphirebank/outcome/internal/step.h"

namespace samphirebank::outcome::internal {
namespace {

Problem StaleClaimProblem() {
  return {.status = 503,
          .title = "No capacity in time",
          .detail =
              "The claim of the Idempotency-Key went stale before a "
              "target was free."};
}

bool NeedsClaim(const Request& request) {
  return request.options.has_key && !request.options.idempotent;
}

void SubmitClaim(Context& context) {
  context.request.claim_requested = true;
  context.request.claim_requested_at = context.now;
  context.actions.push_back(MakeClaim{});
}

void OnClaimGranted(Context& context) {
  Request& request = context.request;
  request.claim_granted = true;
  if (IsClaimStale(request, context.now)) {
    SettleGrant(context, false);
    RefuseUnsent(context, StaleClaimProblem());
    return;
  }
  if (context.now >= request.grant->expires) {
    SettleGrant(context, false);
    request.phase = Phase::kQueued;
    context.actions.push_back(
        Requeue{.delay = Duration(0), .avoid = std::nullopt});
    return;
  }
  DispatchAttempt(context);
}

// ProblemFor returns the refusal for a claim that was not granted.
Problem ProblemFor(claims::Decision decision) {
  switch (decision) {
    case claims::Decision::kRunning:
      return {.status = 409,
              .outcome = Outcome::kUnknown,
              .retry_after = std::chrono::seconds(1),
              .title = "Still running",
              .detail =
                  "An earlier request under this Idempotency-Key has "
                  "not ended."};
    case claims::Decision::kRan:
      return {.status = 409,
              .outcome = Outcome::kRan,
              .title = "Already ran",
              .detail =
                  "An earlier request under this Idempotency-Key was "
                  "answered; the answer was too large to be kept."};
    case claims::Decision::kMismatch:
      return {.status = 422,
              .outcome = Outcome::kNotRun,
              .title = "Idempotency-Key reused",
              .detail = "This Idempotency-Key belongs to a different request."};
    case claims::Decision::kFull:
      return {.status = 503,
              .outcome = Outcome::kNotRun,
              .retry_after = std::chrono::seconds(60),
              .title = "Too many Idempotency-Keys",
              .detail = "No further key can be recorded at present."};
    case claims::Decision::kInvalid:
      return {.status = 400,
              .outcome = Outcome::kNotRun,
              .title = "Idempotency-Key refused",
              .detail = "The key is empty or too long."};
    default:
      return {.status = 409,
              .outcome = Outcome::kUnknown,
              .title = "Outcome unknown",
              .detail =
                  "An earlier request under this Idempotency-Key may "
                  "have run; it will not be run again."};
  }
}

}  // namespace

void OnGrantReceived(Context& context, const GrantReceived& event) {
  Request& request = context.request;
  if (request.phase != Phase::kQueued) {
    context.actions.push_back(
        Settle{.grant = event.grant, .sent = false, .tokens = Tokens(0)});
    return;
  }
  request.grant = event.grant;
  if (IsClaimStale(request, context.now)) {
    SettleGrant(context, false);
    RefuseUnsent(context, StaleClaimProblem());
    return;
  }
  if (NeedsClaim(request) && !request.claim_granted) {
    request.phase = Phase::kAwaitingClaim;
    SubmitClaim(context);
    return;
  }
  DispatchAttempt(context);
}

void OnClaimDecided(Context& context, const ClaimDecided& event) {
  Request& request = context.request;
  if (event.decision == claims::Decision::kGranted) {
    OnClaimGranted(context);
    return;
  }
  request.claim_requested = false;
  SettleGrant(context, false);
  if (event.decision == claims::Decision::kRecorded) {
    SendToCaller(context, ReplayRecorded{.answer = event.answer});
  } else {
    SendToCaller(context, Refuse{.problem = ProblemFor(event.decision)});
  }
  EndRequest(context);
}

void OnAttemptFailed(Context& context, const AttemptFailed& event) {
  Request& request = context.request;
  if (request.resuming) {
    OnResponseFailed(context, ResponseFailed{.attempt = event.attempt,
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
