// File: upkeep.h
//
// Which change of a group's membership its leader should make next, by itself:
// newcomers learn the log, a lost data folder's vote goes to the folder that
// the instance has now, a voter that fell silent is replaced by a learner that
// is alive, and missing votes are filled. Decides only; consensus refuses what
// is not safe at the moment, and the leader asks again.
//
// A lost folder's vote cannot count twice: a folder is a member of its own, so
// an instance that comes back empty has no vote until one is given to it.
#ifndef SAMPHIREBANK_REPLICATION_INTERNAL_UPKEEP_H_
#define SAMPHIREBANK_REPLICATION_INTERNAL_UPKEEP_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

#include "samphirebank/base/base.h"
#include "samphirebank/consensus/consensus.h"

namespace samphirebank::replication {

// UpkeepOptions bounds the leader's own changes.
struct UpkeepOptions {
  uint32_t desired_voters = 3;
  // A member heard within this time is alive.
  Duration alive = std::chrono::milliseconds(1500);
  // A voter unheard for this long is replaced if a learner can take its vote.
  Duration silent = std::chrono::seconds(3);
  // A learner unheard for this long is dropped.
  Duration forgotten = std::chrono::seconds(30);
};

// GroupView is what the leader knows.
struct GroupView {
  const consensus::Membership& membership;
  consensus::MemberId self{};
  // When each member, or one that would be, was last heard.
  const std::map<consensus::MemberId, TimePoint>& heard;
  // A new leader first gives everybody time to be heard.
  TimePoint leads_since{};
};

// PlanUpkeep returns the most urgent change, or nothing.
std::optional<consensus::MembershipChange> PlanUpkeep(
    const GroupView& view, const UpkeepOptions& options, TimePoint now);

}  // namespace samphirebank::replication

#endif  // SAMPHIREBANK_REPLICATION_INTERNAL_UPKEEP_H_
