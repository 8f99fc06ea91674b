// File: placement.h
//
// Which target a request with a known prompt prefix should go to, so that the
// prefix is likely to be in the target's cache: consistent hashing, passing
// over targets without room.
//
// Example:
//
//   placement::Ring ring = placement::BuildRing({"t1", "t2"});
//   auto chosen = placement::Choose(ring, prefix, 4,
//                                   [&](size_t i) { return has_room(i); });
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

// kPointsPerTarget is how many points of the ring each target has.
inline constexpr uint32_t kPointsPerTarget = 32;

// Ring places targets on a circle of hashes.
struct Ring {
  // (hash, position of the target in the list it was built from), sorted.
  std::vector<std::pair<uint64_t, uint32_t>> points{};
};

// BuildRing returns the ring of `targets`. When a target joins or leaves, only
// about its own share of the prefixes moves.
Ring BuildRing(const std::vector<TargetId>& targets);

// PrefixHash returns the hash of a prompt's first `kPrefixBytes`; never 0.
uint64_t PrefixHash(std::string_view prompt);

// kPrefixBytes is how much of a prompt its prefix is.
inline constexpr size_t kPrefixBytes = 1024;

// Choose returns the position of the first target from the prefix's point on
// that `accepts`, trying at most `attempts` different points' targets; nothing
// if none does. Targets with a full share of work should not accept.
std::optional<uint32_t> Choose(const Ring& ring, uint64_t prefix,
                               uint32_t attempts,
                               const std::function<bool(uint32_t)>& accepts);

}  // namespace samphirebank::placement

#endif  // SAMPHIREBANK_PLACEMENT_PLACEMENT_H_
