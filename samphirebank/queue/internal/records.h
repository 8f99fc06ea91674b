// File: records.h
//
// Operations on the queue's records that are used both for incoming requests
// and for grants.
#ifndef SAMPHIREBANK_QUEUE_INTERNAL_RECORDS_H_
#define SAMPHIREBANK_QUEUE_INTERNAL_RECORDS_H_

#include "samphirebank/queue/queue.h"

namespace samphirebank::queue::internal {

// FindOrCreate returns the organisation's record, which it creates under a new
// generation number if there is none.
OrganisationQueue& FindOrCreate(State& state, PoolQueue& pool,
                                const OrganisationId& id);

// MarkChanged marks an organisation's record as different from the state that
// the scheduler received. If `is_urgent`, the next demand is not delayed
// further than the minimum interval.
void MarkChanged(PoolQueue& pool, const OrganisationId& id,
                 OrganisationQueue& organisation, bool is_urgent,
                 TimePoint now);

// MarkTargetChanged does the same for the record of a target, without urgency.
void MarkTargetChanged(PoolQueue& pool, const TargetId& id,
                       TargetRecord& target, TimePoint now);

// PredictedCost returns the number of tokens to charge for a request in
// advance: the mean cost of the organisation's requests at this router or,
// until that is known, `estimate`, but at most options.max_initial_charge.
int64_t PredictedCost(const Options& options, const PoolQueue& pool,
                      const OrganisationId& id, int64_t estimate);

// IsCostKnown returns whether an organisation's mean cost is known.
bool IsCostKnown(const PoolQueue& pool, const OrganisationId& id);

// RecordCost adds the actual cost of a request, in tokens, to the mean cost of
// its organisation.
void RecordCost(PoolQueue& pool, const Request& request, int64_t tokens);

// TakeWaiting removes a waiting request from its queue and from the state's
// lookup tables, and returns it.
WaitingRequest TakeWaiting(State& state, PoolQueue& pool,
                           OrganisationQueue& organisation,
                           std::list<WaitingRequest>::iterator position);

// PutWaiting inserts a request before `position`.
void PutWaiting(State& state, PoolQueue& pool, OrganisationQueue& organisation,
                std::list<WaitingRequest>::iterator position,
                WaitingRequest request, TimePoint now);

// DispatchRate returns the exponentially decaying average of dispatches a
// second.
double DispatchRate(const OrganisationQueue& organisation, TimePoint now);

// CountDispatch adds one dispatch to that average.
void CountDispatch(OrganisationQueue& organisation, TimePoint now);

// kRateWindow is the time constant of DispatchRate.
inline constexpr Duration kRateWindow = std::chrono::seconds(10);

}  // namespace samphirebank::queue::internal

#endif  // SAMPHIREBANK_QUEUE_INTERNAL_RECORDS_H_
