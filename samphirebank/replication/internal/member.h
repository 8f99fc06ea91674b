// File: member.h
//
// The implementation of Replication: it passes events to the consensus
// algorithm and carries out the resulting actions on storage, network and state
// machine.
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

// Member implements Replication with consensus::State and storage::Storage.
class Member : public Replication {
 public:
  Member(Options member_options, Hooks member_hooks);

  void Propose(std::vector<std::string> entries, ProposalDone done) override;
  void Confirm(ConfirmDone done) override;
  void Replace(const InstanceId& instance, ReplaceDone done) override;
  void Depart(std::function<void()> done) override;
  void OnMessage(const wire::Opened& opened) override;
  void AddPeers(const std::vector<InstanceId>& new_peers) override;

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
  // Replacement is the state of a running Replace call. After `deadline`, steps
  // are no longer retried.
  struct Replacement {
    consensus::MemberId old_member;
    consensus::MemberId new_member;
    TimePoint deadline;
    ReplaceDone done;
  };
  // Proposal is a proposal without an outcome yet. At `deadline` the outcome is
  // reported as unknown.
  struct Proposal {
    ProposalDone done;
    TimePoint deadline;
  };
  // Departure is the state of a Depart call.
  struct Departure {
    std::function<void()> done;
    TimePoint started_at;
    TimePoint deadline;
    TimePoint next_request;
  };
  using MembershipDone = std::function<void(consensus::Outcome)>;

  // OpenStorage opens the data folder and recovers its contents. While the disk
  // is too full for that, it retries, and the member takes no part in the
  // group. Returns any other error.
  std::optional<storage::Error> OpenStorage();
  wire::leaf::result<void> TryOpenStorage();
  void Recover();
  // SetDiskFull logs a change of `disk_full` and returns whether there was one.
  bool SetDiskFull(bool full);
  void ScheduleTick();
  void Tick();
  // MaintainMembership proposes the change that PlanMembershipChange returns,
  // if this member leads.
  void MaintainMembership(TimePoint now);
  // View and Maintenance are the arguments of the decisions in upkeep.h.
  GroupView View() const;
  MaintenanceOptions Maintenance() const;
  // ContinueDeparture takes the next step of a Depart call that is due.
  void ContinueDeparture(TimePoint now);
  void EndDeparture(const std::string& reason);
  // Release proposes, as the leader, what `member` must wait for before it
  // stops, and returns whether it may stop now.
  bool Release(const consensus::MemberId& member, TimePoint now);
  void OnConsensusMessage(const wire::Opened& opened);
  void OnDepartRequest(const wire::Opened& opened);
  void OnDepartReply(const wire::Opened& opened);
  // Step passes an event to the consensus algorithm and carries out the actions
  // that it returns.
  void Step(const consensus::Event& event);
  void Perform(consensus::Actions actions);
  void NoteLeadership(const consensus::LeadershipChange& change);
  void Apply(const std::vector<consensus::Entry>& entries);
  void HandleProposalResponse(const consensus::ProposalResponse& response);
  void ExpireProposals(TimePoint now);
  void ScheduleFlush(Duration delay);
  void Flush();
  void TakeSnapshot();
  // TryBootstrap creates the group once all initial voters have announced their
  // data folders.
  void TryBootstrap();
  void ChangeMembership(const consensus::MembershipChange& change,
                        MembershipDone done);
  // AddAsLearner and ReplaceVoter are the two steps of Replace. Each retries
  // until it succeeds, fails for good or passes the deadline.
  void AddAsLearner(const std::shared_ptr<Replacement>& replacement);
  void ReplaceVoter(const std::shared_ptr<Replacement>& replacement);

  Options options;
  Hooks hooks;
  std::unique_ptr<storage::Files> files;
  std::unique_ptr<storage::Storage> disk;  // null until the folder is open
  consensus::State state;
  LogIndex applied_index;
  uint64_t next_tag = 1;
  std::map<consensus::ProposalTag, Proposal> pending_proposals;
  std::map<consensus::ProposalTag, MembershipDone> pending_changes;
  std::map<consensus::ConfirmationTag, ConfirmDone> pending_confirmations;
  bool flush_scheduled = false;
  bool disk_full = false;
  std::map<consensus::MemberId, TimePoint> last_seen;
  TimePoint leader_since;
  std::optional<consensus::MemberId> previous_leader;  // other than this member
  TimePoint next_maintenance;
  bool change_in_progress = false;  // of a change by MaintainMembership
  std::map<consensus::MemberId, TimePoint> departing;  // see GroupView
  std::optional<Departure> departure;
};

}  // namespace samphirebank::replication

#endif  // SAMPHIREBANK_REPLICATION_INTERNAL_MEMBER_H_
