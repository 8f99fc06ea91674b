#include <xxhash.h>

#include <utility>

#include "samphirebank/consensus/internal/core.h"

namespace samphirebank::consensus::internal {
namespace {

// ForgetMemberships drops the ones that `index` has outdated.
void ForgetMemberships(State& state, LogIndex index) {
  std::vector<IndexedMembership>& all = state.memberships;
  while (all.size() > 1 && all[1].index <= index) all.erase(all.begin());
}

// HeavyThrough is the newest entry behind which the entries up to `covered`
// weigh more than a quarter of what makes a snapshot due.
LogIndex HeavyThrough(const State& state, LogIndex covered) {
  int64_t kept = 0;
  for (LogIndex i = covered; i > state.base_index; i -= LogIndex(1)) {
    kept += static_cast<int64_t>(EntryAt(state, i).payload.size());
    if (4 * kept > state.options.snapshot_bytes.value) return i;
  }
  return state.base_index;
}

// Compact drops entries behind the snapshot that no member is likely to need.
// What follows a snapshot on its way to a member stays.
void Compact(State& state) {
  const LogIndex covered = state.snapshot.metadata.index;
  const LogIndex trailing(state.options.trailing_entries);
  LogIndex through = covered > trailing ? covered - trailing : LogIndex(0);
  through = std::max(through, HeavyThrough(state, covered));
  for (const auto& [member, progress] : state.progress) {
    if (!progress.transfer) continue;
    through = std::min(through, progress.transfer->snapshot.metadata.index);
  }
  DropThrough(state, through);
}

// ReplaceLog makes the snapshot the start of the log; entries behind it stay
// when they continue it.
void ReplaceLog(Context& context, const SnapshotMetadata& metadata) {
  State& state = context.state;
  if (TermAt(state, metadata.index) == metadata.term) {
    DropThrough(state, metadata.index);
    std::erase_if(state.memberships, [&](const IndexedMembership& item) {
      return item.index <= metadata.index;
    });
  } else {
    TruncateFrom(context, state.base_index.Next());
    state.synced_index = LogIndex(0);
    state.memberships.clear();
  }
  state.base_index = metadata.index;
  state.base_term = metadata.term;
  state.memberships.insert(
      state.memberships.begin(),
      {.index = metadata.index, .membership = metadata.membership});
}

void Install(Context& context) {
  State& state = context.state;
  const SnapshotMetadata metadata = *std::exchange(state.incoming, {});
  auto data = std::make_shared<const std::string>(
      std::exchange(state.incoming_data, {}));
  state.snapshot = {.metadata = metadata, .data = std::move(data)};
  state.bytes_since_snapshot = {};
  ReplaceLog(context, metadata);
  state.commit_index = metadata.index;
  context.snapshot_changed = true;
  context.hard_state_changed = true;
  context.actions.restore = state.snapshot;
  ResolvePending(context);
}

void ReplyReceived(Context& context, const Message& message,
                   const SnapshotChunk& chunk) {
  SendDurably(context, message.from,
              SnapshotReply{.index = chunk.metadata.index,
                            .received = context.state.incoming_data.size(),
                            .round = chunk.round});
}

}  // namespace

uint64_t Checksum(const std::string& data) {
  return XXH3_64bits(data.data(), data.size());
}

void HandleSnapshotTaken(Context& context, const SnapshotTaken& event) {
  State& state = context.state;
  state.snapshot_asked = false;
  const std::optional<Term> term = TermAt(state, event.index);
  const bool usable = event.data != nullptr && term &&
                      event.index > state.snapshot.metadata.index &&
                      event.index <= state.commit_index;
  if (!usable) return;
  ForgetMemberships(state, event.index);
  state.snapshot = {
      .metadata = {.index = event.index,
                   .term = *term,
                   .membership = state.memberships.front().membership,
                   .size = event.data->size(),
                   .checksum = Checksum(*event.data)},
      .data = event.data};
  state.bytes_since_snapshot = {};
  context.snapshot_changed = true;
  context.hard_state_changed = true;
  Compact(state);
}

void HandleSnapshotChunk(Context& context, const Message& message,
                         const SnapshotChunk& chunk) {
  State& state = context.state;
  if (chunk.metadata.index <= state.commit_index) {
    SendDurably(context, message.from,
                AppendReply{.accepted = true,
                            .match = state.commit_index,
                            .round = chunk.round});
    return;
  }
  if (state.storage_full) return;
  if (state.incoming != chunk.metadata) {
    state.incoming = chunk.metadata;
    state.incoming_data.clear();
  }
  if (chunk.offset == state.incoming_data.size()) {
    state.incoming_data += chunk.data;
  }
  if (state.incoming_data.size() < chunk.metadata.size) {
    ReplyReceived(context, message, chunk);
    return;
  }
  if (Checksum(state.incoming_data) != chunk.metadata.checksum) {
    state.incoming_data.clear();
    ReplyReceived(context, message, chunk);
    return;
  }
  Install(context);
  SendDurably(context, message.from,
              AppendReply{.accepted = true,
                          .match = chunk.metadata.index,
                          .round = chunk.round});
}

}  // namespace samphirebank::consensus::internal
