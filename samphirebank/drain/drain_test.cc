#include "samphirebank/drain/drain.h"

#include <doctest/doctest.h>

namespace samphirebank::drain {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Options kOptions{.grace_period = seconds(8)};

TEST_CASE("requests are accepted until balancers have noticed the stop") {
  CHECK(ShouldAccept(kOptions, seconds(0)));
  CHECK(ShouldAccept(kOptions, milliseconds(2799)));
  CHECK_FALSE(ShouldAccept(kOptions, milliseconds(2800)));
}

TEST_CASE("an instance with requests goes through all steps in order") {
  CHECK(NextStep(kOptions, milliseconds(2999), false) == Step::kServe);
  CHECK(NextStep(kOptions, milliseconds(3000), false) == Step::kCloseIdle);
  CHECK(NextStep(kOptions, milliseconds(7199), false) == Step::kCloseIdle);
  CHECK(NextStep(kOptions, milliseconds(7200), false) == Step::kRespondAll);
  CHECK(NextStep(kOptions, milliseconds(7700), false) == Step::kExit);
}

TEST_CASE("an idle instance exits once balancers have noticed the stop") {
  CHECK(NextStep(kOptions, milliseconds(2999), true) == Step::kServe);
  CHECK(NextStep(kOptions, milliseconds(3000), true) == Step::kExit);
  CHECK(NextStep(kOptions, milliseconds(7300), true) == Step::kExit);
}

TEST_CASE("a short grace period leaves the time to respond") {
  const Options options{.grace_period = seconds(2)};
  CHECK(ShouldAccept(options, milliseconds(1199)));
  CHECK_FALSE(ShouldAccept(options, milliseconds(1200)));
  CHECK(NextStep(options, milliseconds(1699), false) == Step::kRespondAll);
  CHECK(NextStep(options, milliseconds(1700), false) == Step::kExit);
}

}  // namespace
}  // namespace samphirebank::drain
