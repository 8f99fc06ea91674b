// File: router.h
//
// The entry router's process: callers on one port, targets and operators on
// another, other instances on a third. It moves bytes and events between the
// decision libraries and decides nothing itself.
//
// Example:
//
//   const auto parsed = settings::ParseRouter(arguments, environment);
//   return router::RunRouter(parsed.settings);
#ifndef SAMPHIREBANK_ROUTER_ROUTER_H_
#define SAMPHIREBANK_ROUTER_ROUTER_H_

#include "samphirebank/settings/settings.h"

namespace samphirebank::router {

// RunRouter serves until SIGTERM has drained it; returns the exit code: 0 if
// no request was cut off, 1 otherwise or if it could not start.
int RunRouter(const settings::RouterSettings& settings);

}  // namespace samphirebank::router

#endif  // SAMPHIREBANK_ROUTER_ROUTER_H_
