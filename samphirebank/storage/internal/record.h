// File: record.h
//
// The file formats of the data folder: log segments, snapshots and the identity
// file. Each file is a sequence of frames, which carry a length and a checksum.
//
//   std::string file = EncodeFrame("payload");
//   std::optional<Frame> frame = DecodeFrameAt(file, 0);
//   // frame->payload == "payload", frame->end == file.size()
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

// SegmentHeader is the first record of a segment. A new segment is written to a
// temporary file, synced and renamed, so the header and the `initial_bytes`
// bytes after it are always durable.
struct SegmentHeader {
  uint64_t number = 0;
  bool starts_log = false;    // earlier segments are obsolete
  LogIndex snapshot_index{};  // if starts_log: the snapshot before the log
  uint64_t initial_bytes = 0;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(number, starts_log, snapshot_index, initial_bytes);
  }
};

// SyncMarker is appended after a sync and records that all bytes before it are
// durable. The marker itself is not synced, but usually survives the end of the
// process, since the operating system still writes it.
struct SyncMarker {
  template <typename Archive>
  void serialize(Archive&) {}  // NOLINT: the name cereal calls
};

using RecordBody = std::variant<SegmentHeader, consensus::HardState,
                                consensus::Entry, SyncMarker>;

// Record is one record of a segment. Each is stored in a frame of its own.
struct Record {
  // Length of the synced part of the segment when the record was written. It
  // tells corruption of earlier bytes from a torn write.
  uint64_t durable_before = 0;
  RecordBody body{};

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(durable_before, body);
  }
};

// EncodeFrame returns a frame: a header with the length and checksum of the
// payload, then the payload.
std::string EncodeFrame(std::string_view payload);

// Frame is a decoded frame. The payload refers to the decoded file's bytes.
struct Frame {
  std::string_view payload{};
  uint64_t end = 0;  // offset in the file after the frame
};

// DecodeFrameAt decodes the frame at `offset`. Returns nullopt if it is
// truncated or its magic number or checksum does not match.
std::optional<Frame> DecodeFrameAt(std::string_view file, uint64_t offset);

// EncodeRecord returns the frame that holds `record`.
std::string EncodeRecord(const Record& record);

// EncodeSegment returns the initial contents of a segment file: the header, the
// hard state and the entries. It sets the header's `initial_bytes`.
std::string EncodeSegment(SegmentHeader header,
                          const consensus::HardState& hard_state,
                          const std::vector<consensus::Entry>& entries);

// ParsedSegment holds the decoded records of one segment file.
struct ParsedSegment {
  SegmentHeader header{};
  std::vector<RecordBody> records{};  // after the header
  uint64_t valid_bytes = 0;           // length before the first invalid record
  bool is_corrupt = false;            // an invalid record was synced before
};

// ParseSegment decodes records up to the first invalid one. If that one was
// never synced, it is a torn write; otherwise the segment is corrupt.
ParsedSegment ParseSegment(std::string_view file);

// EncodeSnapshot returns the contents of a snapshot file.
std::string EncodeSnapshot(const consensus::Snapshot& snapshot);
// DecodeSnapshot returns nullopt if the file is not a valid snapshot.
std::optional<consensus::Snapshot> DecodeSnapshot(std::string_view file);

// EncodeIdentity returns the contents of the identity file.
std::string EncodeIdentity(const consensus::MemberId& member);
// DecodeIdentity returns nullopt if the file is not a valid identity file.
std::optional<consensus::MemberId> DecodeIdentity(std::string_view file);

}  // namespace samphirebank::storage::internal

#endif  // SAMPHIREBANK_STORAGE_INTERNAL_RECORD_H_
