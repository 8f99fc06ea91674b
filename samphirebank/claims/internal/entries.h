// File: entries.h
//
// Insertion and removal of entries of State. Both update the indexes and totals
// that are derived from the entries.
#ifndef SAMPHIREBANK_CLAIMS_INTERNAL_ENTRIES_H_
#define SAMPHIREBANK_CLAIMS_INTERNAL_ENTRIES_H_

#include <cstdint>

#include "samphirebank/claims/claims.h"

namespace samphirebank::claims::internal {

// ResponseSize returns the size that a response counts towards the limits, in
// bytes.
uint64_t ResponseSize(const RecordedResponse& response);

// Insert adds an entry. The key must have no entry yet.
void Insert(State& state, const ClaimKey& key, Entry entry);

// Erase removes the entry of a key. The key must have an entry.
void Erase(State& state, const ClaimKey& key);

}  // namespace samphirebank::claims::internal

#endif  // SAMPHIREBANK_CLAIMS_INTERNAL_ENTRIES_H_
