#include <boost/leaf/handle_errors.hpp>
#include <cereal/types/deque.hpp>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "samphirebank/contracts/contracts.h"
#include "samphirebank/wire/wire.h"

namespace samphirebank::contracts {
namespace {

// StoredWriter and StoredResult are the entries of a snapshot for
// Machine::Writer and Machine::RecordedResult.
struct StoredWriter {
  ChangeId change;
  std::string author;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(change, author);
  }
};

struct StoredResult {
  ChangeId change;
  uint64_t digest = 0;
  CommandResult result;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(change, digest, result);
  }
};

// StoredMachine is the decoded form of a snapshot.
struct StoredMachine {
  Configuration configuration;
  std::vector<Change> changes;
  std::vector<StoredWriter> writers;
  std::vector<StoredResult> results;  // oldest first

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(configuration, changes, writers, results);
  }
};

// MachineView is encoded exactly as a StoredMachine, but refers to the
// configuration and its changes instead of copying them.
struct MachineView {
  const Configuration& configuration;
  const std::deque<Change>& changes;
  std::vector<StoredWriter> writers;
  std::vector<StoredResult> results;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(configuration, changes, writers, results);
  }
};

// DecodeOrNull decodes a value; returns nullopt for malformed bytes.
template <typename T>
std::optional<T> DecodeOrNull(std::string_view bytes) {
  return wire::leaf::try_handle_all(
      [&]() -> wire::leaf::result<std::optional<T>> {
        BOOST_LEAF_AUTO(value, wire::DecodeFields<T>(bytes));
        return std::optional<T>(std::move(value));
      },
      [] { return std::optional<T>(); });
}

}  // namespace

std::string EncodeCommand(const Command& command) {
  return wire::EncodeFields(command);
}

std::optional<Command> DecodeCommand(std::string_view bytes) {
  return DecodeOrNull<Command>(bytes);
}

std::string EncodeMachine(const Machine& machine) {
  MachineView stored{.configuration = machine.history.configuration,
                     .changes = machine.history.changes};
  for (const Machine::Writer& writer : machine.writers) {
    stored.writers.push_back(
        {.change = writer.change, .author = writer.author});
  }
  for (const ChangeId& change : machine.recorded_order) {
    const Machine::RecordedResult& recorded =
        machine.recorded_results.at(change);
    stored.results.push_back({.change = change,
                              .digest = recorded.digest,
                              .result = recorded.result});
  }
  return wire::EncodeFields(stored);
}

std::optional<Machine> DecodeMachine(std::string_view bytes) {
  std::optional<StoredMachine> stored = DecodeOrNull<StoredMachine>(bytes);
  if (!stored) return std::nullopt;
  Machine machine;
  machine.history.configuration = std::move(stored->configuration);
  machine.history.changes.assign(stored->changes.begin(),
                                 stored->changes.end());
  for (StoredWriter& writer : stored->writers) {
    machine.writers.push_back({.change = std::move(writer.change),
                               .author = std::move(writer.author)});
  }
  for (const StoredResult& recorded : stored->results) {
    machine.recorded_results[recorded.change] = {.digest = recorded.digest,
                                                 .result = recorded.result};
    machine.recorded_order.push_back(recorded.change);
  }
  return machine;
}

}  // namespace samphirebank::contracts
