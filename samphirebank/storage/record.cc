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
constexpr size_t kFrameHeaderBytes =
    kMagicBytes + kLengthBytes + kChecksumBytes;

void AppendLittleEndian(std::string& out, uint64_t number, size_t bytes) {
  for (size_t i = 0; i < bytes; ++i) {
    out.push_back(static_cast<char>(number >> (8 * i)));
  }
}

uint64_t ReadLittleEndian(std::string_view in, size_t offset, size_t bytes) {
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

// WasDurable returns whether the bytes at `offset` were synced: a later valid
// record states the length that was durable when it was written.
bool WasDurable(std::string_view file, uint64_t offset) {
  for (uint64_t start = offset + 1; start + kFrameHeaderBytes <= file.size();
       ++start) {
    if (ReadLittleEndian(file, start, kMagicBytes) != kMagic) continue;
    const std::optional<Frame> frame = DecodeFrameAt(file, start);
    if (!frame) continue;
    const std::optional<Record> record = DecodeRecord(frame->payload);
    if (record && record->durable_before > offset) return true;
  }
  return false;
}

}  // namespace

std::string EncodeFrame(std::string_view payload) {
  std::string out;
  out.reserve(kFrameHeaderBytes + payload.size());
  AppendLittleEndian(out, kMagic, kMagicBytes);
  AppendLittleEndian(out, payload.size(), kLengthBytes);
  AppendLittleEndian(out, XXH3_64bits(payload.data(), payload.size()),
                     kChecksumBytes);
  out.append(payload);
  return out;
}

std::optional<Frame> DecodeFrameAt(std::string_view file, uint64_t offset) {
  if (offset + kFrameHeaderBytes > file.size()) return {};
  if (ReadLittleEndian(file, offset, kMagicBytes) != kMagic) return {};
  const uint64_t length =
      ReadLittleEndian(file, offset + kMagicBytes, kLengthBytes);
  const uint64_t start = offset + kFrameHeaderBytes;
  if (length > file.size() - start) return {};
  const std::string_view payload = file.substr(start, length);
  const uint64_t checksum =
      ReadLittleEndian(file, start - kChecksumBytes, kChecksumBytes);
  if (XXH3_64bits(payload.data(), payload.size()) != checksum) return {};
  return Frame{.payload = payload, .end = start + length};
}

std::string EncodeRecord(const Record& record) {
  return EncodeFrame(wire::EncodeFields(record));
}

std::string EncodeSegment(SegmentHeader header,
                          const consensus::HardState& hard_state,
                          const std::vector<consensus::Entry>& entries) {
  std::string rest = EncodeRecord({.body = hard_state});
  for (const consensus::Entry& entry : entries) {
    rest += EncodeRecord({.body = entry});
  }
  header.initial_bytes = rest.size();
  return EncodeRecord({.body = header}) + rest;
}

ParsedSegment ParseSegment(std::string_view file) {
  ParsedSegment parsed;
  // End of the initial contents, which are always durable. Until the header is
  // read it is 1, so that a segment without a valid header counts as corrupt.
  uint64_t initial_end = 1;
  while (parsed.valid_bytes < file.size() || parsed.valid_bytes == 0) {
    const std::optional<Frame> frame = DecodeFrameAt(file, parsed.valid_bytes);
    std::optional<Record> record;
    if (frame) record = DecodeRecord(frame->payload);
    if (!record) break;
    const auto* header = std::get_if<SegmentHeader>(&record->body);
    const bool is_first = parsed.valid_bytes == 0;
    if (is_first != (header != nullptr)) break;
    if (is_first) {
      parsed.header = *header;
      initial_end = frame->end + header->initial_bytes;
    } else {
      parsed.records.push_back(std::move(record->body));
    }
    parsed.valid_bytes = frame->end;
  }
  const bool is_complete = parsed.valid_bytes == file.size();
  parsed.is_corrupt = parsed.valid_bytes < initial_end ||
                      (!is_complete && WasDurable(file, parsed.valid_bytes));
  return parsed;
}

std::string EncodeSnapshot(const consensus::Snapshot& snapshot) {
  return EncodeFrame(wire::EncodeFields(snapshot.metadata)) +
         EncodeFrame(*snapshot.data);
}

std::optional<consensus::Snapshot> DecodeSnapshot(std::string_view file) {
  const std::optional<Frame> first = DecodeFrameAt(file, 0);
  if (!first) return {};
  boost::leaf::result<consensus::SnapshotMetadata> header =
      wire::DecodeFields<consensus::SnapshotMetadata>(first->payload);
  const std::optional<Frame> second = DecodeFrameAt(file, first->end);
  if (!header || !second || second->end != file.size()) return {};
  return consensus::Snapshot{
      .metadata = *std::move(header),
      .data = std::make_shared<const std::string>(second->payload)};
}

std::string EncodeIdentity(const consensus::MemberId& member) {
  return EncodeFrame(wire::EncodeFields(member));
}

std::optional<consensus::MemberId> DecodeIdentity(std::string_view file) {
  const std::optional<Frame> frame = DecodeFrameAt(file, 0);
  if (!frame || frame->end != file.size()) return {};
  boost::leaf::result<consensus::MemberId> member =
      wire::DecodeFields<consensus::MemberId>(frame->payload);
  if (!member) return {};
  return *std::move(member);
}

}  // namespace samphirebank::storage::internal
