#include "samphirebank/outcome/internal/step.h"

#include <chrono>
#include <utility>

namespace samphirebank::outcome::internal {

void SendToCaller(Context& context, Action action) {
  if (context.request.detached) return;
  context.actions.push_back(std::move(action));
}

void SettleGrant(Context& context, bool sent) {
  Request& request = context.request;
  if (!request.grant) return;
  context.actions.push_back(
      Settle{.grant = *request.grant, .sent = sent, .tokens = request.tokens});
  request.grant.reset();
  request.tokens = Tokens(0);
}

void EndClaim(Context& context, claims::EndKind kind,
              claims::RecordedResponse answer) {
  Request& request = context.request;
  if (!request.claim_requested) return;
  request.claim_requested = false;
  request.claim_granted = false;
  context.actions.push_back(
      RecordClaimEnd{.end = {.kind = kind, .response = std::move(answer)}});
}

void EndRequest(Context& context) { context.request.phase = Phase::kEnded; }

void RefuseUnsent(Context& context, Problem problem) {
  problem.outcome =
      context.request.may_have_run ? Outcome::kUnknown : Outcome::kNotRun;
  if (!problem.retry_after) problem.retry_after = std::chrono::seconds(1);
  EndClaim(context, claims::EndKind::kNotRun);
  SendToCaller(context, Refuse{.problem = std::move(problem)});
  EndRequest(context);
}

void RefuseUnknown(Context& context, Problem problem) {
  problem.outcome = Outcome::kUnknown;
  EndClaim(context, claims::EndKind::kUnknown);
  SendToCaller(context, Refuse{.problem = std::move(problem)});
  EndRequest(context);
}

bool TryRequeue(Context& context, std::optional<TargetId> avoid) {
  Request& request = context.request;
  if (request.lease_lost || request.detached) return false;
  const std::optional<Duration> delay =
      retry::TryRetry(context.budgets,
                      {.organisation = request.options.organisation,
                       .service = request.options.service,
                       .attempt = request.attempt,
                       .seed = request.options.seed,
                       .deadline = request.options.deadline},
                      context.now);
  if (!delay) return false;
  request.phase = Phase::kQueued;
  context.actions.push_back(
      Requeue{.delay = *delay, .avoid = std::move(avoid)});
  return true;
}

void DispatchAttempt(Context& context) {
  Request& request = context.request;
  request.phase = Phase::kSent;
  request.attempt += 1;
  request.buffered = Bytes(0);
  request.event_stream = false;
  context.actions.push_back(Dispatch{.attempt = request.attempt,
                                     .grant = *request.grant,
                                     .delay = Duration(0),
                                     .resume_after = std::nullopt});
}

bool IsClaimStale(const Request& request, TimePoint now) {
  return request.claim_granted &&
         now - request.claim_requested_at > claims::kSendWindow;
}

}  // namespace samphirebank::outcome::internal
