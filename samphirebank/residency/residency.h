// File: residency.h
//
// Data residency: the regions in which a request may be served, and its
// content cached and stored. A route and an organisation may each restrict
// them; a request is bound by all restrictions that concern it. No I/O.
//
// Example:
//
//   const AllowedRegions allowed =
//       Intersect(RestrictTo(route.allowed_regions),
//                 RestrictTo(organisation.allowed_regions));
//   if (!Allows(allowed, region_of_target)) continue;
#ifndef SAMPHIREBANK_RESIDENCY_RESIDENCY_H_
#define SAMPHIREBANK_RESIDENCY_RESIDENCY_H_

#include <optional>
#include <set>
#include <vector>

#include "samphirebank/base/base.h"

namespace samphirebank::residency {

// AllowedRegions is the set of regions that a request is restricted to. Without
// a set every region is allowed; an empty set allows none.
struct AllowedRegions {
  std::optional<std::set<RegionId>> regions{};

  friend bool operator==(const AllowedRegions&,
                         const AllowedRegions&) = default;
};

// RestrictTo returns the restriction that a route table states as a list. An
// empty list restricts nothing.
AllowedRegions RestrictTo(const std::vector<RegionId>& list);

// Intersect returns the regions that both restrictions allow.
AllowedRegions Intersect(const AllowedRegions& a, const AllowedRegions& b);

// Allows returns whether a target in `region` may serve the request. An unknown
// region is allowed only without a restriction.
bool Allows(const AllowedRegions& allowed,
            const std::optional<RegionId>& region);

}  // namespace samphirebank::residency

#endif  // SAMPHIREBANK_RESIDENCY_RESIDENCY_H_
