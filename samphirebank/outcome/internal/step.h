// File: step.h
//
// What the handlers of events share: the context of one step and the actions
// that several of them take.
#ifndef SAMPHIREBANK_OUTCOME_INTERNAL_STEP_H_
#define SAMPHIREBANK_OUTCOME_INTERNAL_STEP_H_

#include <optional>
#include <string>
#include <vector>

#include "samphirebank/outcome/outcome.h"

namespace samphirebank::outcome::internal {

// Context is one step: the request that it changes and the actions so far.
struct Context {
  Request& request;
  retry::Budgets& budgets;
  TimePoint now;
  std::vector<Action> actions;
};

// ToCaller adds an action for the caller, unless the caller needs none.
void ToCaller(Context& context, Action action);

// Settle gives the grant back, if there is one.
void SettleGrant(Context& context, bool sent);

// EndClaim ends the claim, if one was asked for.
void EndClaim(Context& context, claims::EndKind kind,
              claims::RecordedResponse answer = {});

// EndRequest enters kEnded.
void EndRequest(Context& context);

// RefuseUnsent ends a request whose newest attempt cannot have left, or was
// refused before running: not run, unless an earlier attempt may have.
void RefuseUnsent(Context& context, Problem problem);

// RefuseUnknown ends a request that may have run and has not been answered.
void RefuseUnknown(Context& context, Problem problem);

// TryRequeue queues the request again if its budgets allow it. The grant must
// have been settled.
bool TryRequeue(Context& context, std::optional<TargetId> avoid);

// Launch hands the request to the grant's target.
void Launch(Context& context);

// ClaimIsStale says that the claim is too old for a first byte to leave.
bool ClaimIsStale(const Request& request, TimePoint now);

// Handlers of events; outcome.cc calls them for events that are not stale.
void OnGrant(Context& context, const GrantGot& event);
void OnClaimAnswered(Context& context, const ClaimAnswered& event);
void OnAttemptFailed(Context& context, const AttemptFailed& event);
void OnHead(Context& context, const HeadReceived& event);
void OnBody(Context& context, const BodyReceived& event);
void OnWhole(Context& context, const AnswerWhole& event);
void OnBroken(Context& context, const AnswerBroken& event);

}  // namespace samphirebank::outcome::internal

#endif  // SAMPHIREBANK_OUTCOME_INTERNAL_STEP_H_
