// File: receipts.h
//
// Which messages of the other side were received.
#ifndef SAMPHIREBANK_SHARING_INTERNAL_RECEIPTS_H_
#define SAMPHIREBANK_SHARING_INTERNAL_RECEIPTS_H_

#include <cstdint>

#include "samphirebank/sharing/internal/compact.h"

namespace samphirebank::sharing {

// Receipts says which sequence numbers (from 1) were received: the newest and
// which of the 64 before it.
struct Receipts {
  uint64_t newest = 0;
  // Bit i: number newest - 1 - i was received, or is below 1.
  uint64_t previous = ~uint64_t{0};

  // Add records `sequence`; false if it was recorded before or is too old to
  // tell.
  bool Add(uint64_t sequence);

  // Contains says whether `sequence` is known to be received.
  bool Contains(uint64_t sequence) const;

  friend bool operator==(const Receipts&, const Receipts&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    // Mostly nothing is missing, which takes one byte.
    uint64_t missing = ~previous;
    internal::Number(archive, newest);
    internal::Rare(archive, missing);
    previous = ~missing;
  }
};

}  // namespace samphirebank::sharing

#endif  // SAMPHIREBANK_SHARING_INTERNAL_RECEIPTS_H_
