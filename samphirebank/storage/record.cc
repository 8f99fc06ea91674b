#include "samphirebank/storage/internal/record.h"

#include <xxhash.h>

#include <utility>

#include "samphirebank/wire/wire.h"

namespace samphirebank::storage::internal {
namespace {

constexpr uint32_t kMagic = 0x52425348;
constexpr size_t kMagicBytes = 4;
constexpr size_t kLengthBytes = 4;
constexpr size_t kChecksumBytes = 8;
constexpr size_t kFrameBytes = kMagicBytes + kLengthBytes + kChecksumBytes;

void PutNumber(std::string& out, uint64_t number, size_t bytes) {
  for (size_t i = 0; i < bytes; ++i) {
    out.push_back(static_cast<char>(number >> (8 * i)));
  }
}

uint64_t GetNumber(std::string_view in, size_t offset, size_t bytes) {
  uint64_t number = 0;
  for (size_t i = 0; i < bytes; ++i) {
    const auto byte = static_cast<uint8_t>(in[offset + i]);
    number |= static_cast<uint64_t>(byte) << (8 * i);
  }
  return number;
}

std::optional<Record> DecodeRecord(std::string_view bytes) {
  boost::leaf::result<Record> decoded = wire::DecodeFields<Record>(bytes);
  if (!decoded) return {};
  return *std::move(decoded);
}

// WasDurable says whether a whole record behind `offset` proves that the
// bytes at `offset` were synced once.
bool WasDurable(std::string_view file, uint64_t offset) {
  for (uint64_t at = offset + 1; at + kFrameBytes <= file.size(); ++at) {
    if (GetNumber(file, at, kMagicBytes) != kMagic) continue;
    const std::optional<Unframed> frame = UnframeAt(file, at);
    if (!frame) continue;
    const std::optional<Record> record = DecodeRecord(frame->bytes);
    if (record && record->durable_before > offset) return true;
  }
  return false;
}

}  // namespace

std::string EncodeFrame(std::string_view bytes) {
  std::string out;
  out.reserve(kFrameBytes + bytes.size());
  PutNumber(out, kMagic, kMagicBytes);
  PutNumber(out, bytes.size(), kLengthBytes);
  PutNumber(out, XXH3_64bits(bytes.data(), bytes.size()), kChecksumBytes);
  out.append(bytes);
  return out;
}

std::optional<Unframed> UnframeAt(std::string_view file, uint64_t offset) {
  if (offset + kFrameBytes > file.size()) return {};
  if (GetNumber(file, offset, kMagicBytes) != kMagic) return {};
  const uint64_t length = GetNumber(file, offset + kMagicBytes, kLengthBytes);
  const uint64_t start = offset + kFrameBytes;
  if (length > file.size() - start) return {};
  const std::string_view bytes = file.substr(start, length);
  const uint64_t checksum =
      GetNumber(file, start - kChecksumBytes, kChecksumBytes);
  if (XXH3_64bits(bytes.data(), bytes.size()) != checksum) return {};
  return Unframed{.bytes = bytes, .end = start + length};
}

std::string EncodeRecord(const Record& record) {
  return EncodeFrame(wire::EncodeFields(record));
}

std::string EncodeSegment(SegmentHead head, const consensus::HardState& hard,
                          const std::vector<consensus::Entry>& entries) {
  std::string rest = EncodeRecord({.body = hard});
  for (const consensus::Entry& entry : entries) {
    rest += EncodeRecord({.body = entry});
  }
  head.initial_bytes = rest.size();
  return EncodeRecord({.body = head}) + rest;
}

ParsedSegment ParseSegment(std::string_view file) {
  ParsedSegment parsed;
  uint64_t initial_end = 1;
  while (parsed.valid_bytes < file.size() || parsed.valid_bytes == 0) {
    const std::optional<Unframed> frame = UnframeAt(file, parsed.valid_bytes);
    std::optional<Record> record;
    if (frame) record = DecodeRecord(frame->bytes);
    if (!record) break;
    const auto* head = std::get_if<SegmentHead>(&record->body);
    const bool is_first = parsed.valid_bytes == 0;
    if (is_first != (head != nullptr)) break;
    if (is_first) {
      parsed.head = *head;
      initial_end = frame->end + head->initial_bytes;
    } else {
      parsed.records.push_back(std::move(record->body));
    }
    parsed.valid_bytes = frame->end;
  }
  const bool whole = parsed.valid_bytes == file.size();
  parsed.damaged = parsed.valid_bytes < initial_end ||
                   (!whole && WasDurable(file, parsed.valid_bytes));
  return parsed;
}

std::string EncodeSnapshot(const consensus::Snapshot& snapshot) {
  return EncodeFrame(wire::EncodeFields(snapshot.metadata)) +
         EncodeFrame(*snapshot.data);
}

std::optional<consensus::Snapshot> DecodeSnapshot(std::string_view file) {
  const std::optional<Unframed> first = UnframeAt(file, 0);
  if (!first) return {};
  boost::leaf::result<consensus::SnapshotMetadata> head =
      wire::DecodeFields<consensus::SnapshotMetadata>(first->bytes);
  const std::optional<Unframed> second = UnframeAt(file, first->end);
  if (!head || !second || second->end != file.size()) return {};
  return consensus::Snapshot{
      .metadata = *std::move(head),
      .data = std::make_shared<const std::string>(second->bytes)};
}

std::string EncodeIdentity(const consensus::MemberId& member) {
  return EncodeFrame(wire::EncodeFields(member));
}

std::optional<consensus::MemberId> DecodeIdentity(std::string_view file) {
  const std::optional<Unframed> frame = UnframeAt(file, 0);
  if (!frame || frame->end != file.size()) return {};
  boost::leaf::result<consensus::MemberId> member =
      wire::DecodeFields<consensus::MemberId>(frame->bytes);
  if (!member) return {};
  return *std::move(member);
}

}  // namespace samphirebank::storage::internal
