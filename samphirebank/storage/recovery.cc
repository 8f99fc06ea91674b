#include "samphirebank/storage/internal/recovery.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <utility>

#include "samphirebank/storage/internal/record.h"

namespace samphirebank::storage::internal {
namespace {

constexpr int kNumberDigits = 20;

leaf::error_id Corrupt(std::string file, uint64_t offset, std::string detail) {
  return leaf::new_error(Error{.kind = ErrorKind::kCorrupt,
                               .file = std::move(file),
                               .offset = offset,
                               .detail = std::move(detail)});
}

// ParseFileNumber returns the number in a file name with the given prefix, and
// nullopt for other files and temporary ones.
std::optional<uint64_t> ParseFileNumber(std::string_view prefix,
                                        std::string_view name) {
  if (!name.starts_with(prefix) || name.ends_with(kTemporarySuffix)) return {};
  name.remove_prefix(prefix.size());
  uint64_t number = 0;
  const auto [end, error] =
      std::from_chars(name.data(), name.data() + name.size(), number);
  if (error != std::errc() || end != name.data() + name.size()) return {};
  return number;
}

// ListFileNumbers returns the numbers of all files with the prefix in ascending
// order.
std::vector<uint64_t> ListFileNumbers(std::string_view prefix,
                                      const std::vector<std::string>& names) {
  std::vector<uint64_t> numbers;
  for (const std::string& name : names) {
    if (auto number = ParseFileNumber(prefix, name)) numbers.push_back(*number);
  }
  std::sort(numbers.begin(), numbers.end());
  return numbers;
}

leaf::result<void> ReadIdentity(Files& files, FolderContents& contents) {
  const std::string name(kIdentityFile);
  BOOST_LEAF_AUTO(bytes, files.Read(name));
  contents.identity = DecodeIdentity(bytes);
  if (!contents.identity) return Corrupt(name, 0, "checksum mismatch");
  return {};
}

leaf::result<void> ReadSnapshot(Files& files,
                                const std::vector<uint64_t>& numbers,
                                FolderContents& contents) {
  if (numbers.empty()) return {};
  const std::string name = NumberedFileName(kSnapshotPrefix, numbers.back());
  BOOST_LEAF_AUTO(bytes, files.Read(name));
  contents.recovered.snapshot = DecodeSnapshot(bytes);
  if (!contents.recovered.snapshot) {
    return Corrupt(name, 0, "checksum mismatch");
  }
  contents.report.snapshot_index = contents.recovered.snapshot->metadata.index;
  for (size_t i = 0; i + 1 < numbers.size(); ++i) {
    contents.obsolete.push_back(NumberedFileName(kSnapshotPrefix, numbers[i]));
  }
  return {};
}

// Segment is one decoded segment file of the log.
struct Segment {
  std::string name;
  uint64_t file_bytes = 0;
  ParsedSegment parsed{};
};

// ReadSegments reads the segments from the newest back to the one that starts
// the log, and returns them in ascending order. Older segments are obsolete.
leaf::result<std::vector<Segment>> ReadSegments(
    Files& files, const std::vector<uint64_t>& numbers,
    FolderContents& contents) {
  std::vector<Segment> segments;
  for (size_t left = numbers.size(); left > 0; --left) {
    const uint64_t number = numbers[left - 1];
    const std::string name = NumberedFileName(kSegmentPrefix, number);
    const bool is_obsolete =
        !segments.empty() && segments.back().parsed.header.starts_log;
    if (is_obsolete) {
      contents.obsolete.push_back(name);
      continue;
    }
    BOOST_LEAF_AUTO(bytes, files.Read(name));
    Segment segment{.name = name, .file_bytes = bytes.size()};
    segment.parsed = ParseSegment(bytes);
    const uint64_t valid_bytes = segment.parsed.valid_bytes;
    const bool is_last = left == numbers.size();
    // A segment is synced before the next one is started, so only the last may
    // end in a torn write.
    const bool may_be_torn = is_last && !segment.parsed.is_corrupt;
    if (segment.parsed.is_corrupt ||
        (valid_bytes < bytes.size() && !may_be_torn)) {
      return Corrupt(name, valid_bytes, "a synced record is corrupt");
    }
    if (segment.parsed.header.number != number) {
      return Corrupt(
          name, 0,
          "the segment number in the header does not match the file name");
    }
    const bool has_gap = !is_last && numbers[left] != number + 1;
    if (has_gap) {
      return Corrupt(NumberedFileName(kSegmentPrefix, number + 1), 0,
                     "the file is missing");
    }
    segments.push_back(std::move(segment));
  }
  if (!segments.empty() && !segments.back().parsed.header.starts_log) {
    return Corrupt(segments.back().name, 0, "earlier segments are missing");
  }
  std::reverse(segments.begin(), segments.end());
  return segments;
}

// ReplayEntry adds an entry to the log. It replaces an earlier entry with the
// same index and all that follow that one.
leaf::result<void> ReplayEntry(const Segment& segment, LogIndex base,
                               consensus::Entry& entry,
                               std::vector<consensus::Entry>& entries) {
  const LogIndex next = base + LogIndex(entries.size() + 1);
  if (entry.index <= base || entry.index > next) {
    return Corrupt(segment.name, segment.parsed.valid_bytes,
                   "entry " + std::to_string(entry.index.value) +
                       " is not contiguous with the log");
  }
  entries.resize((entry.index - base).value - 1);
  entries.push_back(std::move(entry));
  return {};
}

// Replay rebuilds the log and the hard state from the records of all
// segments.
leaf::result<void> Replay(std::vector<Segment>& segments,
                          FolderContents& contents) {
  const LogIndex base = segments.front().parsed.header.snapshot_index;
  for (Segment& segment : segments) {
    contents.report.log_bytes +=
        Bytes(static_cast<int64_t>(segment.parsed.valid_bytes));
    for (RecordBody& record : segment.parsed.records) {
      if (auto* hard_state = std::get_if<consensus::HardState>(&record)) {
        contents.recovered.hard_state = *hard_state;
      } else if (auto* entry = std::get_if<consensus::Entry>(&record)) {
        BOOST_LEAF_CHECK(
            ReplayEntry(segment, base, *entry, contents.recovered.entries));
      }
    }
  }
  return {};
}

// DropEntriesInSnapshot drops the entries that the newest snapshot includes.
// Usually the log already starts after that snapshot. If the process ended
// between writing the snapshot and starting the segment that follows it, the
// later entries are kept only if the log holds the snapshot's last entry with
// the same term.
leaf::result<void> DropEntriesInSnapshot(const Segment& first,
                                         FolderContents& contents) {
  const LogIndex base = first.parsed.header.snapshot_index;
  const LogIndex snapshot_index = contents.report.snapshot_index;
  if (snapshot_index < base) {
    return Corrupt(NumberedFileName(kSnapshotPrefix, base.value), 0,
                   "the file is missing");
  }
  if (snapshot_index == base) return {};
  contents.restart_log = true;
  std::vector<consensus::Entry>& entries = contents.recovered.entries;
  const size_t num_included = (snapshot_index - base).value;
  const bool log_matches = entries.size() >= num_included &&
                           entries[num_included - 1].term ==
                               contents.recovered.snapshot->metadata.term;
  if (log_matches) {
    entries.erase(entries.begin(),
                  entries.begin() + static_cast<std::ptrdiff_t>(num_included));
  } else {
    entries.clear();
  }
  return {};
}

leaf::result<void> ReadLog(Files& files, const std::vector<uint64_t>& numbers,
                           FolderContents& contents) {
  BOOST_LEAF_AUTO(segments, ReadSegments(files, numbers, contents));
  BOOST_LEAF_CHECK(Replay(segments, contents));
  BOOST_LEAF_CHECK(DropEntriesInSnapshot(segments.front(), contents));
  const Segment& last = segments.back();
  contents.last_segment_number = numbers.back();
  contents.last_segment_bytes = last.parsed.valid_bytes;
  RecoveryReport& report = contents.report;
  report.replayed_entries = contents.recovered.entries.size();
  if (last.file_bytes == last.parsed.valid_bytes) return {};
  report.torn_file = last.name;
  report.torn_offset = last.parsed.valid_bytes;
  report.torn_bytes =
      Bytes(static_cast<int64_t>(last.file_bytes - last.parsed.valid_bytes));
  return {};
}

// CheckComplete fails if the identity or the log is missing. The first segment
// is created before the identity, so a folder without an identity is valid only
// if nothing was written to it.
leaf::result<void> CheckComplete(const FolderContents& contents) {
  if (contents.identity) {
    if (contents.last_segment_number != 0) return {};
    return Corrupt(NumberedFileName(kSegmentPrefix, 1), 0,
                   "the log is missing");
  }
  const consensus::Recovered& recovered = contents.recovered;
  const bool is_unused = recovered.hard_state == consensus::HardState{} &&
                         !recovered.snapshot && recovered.entries.empty();
  if (!is_unused) {
    return Corrupt(std::string(kIdentityFile), 0, "the file is missing");
  }
  return {};
}

}  // namespace

std::string NumberedFileName(std::string_view prefix, uint64_t number) {
  const std::string digits = std::to_string(number);
  return std::string(prefix) + std::string(kNumberDigits - digits.size(), '0') +
         digits;
}

leaf::result<FolderContents> ReadFolder(Files& files) {
  FolderContents contents;
  BOOST_LEAF_AUTO(names, files.List());
  for (const std::string& name : names) {
    if (name.ends_with(kTemporarySuffix)) contents.obsolete.push_back(name);
    if (name == kIdentityFile) BOOST_LEAF_CHECK(ReadIdentity(files, contents));
  }
  BOOST_LEAF_CHECK(
      ReadSnapshot(files, ListFileNumbers(kSnapshotPrefix, names), contents));
  const std::vector<uint64_t> segments = ListFileNumbers(kSegmentPrefix, names);
  if (!segments.empty()) BOOST_LEAF_CHECK(ReadLog(files, segments, contents));
  BOOST_LEAF_CHECK(CheckComplete(contents));
  return contents;
}

}  // namespace samphirebank::storage::internal
