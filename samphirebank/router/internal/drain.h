// File: drain.h
//
// The graceful shutdown: probes fail first, requests are still served while
// the balancer turns elsewhere, duties go to others, running requests end.
#ifndef SAMPHIREBANK_ROUTER_INTERNAL_DRAIN_H_
#define SAMPHIREBANK_ROUTER_INTERNAL_DRAIN_H_

#include "samphirebank/router/internal/state.h"

namespace samphirebank::router {

// BeginDrain starts the shutdown; called again it ends what still runs.
void BeginDrain(Router& router);

// IsDrained returns whether the shutdown has ended what still ran. A request
// that comes now would not be answered.
bool IsDrained(const Router& router);

// PumpDrain ends the process once nothing is left or the time is up.
void PumpDrain(Router& router, TimePoint now);

}  // namespace samphirebank::router

#endif  // SAMPHIREBANK_ROUTER_INTERNAL_DRAIN_H_
