#include <utility>

#include "samphirebank/consensus/internal/core.h"

namespace samphirebank::consensus::internal {
namespace {

void StartRound(Context& context) {
  State& state = context.state;
  ++state.round;
  state.current_round = PendingRound{.tags = std::move(state.waiting_rounds),
                                     .started_at = context.now,
                                     .commit_index = state.commit_index};
  state.waiting_rounds.clear();
  SendHeartbeats(context);
}

bool IsConfirmed(const State& state) {
  auto answered = [&](const MemberId& member) {
    if (member == state.options.self) return true;
    auto found = state.progress.find(member);
    return found != state.progress.end() && found->second.round >= state.round;
  };
  return HasQuorum(CurrentMembership(state).membership, answered);
}

void AnswerRound(Context& context, const PendingRound& round, bool confirmed) {
  for (ConfirmationTag tag : round.tags) {
    context.actions.confirmation_responses.push_back(
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
    AnswerRound(context, {.tags = {event.tag}}, false);
    return;
  }
  state.waiting_rounds.push_back(event.tag);
  AdvanceRounds(context);
}

void AdvanceRounds(Context& context) {
  State& state = context.state;
  if (state.current_round && IsConfirmed(state)) {
    AnswerRound(context, *state.current_round, true);
    state.current_round.reset();
  }
  // Before its no-op is committed a leader cannot know the commit index.
  const bool ready = state.commit_index >= state.no_op_index;
  if (state.current_round || state.waiting_rounds.empty() || !ready) return;
  StartRound(context);
  if (state.progress.empty()) AdvanceRounds(context);
}

void FailRounds(Context& context) {
  State& state = context.state;
  if (state.current_round) AnswerRound(context, *state.current_round, false);
  AnswerRound(context, {.tags = std::move(state.waiting_rounds)}, false);
  state.current_round.reset();
  state.waiting_rounds.clear();
}

}  // namespace samphirebank::consensus::internal
