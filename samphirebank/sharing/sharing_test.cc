#include "samphirebank/sharing/sharing.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>
#include <vector>

namespace samphirebank::sharing {
namespace {

TEST_CASE("receipts agree with a plain set of the newest 65 numbers") {
  CHECK(rc::check("receipts", [] {
    Receipts receipts;
    std::set<uint64_t> taken;
    const auto numbers = *rc::gen::container<std::vector<uint64_t>>(
        rc::gen::inRange<uint64_t>(1, 200));
    for (const uint64_t number : numbers) {
      const uint64_t newest = taken.empty() ? 0 : *taken.rbegin();
      const bool too_old = number + 64 < newest;
      const bool fresh = !too_old && !taken.contains(number);
      RC_ASSERT(receipts.Add(number) == fresh);
      taken.insert(number);
    }
    for (uint64_t number = 1; number < 200; ++number) {
      if (taken.empty() || number + 64 < *taken.rbegin()) continue;
      RC_ASSERT(receipts.Contains(number) == taken.contains(number));
    }
  }));
}

}  // namespace
}  // namespace samphirebank::sharing
