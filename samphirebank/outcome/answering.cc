#include <algorithm>
#include <string>
#include <utility>

#include "samphirebank/outcome/internal/step.h"

namespace samphirebank::outcome::internal {
namespace {

bool IsRetryable(int status) {
  return status == 429 || status == 502 || status == 503 || status == 504;
}

// DiscardAttempt cancels the latest attempt, of whose response nothing was
// forwarded, and settles its grant.
void DiscardAttempt(Context& context) {
  context.actions.push_back(CancelAttempt{.attempt = context.request.attempt});
  context.actions.push_back(DiscardBuffered{});
  SettleGrant(context, true);
}

void OnRefusedBeforeRunning(Context& context, const HeadReceived& event) {
  Request& request = context.request;
  const TargetId target = request.grant->target;
  DiscardAttempt(context);
  if (request.options.idempotent && TryRequeue(context, target)) return;
  RefuseUnsent(context, {.status = 503,
                         .retry_after = event.retry_after,
                         .title = "Refused by the target",
                         .detail = "The target refused before running."});
}

// TryFailover queues an idempotent request again, to be sent to another target,
// after a response whose status reports a failure of the target. Returns
// whether it did; if not, the request is unchanged and the response is used.
bool TryFailover(Context& context) {
  const std::optional<Grant> grant = context.request.grant;
  const Tokens tokens = context.request.tokens;
  const uint32_t attempt = context.request.attempt;
  if (!TryRequeue(context, grant->target)) return false;
  context.request.grant.reset();
  context.request.tokens = Tokens(0);
  std::vector<Action> before = {
      CancelAttempt{.attempt = attempt}, DiscardBuffered{},
      Settle{.grant = *grant, .sent = true, .tokens = tokens}};
  context.actions.insert(context.actions.begin(), before.begin(), before.end());
  return true;
}

bool MayResume(const Request& request, const ResponseFailed& event) {
  return request.options.idempotent && event.can_resume &&
         request.event_stream && request.grant->can_resume &&
         !request.lease_lost && !request.detached;
}

bool TryResume(Context& context, const ResponseFailed& event) {
  Request& request = context.request;
  if (!MayResume(request, event)) return false;
  const std::optional<Duration> delay =
      retry::TryRetry(context.budgets,
                      {.organisation = request.options.organisation,
                       .service = request.options.service,
                       .attempt = request.attempt,
                       .seed = request.options.seed,
                       .deadline = TimePoint::max()},
                      context.now);
  if (!delay) return false;
  context.actions.push_back(CancelAttempt{.attempt = request.attempt});
  context.actions.push_back(DiscardBuffered{});
  request.attempt += 1;
  request.phase = Phase::kSent;
  request.resuming = true;
  request.buffered = Bytes(0);
  context.actions.push_back(Dispatch{.attempt = request.attempt,
                                     .grant = *request.grant,
                                     .delay = *delay,
                                     .resume_after = request.events_forwarded});
  return true;
}

// AbortRequest ends a request whose response was partly forwarded.
void AbortRequest(Context& context, const std::string& detail) {
  context.actions.push_back(CancelAttempt{.attempt = context.request.attempt});
  context.actions.push_back(DiscardBuffered{});
  SettleGrant(context, true);
  EndClaim(context, claims::EndKind::kUnknown);
  SendToCaller(context, AbortResponse{.detail = detail});
  EndRequest(context);
}

}  // namespace

void OnHeadReceived(Context& context, const HeadReceived& event) {
  Request& request = context.request;
  if (request.resuming) {
    if (event.status != 200 || !event.event_stream) {
      AbortRequest(context, "The target did not resume the stream.");
      return;
    }
    request.phase = Phase::kResponding;
    return;
  }
  if (event.states_not_run) {
    OnRefusedBeforeRunning(context, event);
    return;
  }
  request.may_have_run = true;
  request.phase = Phase::kResponding;
  request.event_stream = event.event_stream;
  if (request.options.idempotent && IsRetryable(event.status)) {
    TryFailover(context);
  }
}

void OnBodyReceived(Context& context, const BodyReceived& event) {
  Request& request = context.request;
  request.tokens += event.tokens;
  request.buffered += event.bytes;
  const bool forward = request.forwarded ||
                       (request.event_stream && event.events > 0) ||
                       request.buffered > kMaxBufferedBody;
  if (!forward) return;
  request.forwarded = true;
  request.events_forwarded += event.events;
  request.buffered = Bytes(0);
  SendToCaller(context, ForwardBuffered{});
}

void OnResponseCompleted(Context& context, const ResponseCompleted& event) {
  Request& request = context.request;
  request.tokens = std::max(request.tokens, event.tokens);
  retry::RecordSuccess(context.budgets, request.options.organisation,
                       request.options.service);
  EndClaim(context, claims::EndKind::kResponse, event.record);
  SendToCaller(context, ForwardBuffered{});
  SendToCaller(context, FinishResponse{});
  SettleGrant(context, true);
  EndRequest(context);
}

void OnResponseFailed(Context& context, const ResponseFailed& event) {
  Request& request = context.request;
  if (request.forwarded) {
    if (TryResume(context, event)) return;
    AbortRequest(context, event.detail);
    return;
  }
  const TargetId target = request.grant->target;
  DiscardAttempt(context);
  if (request.options.idempotent && TryRequeue(context, target)) return;
  RefuseUnknown(
      context,
      {.status = 502, .title = "Answer not whole", .detail = event.detail});
}

}  // namespace samphirebank::outcome::internal
