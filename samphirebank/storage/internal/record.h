// File: record.h
//
// The bytes of the data folder: framed records with a checksum, in segments
// of the log, snapshot files and the identity file.
#ifndef SAMPHIREBANK_STORAGE_INTERNAL_RECORD_H_
#define SAMPHIREBANK_STORAGE_INTERNAL_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "samphirebank/consensus/consensus.h"

namespace samphirebank::storage::internal {

// SegmentHead opens a segment. Segments appear by rename, whole and synced,
// so that their first `initial_bytes` after the head are durable.
struct SegmentHead {
  uint64_t number = 0;
  bool starts_log = false;    // what earlier segments hold is obsolete
  LogIndex snapshot_index{};  // starts_log: the log follows this snapshot
  uint64_t initial_bytes = 0;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(number, starts_log, snapshot_index, initial_bytes);
  }
};

// SyncMark says that all that stands before it was synced. It is not synced
// itself, but mostly survives the end of the process.
struct SyncMark {
  template <typename Archive>
  void serialize(Archive&) {}  // NOLINT: the name cereal calls
};

using RecordBody =
    std::variant<SegmentHead, consensus::HardState, consensus::Entry, SyncMark>;

// Record is one unit of a segment.
struct Record {
  uint64_t durable_before = 0;  // bytes of the segment that were synced
  RecordBody body{};

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(durable_before, body);
  }
};

// EncodeFrame wraps bytes with their length and checksum.
std::string EncodeFrame(std::string_view bytes);

// Unframed is the content of a frame and where the frame ends.
struct Unframed {
  std::string_view bytes{};
  uint64_t end = 0;
};

// UnframeAt reads the frame at `offset`; nothing if it is not whole.
std::optional<Unframed> UnframeAt(std::string_view file, uint64_t offset);

std::string EncodeRecord(const Record& record);

// EncodeSegment returns the first content of a segment file.
std::string EncodeSegment(SegmentHead head, const consensus::HardState& hard,
                          const std::vector<consensus::Entry>& entries);

// ParsedSegment is what one segment file holds.
struct ParsedSegment {
  SegmentHead head{};
  std::vector<RecordBody> records{};  // after the head
  uint64_t valid_bytes = 0;  // up to the first record that is not whole
  bool damaged = false;      // bytes are bad that were synced once
};

ParsedSegment ParseSegment(std::string_view file);

std::string EncodeSnapshot(const consensus::Snapshot& snapshot);
std::optional<consensus::Snapshot> DecodeSnapshot(std::string_view file);

std::string EncodeIdentity(const consensus::MemberId& member);
std::optional<consensus::MemberId> DecodeIdentity(std::string_view file);

}  // namespace samphirebank::storage::internal

#endif  // SAMPHIREBANK_STORAGE_INTERNAL_RECORD_H_
