// File: consensus_replication.h
//
// The replicated log by consensus and storage, on the loop. Disk syncs are
// shared by all writes that were queued in one turn of the loop.
#ifndef SAMPHIREBANK_CONTROL_INTERNAL_CONSENSUS_REPLICATION_H_
#define SAMPHIREBANK_CONTROL_INTERNAL_CONSENSUS_REPLICATION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "samphirebank/consensus/consensus.h"
#include "samphirebank/control/internal/replication.h"
#include "samphirebank/storage/storage.h"

namespace samphirebank::control {

// ConsensusReplication is one member of the control group.
class ConsensusReplication : public Replication {
 public:
  ConsensusReplication(net::Loop& event_loop,
                       const settings::ControlSettings& given,
                       ReplicationHooks shell);

  void Propose(std::string entry, ProposalDone done) override;
  void Confirm(RoundDone done) override;
  void Replace(const InstanceId& instance, ReplaceDone done) override;
  void OnMessage(const wire::Opened& opened) override;

  bool leads() const override {
    return this->state.role == consensus::Role::kLeader;
  }
  bool disk_is_full() const override { return this->disk_full; }
  std::optional<InstanceId> leader() const override {
    if (!this->state.leader) return std::nullopt;
    return this->state.leader->instance;
  }
  Term term() const override { return this->state.hard_state.term; }
  LogIndex last_index() const override {
    return consensus::LastIndex(this->state);
  }
  std::vector<Voter> voters() const override;

 private:
  // Replacement is one running Replace.
  struct Replacement {
    consensus::MemberId lost;
    consensus::MemberId found;
    TimePoint give_up;
    ReplaceDone done;
  };
  // Proposal waits for its outcome; after `give_up` that is unknown.
  struct Proposal {
    ProposalDone done;
    TimePoint give_up;
  };
  using MembershipDone = std::function<void(consensus::Outcome)>;

  void OpenStorage();
  void Step(const consensus::Event& event);
  void Perform(consensus::Actions actions);
  void Apply(const std::vector<consensus::Entry>& entries);
  void Answer(const consensus::ProposalAnswer& answer);
  void GiveUpProposals(TimePoint now);
  void ScheduleFlush(Duration delay);
  void Flush();
  void TakeSnapshot();
  void TryBootstrap();
  void ChangeMembership(const consensus::MembershipChange& change,
                        MembershipDone done);
  void Admit(const std::shared_ptr<Replacement>& replacement);
  void Swap(const std::shared_ptr<Replacement>& replacement);

  net::Loop& loop;
  settings::ControlSettings settings;
  ReplicationHooks hooks;
  std::unique_ptr<storage::Files> files;
  std::unique_ptr<storage::Storage> disk;
  consensus::State state;
  LogIndex applied;
  std::map<LogIndex, Applied> results;  // of the newest applied entries
  uint64_t next_tag = 1;
  std::map<consensus::ProposalTag, Proposal> proposals;
  std::map<consensus::ProposalTag, MembershipDone> changes;
  std::map<consensus::RoundTag, RoundDone> rounds;
  bool flush_scheduled = false;
  bool disk_full = false;
};

}  // namespace samphirebank::control

#endif  // SAMPHIREBANK_CONTROL_INTERNAL_CONSENSUS_REPLICATION_H_
