#include "samphirebank/residency/residency.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace samphirebank::residency {

AllowedRegions RestrictTo(const std::vector<RegionId>& list) {
  if (list.empty()) return {};
  return {.regions = std::set<RegionId>(list.begin(), list.end())};
}

AllowedRegions Intersect(const AllowedRegions& a, const AllowedRegions& b) {
  if (!a.regions) return b;
  if (!b.regions) return a;
  std::set<RegionId> both;
  std::ranges::set_intersection(*a.regions, *b.regions,
                                std::inserter(both, both.end()));
  return {.regions = std::move(both)};
}

bool Allows(const AllowedRegions& allowed,
            const std::optional<RegionId>& region) {
  if (!allowed.regions) return true;
  return region && allowed.regions->contains(*region);
}

}  // namespace samphirebank::residency
