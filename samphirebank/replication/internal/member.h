// File: member.h
//
// One member of the replicated log, by consensus and storage.
#ifndef SAMPHIREBANK_REPLICATION_INTERNAL_MEMBER_H_
#define SAMPHIREBANK_REPLICATION_INTERNAL_MEMBER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "samphirebank/consensus/consensus.h"
#include "samphirebank/replication/internal/upkeep.h"
#include "samphirebank/replication/replication.h"
#include "samphirebank/storage/storage.h"

namespace samphirebank::replication {

// Member is one member of the group.
class Member : public Replication {
 public:
  Member(Options given, Hooks shell);

  void Propose(std::vector<std::string> entries, ProposalDone done) override;
  void Confirm(ConfirmDone done) override;
  void Replace(const InstanceId& instance, ReplaceDone done) override;
  void OnMessage(const wire::Opened& opened) override;
  void AddPeers(const std::vector<InstanceId>& more) override;

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
  std::vector<InstanceId> members() const override;

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
  void StartTicking();
  void Tick();
  void KeepUpMembership(TimePoint now);
  void Step(const consensus::Event& event);
  void Perform(consensus::Actions actions);
  void Apply(const std::vector<consensus::Entry>& entries);
  void Answer(const consensus::ProposalResponse& answer);
  void GiveUpProposals(TimePoint now);
  void ScheduleFlush(Duration delay);
  void Flush();
  void TakeSnapshot();
  void TryBootstrap();
  void ChangeMembership(const consensus::MembershipChange& change,
                        MembershipDone done);
  void Admit(const std::shared_ptr<Replacement>& replacement);
  void Swap(const std::shared_ptr<Replacement>& replacement);

  Options options;
  Hooks hooks;
  std::unique_ptr<storage::Files> files;
  std::unique_ptr<storage::Storage> disk;
  consensus::State state;
  LogIndex applied;
  uint64_t next_tag = 1;
  std::map<consensus::ProposalTag, Proposal> proposals;
  std::map<consensus::ProposalTag, MembershipDone> changes;
  std::map<consensus::ConfirmationTag, ConfirmDone> rounds;
  bool flush_scheduled = false;
  bool disk_full = false;
  std::map<consensus::MemberId, TimePoint> heard;
  TimePoint leads_since;
  TimePoint next_upkeep;
  bool changing = false;  // a change of the membership is under way
};

}  // namespace samphirebank::replication

#endif  // SAMPHIREBANK_REPLICATION_INTERNAL_MEMBER_H_
