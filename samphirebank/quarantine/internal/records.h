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
// EncodeOptions says which evidence a message needs.
struct EncodeOptions {
  Options judging{};
  // Parts with fewer crashes since they were last answered are left out, unless
  // they are in quarantine.
  size_t min_crashes = 0;
  // For a gateway, the parts that the fleet suspects. Answers to prompts with
  // them matter most, and of the others those that were never answered.
  const Records* listed = nullptr;
};

// Encode returns the records as evidence, as much as a message holds. In this
// order: those in quarantine; those whose answers speak for a part; those with
// the most crashes; those with the youngest answer. Of many crashes of a part
// go first those that can be judged, then the first ones of each crash_gap,
// then the newest.
Evidence Encode(const Records& records, const EncodeOptions& options,
                TimePoint now);
// IsPending returns whether other answers have not had time yet to outlive the
// one that was cut off by a crash. One that had not begun is judged at once.
bool IsPending(const Options& options, const Record::Crash& crash,
               TimePoint now);
// IsCleared returns whether a target answered a prompt with the part after it
// was quarantined.
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
