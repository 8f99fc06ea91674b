// File: level.h
//
// The max-min fair level that standings and the ceiling are measured by.
#ifndef SAMPHIREBANK_ADMISSION_INTERNAL_LEVEL_H_
#define SAMPHIREBANK_ADMISSION_INTERNAL_LEVEL_H_

#include "samphirebank/admission/admission.h"

namespace samphirebank::admission {

// IsBacklogged returns whether an organisation demands clearly more than it is
// admitted.
bool IsBacklogged(const Options& options, const ServiceRates& rates);

// FairLevel returns the max-min fair level of what was admitted, in tokens per
// second; infinite if fewer than two organisations are backlogged.
double FairLevel(const Options& options, const RatesByOrganisation& rates);

}  // namespace samphirebank::admission

#endif  // SAMPHIREBANK_ADMISSION_INTERNAL_LEVEL_H_
