#include "samphirebank/placement/placement.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace samphirebank::placement {
namespace {

std::vector<TargetId> Targets(uint32_t count) {
  std::vector<TargetId> targets;
  for (uint32_t i = 0; i < count; ++i) {
    targets.emplace_back("target-" + std::to_string(i));
  }
  return targets;
}

uint64_t PrefixHashOf(uint32_t number) {
  return PrefixHash("prompt " + std::to_string(number));
}

bool AcceptAny(uint32_t) { return true; }

TEST_CASE("a prefix keeps its target when another target is removed") {
  const Ring before = BuildRing(Targets(20));
  const Ring after = BuildRing(Targets(19));
  uint32_t moved = 0;
  for (uint32_t i = 0; i < 1000; ++i) {
    const auto first = Choose(before, PrefixHashOf(i), 1, AcceptAny);
    const auto second = Choose(after, PrefixHashOf(i), 1, AcceptAny);
    if (*first == 19) continue;
    moved += *first == *second ? 0 : 1;
  }
  CHECK(moved == 0);
}

TEST_CASE("prefixes are spread over the targets") {
  const Ring ring = BuildRing(Targets(20));
  std::vector<uint32_t> counts(20, 0);
  for (uint32_t i = 0; i < 10'000; ++i) {
    counts[*Choose(ring, PrefixHashOf(i), 1, AcceptAny)] += 1;
  }
  for (const uint32_t count : counts) {
    CHECK(count > 150);
    CHECK(count < 1200);
  }
}

TEST_CASE("a rejected target is skipped, up to the number of attempts") {
  const Ring ring = BuildRing(Targets(4));
  const uint32_t home = *Choose(ring, PrefixHashOf(1), 1, AcceptAny);
  const auto accepts_other = [&](uint32_t position) {
    return position != home;
  };
  CHECK(!Choose(ring, PrefixHashOf(1), 1, accepts_other));
  CHECK(Choose(ring, PrefixHashOf(1), 8, accepts_other) != home);
  CHECK(!Choose(Ring{}, PrefixHashOf(1), 8, AcceptAny));
}

}  // namespace
}  // namespace samphirebank::placement
