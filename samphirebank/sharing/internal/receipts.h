// File: receipts.h
//
// Selective acknowledgement of the messages received from a peer.
#ifndef SAMPHIREBANK_SHARING_INTERNAL_RECEIPTS_H_
#define SAMPHIREBANK_SHARING_INTERNAL_RECEIPTS_H_

#include <cstdint>

#include "samphirebank/sharing/internal/compact.h"

namespace samphirebank::sharing {

// Receipts records which sequence numbers (from 1) were received: the newest
// one and a bitmap of the 64 numbers before it.
struct Receipts {
  uint64_t newest = 0;
  // Bit i is set if sequence number newest - 1 - i was received or is below 1.
  uint64_t previous = ~uint64_t{0};

  // Add records `sequence` as received. Returns false if it was recorded before
  // or precedes the bitmap, so that a duplicate cannot be ruled out.
  bool Add(uint64_t sequence);

  // Contains returns whether `sequence` is recorded as received; false for
  // numbers that precede the bitmap.
  bool Contains(uint64_t sequence) const;

  friend bool operator==(const Receipts&, const Receipts&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    // Usually no message is missing, which takes one byte.
    uint64_t missing = ~previous;
    internal::ArchiveVarint(archive, newest);
    internal::ArchiveOptional(archive, missing);
    previous = ~missing;
  }
};

}  // namespace samphirebank::sharing

#endif  // SAMPHIREBANK_SHARING_INTERNAL_RECEIPTS_H_
