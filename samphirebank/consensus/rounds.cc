#include <utility>

#include "samphirebank/consensus/internal/core.h"

namespace samphirebank::consensus::internal {
namespace {

void StartConfirmationRound(Context& context) {
  State& state = context.state;
  ++state.round;
  state.current_round =
      ConfirmationRound{.tags = std::move(state.next_round_tags),
                        .started_at = context.now,
                        .commit_index = state.commit_index};
  state.next_round_tags.clear();
  SendHeartbeats(context);
}

bool IsConfirmed(const State& state) {
  auto has_acknowledged = [&](const MemberId& member) {
    if (member == state.options.self) return true;
    auto found = state.progress.find(member);
    return found != state.progress.end() &&
           found->second.acknowledged_round >= state.round;
  };
  return HasQuorum(CurrentMembership(state).membership, has_acknowledged);
}

void RespondToRound(Context& context, const ConfirmationRound& round,
                    bool confirmed) {
  for (ConfirmationTag tag : round.tags) {
    context.actions.confirmations.push_back(
        {.tag = tag,
         .confirmed = confirmed,
         .started_at = round.started_at,
         .commit_index = round.commit_index,
         .term = context.state.hard_state.term});
  }
}

}  // namespace

void HandleConfirmLeadership(Context& context, const ConfirmLeadership& event) {
  State& state = context.state;
  if (state.role != Role::kLeader) {
    RespondToRound(context, {.tags = {event.tag}}, false);
    return;
  }
  state.next_round_tags.push_back(event.tag);
  AdvanceConfirmations(context);
}

void AdvanceConfirmations(Context& context) {
  State& state = context.state;
  if (state.current_round && IsConfirmed(state)) {
    RespondToRound(context, *state.current_round, true);
    state.current_round.reset();
  }
  // Until its no-op is committed, a leader does not know which entries of
  // earlier terms are committed.
  const bool ready = state.commit_index >= state.no_op_index;
  if (state.current_round || state.next_round_tags.empty() || !ready) return;
  StartConfirmationRound(context);
  if (state.progress.empty()) AdvanceConfirmations(context);
}

void FailConfirmations(Context& context) {
  State& state = context.state;
  if (state.current_round) RespondToRound(context, *state.current_round, false);
  RespondToRound(context, {.tags = std::move(state.next_round_tags)}, false);
  state.current_round.reset();
  state.next_round_tags.clear();
}

}  // namespace samphirebank::consensus::internal
