#include <utility>

#include "samphirebank/consensus/internal/core.h"
#include "samphirebank/wire/wire.h"

namespace samphirebank::consensus {

static_assert(Message::kKind == wire::Kind::kConsensus);

namespace internal {
namespace {

template <typename... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

bool IsAddressedTo(const Message& message, const MemberId& self) {
  if (message.to.instance != self.instance) return false;
  return message.to.storage == StorageId(0) || message.to == self;
}

bool IsFromLeader(const Message& message) {
  return std::holds_alternative<AppendRequest>(message.body) ||
         std::holds_alternative<SnapshotChunk>(message.body);
}

// RejectStaleTerm returns true if the message is from an earlier term. Requests
// are then rejected with a reply that carries the current term.
bool RejectStaleTerm(Context& context, const Message& message) {
  if (message.term >= context.state.hard_state.term) return false;
  if (IsFromLeader(message)) {
    SendWhenDurable(context, message.from, AppendReply{});
  } else if (const auto* request = std::get_if<VoteRequest>(&message.body)) {
    SendWhenDurable(context, message.from,
                    VoteReply{.pre_vote = request->pre_vote});
  }
  return true;
}

void FollowLeader(Context& context, const Message& message) {
  State& state = context.state;
  const bool is_new_leader = message.term > state.hard_state.term ||
                             state.role != Role::kFollower ||
                             state.leader != message.from;
  if (is_new_leader) BecomeFollower(context, message.term, message.from);
  state.leader_last_seen = context.now;
  ResetElectionDeadline(context);
}

// EnterNewTerm adopts the term of a reply if it is later. A granted pre-vote
// carries the proposed term, which the sender has not entered, and is ignored.
void EnterNewTerm(Context& context, const Message& message) {
  if (message.term <= context.state.hard_state.term) return;
  const auto* vote = std::get_if<VoteReply>(&message.body);
  if (vote != nullptr && vote->pre_vote && vote->granted) return;
  BecomeFollower(context, message.term, {});
}

void HandleReply(Context& context, const Message& message) {
  EnterNewTerm(context, message);
  if (const auto* vote = std::get_if<VoteReply>(&message.body)) {
    HandleVoteReply(context, message, *vote);
    return;
  }
  if (message.term != context.state.hard_state.term) return;
  if (const auto* append = std::get_if<AppendReply>(&message.body)) {
    HandleAppendReply(context, message, *append);
  } else if (const auto* chunk = std::get_if<SnapshotReply>(&message.body)) {
    HandleSnapshotReply(context, message, *chunk);
  }
}

void HandleReceived(Context& context, const Message& message) {
  State& state = context.state;
  if (!IsAddressedTo(message, state.options.self)) return;
  if (std::holds_alternative<Announce>(message.body)) {
    state.announced[message.from.instance] = message.from;
    return;
  }
  if (RejectStaleTerm(context, message)) return;
  if (const auto* request = std::get_if<VoteRequest>(&message.body)) {
    HandleVoteRequest(context, message, *request);
    return;
  }
  if (const auto* resigned = std::get_if<Resignation>(&message.body)) {
    HandleResignation(context, message, *resigned);
    return;
  }
  if (!IsFromLeader(message)) {
    HandleReply(context, message);
    return;
  }
  FollowLeader(context, message);
  if (const auto* append = std::get_if<AppendRequest>(&message.body)) {
    HandleAppendRequest(context, message, *append);
  } else {
    HandleSnapshotChunk(context, message,
                        std::get<SnapshotChunk>(message.body));
  }
}

void AnnounceSelf(Context& context) {
  State& state = context.state;
  const MemberId& self = state.options.self;
  if (CurrentMembership(state).membership.Contains(self)) return;
  if (context.now < state.next_announce) return;
  state.next_announce = context.now + state.options.announce_interval;
  for (const InstanceId& peer : state.options.peers) {
    if (peer == self.instance) continue;
    Send(context, {.instance = peer}, Announce{});
  }
}

void HandleTick(Context& context) {
  if (context.state.role == Role::kLeader) {
    LeaderTick(context);
  } else {
    ElectionTick(context);
  }
  AnnounceSelf(context);
}

void Dispatch(Context& context, const Event& event) {
  std::visit(
      Overloaded{
          [&](const Tick&) { HandleTick(context); },
          [&](const Received& e) { HandleReceived(context, e.message); },
          [&](const Persisted& e) { HandlePersisted(context, e); },
          [&](const StorageFull& e) { HandleStorageFull(context, e); },
          [&](const Propose& e) { HandlePropose(context, e); },
          [&](const ConfirmLeadership& e) {
            HandleConfirmLeadership(context, e);
          },
          [&](const ProposeMembership& e) {
            HandleProposeMembership(context, e);
          },
          [&](const SnapshotTaken& e) { HandleSnapshotTaken(context, e); },
          [&](const Bootstrap& e) { HandleBootstrap(context, e); },
      },
      event);
}

LeadershipChange LeadershipOf(const State& state) {
  return {.term = state.hard_state.term,
          .leader = state.leader,
          .is_self = state.role == Role::kLeader};
}

bool AreEqual(const LeadershipChange& a, const LeadershipChange& b) {
  return a.term == b.term && a.leader == b.leader && a.is_self == b.is_self;
}

}  // namespace
}  // namespace internal

State Start(Options options, Recovered recovered, TimePoint now) {
  State state;
  state.options = std::move(options);
  state.random_state = state.options.seed;
  state.hard_state = recovered.hard_state;
  if (recovered.snapshot) state.snapshot = *std::move(recovered.snapshot);
  const SnapshotMetadata& metadata = state.snapshot.metadata;
  state.base_index = metadata.index;
  state.base_term = metadata.term;
  state.commit_index = metadata.index;
  state.memberships.push_back(
      {.index = metadata.index, .membership = metadata.membership});
  internal::Context context{.state = state, .now = now};
  for (Entry& entry : recovered.entries) {
    internal::AppendEntry(context, std::move(entry));
  }
  state.synced_index = LastIndex(state);
  internal::ResetElectionDeadline(context);
  return state;
}

Actions Step(State& state, const Event& event, TimePoint now) {
  internal::Context context{.state = state, .now = now};
  const LeadershipChange before = internal::LeadershipOf(state);
  internal::Dispatch(context, event);
  internal::FinishStep(context);
  const LeadershipChange after = internal::LeadershipOf(state);
  if (!internal::AreEqual(before, after)) context.actions.leadership = after;
  return std::move(context.actions);
}

}  // namespace samphirebank::consensus
