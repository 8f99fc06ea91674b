#include "samphirebank/replication/internal/upkeep.h"

#include <algorithm>

namespace samphirebank::replication {
namespace {

using consensus::ChangeKind;
using consensus::MemberId;
using consensus::MembershipChange;

using MaybeChange = std::optional<MembershipChange>;

// SilentFor is how long a member was not heard while this leader listened.
Duration SilentFor(const GroupView& view, const MemberId& member,
                   TimePoint now) {
  if (member == view.self) return Duration::zero();
  const auto found = view.heard.find(member);
  const TimePoint since = found == view.heard.end()
                              ? view.leads_since
                              : std::max(found->second, view.leads_since);
  return now - since;
}

bool IsAlive(const GroupView& view, const UpkeepOptions& options,
             const MemberId& member, TimePoint now) {
  const auto found = view.heard.find(member);
  return found != view.heard.end() && now - found->second <= options.alive;
}

// NewestOf returns the folder of the instance that was heard last.
std::optional<MemberId> NewestOf(const GroupView& view,
                                 const InstanceId& instance) {
  std::optional<MemberId> newest;
  for (const auto& [member, at] : view.heard) {
    if (member.instance != instance) continue;
    if (!newest || at > view.heard.at(*newest)) newest = member;
  }
  return newest;
}

MaybeChange AdmitNewcomer(const GroupView& view, const UpkeepOptions& options,
                          TimePoint now) {
  for (const auto& [member, at] : view.heard) {
    if (view.membership.Contains(member)) continue;
    if (!IsAlive(view, options, member, now)) continue;
    if (NewestOf(view, member.instance) != member) continue;
    return MembershipChange{.kind = ChangeKind::kAddLearner, .member = member};
  }
  return std::nullopt;
}

// ReplaceLostFolder moves a vote to the folder that its instance has now.
MaybeChange ReplaceLostFolder(const GroupView& view,
                              const UpkeepOptions& options, TimePoint now) {
  for (const MemberId& voter : view.membership.voters) {
    const auto newest = NewestOf(view, voter.instance);
    if (!newest || *newest == voter || voter == view.self) continue;
    if (!view.membership.learners.contains(*newest)) continue;
    if (!IsAlive(view, options, *newest, now)) continue;
    return MembershipChange{
        .kind = ChangeKind::kReplace, .member = voter, .replacement = *newest};
  }
  return std::nullopt;
}

std::optional<MemberId> LivingLearner(const GroupView& view,
                                      const UpkeepOptions& options,
                                      TimePoint now) {
  for (const MemberId& learner : view.membership.learners) {
    if (IsAlive(view, options, learner, now)) return learner;
  }
  return std::nullopt;
}

MaybeChange FillVotes(const GroupView& view, const UpkeepOptions& options,
                      TimePoint now) {
  const auto learner = LivingLearner(view, options, now);
  if (!learner) return std::nullopt;
  if (view.membership.voters.size() < options.desired_voters) {
    return MembershipChange{.kind = ChangeKind::kPromote, .member = *learner};
  }
  for (const MemberId& voter : view.membership.voters) {
    if (SilentFor(view, voter, now) < options.silent) continue;
    return MembershipChange{
        .kind = ChangeKind::kReplace, .member = voter, .replacement = *learner};
  }
  return std::nullopt;
}

MaybeChange DropLearner(const GroupView& view, const UpkeepOptions& options,
                        TimePoint now) {
  for (const MemberId& learner : view.membership.learners) {
    if (SilentFor(view, learner, now) < options.forgotten) continue;
    return MembershipChange{.kind = ChangeKind::kRemoveLearner,
                            .member = learner};
  }
  return std::nullopt;
}

}  // namespace

MaybeChange PlanUpkeep(const GroupView& view, const UpkeepOptions& options,
                       TimePoint now) {
  if (!view.membership.outgoing.empty()) return std::nullopt;
  for (const auto rule :
       {ReplaceLostFolder, FillVotes, AdmitNewcomer, DropLearner}) {
    if (MaybeChange change = rule(view, options, now)) return change;
  }
  return std::nullopt;
}

}  // namespace samphirebank::replication
