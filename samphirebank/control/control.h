// File: control.h
//
// The control instance: it keeps contracts, declarations, assignments and
// idempotency claims in a replicated log, answers operators over HTTP, and
// gives configuration and leases to whoever polls.
//
// Example:
//
//   settings::Parsed<settings::ControlSettings> parsed =
//       settings::ParseControl(arguments, settings::ProcessEnvironment());
//   return control::RunControl(parsed.settings);
#ifndef SAMPHIREBANK_CONTROL_CONTROL_H_
#define SAMPHIREBANK_CONTROL_CONTROL_H_

#include "samphirebank/settings/settings.h"

namespace samphirebank::control {

// RunControl serves until SIGTERM or SIGINT; returns the exit code. A fault
// that makes the instance unable to serve is logged and gives code 1.
int RunControl(const settings::ControlSettings& settings);

}  // namespace samphirebank::control

#endif  // SAMPHIREBANK_CONTROL_CONTROL_H_
