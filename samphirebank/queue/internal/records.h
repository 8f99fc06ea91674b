// File: records.h
//
// Steps on the queue's records that both directions share: requests coming in
// and grants coming back.
#ifndef SAMPHIREBANK_QUEUE_INTERNAL_RECORDS_H_
#define SAMPHIREBANK_QUEUE_INTERNAL_RECORDS_H_

#include "samphirebank/queue/queue.h"

namespace samphirebank::queue::internal {

// OrganisationOf returns the organisation's record, made if it is missing.
OrganisationQueue& OrganisationOf(State& state, PoolQueue& pool,
                                  const OrganisationId& id);

// MarkChanged notes that an organisation's record differs from what the
// scheduler was told; `at_once` if the scheduler should hear it now.
void MarkChanged(PoolQueue& pool, const OrganisationId& id,
                 OrganisationQueue& organisation, bool at_once, TimePoint now);

// MarkTargetChanged does the same for what runs on a target.
void MarkTargetChanged(PoolQueue& pool, const TargetId& id,
                       TargetRecord& target, TimePoint now);

// PredictedCost is what to charge for a request in advance: the mean cost of
// its organisation's requests here; until that is known, little.
int64_t PredictedCost(const Options& options, const PoolQueue& pool,
                      const OrganisationId& id, int64_t estimate);

// CostKnown says whether an organisation's mean cost is known.
bool CostKnown(const PoolQueue& pool, const OrganisationId& id);

// LearnCost takes the true cost of a request into account.
void LearnCost(PoolQueue& pool, const Request& request, int64_t tokens);

// TakeWaiting removes a waiting request from all records of the waiting.
WaitingRequest TakeWaiting(State& state, PoolQueue& pool,
                           OrganisationQueue& organisation,
                           std::list<WaitingRequest>::iterator position);

// PutWaiting files a request before `position`.
void PutWaiting(State& state, PoolQueue& pool, OrganisationQueue& organisation,
                std::list<WaitingRequest>::iterator position,
                WaitingRequest request, TimePoint now);

// DispatchRate returns the decaying average of dispatches a second.
double DispatchRate(const OrganisationQueue& organisation, TimePoint now);

// CountDispatch takes one dispatch into that average.
void CountDispatch(OrganisationQueue& organisation, TimePoint now);

// kRateWindow is the time constant of DispatchRate.
inline constexpr Duration kRateWindow = std::chrono::seconds(10);

}  // namespace samphirebank::queue::internal

#endif  // SAMPHIREBANK_QUEUE_INTERNAL_RECORDS_H_
