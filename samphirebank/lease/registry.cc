#include <algorithm>
#include <chrono>
#include <vector>

#include "samphirebank/lease/lease.h"

namespace samphirebank::lease {
namespace {

// RecordSighting updates the entry of an instance unless the stored one is at
// least as recent.
void RecordSighting(Registry& registry, const ReportedInstance& seen,
                    TimePoint at) {
  Registry::Entry& item = registry.entries[seen.peer.instance];
  if (item.last_seen >= at && item.peer.instance == seen.peer.instance) return;
  item = {.peer = seen.peer,
          .last_seen = at,
          .revision = seen.revision,
          .lease_left = Duration(seen.lease_left_ns)};
}

int Distance(const Participant& a, const Participant& b) {
  if (a.region != b.region) return 2;
  return a.zone == b.zone ? 0 : 1;
}

}  // namespace

void RecordPoll(Registry& registry, const ConfigPoll& poll, TimePoint now) {
  RecordSighting(registry,
                 {.peer = poll.requester,
                  .revision = poll.revision,
                  .lease_left_ns = poll.lease_left_ns},
                 now);
  for (const ReportedInstance& reported : poll.instances) {
    RecordSighting(registry, reported,
                   now - Duration(std::max<int64_t>(0, reported.age_ns)));
  }
}

void EvictStaleEntries(Registry& registry, TimePoint now) {
  std::erase_if(registry.entries, [&](const auto& entry) {
    return now - entry.second.last_seen > kEntryTtl;
  });
}

std::vector<ReportedInstance> ReportInstances(Registry& registry, size_t limit,
                                              TimePoint now) {
  std::vector<ReportedInstance> report;
  const size_t count = std::min(limit, registry.entries.size());
  auto next = registry.entries.upper_bound(registry.last_reported);
  while (report.size() < count) {
    if (next == registry.entries.end()) next = registry.entries.begin();
    const Registry::Entry& entry = next->second;
    report.push_back({.peer = entry.peer,
                      .age_ns = (now - entry.last_seen).count(),
                      .revision = entry.revision,
                      .lease_left_ns = entry.lease_left.count()});
    registry.last_reported = next->first;
    ++next;
  }
  return report;
}

std::vector<net::SocketAddress> PeersFor(const Registry& registry,
                                         const Participant& requester,
                                         size_t limit, TimePoint now) {
  constexpr Duration kMaxPeerAge = std::chrono::seconds(5);
  std::vector<const Registry::Entry*> found;
  for (const auto& [instance, entry] : registry.entries) {
    const bool is_available_router =
        entry.peer.role == Role::kRouter && !entry.peer.draining;
    if (!is_available_router || instance == requester.instance ||
        now - entry.last_seen > kMaxPeerAge ||
        Distance(entry.peer, requester) > 1) {
      continue;
    }
    found.push_back(&entry);
  }
  std::ranges::stable_sort(found, {}, [&](const Registry::Entry* entry) {
    return Distance(entry->peer, requester);
  });
  std::vector<net::SocketAddress> peers;
  for (const Registry::Entry* entry : found) {
    if (peers.size() < limit) peers.push_back(entry->peer.address);
  }
  return peers;
}

}  // namespace samphirebank::lease
