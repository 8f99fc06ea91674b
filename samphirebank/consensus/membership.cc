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
      progress.match + LogIndex(state.options.catch_up_lag);
  // A newcomer that never answered is still probed.
  return !progress.probing && reached >= LastIndex(state) &&
         progress.match >= state.snapshot.metadata.index &&
         context.now - progress.last_reply < state.options.election_timeout;
}

// Changed returns the membership after `change`; nothing if it does not fit.
std::optional<Membership> Changed(Membership membership,
                                  const MembershipChange& change) {
  const bool is_learner = membership.learners.contains(change.member);
  const bool is_voter = membership.voters.contains(change.member);
  switch (change.kind) {
    case ChangeKind::kAddLearner:
      if (membership.Contains(change.member)) return {};
      // An earlier folder of the same instance will not come back.
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

// NewVoter is the learner that gets a vote; storage 0: none does.
MemberId NewVoter(const MembershipChange& change) {
  if (change.kind == ChangeKind::kPromote) return change.member;
  if (change.kind == ChangeKind::kReplace) return change.replacement;
  return {};
}

bool IsSettled(const State& state) {
  const IndexedMembership& current = CurrentMembership(state);
  return current.index <= state.commit_index &&
         current.membership.outgoing.empty();
}

std::optional<Outcome> RefusalOf(const Context& context,
                                 const MembershipChange& change) {
  const State& state = context.state;
  const IndexedMembership& current = CurrentMembership(state);
  if (state.role != Role::kLeader) return Outcome::kNotLeader;
  if (state.commit_index < state.no_op_index) return Outcome::kNotReady;
  if (!IsSettled(state)) return Outcome::kChangeInProgress;
  const bool any_index = change.expected_index == LogIndex(0);
  if (!any_index && change.expected_index != current.index) {
    return Outcome::kStale;
  }
  if (state.storage_full) return Outcome::kStorageFull;
  if (!Changed(current.membership, change)) return Outcome::kInvalid;
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

void LeaveJointPhase(Context& context) {
  State& state = context.state;
  const LogIndex joint_index = CurrentMembership(state).index;
  Membership settled = CurrentMembership(state).membership;
  settled.outgoing.clear();
  AppendMembership(context, settled);
  for (PendingProposal& proposal : state.pending) {
    if (!proposal.joint || proposal.last_index != joint_index) continue;
    proposal.joint = false;
    proposal.last_index = LastIndex(state);
  }
  FollowMembership(context);
  Replicate(context);
}

}  // namespace

void HandleProposeMembership(Context& context, const ProposeMembership& event) {
  State& state = context.state;
  if (std::optional<Outcome> refusal = RefusalOf(context, event.change)) {
    Answer(context, event.tag, *refusal);
    return;
  }
  const Membership next =
      *Changed(CurrentMembership(state).membership, event.change);
  AppendMembership(context, next);
  state.pending.push_back({.tag = event.tag,
                           .term = state.hard_state.term,
                           .first_index = LastIndex(state),
                           .last_index = LastIndex(state),
                           .joint = !next.outgoing.empty(),
                           .new_voter = NewVoter(event.change)});
  FollowMembership(context);
  Replicate(context);
}

void HandleBootstrap(Context& context, const Bootstrap& event) {
  State& state = context.state;
  const bool fresh = state.hard_state == HardState{} &&
                     LastIndex(state) == LogIndex(0) &&
                     event.voters.contains(state.options.self);
  if (!fresh) return;
  state.hard_state.term = Term(1);
  context.hard_state_changed = true;
  AppendEntry(context, {.index = LogIndex(1),
                        .term = Term(1),
                        .kind = EntryKind::kMembership,
                        .payload = EncodeMembership({.voters = event.voters})});
  state.election_deadline = context.now;
}

void ContinueMembership(Context& context) {
  State& state = context.state;
  const IndexedMembership& current = CurrentMembership(state);
  if (current.index > state.commit_index ||
      state.commit_index < state.no_op_index) {
    return;
  }
  if (!current.membership.outgoing.empty()) {
    LeaveJointPhase(context);
  } else if (!current.membership.voters.contains(state.options.self)) {
    BecomeFollower(context, state.hard_state.term, {});
  }
}

}  // namespace samphirebank::consensus::internal
