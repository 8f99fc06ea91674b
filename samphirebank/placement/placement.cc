#include "samphirebank/placement/placement.h"

#include <xxhash.h>

#include <algorithm>
#include <string>

namespace samphirebank::placement {

Ring BuildRing(const std::vector<TargetId>& targets) {
  Ring ring;
  ring.points.reserve(targets.size() * kPointsPerTarget);
  for (uint32_t position = 0; position < targets.size(); ++position) {
    const std::string& id = targets[position].value;
    for (uint32_t point = 0; point < kPointsPerTarget; ++point) {
      const uint64_t hash = XXH3_64bits_withSeed(id.data(), id.size(), point);
      ring.points.emplace_back(hash, position);
    }
  }
  std::sort(ring.points.begin(), ring.points.end());
  return ring;
}

uint64_t PrefixHash(std::string_view prompt) {
  const std::string_view prefix = prompt.substr(0, kPrefixBytes);
  const uint64_t hash = XXH3_64bits(prefix.data(), prefix.size());
  return hash == 0 ? 1 : hash;
}

std::optional<uint32_t> Choose(const Ring& ring, uint64_t prefix,
                               uint32_t max_attempts,
                               const std::function<bool(uint32_t)>& accepts) {
  if (ring.points.empty()) return std::nullopt;
  auto point = std::lower_bound(ring.points.begin(), ring.points.end(),
                                std::pair<uint64_t, uint32_t>(prefix, 0));
  std::optional<uint32_t> last_tried;
  const size_t num_points = ring.points.size();
  for (size_t step = 0; step < num_points && max_attempts > 0;
       ++step, ++point) {
    if (point == ring.points.end()) point = ring.points.begin();
    if (last_tried == point->second) continue;
    last_tried = point->second;
    --max_attempts;
    if (accepts(*last_tried)) return last_tried;
  }
  return std::nullopt;
}

}  // namespace samphirebank::placement
