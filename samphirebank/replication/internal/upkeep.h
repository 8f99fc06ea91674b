// File: upkeep.h
//
// Automatic membership changes: selects the next change that the leader of a
// group should propose. New members are added as learners, the vote of a lost
// data folder is transferred to the current folder of the same instance, a
// voter that departs or has no recent messages is replaced by a live learner,
// and live learners are promoted while there are too few voters.
//
// This code only selects a change. Consensus refuses a change that is not safe
// at the moment, and the leader retries later.
//
// The vote of a lost data folder cannot count twice: each data folder is a
// separate member, so an instance that restarts with an empty folder has no
// vote until it is given one.
#ifndef SAMPHIREBANK_REPLICATION_INTERNAL_UPKEEP_H_
#define SAMPHIREBANK_REPLICATION_INTERNAL_UPKEEP_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

#include "samphirebank/base/base.h"
#include "samphirebank/consensus/consensus.h"

namespace samphirebank::replication {

// MaintenanceOptions configures automatic membership changes.
struct MaintenanceOptions {
  uint32_t desired_voters = 3;
  // A member is live if a message from it arrived within this time.
  Duration alive_timeout = std::chrono::milliseconds(1500);
  // A voter without messages for this long is replaced if there is a live
  // learner.
  Duration voter_timeout = std::chrono::seconds(3);
  // A learner without messages for this long is removed.
  Duration learner_timeout = std::chrono::seconds(30);
};

// GroupView is the leader's view of its group.
struct GroupView {
  const consensus::Membership& membership;
  consensus::MemberId self{};
  // The arrival time of the last message from each data folder, including those
  // that are not members.
  const std::map<consensus::MemberId, TimePoint>& last_seen;
  // When this member became the leader. Timeouts of voters and learners count
  // from here at the earliest, so that a new leader first allows every member
  // the time to send a message. Not so that of the previous leader, which sent
  // messages to all members before.
  TimePoint leader_since{};
  std::optional<consensus::MemberId> previous_leader{};
  // Up to where each member is known to have the log; others have nothing.
  std::map<consensus::MemberId, LogIndex> match_indexes{};
  // Whether the membership is committed and no change is in progress.
  bool is_settled = true;
  // When each member that departs last asked for permission to stop.
  const std::map<consensus::MemberId, TimePoint>& departing;
};

// PlanMembershipChange returns the most urgent change, or nullopt if none is
// due or a change is still in its joint phase.
std::optional<consensus::MembershipChange> PlanMembershipChange(
    const GroupView& view, const MaintenanceOptions& options, TimePoint now);

// MayDepart returns whether the process of `member` may stop: the group has
// settled without its vote, or no live instance could take over its vote.
bool MayDepart(const GroupView& view, const MaintenanceOptions& options,
               const consensus::MemberId& member, TimePoint now);

}  // namespace samphirebank::replication

#endif  // SAMPHIREBANK_REPLICATION_INTERNAL_UPKEEP_H_
