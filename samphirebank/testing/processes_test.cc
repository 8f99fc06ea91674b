#include "samphirebank/testing/processes.h"

#include <doctest/doctest.h>

#include <cstdint>
#include <set>

namespace samphirebank::testing {
namespace {

TEST_CASE("no port is given twice") {
  constexpr size_t kPorts = 500;
  std::set<uint16_t> ports;
  for (size_t i = 0; i < kPorts; ++i) ports.insert(FreePort());
  CHECK(ports.size() == kPorts);
}

}  // namespace
}  // namespace samphirebank::testing
