// File: loans.h
//
// How many slots of a region's targets the schedulers of other regions may
// use. A region without backlog lends its free slots. A backlogged region also
// lends slots, as far as the organisations that wait in other regions receive
// less than their fair share of the capacity of all regions, so that shares are
// fair over the fleet.
#ifndef SAMPHIREBANK_SCHEDULER_INTERNAL_LOANS_H_
#define SAMPHIREBANK_SCHEDULER_INTERNAL_LOANS_H_

#include "samphirebank/scheduler/internal/state.h"

namespace samphirebank::scheduler::internal {

// kRemoteStateTtl is how long the state that another region sent remains valid.
inline constexpr Duration kRemoteStateTtl = std::chrono::seconds(2);

// IsFresh returns whether the neighbour's newest message is younger than
// kRemoteStateTtl.
bool IsFresh(const Neighbour& neighbour, TimePoint now);

// HasWaitingRequests returns whether requests wait in the region that reported
// `remote`.
bool HasWaitingRequests(const RemoteService& remote, TimePoint now);

// HeldSlots returns how many slots of its target a loan occupies now.
uint32_t HeldSlots(const Loan& loan, TimePoint now);

// LocalCapacity returns the capacity of the local region's targets, in
// requests: all of it while requests wait, else only the free slots.
uint32_t LocalCapacity(const Scheduler& scheduler, TimePoint now);

// HasTargets returns whether a target of the local region is available.
bool HasTargets(const Scheduler& scheduler, TimePoint now);

// UpdateTargetsSeen records the time if any region has an available target.
void UpdateTargetsSeen(Scheduler& scheduler, TimePoint now);

// LacksTargets returns whether no region has had a target for kRemoteStateTtl.
bool LacksTargets(const Scheduler& scheduler, TimePoint now);

// LendSlots decides which slots to lend to another region and adds them to
// `share`.
void LendSlots(Scheduler& scheduler, const PoolId& to,
               sharing::CounterShare& share, TimePoint now);

}  // namespace samphirebank::scheduler::internal

#endif  // SAMPHIREBANK_SCHEDULER_INTERNAL_LOANS_H_
