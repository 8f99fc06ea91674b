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
  std::optional<LogIndex> first = context.first_changed_index;
  if (context.snapshot_changed) first = state.snapshot.metadata.index.Next();
  if (first) {
    for (LogIndex i = *first; i <= LastIndex(state); i = i.Next()) {
      persist.entries.push_back(EntryAt(state, i));
    }
  }
  return persist;
}

// RouteMessage sends a message. A message to this member itself, which can only
// be its own vote, is handled at once.
void RouteMessage(Context& context, Message message) {
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

void SendWhenDurable(Context& context, const MemberId& to, Body body) {
  context.deferred_messages.push_back(
      MakeMessage(context.state, to, std::move(body)));
}

void FinishStep(Context& context) {
  State& state = context.state;
  const bool is_changed = context.hard_state_changed ||
                          context.snapshot_changed ||
                          context.first_changed_index;
  if (is_changed) {
    state.last_ticket = state.last_ticket.Next();
    if (context.hard_state_changed) state.hard_state_ticket = state.last_ticket;
    context.actions.persist = MakePersist(context);
    state.unsynced_appends.push_back(
        {.ticket = state.last_ticket, .last_index = LastIndex(state)});
  }
  const bool is_durable = state.synced_ticket == state.last_ticket;
  for (Message& message : context.deferred_messages) {
    if (message.term != state.hard_state.term) continue;
    if (is_durable) {
      context.actions.messages.push_back(std::move(message));
    } else {
      state.held_messages.push_back(
          {.ticket = state.last_ticket, .message = std::move(message)});
    }
  }
  context.deferred_messages.clear();
}

void HandlePersisted(Context& context, const Persisted& event) {
  State& state = context.state;
  state.synced_ticket = std::max(state.synced_ticket, event.ticket);
  while (!state.unsynced_appends.empty() &&
         state.unsynced_appends.front().ticket <= state.synced_ticket) {
    state.synced_index = state.unsynced_appends.front().last_index;
    state.unsynced_appends.pop_front();
  }
  std::vector<Message> ready;
  while (!state.held_messages.empty() &&
         state.held_messages.front().ticket <= state.synced_ticket) {
    ready.push_back(std::move(state.held_messages.front().message));
    state.held_messages.pop_front();
  }
  for (Message& message : ready) RouteMessage(context, std::move(message));
  if (state.role == Role::kLeader) TryCommit(context);
}

}  // namespace samphirebank::consensus::internal
