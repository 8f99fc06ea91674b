#include "samphirebank/outcome/outcome.h"

#include <chrono>
#include <utility>

#include "samphirebank/outcome/internal/step.h"

namespace samphirebank::outcome {
namespace {

using internal::Context;

bool IsUnsent(const Request& request) {
  return request.phase == Phase::kQueued ||
         request.phase == Phase::kAwaitingClaim;
}

// EndUnsent refuses a request that waits for a grant or a claim.
void EndUnsent(Context& context, Problem problem) {
  internal::SettleGrant(context, false);
  internal::RefuseUnsent(context, std::move(problem));
}

// EndSent cancels a request that was dispatched to a target.
void EndSent(Context& context, Problem problem) {
  Request& request = context.request;
  context.actions.push_back(CancelAttempt{.attempt = request.attempt});
  context.actions.push_back(DiscardBuffered{});
  internal::SettleGrant(context, true);
  if (!request.forwarded) {
    internal::RefuseUnknown(context, std::move(problem));
    return;
  }
  internal::EndClaim(context, claims::EndKind::kUnknown);
  internal::SendToCaller(context, AbortResponse{.detail = problem.detail});
  internal::EndRequest(context);
}

void OnClaimUnavailable(Context& context) {
  EndUnsent(context, {.status = 503,
                      .title = "Idempotency-Key not recorded",
                      .detail = "The key could not be made durable."});
}

void OnCallerDisconnected(Context& context) {
  Request& request = context.request;
  const bool sent = !IsUnsent(request);
  request.detached = true;
  if (!sent) {
    EndUnsent(context, {});
  } else if (!request.claim_granted) {
    EndSent(context, {});
  }
  // Under a granted claim the attempt continues, so that its response is
  // recorded.
}

void OnDeadlinePassed(Context& context) {
  Request& request = context.request;
  if (request.forwarded) return;
  if (IsUnsent(request)) {
    EndUnsent(context, {.status = request.may_have_run ? 504 : 503,
                        .title = "No answer in time",
                        .detail = "No target was free before the deadline."});
    return;
  }
  const Problem problem{.status = 504,
                        .outcome = Outcome::kUnknown,
                        .title = "Outcome unknown",
                        .detail = "The target did not answer in time."};
  if (!request.claim_granted) {
    EndSent(context, problem);
    return;
  }
  internal::SendToCaller(context, Refuse{.problem = problem});
  request.detached = true;
}

void OnLeaseLost(Context& context) {
  context.request.lease_lost = true;
  if (!IsUnsent(context.request)) return;
  EndUnsent(context, {.status = 503,
                      .title = "Router isolated",
                      .detail = "This router may start no work."});
}

void OnShutdownTimedOut(Context& context) {
  const Problem problem{.status = 503,
                        .title = "Router stopped",
                        .detail = "The router's shutdown time is up."};
  if (IsUnsent(context.request)) {
    EndUnsent(context, problem);
  } else {
    EndSent(context, problem);
  }
}

bool IsNewest(const Request& request, uint32_t attempt) {
  return attempt == request.attempt;
}

bool IsAwaitingHead(const Request& request, uint32_t attempt) {
  return request.phase == Phase::kSent && IsNewest(request, attempt);
}

bool IsAwaitingBody(const Request& request, uint32_t attempt) {
  return request.phase == Phase::kResponding && IsNewest(request, attempt);
}

bool IsAwaitingClaim(const Request& request) {
  return request.phase == Phase::kAwaitingClaim;
}

// EventVisitor calls the handler of each event and ignores stale events.
struct EventVisitor {
  Context& context;

  void operator()(const GrantReceived& event) const {
    internal::OnGrantReceived(this->context, event);
  }
  void operator()(const ClaimDecided& event) const {
    if (!IsAwaitingClaim(this->context.request)) return;
    internal::OnClaimDecided(this->context, event);
  }
  void operator()(const ClaimUnavailable&) const {
    if (!IsAwaitingClaim(this->context.request)) return;
    OnClaimUnavailable(this->context);
  }
  void operator()(const AttemptFailed& event) const {
    if (IsAwaitingHead(this->context.request, event.attempt)) {
      internal::OnAttemptFailed(this->context, event);
    } else if (IsAwaitingBody(this->context.request, event.attempt)) {
      internal::OnResponseFailed(
          this->context, ResponseFailed{.attempt = event.attempt,
                                        .detail = "The target was lost.",
                                        .can_resume = true});
    }
  }
  void operator()(const HeadReceived& event) const {
    if (!IsAwaitingHead(this->context.request, event.attempt)) return;
    internal::OnHeadReceived(this->context, event);
  }
  void operator()(const BodyReceived& event) const {
    if (!IsAwaitingBody(this->context.request, event.attempt)) return;
    internal::OnBodyReceived(this->context, event);
  }
  void operator()(const ResponseCompleted& event) const {
    if (!IsAwaitingBody(this->context.request, event.attempt)) return;
    internal::OnResponseCompleted(this->context, event);
  }
  void operator()(const ResponseFailed& event) const {
    const Request& request = this->context.request;
    const bool awaits_head = IsAwaitingHead(request, event.attempt);
    const bool resumed = awaits_head && request.resuming;
    if (resumed || IsAwaitingBody(request, event.attempt)) {
      internal::OnResponseFailed(this->context, event);
    } else if (awaits_head) {
      this->context.actions.push_back(CancelAttempt{.attempt = event.attempt});
      internal::OnAttemptFailed(this->context,
                                AttemptFailed{.attempt = event.attempt});
    }
  }
  void operator()(const CallerDisconnected&) const {
    OnCallerDisconnected(this->context);
  }
  void operator()(const DeadlinePassed&) const {
    OnDeadlinePassed(this->context);
  }
  void operator()(const LeaseLost&) const { OnLeaseLost(this->context); }
  void operator()(const ShutdownTimedOut&) const {
    OnShutdownTimedOut(this->context);
  }
};

}  // namespace

std::string_view ToText(Outcome outcome) {
  switch (outcome) {
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kUnknown:
      return "unknown";
    case Outcome::kRan:
      return "ran";
  }
  return "unknown";
}

Request Start(Options options) {
  Request request;
  request.options = std::move(options);
  return request;
}

std::vector<Action> Step(Request& request, const Event& event,
                         retry::Budgets& budgets, TimePoint now) {
  Context context{
      .request = request, .budgets = budgets, .now = now, .actions = {}};
  const bool is_grant = std::holds_alternative<GrantReceived>(event);
  if (request.phase == Phase::kEnded && !is_grant) return {};
  std::visit(EventVisitor{.context = context}, event);
  return std::move(context.actions);
}

bool MayDispatch(const Request& request, uint32_t attempt, TimePoint now) {
  if (!IsAwaitingHead(request, attempt) || !request.grant) return false;
  if (request.lease_lost) return false;
  if (internal::IsClaimStale(request, now)) return false;
  return request.resuming || now < request.grant->expires;
}

}  // namespace samphirebank::outcome
