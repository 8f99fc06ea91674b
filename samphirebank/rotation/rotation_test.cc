#include "samphirebank/rotation/rotation.h"

#include <doctest/doctest.h>

namespace samphirebank::rotation {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Run lets ticks of 100 ms pass with one lateness; returns how often it left
// or returned.
int Run(Rotation& rotation, TimePoint& now, Duration lateness, Duration span) {
  int changes = 0;
  for (const TimePoint end = now + span; now < end; now += milliseconds(100)) {
    changes += RecordTick(rotation, lateness, now) ? 1 : 0;
  }
  return changes;
}

TEST_CASE("an overloaded instance leaves, and returns when it has time") {
  Rotation rotation;
  TimePoint now{seconds(100)};
  CHECK(Run(rotation, now, milliseconds(1), seconds(5)) == 0);
  CHECK(Run(rotation, now, milliseconds(150), seconds(2)) == 1);
  CHECK(rotation.is_out);
  CHECK(IsOverloaded(rotation));
  CHECK(Run(rotation, now, milliseconds(1), seconds(5)) == 1);
  CHECK_FALSE(rotation.is_out);
}

TEST_CASE("one late tick is no overload") {
  Rotation rotation;
  TimePoint now{seconds(100)};
  Run(rotation, now, milliseconds(1), seconds(3));
  CHECK_FALSE(RecordTick(rotation, milliseconds(150), now));
}

TEST_CASE("an instance that stays overloaded is in rotation now and then") {
  Rotation rotation;
  TimePoint now{seconds(100)};
  CHECK(Run(rotation, now, milliseconds(150), seconds(30)) >= 5);
}

TEST_CASE("a load that comes and goes does not make it flap") {
  Rotation rotation;
  TimePoint now{seconds(100)};
  int changes = 0;
  for (int i = 0; i < 10; ++i) {
    changes += Run(rotation, now, milliseconds(150), milliseconds(500));
    changes += Run(rotation, now, milliseconds(1), milliseconds(500));
  }
  CHECK(changes <= 4);
}

}  // namespace
}  // namespace samphirebank::rotation
