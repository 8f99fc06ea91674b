#include "samphirebank/control/internal/in_force.h"

#include <doctest/doctest.h>

#include <chrono>

namespace samphirebank::control {
namespace {

using std::chrono::seconds;

TimePoint At(int s) { return TimePoint(seconds(s)); }

TEST_CASE("a change is in force one span after it was applied here") {
  InForceClock clock{.span = seconds(3)};
  NoteApplied(clock, Revision(1), At(10));
  NoteApplied(clock, Revision(2), At(12));
  CHECK(UntilInForce(clock, Revision(1), At(11)) == seconds(2));
  CHECK(UntilInForce(clock, Revision(2), At(12)) == seconds(3));
  CHECK(UntilInForce(clock, Revision(1), At(14)) == Duration(0));
  NoteApplied(clock, Revision(3), At(13));
  CHECK(UntilInForce(clock, Revision(1), At(13)) == Duration(0));
  CHECK(UntilInForce(clock, Revision(2), At(13)) == seconds(2));
}

TEST_CASE("what came in a snapshot counts from then") {
  InForceClock clock{.span = seconds(3)};
  NoteApplied(clock, Revision(1), At(10));
  NoteRestored(clock, Revision(7), At(11));
  CHECK(UntilInForce(clock, Revision(1), At(11)) == seconds(3));
  CHECK(UntilInForce(clock, Revision(7), At(12)) == seconds(2));
}

}  // namespace
}  // namespace samphirebank::control
