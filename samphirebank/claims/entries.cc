#include "samphirebank/claims/internal/entries.h"

#include <utility>

namespace samphirebank::claims::internal {
namespace {

void AddUsage(Usage& usage, uint64_t response_bytes) {
  usage.claims += 1;
  usage.response_bytes += response_bytes;
}

void RemoveUsage(Usage& usage, uint64_t response_bytes) {
  usage.claims -= 1;
  usage.response_bytes -= response_bytes;
}

}  // namespace

uint64_t ResponseSize(const RecordedResponse& response) {
  return response.content_type.size() + response.body.size();
}

void Insert(State& state, const ClaimKey& key, Entry entry) {
  if (entry.phase == Phase::kRunning) {
    state.running[entry.holder.owner].insert(key);
  } else {
    state.expiry.emplace(entry.expires, key);
  }
  const uint64_t size = ResponseSize(entry.response);
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
  const uint64_t size = ResponseSize(entry.response);
  const auto usage = state.usage.find(key.organisation);
  RemoveUsage(usage->second, size);
  if (usage->second.claims == 0) state.usage.erase(usage);
  RemoveUsage(state.total, size);
  state.entries.erase(found);
}

}  // namespace samphirebank::claims::internal
