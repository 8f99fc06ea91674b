// File: contracts.h
//
// The configuration that operators write: contracts of organisations,
// declarations about targets, and the scheduler assignments of pools.
//
// `Configuration` is the state every router holds; it only moves forward, one
// revision for each accepted change. `Machine` is the replicated state machine
// that turns commands into changes.
//
// Example:
//
//   Findings findings;
//   std::optional<Contract> contract = ParseContract(id, json, findings);
//   Machine machine;
//   CommandResult outcome = Apply(machine, Command{.change = ChangeId("c-1"),
//                                            .expected = Revision(0),
//                                            .action =
//                                            PutContract{*contract}});
//
// Nothing here is thread-safe, and nothing reads a clock.
#ifndef SAMPHIREBANK_CONTRACTS_CONTRACTS_H_
#define SAMPHIREBANK_CONTRACTS_CONTRACTS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "samphirebank/base/base.h"
#include "samphirebank/net/net.h"

namespace samphirebank::contracts {

// Contract is all that limits one organisation. A limit of 0 means no limit.
struct Contract {
  OrganisationId organisation;
  uint32_t weight = 1;                  // share among backlogged organisations
  uint32_t requests_per_second = 0;     // over the whole fleet
  uint32_t concurrency = 0;             // requests in flight, over the fleet
  uint32_t queue_length = 1000;         // requests waiting, over the fleet
  int64_t tokens_per_minute = 0;        // over the whole fleet
  std::vector<ServiceId> services;      // empty: all
  std::vector<RegionId> regions;        // empty: all
  std::vector<std::string> key_hashes;  // KeyHash of each API key, hex
  uint32_t deadline_ms = 60'000;        // longest wait for a first byte
  uint32_t answer_keep_s = 86'400;      // age of a recorded answer
  uint32_t answer_keep_bytes = 65'536;  // size of a recorded answer

  friend bool operator==(const Contract&, const Contract&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(organisation, weight, requests_per_second, concurrency,
            queue_length, tokens_per_minute, services, regions, key_hashes,
            deadline_ms, answer_keep_s, answer_keep_bytes);
  }
};

// TargetIntent is what operators declared about a target.
enum class TargetIntent : uint8_t {
  kServing,  // may get work
  kLeaving,  // gets no new work; what runs there ends
  kStopped,  // gets no new work; what runs there is cancelled
};

// SchedulerAssignment says which instance shares out a pool's targets.
struct SchedulerAssignment {
  InstanceId holder;
  net::SocketAddress address;  // the holder's peer address
  Epoch epoch;

  friend bool operator==(const SchedulerAssignment&,
                         const SchedulerAssignment&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(holder, address, epoch);
  }
};

// Versioned is a record with the revision that wrote it.
template <typename Value>
struct Versioned {
  Value value;
  Revision revision;

  friend bool operator==(const Versioned&, const Versioned&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(value, revision);
  }
};

// Configuration is everything in force at one revision.
struct Configuration {
  Revision revision;
  std::map<OrganisationId, Versioned<Contract>> contracts;
  std::map<TargetId, Versioned<TargetIntent>> targets;
  std::map<PoolId, Versioned<SchedulerAssignment>> pools;

  friend bool operator==(const Configuration&, const Configuration&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(revision, contracts, targets, pools);
  }
};

// KeyHash returns the hex digest under which an API key is stored.
std::string KeyHash(std::string_view api_key);

// ParseContract reads the contract of `organisation` from JSON `text`. Every
// fault goes into `findings` with its place as a JSON pointer; unknown fields
// are faults. Returns nothing when there is at least one fault.
std::optional<Contract> ParseContract(const OrganisationId& organisation,
                                      std::string_view text,
                                      Findings& findings);

// ToJson returns the contract as the JSON object that ParseContract reads.
std::string ToJson(const Contract& contract);

// CheckName adds a finding unless `name` is 1 to 128 letters, digits, '.',
// '_', ':', '/' or '-'.
void CheckName(std::string_view place, std::string_view name,
               Findings& findings);

// ToText returns "serving", "leaving" or "stopped".
std::string_view ToText(TargetIntent intent);

// ParseTargetIntent reads what ToText writes; nothing for another text.
std::optional<TargetIntent> ParseTargetIntent(std::string_view text);

// PutContract creates or replaces the contract of its organisation.
struct PutContract {
  Contract contract;

  friend bool operator==(const PutContract&, const PutContract&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(contract);
  }
};

// WithdrawContract removes the contract of an organisation.
struct WithdrawContract {
  OrganisationId organisation;

  friend bool operator==(const WithdrawContract&,
                         const WithdrawContract&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(organisation);
  }
};

// DeclareTarget states what operators intend with a target.
struct DeclareTarget {
  TargetId target;
  TargetIntent intent = TargetIntent::kServing;

  friend bool operator==(const DeclareTarget&, const DeclareTarget&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(target, intent);
  }
};

// AssignScheduler gives a pool's scheduler to an instance. The epoch has to be
// greater than the one that stands.
struct AssignScheduler {
  PoolId pool;
  SchedulerAssignment assignment;

  friend bool operator==(const AssignScheduler&,
                         const AssignScheduler&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(pool, assignment);
  }
};

// Action is what a command does to the one record that it names.
using Action =
    std::variant<PutContract, WithdrawContract, DeclareTarget, AssignScheduler>;

// Command is a change that somebody asks for.
struct Command {
  ChangeId change;     // the same in each attempt of one change
  std::string author;  // shown to whoever loses a race against this command
  // expected is the revision that the record must have; 0 if it must not
  // exist; without a value the record's revision does not matter.
  std::optional<Revision> expected;
  Action action;

  friend bool operator==(const Command&, const Command&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(change, author, expected, action);
  }
};

// CommandStatus says what became of a command.
enum class CommandStatus : uint8_t {
  kAccepted,
  kConflict,      // the record does not have the expected revision
  kChangeReused,  // the change id was used for another command before
};

// CommandResult is the answer to a command.
struct CommandResult {
  CommandStatus status = CommandStatus::kAccepted;
  // revision is the one that the command made (kAccepted) or the one that the
  // record has (kConflict; 0 if it does not exist).
  Revision revision;
  // winner and winner_author name the change that wrote what stands, as long
  // as it is among the kMaxRetainedChanges newest (kConflict).
  ChangeId winner;
  std::string winner_author;

  friend bool operator==(const CommandResult&, const CommandResult&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(status, revision, winner, winner_author);
  }
};

// Change is an accepted action with the revision that it made.
struct Change {
  Revision revision;
  Action action;

  friend bool operator==(const Change&, const Change&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(revision, action);
  }
};

// History is a configuration with the newest changes that led to it, in the
// order of their revisions and without a gap.
struct History {
  Configuration configuration;
  std::deque<Change> changes;

  friend bool operator==(const History&, const History&) = default;
};

// kMaxRetainedChanges is how many changes a History keeps.
inline constexpr size_t kMaxRetainedChanges = 4096;

// ChangesSince returns at most `limit` changes that follow `have`, or nothing
// if the history does not reach back that far. A `have` in the future gives an
// empty list.
std::optional<std::vector<Change>> ChangesSince(const History& history,
                                                Revision have, size_t limit);

// ApplyChange moves the history forward by one change. Returns false, and
// changes nothing, unless the change's revision is the next one. A record with
// a newer revision than the change's stays as it is.
bool ApplyChange(History& history, const Change& change);

// ApplyChanges applies those of `changes` that are new. Returns false once
// there is a gap; older changes are skipped, so the history never goes back.
bool ApplyChanges(History& history, const std::vector<Change>& changes);

// kMaxRecordedResults is how many outcomes of commands a Machine remembers.
inline constexpr size_t kMaxRecordedResults = 8192;

// Machine is the replicated state machine: the same commands in the same order
// give the same machine on each instance.
struct Machine {
  // Writer names the change that made a revision.
  struct Writer {
    ChangeId change;
    std::string author;

    friend bool operator==(const Writer&, const Writer&) = default;
  };
  // Remembered is a command's first outcome.
  struct Remembered {
    uint64_t digest = 0;  // of the command
    CommandResult outcome;

    friend bool operator==(const Remembered&, const Remembered&) = default;
  };

  History history;
  std::deque<Writer> writers;  // of history.changes, one each
  std::map<ChangeId, Remembered> remembered;
  std::deque<ChangeId> remembered_order;  // the oldest first

  friend bool operator==(const Machine&, const Machine&) = default;
};

// Apply carries out a command. A command whose change id is remembered changes
// nothing and gets its first outcome again.
CommandResult Apply(Machine& machine, const Command& command);

// FindRecordedResult returns the first outcome of `command` if it was applied.
std::optional<CommandResult> FindRecordedResult(const Machine& machine,
                                                const Command& command);

// EncodeCommand and DecodeCommand are the form of a command in the log;
// DecodeCommand returns nothing for malformed bytes.
std::string EncodeCommand(const Command& command);
std::optional<Command> DecodeCommand(std::string_view bytes);

// EncodeMachine and DecodeMachine are the form of a machine in a snapshot;
// DecodeMachine returns nothing for malformed bytes.
std::string EncodeMachine(const Machine& machine);
std::optional<Machine> DecodeMachine(std::string_view bytes);

}  // namespace samphirebank::contracts

#endif  // SAMPHIREBANK_CONTRACTS_CONTRACTS_H_
