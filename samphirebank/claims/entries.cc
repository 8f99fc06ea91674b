#include "samphirebank/claims/internal/entries.h"

#include <utility>

namespace samphirebank::claims::internal {
namespace {

void AddUsage(Usage& usage, uint64_t answer_bytes) {
  usage.claims += 1;
  usage.answer_bytes += answer_bytes;
}

void RemoveUsage(Usage& usage, uint64_t answer_bytes) {
  usage.claims -= 1;
  usage.answer_bytes -= answer_bytes;
}

}  // namespace

uint64_t AnswerSize(const RecordedAnswer& answer) {
  return answer.content_type.size() + answer.body.size();
}

void Insert(State& state, const ClaimKey& key, Entry entry) {
  if (entry.phase == Phase::kRunning) {
    state.running[entry.holder.owner].insert(key);
  } else {
    state.expiry.emplace(entry.expires, key);
  }
  const uint64_t size = AnswerSize(entry.answer);
  AddUsage(state.usage[key.organisation], size);
  AddUsage(state.total, size);
  state.entries.emplace(key, std::move(entry));
}

void Erase(State& state, const ClaimKey& key) {
  const auto found = state.entries.find(key);
  const Entry& entry = found->second;
  if (entry.phase == Phase::kRunning) {
    const auto owned = state.running.find(entry.holder.owner);
    owned->second.erase(key);
    if (owned->second.empty()) state.running.erase(owned);
  } else {
    state.expiry.erase({entry.expires, key});
  }
  const uint64_t size = AnswerSize(entry.answer);
  const auto usage = state.usage.find(key.organisation);
  RemoveUsage(usage->second, size);
  if (usage->second.claims == 0) state.usage.erase(usage);
  RemoveUsage(state.total, size);
  state.entries.erase(found);
}

}  // namespace samphirebank::claims::internal
