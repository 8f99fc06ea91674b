#include "samphirebank/consensus/internal/core.h"

namespace samphirebank::consensus::internal {
namespace {

size_t RunningTransfers(const State& state) {
  return static_cast<size_t>(
      std::count_if(state.progress.begin(), state.progress.end(),
                    [](const auto& item) { return item.second.transfer; }));
}

// IsSilent says whether the member stopped answering, so that its place is
// better given to another.
bool IsSilent(const Context& context, const Progress& progress) {
  return context.now - progress.last_reply >=
         context.state.options.election_timeout;
}

void SendChunk(Context& context, const MemberId& member,
               SnapshotTransfer& transfer) {
  State& state = context.state;
  const std::string& data = *transfer.snapshot.data;
  SnapshotChunk chunk{.metadata = transfer.snapshot.metadata,
                      .offset = transfer.received,
                      .data = data.substr(transfer.received, kMaxChunkBytes),
                      .round = state.round};
  const auto bytes = static_cast<int64_t>(chunk.data.size());
  const int64_t rate = std::max<int64_t>(1, state.options.snapshot_rate.value);
  state.transfer_allowed_at =
      context.now + Duration(std::chrono::seconds(1)) * bytes / rate;
  transfer.waiting = true;
  transfer.sent_at = context.now;
  Send(context, member, std::move(chunk));
}

}  // namespace

void TransferSnapshot(Context& context, const MemberId& member,
                      Progress& progress) {
  State& state = context.state;
  if (progress.transfer && IsSilent(context, progress)) {
    progress.transfer.reset();
  }
  if (!progress.transfer) {
    const bool place =
        RunningTransfers(state) < state.options.max_snapshot_transfers;
    if (!place || IsSilent(context, progress)) return;
    progress.transfer = SnapshotTransfer{.snapshot = state.snapshot};
    progress.inflight.clear();
  }
  SnapshotTransfer& transfer = *progress.transfer;
  const bool lost =
      context.now - transfer.sent_at >= state.options.resend_timeout;
  if (transfer.waiting && !lost) return;
  if (context.now < state.transfer_allowed_at) return;
  SendChunk(context, member, transfer);
}

void HandleSnapshotReply(Context& context, const Message& message,
                         const SnapshotReply& reply) {
  Progress* progress = NoteReply(context, message.from, reply.round);
  if (progress == nullptr) return;
  AdvanceRounds(context);
  if (!progress->transfer ||
      progress->transfer->snapshot.metadata.index != reply.index) {
    return;
  }
  SnapshotTransfer& transfer = *progress->transfer;
  transfer.received =
      std::min<uint64_t>(reply.received, transfer.snapshot.metadata.size);
  transfer.waiting = false;
  TransferSnapshot(context, message.from, *progress);
}

}  // namespace samphirebank::consensus::internal
