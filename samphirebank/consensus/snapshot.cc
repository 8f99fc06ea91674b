#include <xxhash.h>

#include <utility>

#include "samphirebank/consensus/internal/core.h"

namespace samphirebank::consensus::internal {
namespace {

// DropOutdatedMemberships removes the memberships older than the one in effect
// at `index`.
void DropOutdatedMemberships(State& state, LogIndex index) {
  std::vector<IndexedMembership>& all = state.memberships;
  while (all.size() > 1 && all[1].index <= index) all.erase(all.begin());
}

// DropIndexBySize returns the index through which entries must be dropped so
// that the payload kept up to `covered` does not exceed a quarter of
// snapshot_bytes.
LogIndex DropIndexBySize(const State& state, LogIndex covered) {
  int64_t kept_bytes = 0;
  for (LogIndex i = covered; i > state.base_index; i -= LogIndex(1)) {
    kept_bytes += static_cast<int64_t>(EntryAt(state, i).payload.size());
    if (4 * kept_bytes > state.options.snapshot_bytes.value) return i;
  }
  return state.base_index;
}

// CompactLog drops the entries covered by the snapshot that no member is likely
// to need. Entries after a snapshot that is being transferred are kept.
void CompactLog(State& state) {
  const LogIndex covered = state.snapshot.metadata.index;
  const LogIndex trailing(state.options.trailing_entries);
  LogIndex drop_index = covered > trailing ? covered - trailing : LogIndex(0);
  drop_index = std::max(drop_index, DropIndexBySize(state, covered));
  for (const auto& [member, progress] : state.progress) {
    if (!progress.transfer) continue;
    drop_index =
        std::min(drop_index, progress.transfer->snapshot.metadata.index);
  }
  DropEntriesThrough(state, drop_index);
}

// RebaseLog makes the snapshot the start of the log. Entries after it are kept
// if the log contains the snapshot's last entry; otherwise all entries are
// removed.
void RebaseLog(Context& context, const SnapshotMetadata& metadata) {
  State& state = context.state;
  if (TermAt(state, metadata.index) == metadata.term) {
    DropEntriesThrough(state, metadata.index);
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

void InstallSnapshot(Context& context) {
  State& state = context.state;
  const SnapshotMetadata metadata = *std::exchange(state.incoming_snapshot, {});
  auto data = std::make_shared<const std::string>(
      std::exchange(state.incoming_data, {}));
  state.snapshot = {.metadata = metadata, .data = std::move(data)};
  state.bytes_since_snapshot = {};
  RebaseLog(context, metadata);
  state.commit_index = metadata.index;
  context.snapshot_changed = true;
  context.hard_state_changed = true;
  context.actions.restore = state.snapshot;
  ResolvePendingProposals(context);
}

void ReplyReceivedBytes(Context& context, const Message& message,
                        const SnapshotChunk& chunk) {
  SendWhenDurable(
      context, message.from,
      SnapshotReply{.index = chunk.metadata.index,
                    .received_bytes = context.state.incoming_data.size(),
                    .round = chunk.round});
}

}  // namespace

uint64_t Checksum(const std::string& data) {
  return XXH3_64bits(data.data(), data.size());
}

void HandleSnapshotTaken(Context& context, const SnapshotTaken& event) {
  State& state = context.state;
  state.snapshot_requested = false;
  const std::optional<Term> term = TermAt(state, event.index);
  const bool usable = event.data != nullptr && term &&
                      event.index > state.snapshot.metadata.index &&
                      event.index <= state.commit_index;
  if (!usable) return;
  DropOutdatedMemberships(state, event.index);
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
  CompactLog(state);
}

void HandleSnapshotChunk(Context& context, const Message& message,
                         const SnapshotChunk& chunk) {
  State& state = context.state;
  if (chunk.metadata.index <= state.commit_index) {
    SendWhenDurable(context, message.from,
                    AppendReply{.accepted = true,
                                .match_index = state.commit_index,
                                .round = chunk.round});
    return;
  }
  if (state.storage_full) return;
  if (state.incoming_snapshot != chunk.metadata) {
    state.incoming_snapshot = chunk.metadata;
    state.incoming_data.clear();
  }
  if (chunk.offset == state.incoming_data.size()) {
    state.incoming_data += chunk.data;
  }
  if (state.incoming_data.size() < chunk.metadata.size) {
    ReplyReceivedBytes(context, message, chunk);
    return;
  }
  if (Checksum(state.incoming_data) != chunk.metadata.checksum) {
    state.incoming_data.clear();
    ReplyReceivedBytes(context, message, chunk);
    return;
  }
  InstallSnapshot(context);
  SendWhenDurable(context, message.from,
                  AppendReply{.accepted = true,
                              .match_index = chunk.metadata.index,
                              .round = chunk.round});
}

}  // namespace samphirebank::consensus::internal
