#include "samphirebank/soak/internal/plan.h"

#include <doctest/doctest.h>

#include <chrono>

namespace samphirebank::soak {
namespace {

TEST_CASE("a seed always gives the same plan, another seed another one") {
  const auto text = [](uint64_t seed) {
    std::string all;
    for (const Fault& fault : MakePlan({}, seed)) {
      all += FaultText(fault) + "\n";
    }
    return all;
  };
  CHECK(text(3) == text(3));
  CHECK(text(3) != text(4));
}

TEST_CASE("the control group never loses a second member before it is whole") {
  const PlanOptions options{.length = std::chrono::seconds(60)};
  for (uint64_t seed = 0; seed < 200; ++seed) {
    Duration whole_at{};
    Duration last{};
    for (const Fault& fault : MakePlan(options, seed)) {
      CHECK(fault.at >= last);
      CHECK(fault.at < options.length);
      last = fault.at;
      if (!HitsCoordinators(fault.kind)) continue;
      CHECK(fault.at >= whole_at);
      whole_at = fault.at + fault.lasts + options.catch_up;
    }
  }
}

TEST_CASE("every kind of fault is drawn, and faults overlap") {
  std::array<int, kFaultKinds> drawn{};
  int overlapping = 0;
  for (uint64_t seed = 0; seed < 50; ++seed) {
    Duration busy_until{};
    for (const Fault& fault : MakePlan({}, seed)) {
      ++drawn[static_cast<size_t>(fault.kind)];
      if (fault.at < busy_until) ++overlapping;
      busy_until = std::max(busy_until, fault.at + fault.lasts);
    }
  }
  for (const int count : drawn) CHECK(count > 0);
  CHECK(overlapping > 500);
}

}  // namespace
}  // namespace samphirebank::soak
