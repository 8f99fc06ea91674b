#include <utility>

#include "samphirebank/consensus/internal/core.h"
#include "samphirebank/wire/wire.h"

namespace samphirebank::consensus {

const IndexedMembership& CurrentMembership(const State& state) {
  return state.memberships.back();
}

LogIndex LastIndex(const State& state) {
  return state.base_index + LogIndex(state.entries.size());
}

std::optional<Membership> DecodeMembership(const std::string& payload) {
  boost::leaf::result<Membership> decoded =
      wire::DecodeFields<Membership>(payload);
  if (!decoded) return {};
  return *std::move(decoded);
}

namespace internal {

std::string EncodeMembership(const Membership& membership) {
  return wire::EncodeFields(membership);
}

std::optional<Term> TermAt(const State& state, LogIndex index) {
  if (index == state.base_index) return state.base_term;
  if (index < state.base_index || index > LastIndex(state)) return {};
  return EntryAt(state, index).term;
}

const Entry& EntryAt(const State& state, LogIndex index) {
  return state.entries[(index - state.base_index).value - 1];
}

Term LastTerm(const State& state) {
  return state.entries.empty() ? state.base_term : state.entries.back().term;
}

void AppendEntry(Context& context, Entry entry) {
  State& state = context.state;
  if (!context.first_changed_index ||
      entry.index < *context.first_changed_index) {
    context.first_changed_index = entry.index;
  }
  state.bytes_since_snapshot +=
      Bytes(static_cast<int64_t>(entry.payload.size()));
  if (entry.kind == EntryKind::kMembership) {
    if (std::optional<Membership> next = DecodeMembership(entry.payload)) {
      state.memberships.push_back({entry.index, *std::move(next)});
    }
  }
  state.entries.push_back(std::move(entry));
}

void TruncateFrom(Context& context, LogIndex index) {
  State& state = context.state;
  const LogIndex kept = index - LogIndex(1);
  while (LastIndex(state) > kept) state.entries.pop_back();
  while (state.memberships.size() > 1 &&
         state.memberships.back().index > kept) {
    state.memberships.pop_back();
  }
  state.synced_index = std::min(state.synced_index, kept);
  for (UnsyncedAppend& append : state.unsynced_appends) {
    append.last_index = std::min(append.last_index, kept);
  }
}

void DropEntriesThrough(State& state, LogIndex index) {
  while (!state.entries.empty() && state.base_index < index) {
    state.base_index = state.entries.front().index;
    state.base_term = state.entries.front().term;
    state.entries.pop_front();
  }
}

void AdvanceCommit(Context& context, LogIndex index) {
  State& state = context.state;
  if (index <= state.commit_index) return;
  for (LogIndex i = state.commit_index.Next(); i <= index; i = i.Next()) {
    context.actions.committed.push_back(EntryAt(state, i));
  }
  state.commit_index = index;
  ResolvePendingProposals(context);
  const uint64_t num_entries = (index - state.snapshot.metadata.index).value;
  const bool is_due =
      num_entries >= state.options.snapshot_entries ||
      state.bytes_since_snapshot >= state.options.snapshot_bytes;
  if (is_due && !state.snapshot_requested) {
    state.snapshot_requested = true;
    context.actions.take_snapshot = true;
  }
}

}  // namespace internal
}  // namespace samphirebank::consensus
