#include <sodium.h>

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "samphirebank/claims/claims.h"
#include "samphirebank/claims/internal/entries.h"

namespace samphirebank::claims {
namespace {

// Snapshot is the serialised form of State, without the derived members.
struct Snapshot {
  Limits limits;
  LogTime clock;
  std::vector<std::pair<ClaimKey, Entry>> entries;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(limits, clock, entries);
  }
};

// AddField hashes the length before the bytes, so that different lists of
// fields never produce the same hash input.
void AddField(crypto_generichash_state& hash, std::string_view field) {
  const uint64_t length = field.size();
  crypto_generichash_update(
      &hash, reinterpret_cast<const unsigned char*>(&length), sizeof(length));
  crypto_generichash_update(
      &hash, reinterpret_cast<const unsigned char*>(field.data()),
      field.size());
}

}  // namespace

Digest RequestDigest(std::string_view method, std::string_view path,
                     std::string_view content_type, std::string_view body) {
  crypto_generichash_state hash;
  crypto_generichash_init(&hash, nullptr, 0, crypto_generichash_BYTES);
  AddField(hash, method);
  AddField(hash, path);
  AddField(hash, content_type);
  AddField(hash, body);
  std::string digest(crypto_generichash_BYTES, '\0');
  crypto_generichash_final(
      &hash, reinterpret_cast<unsigned char*>(digest.data()), digest.size());
  return Digest(std::move(digest));
}

std::string EncodeCommand(const Command& command) {
  return wire::EncodeFields(command);
}

leaf::result<Command> DecodeCommand(std::string_view bytes) {
  return wire::DecodeFields<Command>(bytes);
}

std::string EncodeSnapshot(const State& state) {
  Snapshot snapshot{
      .limits = state.limits, .clock = state.clock, .entries = {}};
  snapshot.entries.assign(state.entries.begin(), state.entries.end());
  return wire::EncodeFields(snapshot);
}

leaf::result<State> DecodeSnapshot(std::string_view bytes) {
  BOOST_LEAF_AUTO(snapshot, wire::DecodeFields<Snapshot>(bytes));
  State state;
  state.limits = snapshot.limits;
  state.clock = snapshot.clock;
  for (auto& [key, entry] : snapshot.entries) {
    if (state.entries.contains(key)) {
      return leaf::new_error(wire::Error{wire::ErrorKind::kMalformed});
    }
    internal::Insert(state, key, std::move(entry));
  }
  return state;
}

}  // namespace samphirebank::claims
