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

std::optional<uint64_t> NumberOf(std::string_view prefix,
                                 std::string_view name) {
  if (!name.starts_with(prefix) || name.ends_with(kTemporarySuffix)) return {};
  name.remove_prefix(prefix.size());
  uint64_t number = 0;
  const auto [end, error] =
      std::from_chars(name.data(), name.data() + name.size(), number);
  if (error != std::errc() || end != name.data() + name.size()) return {};
  return number;
}

std::vector<uint64_t> NumbersOf(std::string_view prefix,
                                const std::vector<std::string>& names) {
  std::vector<uint64_t> numbers;
  for (const std::string& name : names) {
    if (auto number = NumberOf(prefix, name)) numbers.push_back(*number);
  }
  std::sort(numbers.begin(), numbers.end());
  return numbers;
}

leaf::result<void> ReadIdentity(Files& files, FolderContent& content) {
  const std::string name(kIdentityName);
  BOOST_LEAF_AUTO(bytes, files.Read(name));
  content.identity = DecodeIdentity(bytes);
  if (!content.identity) return Corrupt(name, 0, "the checksum does not fit");
  return {};
}

leaf::result<void> ReadSnapshot(Files& files,
                                const std::vector<uint64_t>& numbers,
                                FolderContent& content) {
  if (numbers.empty()) return {};
  const std::string name = NumberedName(kSnapshotPrefix, numbers.back());
  BOOST_LEAF_AUTO(bytes, files.Read(name));
  content.recovered.snapshot = DecodeSnapshot(bytes);
  if (!content.recovered.snapshot) {
    return Corrupt(name, 0, "the checksum does not fit");
  }
  content.report.snapshot_index = content.recovered.snapshot->metadata.index;
  for (size_t i = 0; i + 1 < numbers.size(); ++i) {
    content.obsolete.push_back(NumberedName(kSnapshotPrefix, numbers[i]));
  }
  return {};
}

// Segment is one parsed file of the log.
struct Segment {
  std::string name;
  uint64_t file_bytes = 0;
  ParsedSegment parsed{};
};

// ReadSegments reads from the newest back to the one that starts the log.
leaf::result<std::vector<Segment>> ReadSegments(
    Files& files, const std::vector<uint64_t>& numbers,
    FolderContent& content) {
  std::vector<Segment> segments;
  for (size_t left = numbers.size(); left > 0; --left) {
    const uint64_t number = numbers[left - 1];
    const std::string name = NumberedName(kSegmentPrefix, number);
    const bool complete =
        !segments.empty() && segments.back().parsed.head.starts_log;
    if (complete) {
      content.obsolete.push_back(name);
      continue;
    }
    BOOST_LEAF_AUTO(bytes, files.Read(name));
    Segment segment{.name = name, .file_bytes = bytes.size()};
    segment.parsed = ParseSegment(bytes);
    const uint64_t valid = segment.parsed.valid_bytes;
    const bool is_last = left == numbers.size();
    const bool torn = is_last && !segment.parsed.damaged;
    if (segment.parsed.damaged || (valid < bytes.size() && !torn)) {
      return Corrupt(name, valid, "synced bytes are damaged");
    }
    if (segment.parsed.head.number != number) {
      return Corrupt(name, 0, "the file holds another segment");
    }
    const bool gap = !is_last && numbers[left] != number + 1;
    if (gap) {
      return Corrupt(NumberedName(kSegmentPrefix, number + 1), 0,
                     "the file is missing");
    }
    segments.push_back(std::move(segment));
  }
  if (!segments.empty() && !segments.back().parsed.head.starts_log) {
    return Corrupt(segments.back().name, 0, "earlier segments are missing");
  }
  std::reverse(segments.begin(), segments.end());
  return segments;
}

leaf::result<void> ReplayEntry(const Segment& segment, LogIndex base,
                               consensus::Entry& entry,
                               std::vector<consensus::Entry>& entries) {
  const LogIndex next = base + LogIndex(entries.size() + 1);
  if (entry.index <= base || entry.index > next) {
    return Corrupt(segment.name, segment.parsed.valid_bytes,
                   "entry " + std::to_string(entry.index.value) +
                       " does not continue the log");
  }
  entries.resize((entry.index - base).value - 1);
  entries.push_back(std::move(entry));
  return {};
}

leaf::result<void> Replay(std::vector<Segment>& segments,
                          FolderContent& content) {
  const LogIndex base = segments.front().parsed.head.snapshot_index;
  for (Segment& segment : segments) {
    content.report.log_bytes +=
        Bytes(static_cast<int64_t>(segment.parsed.valid_bytes));
    for (RecordBody& record : segment.parsed.records) {
      if (auto* hard = std::get_if<consensus::HardState>(&record)) {
        content.recovered.hard_state = *hard;
      } else if (auto* entry = std::get_if<consensus::Entry>(&record)) {
        BOOST_LEAF_CHECK(
            ReplayEntry(segment, base, *entry, content.recovered.entries));
      }
    }
  }
  return {};
}

// JoinSnapshot drops the entries that the snapshot includes. When the process
// ended between writing a snapshot and restarting the log behind it, entries
// stay only if they continue the snapshot.
leaf::result<void> JoinSnapshot(const Segment& first, FolderContent& content) {
  const LogIndex base = first.parsed.head.snapshot_index;
  const LogIndex covered = content.report.snapshot_index;
  if (covered < base) {
    return Corrupt(NumberedName(kSnapshotPrefix, base.value), 0,
                   "the file is missing");
  }
  if (covered == base) return {};
  content.restart_log = true;
  std::vector<consensus::Entry>& entries = content.recovered.entries;
  const size_t included = (covered - base).value;
  const bool continues =
      entries.size() >= included &&
      entries[included - 1].term == content.recovered.snapshot->metadata.term;
  if (continues) {
    entries.erase(entries.begin(),
                  entries.begin() + static_cast<std::ptrdiff_t>(included));
  } else {
    entries.clear();
  }
  return {};
}

leaf::result<void> ReadLog(Files& files, const std::vector<uint64_t>& numbers,
                           FolderContent& content) {
  BOOST_LEAF_AUTO(segments, ReadSegments(files, numbers, content));
  BOOST_LEAF_CHECK(Replay(segments, content));
  BOOST_LEAF_CHECK(JoinSnapshot(segments.front(), content));
  const Segment& last = segments.back();
  content.last_segment = numbers.back();
  content.segment_bytes = last.parsed.valid_bytes;
  RecoveryReport& report = content.report;
  report.replayed_entries = content.recovered.entries.size();
  if (last.file_bytes == last.parsed.valid_bytes) return {};
  report.torn_file = last.name;
  report.torn_offset = last.parsed.valid_bytes;
  report.torn_bytes =
      Bytes(static_cast<int64_t>(last.file_bytes - last.parsed.valid_bytes));
  return {};
}

// CheckComplete refuses a folder of which a part is missing. The first
// segment is created before the identity.
leaf::result<void> CheckComplete(const FolderContent& content) {
  if (content.identity) {
    if (content.last_segment != 0) return {};
    return Corrupt(NumberedName(kSegmentPrefix, 1), 0, "the log is missing");
  }
  const consensus::Recovered& found = content.recovered;
  const bool unused = found.hard_state == consensus::HardState{} &&
                      !found.snapshot && found.entries.empty();
  if (!unused) {
    return Corrupt(std::string(kIdentityName), 0, "the file is missing");
  }
  return {};
}

}  // namespace

std::string NumberedName(std::string_view prefix, uint64_t number) {
  const std::string digits = std::to_string(number);
  return std::string(prefix) + std::string(kNumberDigits - digits.size(), '0') +
         digits;
}

leaf::result<FolderContent> ReadFolder(Files& files) {
  FolderContent content;
  BOOST_LEAF_AUTO(names, files.List());
  for (const std::string& name : names) {
    if (name.ends_with(kTemporarySuffix)) content.obsolete.push_back(name);
    if (name == kIdentityName) BOOST_LEAF_CHECK(ReadIdentity(files, content));
  }
  BOOST_LEAF_CHECK(
      ReadSnapshot(files, NumbersOf(kSnapshotPrefix, names), content));
  const std::vector<uint64_t> segments = NumbersOf(kSegmentPrefix, names);
  if (!segments.empty()) BOOST_LEAF_CHECK(ReadLog(files, segments, content));
  BOOST_LEAF_CHECK(CheckComplete(content));
  return content;
}

}  // namespace samphirebank::storage::internal
