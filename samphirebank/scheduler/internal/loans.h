// File: loans.h
//
// How many slots of a region's targets the schedulers of other regions may
// use. An idle region lends what is free. A backlogged one lends too, as far
// as the organisations that wait in other regions have less than their share
// of all regions' capacity, so that shares are fair over the fleet.
#ifndef SAMPHIREBANK_SCHEDULER_INTERNAL_LOANS_H_
#define SAMPHIREBANK_SCHEDULER_INTERNAL_LOANS_H_

#include "samphirebank/scheduler/internal/state.h"

namespace samphirebank::scheduler::internal {

// kFarMemory is how long what another region told is believed.
inline constexpr Duration kFarMemory = std::chrono::seconds(2);

// IsHeard says whether a neighbour told something lately.
bool IsHeard(const Neighbour& neighbour, TimePoint now);

// IsWaiting says whether requests wait where `far` was told.
bool IsWaiting(const FarService& far, TimePoint now);

// Counted is how much room a loan takes here.
uint32_t Counted(const Loan& loan, TimePoint now);

// NearCapacity is what the region's own targets can carry: all of it while
// requests wait, else only what is free.
uint32_t NearCapacity(const Scheduler& scheduler, TimePoint now);

// HasTargets says whether a target of this region offers to serve.
bool HasTargets(const Scheduler& scheduler, TimePoint now);

// NoteTargets notes whether any region has targets now.
void NoteTargets(Scheduler& scheduler, TimePoint now);

// LacksTargets says whether no region has had a target for kFarMemory.
bool LacksTargets(const Scheduler& scheduler, TimePoint now);

// Lend decides what to lend to another region and puts it into the share.
void Lend(Scheduler& scheduler, const PoolId& to, sharing::CounterShare& share,
          TimePoint now);

}  // namespace samphirebank::scheduler::internal

#endif  // SAMPHIREBANK_SCHEDULER_INTERNAL_LOANS_H_
