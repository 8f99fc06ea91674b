// File: recovery.h
//
// Reads a data folder without changing it.
#ifndef SAMPHIREBANK_STORAGE_INTERNAL_RECOVERY_H_
#define SAMPHIREBANK_STORAGE_INTERNAL_RECOVERY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "samphirebank/storage/storage.h"

namespace samphirebank::storage::internal {

inline constexpr std::string_view kIdentityName = "identity";
inline constexpr std::string_view kSegmentPrefix = "log-";
inline constexpr std::string_view kSnapshotPrefix = "snapshot-";
inline constexpr std::string_view kTemporarySuffix = ".tmp";

// NumberedName returns the prefix with the number in 20 digits.
std::string NumberedName(std::string_view prefix, uint64_t number);

// FolderContent is what a folder holds.
struct FolderContent {
  std::optional<consensus::MemberId> identity{};
  consensus::Recovered recovered{};
  uint64_t last_segment = 0;   // 0: there is none
  uint64_t segment_bytes = 0;  // of the last segment, the valid ones
  // The newest snapshot is not in the log yet: it has to be restarted.
  bool restart_log = false;
  std::vector<std::string> obsolete{};  // files that may be removed
  RecoveryReport report{};
};

// ReadFolder reads and checks everything. Fails with Error.
leaf::result<FolderContent> ReadFolder(Files& files);

}  // namespace samphirebank::storage::internal

#endif  // SAMPHIREBANK_STORAGE_INTERNAL_RECOVERY_H_
