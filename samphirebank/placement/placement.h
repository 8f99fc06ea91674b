// File: placement.h
//
// Selects the target of a request with a known prompt prefix by consistent
// hashing, so that the target is likely to have the prefix in its cache.
// Targets without free capacity are skipped.
//
// Example:
//
//   placement::Ring ring = placement::BuildRing({"t1", "t2"});
//   auto chosen = placement::Choose(
//       ring, prefix, 4, [&](uint32_t i) { return has_capacity(i); });
//
// Thread-safe for concurrent reads of one ring.
#ifndef SAMPHIREBANK_PLACEMENT_PLACEMENT_H_
#define SAMPHIREBANK_PLACEMENT_PLACEMENT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "samphirebank/base/base.h"

namespace samphirebank::placement {

// kPointsPerTarget is the number of points on the ring per target.
inline constexpr uint32_t kPointsPerTarget = 32;

// Ring is a consistent hash ring of targets.
struct Ring {
  // Pairs of a hash and the position of its target in the list from which the
  // ring was built, sorted by hash.
  std::vector<std::pair<uint64_t, uint32_t>> points{};
};

// BuildRing returns the ring of `targets`. Adding or removing one of n targets
// reassigns only about 1/n of the prefixes.
Ring BuildRing(const std::vector<TargetId>& targets);

// PrefixHash returns the hash of the first kPrefixBytes bytes of a prompt. The
// hash is never 0.
uint64_t PrefixHash(std::string_view prompt);

// kPrefixBytes is the length of the hashed prefix in bytes.
inline constexpr size_t kPrefixBytes = 1024;

// Choose walks the ring from the hash `prefix` and returns the position of the
// first target for which `accepts` returns true, or nothing if there is none.
// It calls `accepts` at most `max_attempts` times; successive points of the
// same target count once. `accepts` should reject targets without free
// capacity.
std::optional<uint32_t> Choose(const Ring& ring, uint64_t prefix,
                               uint32_t max_attempts,
                               const std::function<bool(uint32_t)>& accepts);

}  // namespace samphirebank::placement

#endif  // SAMPHIREBANK_PLACEMENT_PLACEMENT_H_
