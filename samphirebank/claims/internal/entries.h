// File: entries.h
//
// Changes to the entries of State that keep what is derived from them in step.
#ifndef SAMPHIREBANK_CLAIMS_INTERNAL_ENTRIES_H_
#define SAMPHIREBANK_CLAIMS_INTERNAL_ENTRIES_H_

#include <cstdint>

#include "samphirebank/claims/claims.h"

namespace samphirebank::claims::internal {

// ResponseSize is what an answer counts against the limits, in bytes.
uint64_t ResponseSize(const RecordedResponse& response);

// Insert adds an entry under a key that has none.
void Insert(State& state, const ClaimKey& key, Entry entry);

// Erase removes the entry of a key that has one.
void Erase(State& state, const ClaimKey& key);

}  // namespace samphirebank::claims::internal

#endif  // SAMPHIREBANK_CLAIMS_INTERNAL_ENTRIES_H_
