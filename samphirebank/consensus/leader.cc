#include "samphirebank/consensus/internal/core.h"

namespace samphirebank::consensus::internal {
namespace {

bool HearsQuorum(const Context& context) {
  const State& state = context.state;
  auto heard = [&](const MemberId& member) {
    if (member == state.options.self) return true;
    auto found = state.progress.find(member);
    return found != state.progress.end() &&
           context.now - found->second.last_reply <
               state.options.election_timeout;
  };
  return HasQuorum(CurrentMembership(state).membership, heard);
}

void ResendStalled(Context& context) {
  const State& state = context.state;
  for (auto& [member, progress] : context.state.progress) {
    if (progress.inflight.empty()) continue;
    const Duration stalled = context.now - progress.last_advance;
    if (stalled < state.options.resend_timeout) continue;
    progress.inflight.clear();
    // A probe is repeated where it was: nothing is known to match yet, and
    // starting over would send a whole snapshot to a member that is just slow.
    if (!progress.probing) progress.next = progress.match.Next();
    progress.probing = true;
  }
}

// MatchedBy is the highest index that a majority of `set` holds.
LogIndex MatchedBy(const State& state, const std::set<MemberId>& set) {
  std::vector<LogIndex> matches;
  for (const MemberId& member : set) {
    auto found = state.progress.find(member);
    if (member == state.options.self) {
      matches.push_back(state.synced_index);
    } else if (found != state.progress.end()) {
      matches.push_back(found->second.match);
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
  state.lost_elections = 0;
  state.votes.clear();
  state.progress.clear();
  state.waiting_rounds.clear();
  state.current_round.reset();
  state.no_op_index = LastIndex(state).Next();
  AppendEntry(context,
              {.index = state.no_op_index, .term = state.hard_state.term});
  FollowMembership(context);
  Replicate(context);
  SendHeartbeats(context);
}

void LeaderTick(Context& context) {
  State& state = context.state;
  if (!HearsQuorum(context)) {
    BecomeFollower(context, state.hard_state.term, {});
    return;
  }
  ResendStalled(context);
  Replicate(context);
  if (context.now >= state.next_heartbeat) SendHeartbeats(context);
}

void FollowMembership(Context& context) {
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
    Progress fresh;
    fresh.next = LastIndex(state);
    fresh.last_reply = context.now;
    fresh.last_advance = context.now;
    state.progress.emplace(member, std::move(fresh));
  }
}

Progress* NoteReply(Context& context, const MemberId& from, uint64_t round) {
  auto found = context.state.progress.find(from);
  if (context.state.role != Role::kLeader ||
      found == context.state.progress.end()) {
    return nullptr;
  }
  found->second.last_reply = context.now;
  found->second.round = std::max(found->second.round, round);
  return &found->second;
}

void TryCommit(Context& context) {
  State& state = context.state;
  const Membership& membership = CurrentMembership(state).membership;
  if (membership.voters.empty()) return;
  LogIndex matched = MatchedBy(state, membership.voters);
  if (!membership.outgoing.empty()) {
    matched = std::min(matched, MatchedBy(state, membership.outgoing));
  }
  // An entry of an earlier term is committed only below one of this term.
  if (matched > state.commit_index &&
      TermAt(state, matched) == state.hard_state.term) {
    AdvanceCommit(context, matched);
    ContinueMembership(context);
  }
  if (state.role == Role::kLeader) AdvanceRounds(context);
}

}  // namespace samphirebank::consensus::internal
