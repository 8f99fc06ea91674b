#include <chrono>

#include "samphirebank/consensus/internal/core.h"

namespace samphirebank::consensus::internal {
namespace {

// The time by which a chunk may be late because ticks and replies are discrete.
constexpr Duration kMaxLateness = std::chrono::milliseconds(100);

size_t CountActiveTransfers(const State& state) {
  return static_cast<size_t>(
      std::count_if(state.progress.begin(), state.progress.end(),
                    [](const auto& item) { return item.second.transfer; }));
}

// IsUnresponsive reports whether the member has stopped replying, so that its
// transfer slot should go to another member.
bool IsUnresponsive(const Context& context, const Progress& progress) {
  return context.now - progress.last_reply_at >=
         context.state.options.election_timeout;
}

// SetNextChunkTime spaces the chunks out to the rate of the transfer. A chunk
// that was late by at most kMaxLateness does not delay the next one.
void SetNextChunkTime(Context& context, int64_t chunk_bytes,
                      uint64_t snapshot_bytes) {
  State& state = context.state;
  const Options& options = state.options;
  const auto seconds = std::chrono::duration<double>(options.snapshot_time);
  const double bytes_per_second =
      std::max(static_cast<double>(options.snapshot_rate.value),
               static_cast<double>(snapshot_bytes) / seconds.count());
  const auto interval =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
          static_cast<double>(chunk_bytes) / bytes_per_second));
  const bool is_steady = context.now - state.next_chunk_at <= kMaxLateness;
  const TimePoint due = is_steady ? state.next_chunk_at : context.now;
  state.next_chunk_at = due + interval;
}

void SendChunk(Context& context, const MemberId& member,
               SnapshotTransfer& transfer) {
  State& state = context.state;
  const std::string& data = *transfer.snapshot.data;
  SnapshotChunk chunk{
      .metadata = transfer.snapshot.metadata,
      .offset = transfer.received_bytes,
      .data = data.substr(transfer.received_bytes, kMaxChunkBytes),
      .round = state.round};
  SetNextChunkTime(context, static_cast<int64_t>(chunk.data.size()),
                   data.size());
  transfer.awaiting_reply = true;
  transfer.sent_at = context.now;
  Send(context, member, std::move(chunk));
}

}  // namespace

void TransferSnapshot(Context& context, const MemberId& member,
                      Progress& progress) {
  State& state = context.state;
  if (progress.transfer && IsUnresponsive(context, progress)) {
    progress.transfer.reset();
  }
  if (!progress.transfer) {
    const bool has_free_slot =
        CountActiveTransfers(state) < state.options.max_snapshot_transfers;
    if (!has_free_slot || IsUnresponsive(context, progress)) return;
    progress.transfer = SnapshotTransfer{.snapshot = state.snapshot};
    progress.inflight.clear();
  }
  SnapshotTransfer& transfer = *progress.transfer;
  const bool is_chunk_lost =
      context.now - transfer.sent_at >= state.options.resend_timeout;
  if (transfer.awaiting_reply && !is_chunk_lost) return;
  if (context.now < state.next_chunk_at) return;
  SendChunk(context, member, transfer);
}

void HandleSnapshotReply(Context& context, const Message& message,
                         const SnapshotReply& reply) {
  Progress* progress = RecordReply(context, message.from, reply.round);
  if (progress == nullptr) return;
  AdvanceConfirmations(context);
  if (!progress->transfer ||
      progress->transfer->snapshot.metadata.index != reply.index) {
    return;
  }
  SnapshotTransfer& transfer = *progress->transfer;
  transfer.received_bytes =
      std::min<uint64_t>(reply.received_bytes, transfer.snapshot.metadata.size);
  transfer.awaiting_reply = false;
  TransferSnapshot(context, message.from, *progress);
}

}  // namespace samphirebank::consensus::internal
