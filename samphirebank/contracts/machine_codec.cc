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

// StoredWriter and StoredOutcome are rows of a snapshot.
struct StoredWriter {
  ChangeId change;
  std::string author;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(change, author);
  }
};

struct StoredOutcome {
  ChangeId change;
  uint64_t digest = 0;
  CommandResult outcome;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(change, digest, outcome);
  }
};

// StoredMachine is the content of a snapshot.
struct StoredMachine {
  Configuration configuration;
  std::vector<Change> changes;
  std::vector<StoredWriter> writers;
  std::vector<StoredOutcome> outcomes;  // the oldest first

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(configuration, changes, writers, outcomes);
  }
};

// MachineView is written as a StoredMachine is, without a copy of the
// configuration and its changes.
struct MachineView {
  const Configuration& configuration;
  const std::deque<Change>& changes;
  std::vector<StoredWriter> writers;
  std::vector<StoredOutcome> outcomes;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(configuration, changes, writers, outcomes);
  }
};

template <typename T>
std::optional<T> Read(std::string_view bytes) {
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
  return Read<Command>(bytes);
}

std::string EncodeMachine(const Machine& machine) {
  MachineView stored{.configuration = machine.history.configuration,
                     .changes = machine.history.changes};
  for (const Machine::Writer& writer : machine.writers) {
    stored.writers.push_back(
        {.change = writer.change, .author = writer.author});
  }
  for (const ChangeId& change : machine.remembered_order) {
    const Machine::Remembered& row = machine.remembered.at(change);
    stored.outcomes.push_back(
        {.change = change, .digest = row.digest, .outcome = row.outcome});
  }
  return wire::EncodeFields(stored);
}

std::optional<Machine> DecodeMachine(std::string_view bytes) {
  std::optional<StoredMachine> stored = Read<StoredMachine>(bytes);
  if (!stored) return std::nullopt;
  Machine machine;
  machine.history.configuration = std::move(stored->configuration);
  machine.history.changes.assign(stored->changes.begin(),
                                 stored->changes.end());
  for (StoredWriter& writer : stored->writers) {
    machine.writers.push_back({.change = std::move(writer.change),
                               .author = std::move(writer.author)});
  }
  for (const StoredOutcome& row : stored->outcomes) {
    machine.remembered[row.change] = {.digest = row.digest,
                                      .outcome = row.outcome};
    machine.remembered_order.push_back(row.change);
  }
  return machine;
}

}  // namespace samphirebank::contracts
