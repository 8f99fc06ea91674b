#include "samphirebank/base/base.h"

#include <doctest/doctest.h>

namespace samphirebank {
namespace {

TEST_CASE("findings are reported together, each with its place") {
  Findings inner;
  inner.Add("weight", "-1", "a number above 0");
  Findings outer;
  outer.Merge("contract.", inner);
  outer.Add("--port", "x", "a number");
  CHECK(outer.all().size() == 2);
  CHECK(outer.ToText() ==
        "contract.weight: -1: a number above 0\n--port: x: a number\n");
}

TEST_CASE("strong numbers add within their kind") {
  Tokens total(3);
  total += Tokens(4);
  CHECK(total == Tokens(7));
  CHECK(Term(2).Next() == Term(3));
}

}  // namespace
}  // namespace samphirebank
