#include "samphirebank/consensus/internal/core.h"

namespace samphirebank::consensus::internal {
namespace {

// HintBelow is where a leader may look for agreement next: below the entries
// of the term that conflicts at `index`, but not below what is committed.
LogIndex HintBelow(const State& state, LogIndex index) {
  if (index > LastIndex(state)) return LastIndex(state);
  const std::optional<Term> conflicting = TermAt(state, index);
  LogIndex hint = index;
  while (hint > state.commit_index && TermAt(state, hint) == conflicting) {
    hint -= LogIndex(1);
  }
  return hint;
}

// StoreEntries appends what is missing and replaces what conflicts.
void StoreEntries(Context& context, const std::vector<Entry>& entries) {
  const State& state = context.state;
  for (const Entry& entry : entries) {
    if (entry.index <= state.commit_index) continue;
    if (TermAt(state, entry.index) == entry.term) continue;
    if (entry.index <= LastIndex(state)) TruncateFrom(context, entry.index);
    AppendEntry(context, entry);
  }
}

// ReplyAccepted answers for `match` once that is durable. A heartbeat is
// answered at once for what is durable already, so that a slow or full disk
// does not look like a lost member.
void ReplyAccepted(Context& context, const MemberId& leader, LogIndex match,
                   uint64_t round) {
  const State& state = context.state;
  const bool term_durable = state.hard_state_ticket <= state.synced_ticket &&
                            !context.hard_state_changed;
  const LogIndex durable = std::min(match, state.synced_index);
  if (term_durable) {
    Send(context, leader,
         AppendReply{.accepted = true, .match = durable, .round = round});
    if (durable == match) return;
  }
  SendDurably(context, leader,
              AppendReply{.accepted = true, .match = match, .round = round});
}

}  // namespace

void HandleAppendRequest(Context& context, const Message& message,
                         const AppendRequest& request) {
  State& state = context.state;
  LogIndex previous = request.previous_index;
  const bool below_commit = previous < state.commit_index;
  if (!below_commit && TermAt(state, previous) != request.previous_term) {
    SendDurably(context, message.from,
                AppendReply{.match = HintBelow(state, previous),
                            .round = request.round});
    return;
  }
  LogIndex match = previous + LogIndex(request.entries.size());
  if (state.storage_full) {
    match = previous;
  } else {
    StoreEntries(context, request.entries);
  }
  match = std::max(match, state.commit_index);
  AdvanceCommit(context, std::min(request.commit_index, match));
  ReplyAccepted(context, message.from, match, request.round);
}

}  // namespace samphirebank::consensus::internal
