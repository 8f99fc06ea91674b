// File: pools.h
//
// Traffic between the router's queues, the pools' schedulers (its own among
// them) and the targets announced here.
#ifndef SAMPHIREBANK_ROUTER_INTERNAL_POOLS_H_
#define SAMPHIREBANK_ROUTER_INTERNAL_POOLS_H_

#include "samphirebank/router/internal/state.h"
#include "samphirebank/sharing/sharing.h"

namespace samphirebank::router {

// NoteLostAssignments notes the pools that an earlier run of this instance
// held; call it when the first configuration arrives.
void NoteLostAssignments(Router& router);

// TakeAssignments starts and retires schedulers and tells the queues about
// epochs, after a new revision.
void TakeAssignments(Router& router, TimePoint now);

// PumpPools sends what is due: demands, grants, target states, counters, asks
// for quotas.
void PumpPools(Router& router, TimePoint now);

// NextPoolsAt is when PumpPools must run next.
TimePoint NextPoolsAt(const Router& router, TimePoint now);

// What peers sent.
void OnDemand(Router& router, const InstanceId& from, BootId boot,
              const sharing::Demand& demand, TimePoint now);
void OnGrant(Router& router, const sharing::Grant& grant, TimePoint now);
void OnTargetState(Router& router, const sharing::TargetState& state,
                   TimePoint now);
void OnCounterShare(Router& router, const sharing::CounterShare& share,
                    TimePoint now);

// SchedulePump runs Pump before the loop next waits.
void SchedulePump(Router& router);

// Pump does all that is due.
void Pump(Router& router);

}  // namespace samphirebank::router

#endif  // SAMPHIREBANK_ROUTER_INTERNAL_POOLS_H_
