// File: quotas.h
//
// Traffic between the pools' schedulers here and the coordinators of limits
// that hold over several pools, here and on other instances.
#ifndef SAMPHIREBANK_ROUTER_INTERNAL_QUOTAS_H_
#define SAMPHIREBANK_ROUTER_INTERNAL_QUOTAS_H_

#include "samphirebank/router/internal/state.h"
#include "samphirebank/sharing/sharing.h"

namespace samphirebank::router {

// PumpQuotas starts and ends the coordinators that run here and sends the
// schedulers' asks that are due. Without a lease it does nothing.
void PumpQuotas(Router& router, TimePoint now);

// What peers sent.
void OnQuotaAsk(Router& router, const sharing::QuotaRequest& ask,
                TimePoint now);
void OnQuotaGrant(Router& router, const sharing::QuotaGrant& grant,
                  TimePoint now);

}  // namespace samphirebank::router

#endif  // SAMPHIREBANK_ROUTER_INTERNAL_QUOTAS_H_
