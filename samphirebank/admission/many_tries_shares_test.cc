// Guards against an organisation that starves since another tries more often.
#include <doctest/doctest.h>

#include "samphirebank/admission/fair_shares_judge.h"

namespace samphirebank::admission {
namespace {

TEST_CASE("who tries often and may wait long does not starve another") {
  Compare({.name = "many tries",
           .usual_demand = 2'400'000,
           .skew = 1.0,
           .stated_capacity = 500'000,
           .eightfold = 0,
           .twelvefold = 3,
           .max_attempts = 12,
           .patient = {0}});
}

}  // namespace
}  // namespace samphirebank::admission
