// File: recovery.h
//
// Reads and validates a data folder without changing it.
//
//   leaf::result<FolderContents> contents = ReadFolder(files);
//   contents->recovered.entries  // the log after the snapshot
#ifndef SAMPHIREBANK_STORAGE_INTERNAL_RECOVERY_H_
#define SAMPHIREBANK_STORAGE_INTERNAL_RECOVERY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "samphirebank/storage/storage.h"

namespace samphirebank::storage::internal {

inline constexpr std::string_view kIdentityFile = "identity";
inline constexpr std::string_view kSegmentPrefix = "log-";
inline constexpr std::string_view kSnapshotPrefix = "snapshot-";
inline constexpr std::string_view kTemporarySuffix = ".tmp";

// NumberedFileName returns the prefix followed by the number, padded with zeros
// to 20 digits, so that names sort by number.
std::string NumberedFileName(std::string_view prefix, uint64_t number);

// FolderContents holds the state read from a data folder.
struct FolderContents {
  std::optional<consensus::MemberId> identity{};
  consensus::Recovered recovered{};
  uint64_t last_segment_number = 0;  // 0 if there is no segment
  uint64_t last_segment_bytes = 0;   // valid bytes of the last segment
  // The newest snapshot was written, but the process ended before it started
  // the segment that follows it. A segment with the remaining entries must be
  // started.
  bool restart_log = false;
  std::vector<std::string> obsolete{};  // files that may be removed
  RecoveryReport report{};
};

// ReadFolder reads the identity, the newest snapshot and the log, and validates
// them. Fails with Error, of kind kCorrupt if a file is missing or a synced
// record is invalid.
leaf::result<FolderContents> ReadFolder(Files& files);

}  // namespace samphirebank::storage::internal

#endif  // SAMPHIREBANK_STORAGE_INTERNAL_RECOVERY_H_
