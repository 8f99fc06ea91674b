#include "samphirebank/outcome/outcome.h"

#include <chrono>
#include <utility>

#include "samphirebank/outcome/internal/step.h"

namespace samphirebank::outcome {
namespace {

using internal::Context;

bool IsUnsent(const Request& request) {
  return request.phase == Phase::kQueued || request.phase == Phase::kClaimed;
}

// EndUnsent ends a request that waits for a grant or a claim.
void EndUnsent(Context& context, Problem problem) {
  internal::SettleGrant(context, false);
  internal::RefuseUnsent(context, std::move(problem));
}

// EndSent gives up a request that was handed to a target.
void EndSent(Context& context, Problem problem) {
  Request& request = context.request;
  context.actions.push_back(CancelAttempt{.attempt = request.attempt});
  context.actions.push_back(DiscardHeld{});
  internal::SettleGrant(context, true);
  if (!request.passed_on) {
    internal::RefuseUnknown(context, std::move(problem));
    return;
  }
  internal::EndClaim(context, claims::EndKind::kUnknown);
  internal::ToCaller(context, CutStream{.detail = problem.detail});
  internal::EndRequest(context);
}

void OnClaimUnavailable(Context& context) {
  EndUnsent(context, {.status = 503,
                      .title = "Idempotency-Key not recorded",
                      .detail = "The key could not be made durable."});
}

void OnCallerGone(Context& context) {
  Request& request = context.request;
  const bool sent = !IsUnsent(request);
  request.detached = true;
  if (!sent) {
    EndUnsent(context, {});
  } else if (!request.claim_granted) {
    EndSent(context, {});
  }
  // Under a claim the call goes on, so that its answer is recorded.
}

void OnDeadline(Context& context) {
  Request& request = context.request;
  if (request.passed_on) return;
  if (IsUnsent(request)) {
    EndUnsent(context, {.status = request.may_have_run ? 504 : 503,
                        .title = "No answer in time",
                        .detail = "No target was free before the deadline."});
    return;
  }
  const Problem problem{.status = 504,
                        .ran = Ran::kUnknown,
                        .title = "Outcome unknown",
                        .detail = "The target did not answer in time."};
  if (!request.claim_granted) {
    EndSent(context, problem);
    return;
  }
  internal::ToCaller(context, Refuse{.problem = problem});
  request.detached = true;
}

void OnLeaseLost(Context& context) {
  context.request.lease_lost = true;
  if (!IsUnsent(context.request)) return;
  EndUnsent(context, {.status = 503,
                      .title = "Router isolated",
                      .detail = "This router may start no work."});
}

void OnShutdownEnds(Context& context) {
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

bool AwaitsHead(const Request& request, uint32_t attempt) {
  return request.phase == Phase::kSent && IsNewest(request, attempt);
}

bool AwaitsBody(const Request& request, uint32_t attempt) {
  return request.phase == Phase::kAnswering && IsNewest(request, attempt);
}

bool AwaitsClaim(const Request& request) {
  return request.phase == Phase::kClaimed;
}

// Handler hands each event to its function, unless the event is stale.
struct Handler {
  Context& context;

  void operator()(const GrantGot& event) const {
    internal::OnGrant(this->context, event);
  }
  void operator()(const ClaimAnswered& event) const {
    if (!AwaitsClaim(this->context.request)) return;
    internal::OnClaimAnswered(this->context, event);
  }
  void operator()(const ClaimUnavailable&) const {
    if (!AwaitsClaim(this->context.request)) return;
    OnClaimUnavailable(this->context);
  }
  void operator()(const AttemptFailed& event) const {
    if (AwaitsHead(this->context.request, event.attempt)) {
      internal::OnAttemptFailed(this->context, event);
    } else if (AwaitsBody(this->context.request, event.attempt)) {
      internal::OnBroken(this->context,
                         AnswerBroken{.attempt = event.attempt,
                                      .detail = "The target was lost.",
                                      .can_resume = true});
    }
  }
  void operator()(const HeadReceived& event) const {
    if (!AwaitsHead(this->context.request, event.attempt)) return;
    internal::OnHead(this->context, event);
  }
  void operator()(const BodyReceived& event) const {
    if (!AwaitsBody(this->context.request, event.attempt)) return;
    internal::OnBody(this->context, event);
  }
  void operator()(const AnswerWhole& event) const {
    if (!AwaitsBody(this->context.request, event.attempt)) return;
    internal::OnWhole(this->context, event);
  }
  void operator()(const AnswerBroken& event) const {
    const Request& request = this->context.request;
    const bool awaits_head = AwaitsHead(request, event.attempt);
    const bool resumed = awaits_head && request.resuming;
    if (resumed || AwaitsBody(request, event.attempt)) {
      internal::OnBroken(this->context, event);
    } else if (awaits_head) {
      this->context.actions.push_back(CancelAttempt{.attempt = event.attempt});
      internal::OnAttemptFailed(this->context,
                                AttemptFailed{.attempt = event.attempt});
    }
  }
  void operator()(const CallerGone&) const { OnCallerGone(this->context); }
  void operator()(const DeadlinePassed&) const { OnDeadline(this->context); }
  void operator()(const LeaseLost&) const { OnLeaseLost(this->context); }
  void operator()(const ShutdownEnds&) const { OnShutdownEnds(this->context); }
};

}  // namespace

std::string_view ToText(Ran ran) {
  switch (ran) {
    case Ran::kNotRun:
      return "not-run";
    case Ran::kUnknown:
      return "unknown";
    case Ran::kRan:
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
  const bool is_grant = std::holds_alternative<GrantGot>(event);
  if (request.phase == Phase::kEnded && !is_grant) return {};
  std::visit(Handler{.context = context}, event);
  return std::move(context.actions);
}

bool MayDispatch(const Request& request, uint32_t attempt, TimePoint now) {
  if (!AwaitsHead(request, attempt) || !request.grant) return false;
  if (request.lease_lost) return false;
  if (internal::ClaimIsStale(request, now)) return false;
  return request.resuming || now < request.grant->expires;
}

}  // namespace samphirebank::outcome
