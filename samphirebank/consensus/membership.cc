#include <utility>

#include "samphirebank/consensus/internal/core.h"

namespace samphirebank::consensus::internal {
namespace {

bool IsCaughtUp(const Context& context, const MemberId& learner) {
  const State& state = context.state;
  auto found = state.progress.find(learner);
  if (found == state.progress.end()) return false;
  const Progress& progress = found->second;
  const LogIndex reached =
      progress.match_index + LogIndex(state.options.max_learner_lag);
  // A learner that has never replied is still being probed.
  return !progress.probing && reached >= LastIndex(state) &&
         progress.match_index >= state.snapshot.metadata.index &&
         context.now - progress.last_reply_at < state.options.election_timeout;
}

// ApplyChange returns the membership after `change`; nullopt if the change does
// not apply to `membership`.
std::optional<Membership> ApplyChange(Membership membership,
                                      const MembershipChange& change) {
  const bool is_learner = membership.learners.contains(change.member);
  const bool is_voter = membership.voters.contains(change.member);
  switch (change.kind) {
    case ChangeKind::kAddLearner:
      if (membership.Contains(change.member)) return {};
      // A learner with an earlier data folder of the same instance will never
      // return.
      std::erase_if(membership.learners, [&](const MemberId& learner) {
        return learner.instance == change.member.instance;
      });
      membership.learners.insert(change.member);
      return membership;
    case ChangeKind::kRemoveLearner:
      if (!is_learner) return {};
      membership.learners.erase(change.member);
      return membership;
    case ChangeKind::kPromote:
      if (!is_learner) return {};
      membership.outgoing = membership.voters;
      membership.voters.insert(change.member);
      membership.learners.erase(change.member);
      return membership;
    case ChangeKind::kRemoveVoter:
      if (!is_voter || membership.voters.size() == 1) return {};
      membership.outgoing = membership.voters;
      membership.voters.erase(change.member);
      return membership;
    case ChangeKind::kReplace:
      if (!is_voter || !membership.learners.contains(change.replacement)) {
        return {};
      }
      membership.outgoing = membership.voters;
      membership.voters.erase(change.member);
      membership.voters.insert(change.replacement);
      membership.learners.erase(change.replacement);
      return membership;
  }
  return {};
}

// NewVoter returns the learner that becomes a voter; storage 0: none.
MemberId NewVoter(const MembershipChange& change) {
  if (change.kind == ChangeKind::kPromote) return change.member;
  if (change.kind == ChangeKind::kReplace) return change.replacement;
  return {};
}

bool IsMembershipStable(const State& state) {
  const IndexedMembership& current = CurrentMembership(state);
  return current.index <= state.commit_index &&
         current.membership.outgoing.empty();
}

std::optional<Outcome> RefusalReason(const Context& context,
                                     const MembershipChange& change) {
  const State& state = context.state;
  const IndexedMembership& current = CurrentMembership(state);
  if (state.role != Role::kLeader) return Outcome::kNotLeader;
  if (state.commit_index < state.no_op_index) return Outcome::kNotReady;
  if (!IsMembershipStable(state)) return Outcome::kChangeInProgress;
  const bool accepts_any_index = change.expected_index == LogIndex(0);
  if (!accepts_any_index && change.expected_index != current.index) {
    return Outcome::kStale;
  }
  if (state.storage_full) return Outcome::kStorageFull;
  if (!ApplyChange(current.membership, change)) return Outcome::kInvalid;
  const MemberId new_voter = NewVoter(change);
  if (new_voter.storage != StorageId(0) && !IsCaughtUp(context, new_voter)) {
    return Outcome::kNotCaughtUp;
  }
  return {};
}

void AppendMembership(Context& context, const Membership& membership) {
  AppendEntry(context, {.index = LastIndex(context.state).Next(),
                        .term = context.state.hard_state.term,
                        .kind = EntryKind::kMembership,
                        .payload = EncodeMembership(membership)});
}

void LeaveJointMembership(Context& context) {
  State& state = context.state;
  const LogIndex joint_index = CurrentMembership(state).index;
  Membership final_membership = CurrentMembership(state).membership;
  final_membership.outgoing.clear();
  AppendMembership(context, final_membership);
  for (PendingProposal& proposal : state.pending_proposals) {
    if (!proposal.is_joint || proposal.last_index != joint_index) continue;
    proposal.is_joint = false;
    proposal.last_index = LastIndex(state);
  }
  UpdateTrackedMembers(context);
  Replicate(context);
}

}  // namespace

void HandleProposeMembership(Context& context, const ProposeMembership& event) {
  State& state = context.state;
  if (std::optional<Outcome> refusal = RefusalReason(context, event.change)) {
    RespondToProposal(context, event.tag, *refusal);
    return;
  }
  const Membership next =
      *ApplyChange(CurrentMembership(state).membership, event.change);
  AppendMembership(context, next);
  state.pending_proposals.push_back({.tag = event.tag,
                                     .term = state.hard_state.term,
                                     .first_index = LastIndex(state),
                                     .last_index = LastIndex(state),
                                     .is_joint = !next.outgoing.empty(),
                                     .new_voter = NewVoter(event.change)});
  UpdateTrackedMembers(context);
  Replicate(context);
}

void HandleBootstrap(Context& context, const Bootstrap& event) {
  State& state = context.state;
  const bool is_unused = state.hard_state == HardState{} &&
                         LastIndex(state) == LogIndex(0) &&
                         event.voters.contains(state.options.self);
  if (!is_unused) return;
  state.hard_state.term = Term(1);
  context.hard_state_changed = true;
  AppendEntry(context, {.index = LogIndex(1),
                        .term = Term(1),
                        .kind = EntryKind::kMembership,
                        .payload = EncodeMembership({.voters = event.voters})});
  state.election_deadline = context.now;
}

void AdvanceMembershipChange(Context& context) {
  State& state = context.state;
  const IndexedMembership& current = CurrentMembership(state);
  if (current.index > state.commit_index ||
      state.commit_index < state.no_op_index) {
    return;
  }
  if (!current.membership.outgoing.empty()) {
    LeaveJointMembership(context);
  } else if (!current.membership.voters.contains(state.options.self)) {
    BecomeFollower(context, state.hard_state.term, {});
  }
}

}  // namespace samphirebank::consensus::internal
