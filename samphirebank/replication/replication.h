// File: replication.h
//
// One member of a replicated log. It combines the consensus algorithm with
// durable storage and runs on the event loop of its instance, which it reaches
// through Hooks. Writes that are queued during one iteration of the loop share
// one fsync.
//
// Thread rules: all calls and hooks run on the loop's thread.
//
// Example:
//
//   std::unique_ptr<Replication> log = MakeReplication(
//       {.self = instance, .data_folder = folder, .peers = others},
//       {.apply = ..., .send = ..., .run_after = ...});
//   log->Propose({entry}, [](ProposalResult result, LogIndex last) {});
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

// ProposalResult is the outcome of a proposal.
enum class ProposalResult : uint8_t {
  kCommitted,  // committed and applied
  kNotLeader,  // not accepted: this instance is not the leader
  kRefused,    // not committed, and never will be; safe to retry
  kDiskFull,   // not accepted: the disk is full
  kUnknown,    // may or may not be committed
};

// ProposalDone receives the result of a proposal. For kCommitted, `last` is the
// index of its last entry, and all its entries have been passed to
// Hooks::apply.
using ProposalDone = std::function<void(ProposalResult result, LogIndex last)>;

// ConfirmDone receives whether a quorum confirmed that this instance was the
// leader at `started_at`, a time of this instance's clock.
using ConfirmDone = std::function<void(bool confirmed, TimePoint started_at)>;

// ReplaceDone receives an empty string on success, or the reason why the member
// was not replaced.
using ReplaceDone = std::function<void(const std::string& failure)>;

// Options configures the member of one instance.
struct Options {
  InstanceId self{};
  std::string data_folder{};
  // The instances to which this one announces itself while it is not a member
  // of the group.
  std::vector<InstanceId> peers{};
  // The first voters of a new group, including this instance; empty if this
  // instance does not create a group. Must be set on one instance of a new
  // fleet only.
  std::vector<InstanceId> initial_voters{};
  // The number of voters that the leader maintains automatically; 0 leaves
  // membership changes to operators.
  uint32_t desired_voters = 0;
  // Must be short enough that the first lease of a new leader reaches the
  // routers before the last lease of the old leader expires.
  Duration election_timeout = std::chrono::milliseconds(750);
  // Replaces election_timeout while no leader is known, as after a start.
  Duration leaderless_election_timeout = std::chrono::milliseconds(750);
  Duration announce_interval = std::chrono::seconds(2);
  // The interval at which timeouts are checked.
  Duration tick_interval = std::chrono::milliseconds(20);
};

// Hooks are the functions that the owner of a Replication provides: the
// replicated state machine, the network and the event loop.
struct Hooks {
  // apply applies a committed entry to the state machine, in log order.
  std::function<void(LogIndex index, const std::string& entry)> apply{};
  // snapshot returns the serialized state machine.
  std::function<std::string()> snapshot{};
  // restore replaces the state machine by a snapshot.
  std::function<void(const std::string& bytes)> restore{};
  std::function<void(const InstanceId& to, const wire::Packet&)> send{};
  // on_leadership is called after a change of leads(), leader() or term().
  std::function<void()> on_leadership{};
  // on_failure is called when the storage failed; the process must then stop.
  std::function<void(const std::string& reason)> on_failure{};
  // run_after schedules `action` to run once on the loop, after `delay`.
  std::function<void(Duration delay, std::function<void()> action)> run_after{};
};

// Voter is a member with a vote. `storage` is the random identity of its data
// folder.
struct Voter {
  InstanceId instance{};
  uint64_t storage = 0;
};

// kDepartureTimeout is below the time that a process has to stop, and enough to
// elect a leader and to change the membership.
inline constexpr Duration kDepartureTimeout = std::chrono::seconds(4);

// Replication is the member of the replicated log that runs on this instance.
class Replication {
 public:
  virtual ~Replication() = default;

  // Propose appends entries to the log at consecutive indexes. If the outcome
  // is not known in time, `done` receives kUnknown.
  virtual void Propose(std::vector<std::string> entries, ProposalDone done) = 0;
  // Confirm checks with a quorum that this instance is still the leader.
  virtual void Confirm(ConfirmDone done) = 0;
  // Replace transfers the vote of the data folder that `instance` lost to the
  // instance's current data folder.
  virtual void Replace(const InstanceId& instance, ReplaceDone done) = 0;
  // Depart prepares for the end of this process: another member takes over its
  // vote if there is one that can. Calls `done` once, at the latest after
  // kDepartureTimeout; until then the member takes part as before.
  virtual void Depart(std::function<void()> done) = 0;
  // OnMessage handles a packet from a peer. It ignores packets that cannot be
  // decoded or that name another sender than the authenticated one.
  virtual void OnMessage(const wire::Opened& opened) = 0;
  // AddPeers adds instances to Options::peers; duplicates are ignored.
  virtual void AddPeers(const std::vector<InstanceId>& new_peers) = 0;

  virtual bool leads() const = 0;
  virtual bool disk_is_full() const = 0;
  virtual std::optional<InstanceId> leader() const = 0;
  virtual Term term() const = 0;
  virtual LogIndex last_index() const = 0;
  virtual std::vector<Voter> voters() const = 0;
  // members returns the instances that receive the log: voters, including those
  // that a change in progress removes, and learners.
  virtual std::vector<InstanceId> members() const = 0;
};

// MakeReplication opens the data folder, recovers its contents, which may call
// Hooks::restore, and starts the member. If the disk is full and the folder
// still lacks files, it does so later, once there is room; until then the
// member has no part in the group. Throws std::runtime_error if the folder
// cannot be opened or recovered.
std::unique_ptr<Replication> MakeReplication(Options options, Hooks hooks);

}  // namespace samphirebank::replication

#endif  // SAMPHIREBANK_REPLICATION_REPLICATION_H_
