// File: configuration.h
//
// Configuration and leases: polling, answering peers' polls, and taking a new
// revision into force.
#ifndef SAMPHIREBANK_ROUTER_INTERNAL_CONFIGURATION_H_
#define SAMPHIREBANK_ROUTER_INTERNAL_CONFIGURATION_H_

#include "samphirebank/router/internal/state.h"

namespace samphirebank::router {

// StartLease prepares the holder; it has no lease yet.
void StartLease(Router& router);

// PumpLease sends the polls that are due and notices a lapsed lease.
void PumpLease(Router& router, TimePoint now);

// OnConfigPoll answers another instance.
void OnConfigPoll(Router& router, const lease::ConfigPoll& poll, TimePoint now);

// OnConfigUpdate takes an answer in.
void OnConfigUpdate(Router& router, const lease::ConfigUpdate& update,
                    TimePoint now);

// FindContract returns an organisation's contract, or null.
const contracts::Contract* FindContract(const Router& router,
                                        const OrganisationId& organisation);

// ControlAddress is whom to send claims and pool requests.
net::SocketAddress ControlAddress(const Router& router);

}  // namespace samphirebank::router

#endif  // SAMPHIREBANK_ROUTER_INTERNAL_CONFIGURATION_H_
