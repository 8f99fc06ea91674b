// File: document.h
//
// The replicated state: the newest route table as the operator sent it, and the
// evacuated zones. A document larger than one log entry is proposed in parts
// that follow each other; it takes effect with its last part.
#ifndef SAMPHIREBANK_COORDINATOR_INTERNAL_DOCUMENT_H_
#define SAMPHIREBANK_COORDINATOR_INTERNAL_DOCUMENT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "samphirebank/evacuation/evacuation.h"
#include "samphirebank/routes/routes.h"

namespace samphirebank::coordinator {

// Document is a table as it was sent.
struct Document {
  routes::TableVersion version{};
  std::string text{};

  friend bool operator==(const Document&, const Document&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(version, text);
  }
};

// DocumentState is the replicated state. `arriving` holds the parts of a
// document whose last part has not been applied.
struct DocumentState {
  Document newest{};
  Document arriving{};
  uint32_t parts_arrived = 0;
  evacuation::Evacuations evacuations{};

  friend bool operator==(const DocumentState&, const DocumentState&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(newest, arriving, parts_arrived, evacuations);
  }
};

// kPartBytes keeps a part within one log entry.
inline constexpr size_t kPartBytes = 192 << 10;

// EntriesOf returns the log entries that carry a document.
std::vector<std::string> EntriesOf(const Document& document);

// EntryOf returns the log entry that carries an order on a zone.
std::string EntryOf(const evacuation::Order& order);

// ApplyEntry applies one log entry. Returns whether there is a newer document.
// A document whose version is not above the newest one's changes nothing.
bool ApplyEntry(DocumentState& state, std::string_view entry);

// EncodeState and DecodeState carry the state in a snapshot; DecodeState
// returns false and changes nothing when the bytes are malformed. It also reads
// snapshots that were written before there were evacuations.
std::string EncodeState(const DocumentState& state);
bool DecodeState(std::string_view bytes, DocumentState& state);

}  // namespace samphirebank::coordinator

#endif  // SAMPHIREBANK_COORDINATOR_INTERNAL_DOCUMENT_H_
