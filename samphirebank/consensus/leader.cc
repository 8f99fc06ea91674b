#include "samphirebank/consensus/internal/core.h"

namespace samphirebank::consensus::internal {
namespace {

bool HasRecentQuorum(const Context& context) {
  const State& state = context.state;
  auto replied_recently = [&](const MemberId& member) {
    if (member == state.options.self) return true;
    auto found = state.progress.find(member);
    return found != state.progress.end() &&
           context.now - found->second.last_reply_at <
               state.options.election_timeout;
  };
  return HasQuorum(CurrentMembership(state).membership, replied_recently);
}

void ResendStalledAppends(Context& context) {
  const State& state = context.state;
  for (auto& [member, progress] : context.state.progress) {
    if (progress.inflight.empty()) continue;
    const Duration stalled_for = context.now - progress.last_progress_at;
    if (stalled_for < state.options.resend_timeout) continue;
    progress.inflight.clear();
    // A probe is repeated at the same index: no match is known yet, and
    // restarting from match_index would send a full snapshot to a member that
    // is merely slow.
    if (!progress.probing) progress.next_index = progress.match_index.Next();
    progress.probing = true;
  }
}

// MajorityMatchIndex returns the highest index up to which the log is durable
// on a majority of `set`.
LogIndex MajorityMatchIndex(const State& state, const std::set<MemberId>& set) {
  std::vector<LogIndex> matches;
  for (const MemberId& member : set) {
    auto found = state.progress.find(member);
    if (member == state.options.self) {
      matches.push_back(state.synced_index);
    } else if (found != state.progress.end()) {
      matches.push_back(found->second.match_index);
    } else {
      matches.emplace_back();
    }
  }
  std::sort(matches.begin(), matches.end());
  return matches[(matches.size() - 1) / 2];
}

}  // namespace

void BecomeLeader(Context& context) {
  State& state = context.state;
  state.role = Role::kLeader;
  state.leader = state.options.self;
  state.num_lost_elections = 0;
  state.votes.clear();
  state.progress.clear();
  state.next_round_tags.clear();
  state.current_round.reset();
  state.no_op_index = LastIndex(state).Next();
  AppendEntry(context,
              {.index = state.no_op_index, .term = state.hard_state.term});
  UpdateTrackedMembers(context);
  Replicate(context);
  SendHeartbeats(context);
}

void LeaderTick(Context& context) {
  State& state = context.state;
  if (!HasRecentQuorum(context)) {
    BecomeFollower(context, state.hard_state.term, {});
    return;
  }
  ResendStalledAppends(context);
  Replicate(context);
  if (context.now >= state.next_heartbeat) SendHeartbeats(context);
}

void UpdateTrackedMembers(Context& context) {
  State& state = context.state;
  const Membership& membership = CurrentMembership(state).membership;
  std::erase_if(state.progress, [&](const auto& item) {
    return !membership.Contains(item.first);
  });
  std::set<MemberId> members = membership.voters;
  members.insert(membership.outgoing.begin(), membership.outgoing.end());
  members.insert(membership.learners.begin(), membership.learners.end());
  members.erase(state.options.self);
  for (const MemberId& member : members) {
    Progress new_progress;
    new_progress.next_index = LastIndex(state);
    new_progress.last_reply_at = context.now;
    new_progress.last_progress_at = context.now;
    state.progress.emplace(member, std::move(new_progress));
  }
}

Progress* RecordReply(Context& context, const MemberId& from, uint64_t round) {
  auto found = context.state.progress.find(from);
  if (context.state.role != Role::kLeader ||
      found == context.state.progress.end()) {
    return nullptr;
  }
  found->second.last_reply_at = context.now;
  found->second.acknowledged_round =
      std::max(found->second.acknowledged_round, round);
  return &found->second;
}

void TryCommit(Context& context) {
  State& state = context.state;
  const Membership& membership = CurrentMembership(state).membership;
  if (membership.voters.empty()) return;
  LogIndex matched = MajorityMatchIndex(state, membership.voters);
  if (!membership.outgoing.empty()) {
    matched = std::min(matched, MajorityMatchIndex(state, membership.outgoing));
  }
  // An entry of an earlier term is committed only together with a later entry
  // of the current term: while it is merely stored on a majority, another
  // leader may still replace it.
  if (matched > state.commit_index &&
      TermAt(state, matched) == state.hard_state.term) {
    AdvanceCommit(context, matched);
    AdvanceMembershipChange(context);
  }
  if (state.role == Role::kLeader) AdvanceConfirmations(context);
}

}  // namespace samphirebank::consensus::internal
