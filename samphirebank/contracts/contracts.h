// File: contracts.h
//
// The configuration that operators write: contracts of organisations, intents
// for targets, and the scheduler assignments of pools.
//
// `Configuration` is the state that every router holds. Its revision only
// increases, by one for each accepted change. `Machine` is the replicated state
// machine that executes commands and turns the accepted ones into changes.
//
// Example:
//
//   Findings findings;
//   std::optional<Contract> contract = ParseContract(id, json, findings);
//   Machine machine;
//   CommandResult result =
//       Apply(machine, Command{.change = ChangeId("c-1"),
//                              .expected = Revision(0),
//                              .action = PutContract{*contract}});
//
// Nothing here is thread-safe, and nothing reads a clock: the same input gives
// the same result on each instance.
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

// Contract holds the limits of one organisation. A limit of 0 means no limit.
struct Contract {
  OrganisationId organisation;
  uint32_t weight = 1;  // in the fair sharing among backlogged organisations
  uint32_t requests_per_second = 0;  // over the whole fleet
  uint32_t concurrency = 0;          // requests in flight, over the whole fleet
  uint32_t queue_length = 1000;      // requests queued, over the whole fleet
  int64_t tokens_per_minute = 0;     // over the whole fleet
  std::vector<ServiceId> services;   // empty: all
  std::vector<RegionId> regions;     // empty: all
  std::vector<std::string> key_hashes;  // KeyHash of each API key
  uint32_t deadline_ms = 60'000;        // maximum time to the first byte
  uint32_t answer_keep_s = 86'400;      // maximum age of a recorded response
  uint32_t answer_keep_bytes = 65'536;  // maximum size of a recorded response

  friend bool operator==(const Contract&, const Contract&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(organisation, weight, requests_per_second, concurrency,
            queue_length, tokens_per_minute, services, regions, key_hashes,
            deadline_ms, answer_keep_s, answer_keep_bytes);
  }
};

// TargetIntent is the state that operators want a target to be in.
enum class TargetIntent : uint8_t {
  kServing,  // may receive new work
  kLeaving,  // receives no new work; running requests complete
  kStopped,  // receives no new work; running requests are cancelled
};

// SchedulerAssignment names the instance that schedules a pool's targets.
struct SchedulerAssignment {
  InstanceId holder;
  net::SocketAddress address;  // where the holder receives peer messages
  Epoch epoch;  // greater than that of each earlier assignment of the pool

  friend bool operator==(const SchedulerAssignment&,
                         const SchedulerAssignment&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(holder, address, epoch);
  }
};

// Versioned is a record with the revision of the change that wrote it.
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

// Configuration is the complete set of records at one revision.
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

// ParseContract parses the contract of `organisation` from the JSON in `text`.
// Each fault is added to `findings`, with its location as a JSON pointer;
// unknown fields are faults. Returns nullopt if there is at least one fault.
std::optional<Contract> ParseContract(const OrganisationId& organisation,
                                      std::string_view text,
                                      Findings& findings);

// ToJson returns the contract as a JSON object that ParseContract accepts.
std::string ToJson(const Contract& contract);

// CheckName adds a finding unless `name` is 1 to 128 letters, digits, '.',
// '_', ':', '/' or '-'.
void CheckName(std::string_view place, std::string_view name,
               Findings& findings);

// ToText returns "serving", "leaving" or "stopped".
std::string_view ToText(TargetIntent intent);

// ParseTargetIntent is the inverse of ToText. Returns nullopt for any other
// text.
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

// DeclareTarget sets the intent of operators for a target.
struct DeclareTarget {
  TargetId target;
  TargetIntent intent = TargetIntent::kServing;

  friend bool operator==(const DeclareTarget&, const DeclareTarget&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(target, intent);
  }
};

// AssignScheduler assigns the scheduling of a pool to an instance. The epoch
// must be greater than that of the current assignment.
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

// Action is the write that a command makes to the one record that it names.
using Action =
    std::variant<PutContract, WithdrawContract, DeclareTarget, AssignScheduler>;

// Command is a requested change.
struct Command {
  ChangeId change;     // the same in each retry of one command
  std::string author;  // reported to the author of a conflicting command
  // expected is the revision that the record must have, 0 if the record must
  // not exist. Without a value the command applies at any revision.
  std::optional<Revision> expected;
  Action action;

  friend bool operator==(const Command&, const Command&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(change, author, expected, action);
  }
};

// CommandStatus classifies the result of a command.
enum class CommandStatus : uint8_t {
  kAccepted,
  kConflict,      // the record does not have the expected revision
  kChangeReused,  // the change id was used for another command before
};

// CommandResult is the response to a command.
struct CommandResult {
  CommandStatus status = CommandStatus::kAccepted;
  // revision is that of the new change (kAccepted), or the current revision of
  // the record, 0 if it does not exist (kConflict).
  Revision revision;
  // winner and winner_author identify the latest change to the record, if it is
  // among the kMaxRetainedChanges newest changes (kConflict).
  ChangeId winner;
  std::string winner_author;

  friend bool operator==(const CommandResult&, const CommandResult&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(status, revision, winner, winner_author);
  }
};

// Change is an accepted action with the revision that it produced.
struct Change {
  Revision revision;
  Action action;

  friend bool operator==(const Change&, const Change&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(revision, action);
  }
};

// History is a configuration with the newest changes that led to it, by
// ascending and contiguous revisions.
struct History {
  Configuration configuration;
  std::deque<Change> changes;

  friend bool operator==(const History&, const History&) = default;
};

// kMaxRetainedChanges is the number of changes that a History retains.
inline constexpr size_t kMaxRetainedChanges = 4096;

// ChangesSince returns the first changes after revision `after`, at most
// `limit` of them, or nullopt if the history does not reach back that far. If
// `after` is the current or a later revision, the list is empty.
std::optional<std::vector<Change>> ChangesSince(const History& history,
                                                Revision after, size_t limit);

// ApplyChange applies the change of the next revision. For any other revision
// it returns false and leaves the history unchanged. A record that already has
// a newer revision than the change is not overwritten.
bool ApplyChange(History& history, const Change& change);

// ApplyChanges applies the changes that follow the history's revision and skips
// older ones. Returns false at the first gap between revisions; the changes
// before the gap stay applied.
bool ApplyChanges(History& history, const std::vector<Change>& changes);

// kMaxRecordedResults is the number of command results that a Machine retains
// to recognise retries.
inline constexpr size_t kMaxRecordedResults = 8192;

// Machine is the replicated state machine: applying the same commands in the
// same order yields the same state on each instance.
struct Machine {
  // Writer identifies the command that produced a revision.
  struct Writer {
    ChangeId change;
    std::string author;

    friend bool operator==(const Writer&, const Writer&) = default;
  };
  // RecordedResult is the result of a command when it was first applied.
  struct RecordedResult {
    uint64_t digest = 0;  // of the encoded command
    CommandResult result;

    friend bool operator==(const RecordedResult&,
                           const RecordedResult&) = default;
  };

  History history;
  std::deque<Writer> writers;  // one for each of history.changes
  std::map<ChangeId, RecordedResult> recorded_results;
  std::deque<ChangeId> recorded_order;  // its keys, oldest first

  friend bool operator==(const Machine&, const Machine&) = default;
};

// Apply executes a command. If a result is recorded under the command's change
// id, nothing changes, and Apply returns that result, or kChangeReused if it
// belongs to a different command.
CommandResult Apply(Machine& machine, const Command& command);

// FindRecordedResult returns what Apply would return for a command whose change
// id has a recorded result; nullopt if there is none.
std::optional<CommandResult> FindRecordedResult(const Machine& machine,
                                                const Command& command);

// EncodeCommand and DecodeCommand convert a command to and from its encoding in
// the log. DecodeCommand returns nullopt for malformed bytes.
std::string EncodeCommand(const Command& command);
std::optional<Command> DecodeCommand(std::string_view bytes);

// EncodeMachine and DecodeMachine convert a machine to and from its encoding in
// a snapshot. DecodeMachine returns nullopt for malformed bytes.
std::string EncodeMachine(const Machine& machine);
std::optional<Machine> DecodeMachine(std::string_view bytes);

}  // namespace samphirebank::contracts

#endif  // SAMPHIREBANK_CONTRACTS_CONTRACTS_H_
