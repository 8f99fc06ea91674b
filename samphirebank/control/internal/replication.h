// File: replication.h
//
// How the control instance's shell sees the replicated log.
#ifndef SAMPHIREBANK_CONTROL_INTERNAL_REPLICATION_H_
#define SAMPHIREBANK_CONTROL_INTERNAL_REPLICATION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "samphirebank/base/base.h"
#include "samphirebank/control/internal/replicated_state.h"
#include "samphirebank/net/net.h"
#include "samphirebank/settings/settings.h"
#include "samphirebank/wire/wire.h"

namespace samphirebank::control {

// ProposalResult says what became of a proposed entry.
enum class ProposalResult : uint8_t {
  kCommitted,  // applied; the result comes with it
  kNotLeader,  // not taken
  kRefused,    // not taken, and never will be; try later
  kFull,       // not taken: the disk is full
  kUnknown,    // may or may not be committed
};

// ProposalDone receives the result; `applied` has a value for kCommitted,
// unless so much was applied since that the result is no longer kept.
using ProposalDone =
    std::function<void(ProposalResult result, const Applied& applied)>;

// RoundDone receives whether this instance led at `started_at`.
using RoundDone = std::function<void(bool confirmed, TimePoint started_at)>;

// ReplaceDone receives an empty text, or why the member was not replaced.
using ReplaceDone = std::function<void(const std::string& failure)>;

// ReplicationHooks are the shell's side. All run on the loop's thread.
struct ReplicationHooks {
  std::function<Applied(const std::string& entry)> apply;
  std::function<std::string()> snapshot;
  std::function<void(const std::string& bytes)> restore;
  std::function<void(const InstanceId& to, const wire::Packet&)> send;
  std::function<void()> on_leadership;  // leads() or leader() changed
  std::function<void(const std::string& reason)> on_failure;  // must stop
};

// Voter is a member with a vote.
struct Voter {
  InstanceId instance;
  uint64_t storage = 0;
};

// Replication is one instance's end of the replicated log.
class Replication {
 public:
  virtual ~Replication() = default;

  virtual void Propose(std::string entry, ProposalDone done) = 0;
  // Confirm asks the quorum whether this instance leads.
  virtual void Confirm(RoundDone done) = 0;
  // Replace gives the vote of `instance`'s lost data folder to the folder
  // that the instance has now.
  virtual void Replace(const InstanceId& instance, ReplaceDone done) = 0;
  virtual void OnMessage(const wire::Opened& opened) = 0;

  virtual bool leads() const = 0;
  virtual bool disk_is_full() const = 0;
  virtual std::optional<InstanceId> leader() const = 0;
  virtual Term term() const = 0;
  virtual LogIndex last_index() const = 0;
  virtual std::vector<Voter> voters() const = 0;
};

// MakeConsensusReplication opens the data folder, restores what it holds and
// takes part in the group. Throws std::runtime_error if the folder cannot be
// used.
std::unique_ptr<Replication> MakeConsensusReplication(
    net::Loop& loop, const settings::ControlSettings& settings,
    ReplicationHooks hooks);

}  // namespace samphirebank::control

#endif  // SAMPHIREBANK_CONTROL_INTERNAL_REPLICATION_H_
