#include "samphirebank/control/internal/replicated_state.h"

#include <boost/leaf/handle_errors.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "samphirebank/wire/wire.h"

namespace samphirebank::control {
namespace {

// The first byte of an entry says whose command follows.
constexpr char kContracts = 'c';
constexpr char kClaims = 'k';

// StoredState is the content of a snapshot.
struct StoredState {
  std::string contracts;
  std::string claims;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(contracts, claims);
  }
};

// ValueOf returns the result's value, or nothing if it failed.
template <typename Read>
auto ValueOf(Read read) -> std::optional<std::decay_t<decltype(*read())>> {
  using Value = std::decay_t<decltype(*read())>;
  return wire::leaf::try_handle_all(
      [&]() -> wire::leaf::result<std::optional<Value>> {
        BOOST_LEAF_AUTO(value, read());
        return std::optional<Value>(std::move(value));
      },
      [] { return std::optional<Value>(); });
}

}  // namespace

std::string ContractsEntry(const contracts::Command& command) {
  return kContracts + contracts::EncodeCommand(command);
}

std::string ClaimsEntry(const claims::Command& command) {
  return kClaims + claims::EncodeCommand(command);
}

Applied ApplyEntry(ReplicatedState& state, std::string_view entry) {
  if (entry.empty()) return std::monostate();
  const std::string_view command = entry.substr(1);
  if (entry[0] == kContracts) {
    const auto decoded = contracts::DecodeCommand(command);
    if (decoded) return contracts::Apply(state.contracts, *decoded);
  }
  if (entry[0] == kClaims) {
    const auto decoded =
        ValueOf([&] { return claims::DecodeCommand(command); });
    if (decoded) return claims::Apply(state.claims, *decoded);
  }
  return std::monostate();
}

std::string EncodeState(const ReplicatedState& state) {
  return wire::EncodeFields(
      StoredState{.contracts = contracts::EncodeMachine(state.contracts),
                  .claims = claims::EncodeSnapshot(state.claims)});
}

bool DecodeState(std::string_view bytes, ReplicatedState& into) {
  const auto stored =
      ValueOf([&] { return wire::DecodeFields<StoredState>(bytes); });
  if (!stored) return false;
  auto machine = contracts::DecodeMachine(stored->contracts);
  auto claimed =
      ValueOf([&] { return claims::DecodeSnapshot(stored->claims); });
  if (!machine || !claimed) return false;
  into.contracts = std::move(*machine);
  into.claims = std::move(*claimed);
  return true;
}

}  // namespace samphirebank::control
