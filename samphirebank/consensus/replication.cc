#include "samphirebank/consensus/internal/core.h"

namespace samphirebank::consensus::internal {
namespace {

std::vector<Entry> EntriesFrom(const State& state, LogIndex first) {
  std::vector<Entry> entries;
  size_t bytes = 0;
  for (LogIndex i = first; i <= LastIndex(state); i = i.Next()) {
    const Entry& entry = EntryAt(state, i);
    bytes += entry.payload.size() + sizeof(Entry);
    if (!entries.empty() && bytes > kMaxEntriesBytes) break;
    entries.push_back(entry);
  }
  return entries;
}

void SendEntries(Context& context, const MemberId& member, Progress& progress) {
  const State& state = context.state;
  AppendRequest request;
  request.previous_index = progress.next_index - LogIndex(1);
  request.previous_term = *TermAt(state, request.previous_index);
  request.entries = EntriesFrom(state, progress.next_index);
  request.commit_index = state.commit_index;
  request.round = state.round;
  const LogIndex end =
      request.previous_index + LogIndex(request.entries.size());
  if (progress.inflight.empty()) progress.last_progress_at = context.now;
  progress.inflight.push_back(end);
  if (!progress.probing) progress.next_index = end.Next();
  Send(context, member, std::move(request));
}

void ReplicateTo(Context& context, const MemberId& member, Progress& progress) {
  const State& state = context.state;
  if (progress.transfer || progress.next_index <= state.base_index) {
    TransferSnapshot(context, member, progress);
    return;
  }
  if (progress.probing) {
    const bool is_behind = progress.match_index < LastIndex(state);
    if (is_behind && progress.inflight.empty()) {
      SendEntries(context, member, progress);
    }
    return;
  }
  while (progress.next_index <= LastIndex(state) &&
         progress.inflight.size() < state.options.max_inflight_appends) {
    SendEntries(context, member, progress);
  }
}

}  // namespace

void Replicate(Context& context) {
  for (auto& [member, progress] : context.state.progress) {
    ReplicateTo(context, member, progress);
  }
}

void SendHeartbeats(Context& context) {
  State& state = context.state;
  state.next_heartbeat = context.now + state.options.heartbeat_interval;
  for (const auto& [member, progress] : state.progress) {
    // Uses the index known to match, so that the follower accepts the
    // heartbeat.
    AppendRequest request;
    if (std::optional<Term> term = TermAt(state, progress.match_index)) {
      request.previous_index = progress.match_index;
      request.previous_term = *term;
    }
    request.commit_index = std::min(state.commit_index, progress.match_index);
    request.round = state.round;
    Send(context, member, std::move(request));
  }
}

void HandleAppendReply(Context& context, const Message& message,
                       const AppendReply& reply) {
  Progress* progress = RecordReply(context, message.from, reply.round);
  if (progress == nullptr) return;
  if (!reply.accepted) {
    progress->inflight.clear();
    progress->probing = true;
    const LogIndex hint = std::min(reply.match_index, LastIndex(context.state));
    progress->next_index = std::max(hint, progress->match_index).Next();
  } else if (reply.match_index > progress->match_index) {
    progress->match_index = reply.match_index;
    progress->probing = false;
    progress->last_progress_at = context.now;
    progress->next_index =
        std::max(progress->next_index, reply.match_index.Next());
    std::erase_if(progress->inflight,
                  [&](LogIndex end) { return end <= reply.match_index; });
    if (progress->transfer &&
        reply.match_index >= progress->transfer->snapshot.metadata.index) {
      progress->transfer.reset();
    }
  }
  TryCommit(context);
  ResolvePendingProposals(context);
  auto found = context.state.progress.find(message.from);
  if (found != context.state.progress.end()) {
    ReplicateTo(context, message.from, found->second);
  }
}

}  // namespace samphirebank::consensus::internal
