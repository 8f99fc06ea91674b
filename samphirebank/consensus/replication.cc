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
  request.previous_index = progress.next - LogIndex(1);
  request.previous_term = *TermAt(state, request.previous_index);
  request.entries = EntriesFrom(state, progress.next);
  request.commit_index = state.commit_index;
  request.round = state.round;
  const LogIndex end =
      request.previous_index + LogIndex(request.entries.size());
  if (progress.inflight.empty()) progress.last_advance = context.now;
  progress.inflight.push_back(end);
  if (!progress.probing) progress.next = end.Next();
  Send(context, member, std::move(request));
}

void ReplicateTo(Context& context, const MemberId& member, Progress& progress) {
  const State& state = context.state;
  if (progress.transfer || progress.next <= state.base_index) {
    TransferSnapshot(context, member, progress);
    return;
  }
  if (progress.probing) {
    const bool behind = progress.match < LastIndex(state);
    if (behind && progress.inflight.empty()) {
      SendEntries(context, member, progress);
    }
    return;
  }
  while (progress.next <= LastIndex(state) &&
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
    // The index that is known to match, so that the answer is no refusal.
    AppendRequest request;
    if (std::optional<Term> term = TermAt(state, progress.match)) {
      request.previous_index = progress.match;
      request.previous_term = *term;
    }
    request.commit_index = std::min(state.commit_index, progress.match);
    request.round = state.round;
    Send(context, member, std::move(request));
  }
}

void HandleAppendReply(Context& context, const Message& message,
                       const AppendReply& reply) {
  Progress* progress = NoteReply(context, message.from, reply.round);
  if (progress == nullptr) return;
  if (!reply.accepted) {
    progress->inflight.clear();
    progress->probing = true;
    const LogIndex hint = std::min(reply.match, LastIndex(context.state));
    progress->next = std::max(hint, progress->match).Next();
  } else if (reply.match > progress->match) {
    progress->match = reply.match;
    progress->probing = false;
    progress->last_advance = context.now;
    progress->next = std::max(progress->next, reply.match.Next());
    std::erase_if(progress->inflight,
                  [&](LogIndex end) { return end <= reply.match; });
    if (progress->transfer &&
        reply.match >= progress->transfer->snapshot.metadata.index) {
      progress->transfer.reset();
    }
  }
  TryCommit(context);
  ResolvePending(context);
  auto found = context.state.progress.find(message.from);
  if (found != context.state.progress.end()) {
    ReplicateTo(context, message.from, found->second);
  }
}

}  // namespace samphirebank::consensus::internal
