// File: replication.h
//
// One instance's end of a replicated log: consensus and its storage, driven by
// whichever loop the instance runs on. Disk syncs are shared by all writes
// that were queued in one turn of the loop.
//
// Thread rules: everything runs on the loop's thread.
//
// Example:
//
//   std::unique_ptr<Replication> log = MakeReplication(
//       {.self = instance, .data_folder = folder, .peers = others},
//       {.apply = ..., .send = ..., .run_after = ...});
//   log->Propose({entry}, [](ProposalResult result, LogIndex index) {});
#ifndef SAMPHIREBANK_REPLICATION_REPLICATION_H_
#define SAMPHIREBANK_REPLICATION_REPLICATION_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "samphirebank/base/base.h"
#include "samphirebank/wire/wire.h"

namespace samphirebank::replication {

// ProposalResult says what became of proposed entries.
enum class ProposalResult : uint8_t {
  kCommitted,  // applied
  kNotLeader,  // not taken
  kRefused,    // not taken, and never will be; try later
  kDiskFull,   // not taken: the disk is full
  kUnknown,    // may or may not be committed
};

// ProposalDone receives the result. For kCommitted, `last` is the index of the
// last entry, which was passed to Hooks::apply before.
using ProposalDone = std::function<void(ProposalResult result, LogIndex last)>;

// ConfirmDone receives whether this instance led at `started_at`.
using ConfirmDone = std::function<void(bool confirmed, TimePoint started_at)>;

// ReplaceDone receives an empty text, or why the member was not replaced.
using ReplaceDone = std::function<void(const std::string& failure)>;

// Options of one instance.
struct Options {
  InstanceId self{};
  std::string data_folder{};
  // The instances that one without a log announces itself to.
  std::vector<InstanceId> peers{};
  // The first voters, with this instance among them; empty: it does not found
  // a group. They are to be given to one instance of a new fleet only.
  std::vector<InstanceId> initial_voters{};
  // The voters that the leader keeps up by itself; 0: operators do it.
  uint32_t desired_voters = 0;
  // Short enough that a new leader's first lease reaches routers before the
  // old leader's last one ends.
  Duration election_timeout = std::chrono::milliseconds(750);
  // The same for the first election after the start.
  Duration leaderless_election_timeout = std::chrono::milliseconds(750);
  Duration announce_interval = std::chrono::seconds(2);
  Duration tick_interval = std::chrono::milliseconds(20);
};

// Hooks are the shell's side.
struct Hooks {
  std::function<void(LogIndex index, const std::string& entry)> apply{};
  std::function<std::string()> snapshot{};
  std::function<void(const std::string& bytes)> restore{};
  std::function<void(const InstanceId& to, const wire::Packet&)> send{};
  std::function<void()> on_leadership{};  // leads() or leader() changed
  std::function<void(const std::string& reason)> on_failure{};  // must stop
  // run_after runs an action once, later on the loop.
  std::function<void(Duration delay, std::function<void()> action)> run_after{};
};

// Voter is a member with a vote.
struct Voter {
  InstanceId instance{};
  uint64_t storage = 0;
};

// Replication is one instance's end of the replicated log.
class Replication {
 public:
  virtual ~Replication() = default;

  // Propose appends entries one after the other, with none between them.
  virtual void Propose(std::vector<std::string> entries, ProposalDone done) = 0;
  // Confirm asks the quorum whether this instance leads.
  virtual void Confirm(ConfirmDone done) = 0;
  // Replace gives the vote of `instance`'s lost data folder to the folder
  // that the instance has now.
  virtual void Replace(const InstanceId& instance, ReplaceDone done) = 0;
  virtual void OnMessage(const wire::Opened& opened) = 0;
  // AddPeers names more instances to announce to.
  virtual void AddPeers(const std::vector<InstanceId>& more) = 0;

  virtual bool leads() const = 0;
  virtual bool disk_is_full() const = 0;
  virtual std::optional<InstanceId> leader() const = 0;
  virtual Term term() const = 0;
  virtual LogIndex last_index() const = 0;
  virtual std::vector<Voter> voters() const = 0;
  // members are the instances that get the log, with a vote or without.
  virtual std::vector<InstanceId> members() const = 0;
};

// MakeReplication opens the data folder, restores what it holds and takes part
// in the group. Throws std::runtime_error if the folder cannot be used.
std::unique_ptr<Replication> MakeReplication(Options options, Hooks hooks);

}  // namespace samphirebank::replication

#endif  // SAMPHIREBANK_REPLICATION_REPLICATION_H_
