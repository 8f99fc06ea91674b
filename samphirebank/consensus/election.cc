#include <algorithm>

#include "samphirebank/consensus/internal/core.h"

namespace samphirebank::consensus::internal {
namespace {

bool IsUpToDate(const State& state, const VoteRequest& request) {
  if (request.last_term != LastTerm(state)) {
    return request.last_term > LastTerm(state);
  }
  return request.last_index >= LastIndex(state);
}

bool HasVotes(const State& state) {
  return HasQuorum(
      CurrentMembership(state).membership,
      [&](const MemberId& member) { return state.votes.contains(member); });
}

void AskForVotes(Context& context, bool pre_vote) {
  const State& state = context.state;
  const Membership& membership = CurrentMembership(state).membership;
  std::set<MemberId> voters = membership.voters;
  voters.insert(membership.outgoing.begin(), membership.outgoing.end());
  for (const MemberId& member : voters) {
    if (member == state.options.self) continue;
    VoteRequest request{.pre_vote = pre_vote,
                        .last_index = LastIndex(state),
                        .last_term = LastTerm(state)};
    if (pre_vote) {
      Send(context, member, request);
      context.actions.messages.back().term = state.hard_state.term.Next();
    } else {
      SendDurably(context, member, request);
    }
  }
}

void StandForElection(Context& context) {
  State& state = context.state;
  state.role = Role::kCandidate;
  state.hard_state = {.term = state.hard_state.term.Next(),
                      .voted_for = state.options.self};
  context.hard_state_changed = true;
  state.held.clear();
  state.votes.clear();
  AskForVotes(context, false);
  // The own vote counts once it is durable, like any other.
  SendDurably(context, state.options.self, VoteReply{.granted = true});
}

void StartPreVote(Context& context) {
  State& state = context.state;
  state.role = Role::kPreCandidate;
  state.pre_vote_at = context.now;
  state.votes = {state.options.self};
  if (HasVotes(state)) {
    StandForElection(context);
  } else {
    AskForVotes(context, true);
  }
}

// ElectionTimeout is short while no leader is known, and grows with each
// election lost after the first.
Duration ElectionTimeout(const State& state) {
  const Options& options = state.options;
  if (state.leader) return options.election_timeout;
  Duration timeout = options.leaderless_election_timeout;
  for (uint32_t i = 1; i < state.lost_elections; ++i) {
    if (timeout >= options.election_timeout) break;
    timeout *= 2;
  }
  return std::min(timeout, options.election_timeout);
}

// A member insists on its own pre-vote for one in so many parts of the timeout.
constexpr int kInsistenceParts = 4;

// OutranksRival says whether this member goes on and another that asks at the
// same time gives way: of equal logs the greater name wins. It does so for a
// short while only, as the greater one may not be able to win.
bool OutranksRival(const Context& context, const Message& message,
                   const VoteRequest& request) {
  const State& state = context.state;
  const Duration insists =
      state.options.leaderless_election_timeout / kInsistenceParts;
  const bool asks_now = state.role == Role::kPreCandidate &&
                        context.now - state.pre_vote_at < insists;
  const bool equal = request.last_term == LastTerm(state) &&
                     request.last_index == LastIndex(state);
  return asks_now && equal && message.from < state.options.self;
}

void HandlePreVoteRequest(Context& context, const Message& message,
                          const VoteRequest& request) {
  State& state = context.state;
  const bool granted = message.term > state.hard_state.term &&
                       IsUpToDate(state, request) && !HasLiveLeader(context) &&
                       !OutranksRival(context, message, request);
  if (granted) {
    if (state.role == Role::kPreCandidate) state.role = Role::kFollower;
    Send(context, message.from, VoteReply{.pre_vote = true, .granted = true});
    context.actions.messages.back().term = message.term;
  } else {
    SendDurably(context, message.from, VoteReply{.pre_vote = true});
  }
}

}  // namespace

uint64_t NextRandom(State& state) {
  // SplitMix64.
  state.random += 0x9e3779b97f4a7c15;
  uint64_t mixed = state.random;
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111eb;
  return mixed ^ (mixed >> 31);
}

void ResetElectionDeadline(Context& context) {
  State& state = context.state;
  const Duration timeout = ElectionTimeout(state);
  const auto span = static_cast<uint64_t>(timeout.count());
  const auto extra = static_cast<int64_t>(NextRandom(state) % span);
  state.election_deadline = context.now + timeout + Duration(extra);
}

void BecomeFollower(Context& context, Term term,
                    std::optional<MemberId> leader) {
  State& state = context.state;
  if (term > state.hard_state.term) {
    state.hard_state = {.term = term, .voted_for = {}};
    context.hard_state_changed = true;
    state.held.clear();
  }
  if (state.role == Role::kLeader) FailRounds(context);
  state.role = Role::kFollower;
  state.leader = std::move(leader);
  if (state.leader) state.lost_elections = 0;
  state.votes.clear();
  state.progress.clear();
  ResetElectionDeadline(context);
  ResolvePending(context);
}

void ElectionTick(Context& context) {
  State& state = context.state;
  if (context.now < state.election_deadline) return;
  if (state.role == Role::kCandidate) ++state.lost_elections;
  const Membership& membership = CurrentMembership(state).membership;
  const bool stands =
      !state.storage_full && membership.IsVoter(state.options.self);
  if (stands) state.leader.reset();
  ResetElectionDeadline(context);
  if (stands) StartPreVote(context);
}

bool HasLiveLeader(const Context& context) {
  const State& state = context.state;
  if (state.role == Role::kLeader) return true;
  return state.leader &&
         context.now - state.leader_seen < state.options.election_timeout;
}

void HandleVoteRequest(Context& context, const Message& message,
                       const VoteRequest& request) {
  if (request.pre_vote) {
    HandlePreVoteRequest(context, message, request);
    return;
  }
  State& state = context.state;
  HardState& hard = state.hard_state;
  if (message.term > hard.term) {
    if (HasLiveLeader(context)) return;
    BecomeFollower(context, message.term, {});
  }
  const bool free =
      hard.voted_for.storage == StorageId(0) || hard.voted_for == message.from;
  const bool granted =
      message.term == hard.term && free && IsUpToDate(state, request);
  if (granted) {
    hard.voted_for = message.from;
    context.hard_state_changed = true;
    ResetElectionDeadline(context);
  }
  SendDurably(context, message.from, VoteReply{.granted = granted});
}

void HandleVoteReply(Context& context, const Message& message,
                     const VoteReply& reply) {
  State& state = context.state;
  const Term asked =
      reply.pre_vote ? state.hard_state.term.Next() : state.hard_state.term;
  const Role expected = reply.pre_vote ? Role::kPreCandidate : Role::kCandidate;
  if (!reply.granted || message.term != asked || state.role != expected) return;
  state.votes.insert(message.from);
  if (!HasVotes(state)) return;
  if (reply.pre_vote) {
    StandForElection(context);
  } else {
    BecomeLeader(context);
  }
}

}  // namespace samphirebank::consensus::internal
