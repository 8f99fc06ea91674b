// Guards against an organisation that its one overloaded gateway leaves behind.
#include <doctest/doctest.h>

#include "samphirebank/admission/fair_shares_judge.h"

namespace samphirebank::admission {
namespace {

TEST_CASE("who comes through one overloaded gateway gets half of others") {
  Compare({.name = "one overloaded gateway",
           .usual_demand = 2'400'000,
           .skew = 1.0,
           .stated_capacity = 1'000'000,
           .eightfold = 2,
           .twelvefold = 0,
           .max_attempts = 2,
           .through_one = {2},
           .gateway_capacity = 340});
}

}  // namespace
}  // namespace samphirebank::admission
