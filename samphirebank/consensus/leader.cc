#include "samphirebank/consensus/internal/core.h"

namespace samphirebank::consensus::internal {
namespace {

bool RepliedRecently(const Context& context, const Progress& progress) {
  return context.now - progress.last_reply_at <
         context.state.options.election_timeout;
}

bool HasRecentQuorum(const Context& context) {
  const State& state = context.state;
  auto replied_recently = [&](const MemberId& member) {
    if (member == state.options.self) return true;
    auto found = state.progress.find(member);
    return found != state.progress.end() &&
           RepliedRecently(context, found->second);
  };
  return HasQuorum(CurrentMembership(state).membership, replied_recently);
}

// FindSuccessor returns the voter with the most of the log among those that
// hold all committed entries; nullopt if there is none.
std::optional<MemberId> FindSuccessor(const Context& context) {
  const State& state = context.state;
  std::optional<MemberId> best;
  LogIndex best_index;
  for (const MemberId& voter : CurrentMembership(state).membership.voters) {
    const auto found = state.progress.find(voter);
    if (found == state.progress.end()) continue;
    const Progress& progress = found->second;
    const bool is_suitable = RepliedRecently(context, progress) &&
                             progress.match_index >= state.commit_index;
    if (!is_suitable) continue;
    if (best && progress.match_index <= best_index) continue;
    best = voter;
    best_index = progress.match_index;
  }
  return best;
}

void Resign(Context& context, const MemberId& successor) {
  for (const auto& [member, progress] : context.state.progress) {
    Send(context, member, Resignation{.successor = successor});
  }
  BecomeFollower(context, context.state.hard_state.term, {});
}

// ResignIfOthersHaveRoom resigns if a quorum has committed what this member's
// full disk could not take, which shows that others have room. Without an entry
// that shows it, it appends a no-op. If all disks are full, the leader stays,
// so that reads and leases go on.
void ResignIfOthersHaveRoom(Context& context) {
  State& state = context.state;
  if (state.commit_index > state.synced_index) {
    const auto successor = FindSuccessor(context);
    if (successor) Resign(context, *successor);
    return;
  }
  if (LastIndex(state) > state.synced_index) return;
  AppendEntry(context, {.index = LastIndex(state).Next(),
                        .term = state.hard_state.term});
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
  if (state.storage_full) {
    ResignIfOthersHaveRoom(context);
    if (state.role != Role::kLeader) return;
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
