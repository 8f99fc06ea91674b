#include "samphirebank/json/json.h"

#include <doctest/doctest.h>

#include <string>

namespace samphirebank::json {
namespace {

std::string Nested(int depth) {
  const auto count = static_cast<size_t>(depth);
  return std::string(count, '[') + std::string(count, ']');
}

TEST_CASE("a document within the depth is whole, a deeper one is discarded") {
  CHECK(Parse(Nested(kMaxDepth)).dump() == Nested(kMaxDepth));
  CHECK(Parse(Nested(kMaxDepth + 1)).is_discarded());
  CHECK(Parse(Nested(1'000'000)).is_discarded());
  CHECK(Parse(R"({"a":)" + Nested(kMaxDepth) + R"(,"b":1})").is_discarded());
}

TEST_CASE("malformed text is discarded") {
  CHECK(Parse("").is_discarded());
  CHECK(Parse("{").is_discarded());
  CHECK(Parse("{} {}").is_discarded());
  CHECK(Parse(R"({"a":1})")["a"] == 1);
}

}  // namespace
}  // namespace samphirebank::json
