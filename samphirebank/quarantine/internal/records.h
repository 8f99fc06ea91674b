// File: records.h
//
// Merging of records, and their form in messages.
#ifndef SAMPHIREBANK_QUARANTINE_INTERNAL_RECORDS_H_
#define SAMPHIREBANK_QUARANTINE_INTERNAL_RECORDS_H_

#include "samphirebank/quarantine/quarantine.h"

namespace samphirebank::quarantine::internal {

// MergeEvidence adds evidence that was received at `received_at`.
void MergeEvidence(Records& records, const Evidence& evidence,
                   TimePoint received_at);
// MergeRecord adds what one record says to another.
void MergeRecord(Record& into, const Record& from);
// Encode returns the records as evidence: those in quarantine first, then those
// with the most crashes, at most kMaxParts.
Evidence Encode(const Records& records, TimePoint now);
// IsCleared returns whether a target began to answer a prompt with the part
// after it was quarantined.
bool IsCleared(const Record& record);
// QuarantineLeft returns how long a quarantine still lasts; zero or less if it
// is over.
Duration QuarantineLeft(const Options& options, TimePoint quarantined_at,
                        TimePoint now);

// Instances do not take over a quarantine that is about to end. Without this
// bound the last ones to hold it would pass it on to each other for ever.
inline constexpr Duration kMinAdoptedTime = std::chrono::seconds(5);

}  // namespace samphirebank::quarantine::internal

#endif  // SAMPHIREBANK_QUARANTINE_INTERNAL_RECORDS_H_
