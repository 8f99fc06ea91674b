// File: step.h
//
// Internals of Step: its context, the functions that several event handlers
// share, and the handlers that are defined outside outcome.cc.
#ifndef SAMPHIREBANK_OUTCOME_INTERNAL_STEP_H_
#define SAMPHIREBANK_OUTCOME_INTERNAL_STEP_H_

#include <optional>
#include <string>
#include <vector>

#include "samphirebank/outcome/outcome.h"

namespace samphirebank::outcome::internal {

// Context holds the inputs of one call of Step and the actions it returns.
struct Context {
  Request& request;
  retry::Budgets& budgets;
  TimePoint now;
  std::vector<Action> actions;
};

// SendToCaller adds an action that sends output to the caller. Does nothing if
// the request is detached.
void SendToCaller(Context& context, Action action);

// SettleGrant returns the grant, if the request has one. `sent` is whether the
// grant was used.
void SettleGrant(Context& context, bool sent);

// EndClaim ends the claim, if one is pending or granted.
void EndClaim(Context& context, claims::EndKind kind,
              claims::RecordedResponse answer = {});

// EndRequest enters kEnded.
void EndRequest(Context& context);

// RefuseUnsent refuses a request that no target is processing: it waits, its
// latest attempt was not sent, or the target refused it before running. The
// outcome is kNotRun, or kUnknown if some attempt may have run.
void RefuseUnsent(Context& context, Problem problem);

// RefuseUnknown refuses a request that may have run and of whose response
// nothing was forwarded. The outcome is kUnknown.
void RefuseUnknown(Context& context, Problem problem);

// TryRequeue queues the request again if its retry budgets allow it and returns
// whether it did. The grant's Settle must precede the Requeue in the actions.
bool TryRequeue(Context& context, std::optional<TargetId> avoid);

// DispatchAttempt starts a new attempt at the grant's target.
void DispatchAttempt(Context& context);

// IsClaimStale returns whether the request's claim is granted and older than
// claims::kSendWindow, so that the request may no longer be sent.
bool IsClaimStale(const Request& request, TimePoint now);

// Event handlers. outcome.cc calls them for events that are not stale.
void OnGrantReceived(Context& context, const GrantReceived& event);
void OnClaimDecided(Context& context, const ClaimDecided& event);
void OnAttemptFailed(Context& context, const AttemptFailed& event);
void OnHeadReceived(Context& context, const HeadReceived& event);
void OnBodyReceived(Context& context, const BodyReceived& event);
void OnResponseCompleted(Context& context, const ResponseCompleted& event);
void OnResponseFailed(Context& context, const ResponseFailed& event);

}  // namespace samphirebank::outcome::internal

#endif  // SAMPHIREBANK_OUTCOME_INTERNAL_STEP_H_
