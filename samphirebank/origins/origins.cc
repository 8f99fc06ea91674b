#include "samphirebank/origins/origins.h"

#include <xxhash.h>

#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>

namespace samphirebank::origins {
namespace {

void RemoveOldest(Registry& registry) {
  registry.entries.erase(registry.by_age.front());
  registry.by_age.pop_front();
}

}  // namespace

StreamKey KeyOf(const RequestId& request) {
  return StreamKey(XXH3_64bits(request.value.data(), request.value.size()));
}

Software SoftwareOf(const directory::Announcement& target) {
  const std::string& service = target.service.value;
  const std::string& version = target.software.value;
  const uint64_t service_hash = XXH3_64bits(service.data(), service.size());
  return Software(
      XXH3_64bits_withSeed(version.data(), version.size(), service_hash));
}

bool Record(Registry& registry, const Origin& origin, TimePoint now) {
  const auto [found, is_new] = registry.entries.try_emplace(
      origin.stream,
      Registry::Entry{.software = origin.software, .recorded_at = now});
  if (!is_new) {
    std::optional<Software>& known = found->second.software;
    if (known != origin.software) known.reset();
    return false;
  }
  registry.by_age.push_back(origin.stream);
  if (registry.by_age.size() > registry.options.max_origins) {
    RemoveOldest(registry);
  }
  return true;
}

std::optional<Software> Find(const Registry& registry, StreamKey stream) {
  const auto found = registry.entries.find(stream);
  if (found == registry.entries.end()) return std::nullopt;
  return found->second.software;
}

std::vector<Origin> FindAll(const Registry& registry,
                            const std::vector<StreamKey>& streams) {
  std::vector<Origin> known;
  for (const StreamKey stream : streams) {
    const auto software = Find(registry, stream);
    if (software) known.push_back({.stream = stream, .software = *software});
  }
  return known;
}

std::vector<Origin> AllOrigins(const Registry& registry) {
  return FindAll(registry, {registry.by_age.begin(), registry.by_age.end()});
}

void EvictExpired(Registry& registry, TimePoint now) {
  while (!registry.by_age.empty()) {
    const Registry::Entry& oldest =
        registry.entries.at(registry.by_age.front());
    if (now - oldest.recorded_at < registry.options.ttl) return;
    RemoveOldest(registry);
  }
}

void Add(Outbox& outbox, const Origin& origin) {
  outbox.unsent.push_back(origin);
}

std::vector<Origin> TakeDue(Outbox& outbox, TimePoint now) {
  const bool is_due =
      !outbox.taken_at || now - *outbox.taken_at >= kSendInterval;
  if (!is_due) return {};
  outbox.taken_at = now;
  std::vector<Origin> batch = std::exchange(outbox.sent_once, {});
  const size_t num_new = std::min(outbox.unsent.size(), kMaxNewOrigins);
  const auto end = outbox.unsent.begin() + static_cast<std::ptrdiff_t>(num_new);
  outbox.sent_once.assign(outbox.unsent.begin(), end);
  outbox.unsent.erase(outbox.unsent.begin(), end);
  batch.insert(batch.end(), outbox.sent_once.begin(), outbox.sent_once.end());
  return batch;
}

}  // namespace samphirebank::origins
