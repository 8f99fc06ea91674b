// File: sharing.h
//
// The messages that entry routers and pool schedulers exchange to allocate the
// capacity of targets.
//
// An entry router sends `Demand` to the scheduler of a pool, which responds
// with `Grant`. Any router forwards a target's `TargetState` to the scheduler
// of the target's pool. Schedulers of one service in two regions exchange
// `CounterShare`. Where an organisation's limits span pools, a scheduler sends
// `QuotaRequest` to the coordinator of these limits, which responds with
// `QuotaGrant`, the part of the limits that the pool may use.
//
// The network may lose, duplicate, reorder or delay messages. All numbers are
// therefore absolute or cumulative, each side acknowledges the messages that it
// received (`Receipts`), and messages carry durations instead of clock
// readings.
//
// Example:
//
//   Receipts receipts;
//   if (!receipts.Add(demand.sequence)) return;  // duplicate, or too old
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
