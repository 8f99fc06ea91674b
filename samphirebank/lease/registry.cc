#include <algorithm>
#include <chrono>
#include <vector>

#include "samphirebank/lease/lease.h"

namespace samphirebank::lease {
namespace {

// Note keeps the newer of two sightings.
void Note(Registry& registry, const HeardInstance& seen, TimePoint at) {
  Registry::Heard& heard = registry.heard[seen.who.instance];
  if (heard.at >= at && heard.who.instance == seen.who.instance) return;
  heard = {.who = seen.who,
           .at = at,
           .revision = seen.revision,
           .lease_left = Duration(seen.lease_left_ns)};
}

int Distance(const Participant& a, const Participant& b) {
  if (a.region != b.region) return 2;
  return a.zone == b.zone ? 0 : 1;
}

}  // namespace

void Hear(Registry& registry, const ConfigPoll& poll, TimePoint now) {
  Note(registry,
       {.who = poll.asker,
        .revision = poll.have,
        .lease_left_ns = poll.lease_left_ns},
       now);
  for (const HeardInstance& heard : poll.heard) {
    Note(registry, heard, now - Duration(std::max<int64_t>(0, heard.age_ns)));
  }
}

void Forget(Registry& registry, TimePoint now) {
  std::erase_if(registry.heard, [&](const auto& entry) {
    return now - entry.second.at > kForgetAfter;
  });
}

std::vector<HeardInstance> Report(Registry& registry, size_t limit,
                                  TimePoint now) {
  std::vector<HeardInstance> report;
  const size_t count = std::min(limit, registry.heard.size());
  auto next = registry.heard.upper_bound(registry.reported);
  while (report.size() < count) {
    if (next == registry.heard.end()) next = registry.heard.begin();
    const Registry::Heard& heard = next->second;
    report.push_back({.who = heard.who,
                      .age_ns = (now - heard.at).count(),
                      .revision = heard.revision,
                      .lease_left_ns = heard.lease_left.count()});
    registry.reported = next->first;
    ++next;
  }
  return report;
}

std::vector<net::SocketAddress> PeersFor(const Registry& registry,
                                         const Participant& asker, size_t limit,
                                         TimePoint now) {
  constexpr Duration kRecent = std::chrono::seconds(5);
  std::vector<const Registry::Heard*> found;
  for (const auto& [instance, heard] : registry.heard) {
    const bool router = heard.who.role == Role::kRouter && !heard.who.draining;
    if (!router || instance == asker.instance || now - heard.at > kRecent ||
        Distance(heard.who, asker) > 1) {
      continue;
    }
    found.push_back(&heard);
  }
  std::ranges::stable_sort(found, {}, [&](const Registry::Heard* heard) {
    return Distance(heard->who, asker);
  });
  std::vector<net::SocketAddress> peers;
  for (const Registry::Heard* heard : found) {
    if (peers.size() < limit) peers.push_back(heard->who.address);
  }
  return peers;
}

}  // namespace samphirebank::lease
