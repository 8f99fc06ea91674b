// File: sharing.h
//
// The messages by which entry routers and pool schedulers share out targets.
//
// An entry router sends `Demand` to the scheduler of a pool; the scheduler
// answers with `Grant`. Any router forwards a target's `TargetState` to the
// scheduler of the target's pool. Schedulers of one service in two regions
// exchange `CounterShare`. A scheduler asks the coordinator of an organisation
// that has limits for its pool's part of them by `QuotaRequest`; the answer is
// `QuotaGrant`.
//
// Messages may be lost, doubled, reordered or late. All numbers are therefore
// absolute or cumulative, each side says which messages it received
// (`Receipts`), and spans of time are stated instead of clock readings.
//
// Example:
//
//   Receipts receipts;
//   if (!receipts.Add(demand.sequence)) return;  // seen before, or too old
#ifndef SAMPHIREBANK_SHARING_SHARING_H_
#define SAMPHIREBANK_SHARING_SHARING_H_

// IWYU pragma: begin_exports
#include "samphirebank/sharing/internal/grants.h"
#include "samphirebank/sharing/internal/quotas.h"
#include "samphirebank/sharing/internal/receipts.h"
#include "samphirebank/sharing/internal/shares.h"
#include "samphirebank/sharing/internal/targets.h"
// IWYU pragma: end_exports

#endif  // SAMPHIREBANK_SHARING_SHARING_H_
