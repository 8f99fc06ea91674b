#include <xxhash.h>

#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "samphirebank/contracts/contracts.h"

namespace samphirebank::contracts {
namespace {

// RevisionOf returns a record's revision; 0 if there is no such record.
template <typename Records, typename Key>
Revision RevisionOf(const Records& records, const Key& key) {
  const auto found = records.find(key);
  return found == records.end() ? Revision(0) : found->second.revision;
}

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

bool SameRecord(const Action& a, const Action& b) {
  if (const auto organisation = OrganisationOf(a)) {
    return organisation == OrganisationOf(b);
  }
  if (a.index() != b.index()) return false;
  if (const auto* declare = std::get_if<DeclareTarget>(&a)) {
    return declare->target == std::get<DeclareTarget>(b).target;
  }
  return std::get<AssignScheduler>(a).pool == std::get<AssignScheduler>(b).pool;
}

// LastWriter returns who wrote last to the record that `action` names, if the
// change is still kept.
std::optional<Machine::Writer> LastWriter(const Machine& machine,
                                          const Action& action) {
  const auto& changes = machine.history.changes;
  for (size_t i = changes.size(); i > 0; --i) {
    if (SameRecord(changes[i - 1].action, action)) {
      return machine.writers[i - 1];
    }
  }
  return std::nullopt;
}

// EpochRises tells whether an assignment follows the one that stands. Other
// actions have no epoch.
bool EpochRises(const Configuration& configuration, const Action& action) {
  const auto* assign = std::get_if<AssignScheduler>(&action);
  if (assign == nullptr) return true;
  const auto found = configuration.pools.find(assign->pool);
  if (found == configuration.pools.end()) return true;
  return found->second.value.epoch < assign->assignment.epoch;
}

// RemovesNothing tells whether an action removes a record that does not exist.
bool RemovesNothing(const Action& action, Revision standing) {
  return std::holds_alternative<WithdrawContract>(action) &&
         standing == Revision(0);
}

CommandResult Conflict(const Machine& machine, const Command& command,
                       Revision standing) {
  CommandResult outcome{.status = CommandStatus::kConflict,
                        .revision = standing};
  if (auto writer = LastWriter(machine, command.action)) {
    outcome.winner = std::move(writer->change);
    outcome.winner_author = std::move(writer->author);
  }
  return outcome;
}

CommandResult Decide(Machine& machine, const Command& command) {
  const Configuration& configuration = machine.history.configuration;
  const Revision standing = RecordRevision(configuration, command.action);
  const bool expected = !command.expected || *command.expected == standing;
  if (!expected || RemovesNothing(command.action, standing) ||
      !EpochRises(configuration, command.action)) {
    return Conflict(machine, command, standing);
  }
  const Revision next = configuration.revision.Next();
  ApplyChange(machine.history,
              Change{.revision = next, .action = command.action});
  machine.writers.push_back(
      {.change = command.change, .author = command.author});
  if (machine.writers.size() > kMaxRetainedChanges) machine.writers.pop_front();
  return CommandResult{.status = CommandStatus::kAccepted, .revision = next};
}

void Remember(Machine& machine, const Command& command, uint64_t digest,
              const CommandResult& outcome) {
  machine.remembered[command.change] = {.digest = digest, .outcome = outcome};
  machine.remembered_order.push_back(command.change);
  if (machine.remembered_order.size() <= kMaxRecordedResults) return;
  machine.remembered.erase(machine.remembered_order.front());
  machine.remembered_order.pop_front();
}

uint64_t Digest(const Command& command) {
  const std::string bytes = EncodeCommand(command);
  return XXH3_64bits(bytes.data(), bytes.size());
}

std::optional<CommandResult> Recall(const Machine& machine,
                                    const ChangeId& change, uint64_t digest) {
  const auto found = machine.remembered.find(change);
  if (found == machine.remembered.end()) return std::nullopt;
  if (found->second.digest == digest) return found->second.outcome;
  return CommandResult{.status = CommandStatus::kChangeReused};
}

}  // namespace

CommandResult Apply(Machine& machine, const Command& command) {
  const uint64_t digest = Digest(command);
  if (auto first = Recall(machine, command.change, digest)) return *first;
  CommandResult outcome = Decide(machine, command);
  Remember(machine, command, digest, outcome);
  return outcome;
}

std::optional<CommandResult> FindRecordedResult(const Machine& machine,
                                                const Command& command) {
  return Recall(machine, command.change, Digest(command));
}

}  // namespace samphirebank::contracts
