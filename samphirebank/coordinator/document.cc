#include "samphirebank/coordinator/internal/document.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <optional>
#include <utility>

#include "samphirebank/wire/wire.h"

namespace samphirebank::coordinator {
namespace {

// Part is one log entry. A count of 0 marks an entry that carries an order on a
// zone instead of a part: a table always has one part or more.
struct Part {
  routes::TableVersion version{};
  uint32_t number = 0;  // from 0
  uint32_t count = 1;   // of the document's parts
  std::string text{};

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(version, number, count, text);
  }
};

// StateWithoutEvacuations is the state as earlier versions wrote it.
struct StateWithoutEvacuations {
  Document newest{};
  Document arriving{};
  uint32_t parts_arrived = 0;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(newest, arriving, parts_arrived);
  }
};

template <typename T>
std::optional<T> Decoded(std::string_view bytes) {
  return wire::leaf::try_handle_all(
      [&]() -> wire::leaf::result<std::optional<T>> {
        BOOST_LEAF_AUTO(value, wire::DecodeFields<T>(bytes));
        return std::optional<T>(std::move(value));
      },
      [] { return std::optional<T>(); });
}

// Continues tells whether a part follows the ones that arrived.
bool Continues(const DocumentState& state, const Part& part) {
  return part.number == state.parts_arrived &&
         part.version == state.arriving.version;
}

}  // namespace

std::vector<std::string> EntriesOf(const Document& document) {
  const size_t count =
      std::max<size_t>(1, (document.text.size() + kPartBytes - 1) / kPartBytes);
  std::vector<std::string> entries;
  for (size_t i = 0; i < count; ++i) {
    entries.push_back(wire::EncodeFields(
        Part{.version = document.version,
             .number = static_cast<uint32_t>(i),
             .count = static_cast<uint32_t>(count),
             .text = document.text.substr(i * kPartBytes, kPartBytes)}));
  }
  return entries;
}

std::string EntryOf(const evacuation::Order& order) {
  return wire::EncodeFields(
      Part{.count = 0, .text = wire::EncodeFields(order)});
}

bool ApplyEntry(DocumentState& state, std::string_view entry) {
  auto part = Decoded<Part>(entry);
  if (!part) return false;
  if (part->count == 0) {
    const auto order = Decoded<evacuation::Order>(part->text);
    if (order) evacuation::Apply(state.evacuations, *order);
    return false;
  }
  const bool first = part->number == 0;
  if (first) state.arriving = {.version = part->version};
  if (first) state.parts_arrived = 0;
  if (!Continues(state, *part)) return false;
  state.arriving.text += part->text;
  ++state.parts_arrived;
  if (state.parts_arrived < part->count) return false;
  Document whole = std::exchange(state.arriving, {});
  state.parts_arrived = 0;
  if (whole.version <= state.newest.version) return false;
  state.newest = std::move(whole);
  return true;
}

std::string EncodeState(const DocumentState& state) {
  return wire::EncodeFields(state);
}

bool DecodeState(std::string_view bytes, DocumentState& state) {
  if (auto decoded = Decoded<DocumentState>(bytes)) {
    state = std::move(*decoded);
    return true;
  }
  auto earlier = Decoded<StateWithoutEvacuations>(bytes);
  if (!earlier) return false;
  state = {.newest = std::move(earlier->newest),
           .arriving = std::move(earlier->arriving),
           .parts_arrived = earlier->parts_arrived};
  return true;
}

}  // namespace samphirebank::coordinator
