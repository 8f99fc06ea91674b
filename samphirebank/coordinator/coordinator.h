// File: coordinator.h
//
// A control instance that keeps the route table, durable on a quorum, and the
// directory of targets, by their heartbeats. Coordinators find each other from
// a few seeds and keep their group whole by themselves.
//
// Example:
//
//   return coordinator::RunCoordinator(settings, platform::MakeDialect());
#ifndef SAMPHIREBANK_COORDINATOR_COORDINATOR_H_
#define SAMPHIREBANK_COORDINATOR_COORDINATOR_H_

#include "samphirebank/dialect/dialect.h"
#include "samphirebank/settings/settings.h"

namespace samphirebank::coordinator {

// RunCoordinator serves until SIGTERM or SIGINT. Returns the exit code: 1 if
// an address or the data folder cannot be used.
int RunCoordinator(const settings::CoordinatorSettings& settings,
                   const dialect::Dialect& dialect);

}  // namespace samphirebank::coordinator

#endif  // SAMPHIREBANK_COORDINATOR_COORDINATOR_H_
