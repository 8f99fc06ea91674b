// File: operators.h
//
// The operator commands: thin clients of the operator API that control
// instances serve. A change carries one Change-Id over all its resends, so it
// is made at most once.
//
// Example:
//
//   return operators::RunOperator(parsed.settings);
#ifndef SAMPHIREBANK_OPERATORS_OPERATORS_H_
#define SAMPHIREBANK_OPERATORS_OPERATORS_H_

#include "samphirebank/dialect/dialect.h"
#include "samphirebank/settings/settings.h"

namespace samphirebank::operators {

// RunOperator carries out one command and prints its answer: a table, or the
// server's JSON with --json. Returns 0 when it was carried out, 1 when it was
// refused or its outcome is not known, 2 when the contract file is unusable.
int RunOperator(const settings::OperatorSettings& settings);

// RunZone evacuates or restores an availability zone, or lists the evacuated
// ones, and prints the outcome. Returns 0 when it was carried out, 1 when it
// was refused or its outcome is not known.
int RunZone(const settings::ZoneSettings& settings,
            const dialect::Dialect& dialect);

}  // namespace samphirebank::operators

#endif  // SAMPHIREBANK_OPERATORS_OPERATORS_H_
