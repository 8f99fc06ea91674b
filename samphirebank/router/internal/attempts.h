// File: attempts.h
//
// One attempt of a request at a target: the call, and its answer on the way
// to the caller.
#ifndef SAMPHIREBANK_ROUTER_INTERNAL_ATTEMPTS_H_
#define SAMPHIREBANK_ROUTER_INTERNAL_ATTEMPTS_H_

#include "samphirebank/router/internal/state.h"

namespace samphirebank::router {

// Send carries out a Dispatch, after its delay.
void Send(Router& router, CallerRequest& request,
          const outcome::Dispatch& dispatch);

// CancelAttempt closes the call at the target, or drops a delayed dispatch.
void CancelAttempt(Router& router, CallerRequest& request);

// StopAttempts cancels what runs on targets that an operator declared stopped.
void StopAttempts(Router& router);

// PassOn sends the caller what is held of the answer.
void PassOn(Router& router, CallerRequest& request);

}  // namespace samphirebank::router

#endif  // SAMPHIREBANK_ROUTER_INTERNAL_ATTEMPTS_H_
