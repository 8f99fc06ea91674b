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

// SendToCaller adds an action for the caller, unless the caller needs none.
void SendToCaller(Context& context, Action action);

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

// DispatchAttempt hands the request to the grant's target.
void DispatchAttempt(Context& context);

// IsClaimStale says that the claim is too old for a first byte to leave.
bool IsClaimStale(const Request& request, TimePoint now);

// Handlers of events; outcome.cc calls them for events that are not stale.
void OnGrantReceived(Context& context, const GrantReceived& event);
void OnClaimDecided(Context& context, const ClaimDecided& event);
void OnAttemptFailed(Context& context, const AttemptFailed& event);
void OnHeadReceived(Context& context, const HeadReceived& event);
void OnBodyReceived(Context& context, const BodyReceived& event);
void OnResponseCompleted(Context& context, const ResponseCompleted& event);
void OnResponseFailed(Context& context, const ResponseFailed& event);

}  // namespace samphirebank::outcome::internal

#endif  // SAMPHIREBANK_OUTCOME_INTERNAL_STEP_H_
