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

bool HasQuorumOfVotes(const State& state) {
  return HasQuorum(
      CurrentMembership(state).membership,
      [&](const MemberId& member) { return state.votes.contains(member); });
}

void RequestVotes(Context& context, bool pre_vote) {
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
      SendWhenDurable(context, member, request);
    }
  }
}

void StartElection(Context& context) {
  State& state = context.state;
  state.role = Role::kCandidate;
  state.hard_state = {.term = state.hard_state.term.Next(),
                      .voted_for = state.options.self};
  context.hard_state_changed = true;
  state.held_messages.clear();
  state.votes.clear();
  RequestVotes(context, false);
  // This member's own vote counts only once it is durable, like any other.
  SendWhenDurable(context, state.options.self, VoteReply{.granted = true});
}

void StartPreVote(Context& context) {
  State& state = context.state;
  state.role = Role::kPreCandidate;
  state.pre_vote_started_at = context.now;
  state.votes = {state.options.self};
  if (HasQuorumOfVotes(state)) {
    StartElection(context);
  } else {
    RequestVotes(context, true);
  }
}

// CanCampaign reports whether this member could lead: it has a vote, and room
// for the term and the log.
bool CanCampaign(const State& state) {
  return !state.storage_full &&
         CurrentMembership(state).membership.IsVoter(state.options.self);
}

// ElectionTimeout returns the base of the randomized election deadline. While
// no leader is known, it starts at leaderless_election_timeout and doubles with
// each consecutive lost election after the first, up to election_timeout.
Duration ElectionTimeout(const State& state) {
  const Options& options = state.options;
  if (state.leader) return options.election_timeout;
  Duration timeout = options.leaderless_election_timeout;
  for (uint32_t i = 1; i < state.num_lost_elections; ++i) {
    if (timeout >= options.election_timeout) break;
    timeout *= 2;
  }
  return std::min(timeout, options.election_timeout);
}

// A pre-vote has priority for leaderless_election_timeout divided by this.
constexpr int kPreVotePriorityDivisor = 4;

// HasPreVotePriority reports whether this member's own pre-vote takes
// precedence over a concurrent one from another member. If both logs are equal,
// the greater MemberId has priority, so that the two do not split the vote. The
// priority lasts only for a short time, because this member may be unable to
// win, for example if it is partitioned from a voter that the other one can
// reach.
bool HasPreVotePriority(const Context& context, const Message& message,
                        const VoteRequest& request) {
  const State& state = context.state;
  const Duration priority_window =
      state.options.leaderless_election_timeout / kPreVotePriorityDivisor;
  const bool is_requesting =
      state.role == Role::kPreCandidate &&
      context.now - state.pre_vote_started_at < priority_window;
  const bool is_log_equal = request.last_term == LastTerm(state) &&
                            request.last_index == LastIndex(state);
  return is_requesting && is_log_equal && message.from < state.options.self;
}

void HandlePreVoteRequest(Context& context, const Message& message,
                          const VoteRequest& request) {
  State& state = context.state;
  const bool granted = message.term > state.hard_state.term &&
                       IsUpToDate(state, request) && !HasLiveLeader(context) &&
                       !HasPreVotePriority(context, message, request);
  if (granted) {
    if (state.role == Role::kPreCandidate) state.role = Role::kFollower;
    Send(context, message.from, VoteReply{.pre_vote = true, .granted = true});
    context.actions.messages.back().term = message.term;
  } else {
    SendWhenDurable(context, message.from, VoteReply{.pre_vote = true});
  }
}

}  // namespace

uint64_t NextRandom(State& state) {
  // SplitMix64.
  state.random_state += 0x9e3779b97f4a7c15;
  uint64_t mixed = state.random_state;
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111eb;
  return mixed ^ (mixed >> 31);
}

void ResetElectionDeadline(Context& context) {
  State& state = context.state;
  const Duration timeout = ElectionTimeout(state);
  const auto timeout_count = static_cast<uint64_t>(timeout.count());
  const auto jitter = static_cast<int64_t>(NextRandom(state) % timeout_count);
  state.election_deadline = context.now + timeout + Duration(jitter);
}

void BecomeFollower(Context& context, Term term,
                    std::optional<MemberId> leader) {
  State& state = context.state;
  if (term > state.hard_state.term) {
    state.hard_state = {.term = term, .voted_for = {}};
    context.hard_state_changed = true;
    state.held_messages.clear();
  }
  if (state.role == Role::kLeader) FailConfirmations(context);
  state.role = Role::kFollower;
  state.leader = std::move(leader);
  if (state.leader) state.num_lost_elections = 0;
  state.votes.clear();
  state.progress.clear();
  ResetElectionDeadline(context);
  ResolvePendingProposals(context);
}

void ElectionTick(Context& context) {
  State& state = context.state;
  if (context.now < state.election_deadline) return;
  if (state.role == Role::kCandidate) ++state.num_lost_elections;
  const bool can_campaign = CanCampaign(state);
  if (can_campaign) state.leader.reset();
  ResetElectionDeadline(context);
  if (can_campaign) StartPreVote(context);
}

void HandleResignation(Context& context, const Message& message,
                       const Resignation& resignation) {
  State& state = context.state;
  const bool is_from_leader = state.role == Role::kFollower &&
                              state.leader == message.from &&
                              state.hard_state.term == message.term;
  if (!is_from_leader) return;
  BecomeFollower(context, message.term, {});
  if (resignation.successor == state.options.self && CanCampaign(state)) {
    StartPreVote(context);
  }
}

bool HasLiveLeader(const Context& context) {
  const State& state = context.state;
  if (state.role == Role::kLeader) return true;
  return state.leader &&
         context.now - state.leader_last_seen < state.options.election_timeout;
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
  const bool can_vote =
      hard.voted_for.storage == StorageId(0) || hard.voted_for == message.from;
  const bool granted =
      message.term == hard.term && can_vote && IsUpToDate(state, request);
  if (granted) {
    hard.voted_for = message.from;
    context.hard_state_changed = true;
    ResetElectionDeadline(context);
  }
  SendWhenDurable(context, message.from, VoteReply{.granted = granted});
}

void HandleVoteReply(Context& context, const Message& message,
                     const VoteReply& reply) {
  State& state = context.state;
  const Term term =
      reply.pre_vote ? state.hard_state.term.Next() : state.hard_state.term;
  const Role role = reply.pre_vote ? Role::kPreCandidate : Role::kCandidate;
  if (!reply.granted || message.term != term || state.role != role) return;
  state.votes.insert(message.from);
  if (!HasQuorumOfVotes(state)) return;
  if (reply.pre_vote) {
    StartElection(context);
  } else {
    BecomeLeader(context);
  }
}

}  // namespace samphirebank::consensus::internal
