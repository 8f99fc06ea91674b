#include <utility>

#include "samphirebank/consensus/internal/core.h"

namespace samphirebank::consensus::internal {
namespace {

Message MakeMessage(const State& state, const MemberId& to, Body body) {
  return Message{.from = state.options.self,
                 .to = to,
                 .term = state.hard_state.term,
                 .body = std::move(body)};
}

Persist MakePersist(const Context& context) {
  const State& state = context.state;
  Persist persist{.ticket = state.last_ticket};
  if (context.hard_state_changed || context.snapshot_changed) {
    persist.hard_state = state.hard_state;
  }
  if (context.snapshot_changed) persist.snapshot = state.snapshot;
  std::optional<LogIndex> first = context.first_changed;
  if (context.snapshot_changed) first = state.snapshot.metadata.index.Next();
  if (first) {
    for (LogIndex i = *first; i <= LastIndex(state); i = i.Next()) {
      persist.entries.push_back(EntryAt(state, i));
    }
  }
  return persist;
}

// Deliver sends a message, or takes in one that this member sent to itself.
void Deliver(Context& context, Message message) {
  if (message.to != context.state.options.self) {
    context.actions.messages.push_back(std::move(message));
    return;
  }
  HandleVoteReply(context, message, std::get<VoteReply>(message.body));
}

}  // namespace

void Send(Context& context, const MemberId& to, Body body) {
  context.actions.messages.push_back(
      MakeMessage(context.state, to, std::move(body)));
}

void SendDurably(Context& context, const MemberId& to, Body body) {
  context.promises.push_back(MakeMessage(context.state, to, std::move(body)));
}

void FinishStep(Context& context) {
  State& state = context.state;
  const bool changed = context.hard_state_changed || context.snapshot_changed ||
                       context.first_changed;
  if (changed) {
    state.last_ticket = state.last_ticket.Next();
    if (context.hard_state_changed) state.hard_state_ticket = state.last_ticket;
    context.actions.persist = MakePersist(context);
    state.unsynced.push_back(
        {.ticket = state.last_ticket, .last_index = LastIndex(state)});
  }
  const bool durable = state.synced_ticket == state.last_ticket;
  for (Message& message : context.promises) {
    if (message.term != state.hard_state.term) continue;
    if (durable) {
      context.actions.messages.push_back(std::move(message));
    } else {
      state.held.push_back(
          {.ticket = state.last_ticket, .message = std::move(message)});
    }
  }
  context.promises.clear();
}

void HandlePersisted(Context& context, const Persisted& event) {
  State& state = context.state;
  state.synced_ticket = std::max(state.synced_ticket, event.ticket);
  while (!state.unsynced.empty() &&
         state.unsynced.front().ticket <= state.synced_ticket) {
    state.synced_index = state.unsynced.front().last_index;
    state.unsynced.pop_front();
  }
  std::vector<Message> ready;
  while (!state.held.empty() &&
         state.held.front().ticket <= state.synced_ticket) {
    ready.push_back(std::move(state.held.front().message));
    state.held.pop_front();
  }
  for (Message& message : ready) Deliver(context, std::move(message));
  if (state.role == Role::kLeader) TryCommit(context);
}

}  // namespace samphirebank::consensus::internal
