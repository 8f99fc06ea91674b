#include <xxhash.h>

#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "samphirebank/contracts/contracts.h"

namespace samphirebank::contracts {
namespace {

// RevisionOf returns the revision of a record, 0 if it does not exist.
template <typename Records, typename Key>
Revision RevisionOf(const Records& records, const Key& key) {
  const auto found = records.find(key);
  return found == records.end() ? Revision(0) : found->second.revision;
}

// RecordRevision returns the current revision of the record that an action
// writes.
Revision RecordRevision(const Configuration& configuration,
                        const Action& action) {
  if (const auto* put = std::get_if<PutContract>(&action)) {
    return RevisionOf(configuration.contracts, put->contract.organisation);
  }
  if (const auto* withdraw = std::get_if<WithdrawContract>(&action)) {
    return RevisionOf(configuration.contracts, withdraw->organisation);
  }
  if (const auto* declare = std::get_if<DeclareTarget>(&action)) {
    return RevisionOf(configuration.targets, declare->target);
  }
  return RevisionOf(configuration.pools,
                    std::get<AssignScheduler>(action).pool);
}

// OrganisationOf returns the organisation whose contract an action writes.
std::optional<OrganisationId> OrganisationOf(const Action& action) {
  if (const auto* put = std::get_if<PutContract>(&action)) {
    return put->contract.organisation;
  }
  if (const auto* withdraw = std::get_if<WithdrawContract>(&action)) {
    return withdraw->organisation;
  }
  return std::nullopt;
}

// WriteSameRecord returns whether two actions write the same record. Putting
// and withdrawing a contract write the same record.
bool WriteSameRecord(const Action& a, const Action& b) {
  if (const auto organisation = OrganisationOf(a)) {
    return organisation == OrganisationOf(b);
  }
  if (a.index() != b.index()) return false;
  if (const auto* declare = std::get_if<DeclareTarget>(&a)) {
    return declare->target == std::get<DeclareTarget>(b).target;
  }
  return std::get<AssignScheduler>(a).pool == std::get<AssignScheduler>(b).pool;
}

// LastWriter returns the writer of the latest change to the record that
// `action` names, if the history still retains that change.
std::optional<Machine::Writer> LastWriter(const Machine& machine,
                                          const Action& action) {
  const auto& changes = machine.history.changes;
  for (size_t i = changes.size(); i > 0; --i) {
    if (WriteSameRecord(changes[i - 1].action, action)) {
      return machine.writers[i - 1];
    }
  }
  return std::nullopt;
}

// IsEpochNewer returns whether an assignment has a greater epoch than the
// current one of its pool. It is true for all other actions, which have no
// epoch.
bool IsEpochNewer(const Configuration& configuration, const Action& action) {
  const auto* assign = std::get_if<AssignScheduler>(&action);
  if (assign == nullptr) return true;
  const auto found = configuration.pools.find(assign->pool);
  if (found == configuration.pools.end()) return true;
  return found->second.value.epoch < assign->assignment.epoch;
}

// RemovesMissingRecord returns whether an action removes a record that does not
// exist.
bool RemovesMissingRecord(const Action& action, Revision current) {
  return std::holds_alternative<WithdrawContract>(action) &&
         current == Revision(0);
}

// MakeConflict returns the result of a command that is rejected because of the
// current revision of its record.
CommandResult MakeConflict(const Machine& machine, const Command& command,
                           Revision current) {
  CommandResult result{.status = CommandStatus::kConflict, .revision = current};
  if (auto writer = LastWriter(machine, command.action)) {
    result.winner = std::move(writer->change);
    result.winner_author = std::move(writer->author);
  }
  return result;
}

// Execute applies a command that has no recorded result.
CommandResult Execute(Machine& machine, const Command& command) {
  const Configuration& configuration = machine.history.configuration;
  const Revision current = RecordRevision(configuration, command.action);
  const bool is_expected = !command.expected || *command.expected == current;
  if (!is_expected || RemovesMissingRecord(command.action, current) ||
      !IsEpochNewer(configuration, command.action)) {
    return MakeConflict(machine, command, current);
  }
  const Revision next = configuration.revision.Next();
  ApplyChange(machine.history,
              Change{.revision = next, .action = command.action});
  machine.writers.push_back(
      {.change = command.change, .author = command.author});
  if (machine.writers.size() > kMaxRetainedChanges) machine.writers.pop_front();
  return CommandResult{.status = CommandStatus::kAccepted, .revision = next};
}

// RecordResult records the result of a command and evicts the oldest result if
// there are now more than kMaxRecordedResults.
void RecordResult(Machine& machine, const Command& command, uint64_t digest,
                  const CommandResult& result) {
  machine.recorded_results[command.change] = {.digest = digest,
                                              .result = result};
  machine.recorded_order.push_back(command.change);
  if (machine.recorded_order.size() <= kMaxRecordedResults) return;
  machine.recorded_results.erase(machine.recorded_order.front());
  machine.recorded_order.pop_front();
}

uint64_t Digest(const Command& command) {
  const std::string bytes = EncodeCommand(command);
  return XXH3_64bits(bytes.data(), bytes.size());
}

// FindResult returns the result recorded under a change id, or kChangeReused if
// the digest shows that it belongs to a different command.
std::optional<CommandResult> FindResult(const Machine& machine,
                                        const ChangeId& change,
                                        uint64_t digest) {
  const auto found = machine.recorded_results.find(change);
  if (found == machine.recorded_results.end()) return std::nullopt;
  if (found->second.digest == digest) return found->second.result;
  return CommandResult{.status = CommandStatus::kChangeReused};
}

}  // namespace

CommandResult Apply(Machine& machine, const Command& command) {
  const uint64_t digest = Digest(command);
  if (auto first = FindResult(machine, command.change, digest)) return *first;
  CommandResult result = Execute(machine, command);
  RecordResult(machine, command, digest, result);
  return result;
}

std::optional<CommandResult> FindRecordedResult(const Machine& machine,
                                                const Command& command) {
  return FindResult(machine, command.change, Digest(command));
}

}  // namespace samphirebank::contracts
