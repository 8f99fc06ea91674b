#include "samphirebank/replication/internal/upkeep.h"

#include <algorithm>

namespace samphirebank::replication {
namespace {

using consensus::ChangeKind;
using consensus::MemberId;
using consensus::MembershipChange;

using MaybeChange = std::optional<MembershipChange>;

// TimeSinceSeen returns the time since the last message from a member, or
// since this member became the leader if that is later and the member was not
// the previous leader.
Duration TimeSinceSeen(const GroupView& view, const MemberId& member,
                       TimePoint now) {
  if (member == view.self) return Duration::zero();
  const auto found = view.last_seen.find(member);
  if (found == view.last_seen.end()) return now - view.leader_since;
  if (member == view.previous_leader) return now - found->second;
  return now - std::max(found->second, view.leader_since);
}

bool IsAlive(const GroupView& view, const MaintenanceOptions& options,
             const MemberId& member, TimePoint now) {
  const auto found = view.last_seen.find(member);
  return found != view.last_seen.end() &&
         now - found->second <= options.alive_timeout;
}

// IsDeparting returns whether a member asked for permission to stop. A member
// that was restarted since then no longer asks.
bool IsDeparting(const GroupView& view, const MaintenanceOptions& options,
                 const MemberId& member, TimePoint now) {
  const auto found = view.departing.find(member);
  return found != view.departing.end() &&
         now - found->second <= options.alive_timeout;
}

// IsAvailable returns whether a member may be given a part in the group.
bool IsAvailable(const GroupView& view, const MaintenanceOptions& options,
                 const MemberId& member, TimePoint now) {
  return IsAlive(view, options, member, now) &&
         !IsDeparting(view, options, member, now);
}

// LastSeenMemberOf returns the current member id of an instance. An instance
// has one member id for each data folder that it has used; the id whose message
// was received last belongs to the folder in use.
std::optional<MemberId> LastSeenMemberOf(const GroupView& view,
                                         const InstanceId& instance) {
  std::optional<MemberId> latest;
  for (const auto& [member, seen_at] : view.last_seen) {
    if (member.instance != instance) continue;
    if (!latest || seen_at > view.last_seen.at(*latest)) latest = member;
  }
  return latest;
}

// FindNewcomer returns an available instance that is not yet a member.
std::optional<MemberId> FindNewcomer(const GroupView& view,
                                     const MaintenanceOptions& options,
                                     TimePoint now) {
  for (const auto& [member, seen_at] : view.last_seen) {
    if (view.membership.Contains(member)) continue;
    if (!IsAvailable(view, options, member, now)) continue;
    if (LastSeenMemberOf(view, member.instance) == member) return member;
  }
  return std::nullopt;
}

// AddLearner adds an available instance that is not yet a member.
MaybeChange AddLearner(const GroupView& view, const MaintenanceOptions& options,
                       TimePoint now) {
  const auto newcomer = FindNewcomer(view, options, now);
  if (!newcomer) return std::nullopt;
  return MembershipChange{.kind = ChangeKind::kAddLearner, .member = *newcomer};
}

// ReplaceLostFolder transfers the vote of a lost data folder to the current
// folder of the same instance, once that is a learner.
MaybeChange ReplaceLostFolder(const GroupView& view,
                              const MaintenanceOptions& options,
                              TimePoint now) {
  for (const MemberId& voter : view.membership.voters) {
    const auto latest = LastSeenMemberOf(view, voter.instance);
    if (!latest || *latest == voter || voter == view.self) continue;
    if (!view.membership.learners.contains(*latest)) continue;
    if (!IsAvailable(view, options, *latest, now)) continue;
    return MembershipChange{
        .kind = ChangeKind::kReplace, .member = voter, .replacement = *latest};
  }
  return std::nullopt;
}

// FindAvailableLearner returns the available learner that has the most of the
// log.
std::optional<MemberId> FindAvailableLearner(const GroupView& view,
                                             const MaintenanceOptions& options,
                                             TimePoint now) {
  std::optional<MemberId> best;
  LogIndex best_index;
  for (const MemberId& learner : view.membership.learners) {
    if (!IsAvailable(view, options, learner, now)) continue;
    const auto found = view.match_indexes.find(learner);
    const LogIndex index =
        found == view.match_indexes.end() ? LogIndex() : found->second;
    if (best && index <= best_index) continue;
    best = learner;
    best_index = index;
  }
  return best;
}

// ReplaceDepartingVoter transfers the vote of a member that departs to an
// available learner.
MaybeChange ReplaceDepartingVoter(const GroupView& view,
                                  const MaintenanceOptions& options,
                                  TimePoint now) {
  const auto learner = FindAvailableLearner(view, options, now);
  if (!learner) return std::nullopt;
  for (const MemberId& voter : view.membership.voters) {
    if (!IsDeparting(view, options, voter, now)) continue;
    return MembershipChange{
        .kind = ChangeKind::kReplace, .member = voter, .replacement = *learner};
  }
  return std::nullopt;
}

// PromoteLearner makes an available learner a voter: in addition to the others
// if there are too few voters, else in place of a voter that timed out.
MaybeChange PromoteLearner(const GroupView& view,
                           const MaintenanceOptions& options, TimePoint now) {
  const auto learner = FindAvailableLearner(view, options, now);
  if (!learner) return std::nullopt;
  if (view.membership.voters.size() < options.desired_voters) {
    return MembershipChange{.kind = ChangeKind::kPromote, .member = *learner};
  }
  for (const MemberId& voter : view.membership.voters) {
    if (TimeSinceSeen(view, voter, now) < options.voter_timeout) continue;
    return MembershipChange{
        .kind = ChangeKind::kReplace, .member = voter, .replacement = *learner};
  }
  return std::nullopt;
}

// RemoveStaleLearner removes a learner that timed out.
MaybeChange RemoveStaleLearner(const GroupView& view,
                               const MaintenanceOptions& options,
                               TimePoint now) {
  for (const MemberId& learner : view.membership.learners) {
    if (TimeSinceSeen(view, learner, now) < options.learner_timeout) continue;
    return MembershipChange{.kind = ChangeKind::kRemoveLearner,
                            .member = learner};
  }
  return std::nullopt;
}

}  // namespace

MaybeChange PlanMembershipChange(const GroupView& view,
                                 const MaintenanceOptions& options,
                                 TimePoint now) {
  if (!view.membership.outgoing.empty()) return std::nullopt;
  for (const auto rule : {ReplaceLostFolder, ReplaceDepartingVoter,
                          PromoteLearner, AddLearner, RemoveStaleLearner}) {
    if (MaybeChange change = rule(view, options, now)) return change;
  }
  return std::nullopt;
}

bool MayDepart(const GroupView& view, const MaintenanceOptions& options,
               const MemberId& member, TimePoint now) {
  if (!view.membership.IsVoter(member)) return view.is_settled;
  if (!view.membership.outgoing.empty()) return false;
  return !FindAvailableLearner(view, options, now) &&
         !FindNewcomer(view, options, now);
}

}  // namespace samphirebank::replication
