// File: gateway.h
//
// An entry instance that forwards callers' requests to targets by the route
// table. It follows the coordinators for the table and the targets, and goes
// on with what it knows when none of them is heard.
//
// Example:
//
//   return gateway::RunGateway(settings, platform::MakeDialect());
#ifndef SAMPHIREBANK_GATEWAY_GATEWAY_H_
#define SAMPHIREBANK_GATEWAY_GATEWAY_H_

#include "samphirebank/dialect/dialect.h"
#include "samphirebank/settings/settings.h"

namespace samphirebank::gateway {

// RunGateway serves until SIGTERM or SIGINT and then ends what runs. Returns
// the exit code: 1 if an address cannot be used.
int RunGateway(const settings::GatewaySettings& settings,
               const dialect::Dialect& dialect);

}  // namespace samphirebank::gateway

#endif  // SAMPHIREBANK_GATEWAY_GATEWAY_H_
