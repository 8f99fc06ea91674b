#include "samphirebank/consensus/internal/core.h"

namespace samphirebank::consensus::internal {
namespace {

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

void SendChunk(Context& context, const MemberId& member,
               SnapshotTransfer& transfer) {
  State& state = context.state;
  const std::string& data = *transfer.snapshot.data;
  SnapshotChunk chunk{
      .metadata = transfer.snapshot.metadata,
      .offset = transfer.received_bytes,
      .data = data.substr(transfer.received_bytes, kMaxChunkBytes),
      .round = state.round};
  const auto bytes = static_cast<int64_t>(chunk.data.size());
  const int64_t bytes_per_second =
      std::max<int64_t>(1, state.options.snapshot_rate.value);
  state.next_chunk_at = context.now + Duration(std::chrono::seconds(1)) *
                                          bytes / bytes_per_second;
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
