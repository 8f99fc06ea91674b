// File: actions.h
//
// Carries out what the outcome machine of a request asks for.
#ifndef SAMPHIREBANK_ROUTER_INTERNAL_ACTIONS_H_
#define SAMPHIREBANK_ROUTER_INTERNAL_ACTIONS_H_

#include "samphirebank/router/internal/state.h"

namespace samphirebank::router {

// Perform carries out one action.
void Perform(Router& router, CallerRequest& request,
             const outcome::Action& action);

// RefuseWaiting refuses a request that no grant was used for, and forgets it.
void RefuseWaiting(Router& router, CallerRequest& request,
                   const ingress::Refusal& refusal);

// EndRequest forgets a request whose machine has ended.
void EndRequest(Router& router, CallerRequest& request);

}  // namespace samphirebank::router

#endif  // SAMPHIREBANK_ROUTER_INTERNAL_ACTIONS_H_
