// File: callers.h
//
// Callers' requests: from the head on the socket to the queue, and the
// actions that the outcome machine asks for.
#ifndef SAMPHIREBANK_ROUTER_INTERNAL_CALLERS_H_
#define SAMPHIREBANK_ROUTER_INTERNAL_CALLERS_H_

#include <memory>

#include "samphirebank/router/internal/state.h"

namespace samphirebank::router {

// OnCaller takes a new request from the caller port.
void OnCaller(Router& router, const std::shared_ptr<net::ServerStream>& stream);

// LogLeft notes why a caller's connection ended before its answer was out.
void LogLeft(const RequestId& id, const OrganisationId& organisation,
             net::CloseReason reason);

// Raise gives an event to a request's machine and performs its actions.
void Raise(Router& router, const RequestId& id, outcome::Event event);

// RaiseAll gives an event to every request.
void RaiseAll(Router& router, const outcome::Event& event);

// File puts a request into its pool's queue, or refuses it.
void File(Router& router, CallerRequest& request, TimePoint now);

// RefuseUnserved refuses what waits for a pool that has no targets.
void RefuseUnserved(Router& router, const PoolId& pool, TimePoint now);

// RefuseExpired refuses what waited beyond its deadline.
void RefuseExpired(Router& router, TimePoint now);

// PumpClaims sends the claims that are due.
void PumpClaims(Router& router, TimePoint now);

// OnClaimReply takes control's decision.
void OnClaimReply(Router& router, const claims::ClaimReply& reply,
                  TimePoint now);

}  // namespace samphirebank::router

#endif  // SAMPHIREBANK_ROUTER_INTERNAL_CALLERS_H_
