#include <utility>

#include "samphirebank/consensus/internal/core.h"

namespace samphirebank::consensus::internal {
namespace {

// ConflictHint returns the index at which the leader should probe next after a
// mismatch at `index`: the last one before the entries of the conflicting term,
// but not below the commit index.
LogIndex ConflictHint(const State& state, LogIndex index) {
  if (index > LastIndex(state)) return LastIndex(state);
  const std::optional<Term> conflicting_term = TermAt(state, index);
  LogIndex hint = index;
  while (hint > state.commit_index && TermAt(state, hint) == conflicting_term) {
    hint -= LogIndex(1);
  }
  return hint;
}

// StoreEntries appends missing entries and replaces conflicting ones.
void StoreEntries(Context& context, const std::vector<Entry>& entries) {
  const State& state = context.state;
  for (const Entry& entry : entries) {
    if (entry.index <= state.commit_index) continue;
    if (TermAt(state, entry.index) == entry.term) continue;
    if (entry.index <= LastIndex(state)) TruncateFrom(context, entry.index);
    AppendEntry(context, entry);
  }
}

// ReplyAccepted acknowledges the log up to `match_index` once it is durable.
// The part that is already durable is acknowledged at once, so that the leader
// does not take a member with a slow or full disk for a lost one.
void ReplyAccepted(Context& context, const MemberId& leader,
                   LogIndex match_index, uint64_t round) {
  const State& state = context.state;
  const bool is_term_durable = state.hard_state_ticket <= state.synced_ticket &&
                               !context.hard_state_changed;
  const LogIndex durable_index = std::min(match_index, state.synced_index);
  if (is_term_durable) {
    Send(context, leader,
         AppendReply{
             .accepted = true, .match_index = durable_index, .round = round});
    if (durable_index == match_index) return;
  }
  SendWhenDurable(
      context, leader,
      AppendReply{
          .accepted = true, .match_index = match_index, .round = round});
}

// RequestRefusedEntries makes the leader send again what this member refused
// while its disk was full, without waiting for its timeout.
void RequestRefusedEntries(Context& context) {
  const State& state = context.state;
  if (state.role != Role::kFollower || !state.leader) return;
  SendWhenDurable(context, *state.leader,
                  AppendReply{.match_index = state.commit_index});
}

}  // namespace

void HandleStorageFull(Context& context, const StorageFull& event) {
  const bool was_full = std::exchange(context.state.storage_full, event.full);
  if (was_full && !event.full) RequestRefusedEntries(context);
}

void HandleAppendRequest(Context& context, const Message& message,
                         const AppendRequest& request) {
  State& state = context.state;
  LogIndex previous_index = request.previous_index;
  const bool is_committed = previous_index < state.commit_index;
  if (!is_committed && TermAt(state, previous_index) != request.previous_term) {
    SendWhenDurable(
        context, message.from,
        AppendReply{.match_index = ConflictHint(state, previous_index),
                    .round = request.round});
    return;
  }
  LogIndex match_index = previous_index + LogIndex(request.entries.size());
  if (state.storage_full) {
    match_index = previous_index;
  } else {
    StoreEntries(context, request.entries);
  }
  match_index = std::max(match_index, state.commit_index);
  AdvanceCommit(context, std::min(request.commit_index, match_index));
  ReplyAccepted(context, message.from, match_index, request.round);
}

}  // namespace samphirebank::consensus::internal
