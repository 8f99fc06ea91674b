#include "samphirebank/rotation/rotation.h"

#include <doctest/doctest.h>

namespace samphirebank::rotation {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Run records a tick with the given busy time every 100 ms for `span`. Returns
// how often the instance left or returned.
int Run(Rotation& rotation, TimePoint& now, Duration busy_time, Duration span) {
  int changes = 0;
  for (const TimePoint end = now + span; now < end; now += milliseconds(100)) {
    changes += RecordTick(rotation, busy_time, now) ? 1 : 0;
  }
  return changes;
}

TEST_CASE("an overloaded instance leaves, and returns when it has recovered") {
  Rotation rotation;
  TimePoint now{seconds(100)};
  CHECK(Run(rotation, now, milliseconds(1), seconds(5)) == 0);
  CHECK(Run(rotation, now, milliseconds(150), seconds(2)) == 1);
  CHECK(rotation.is_out);
  CHECK(IsOverloaded(rotation));
  CHECK(Run(rotation, now, milliseconds(1), seconds(5)) == 1);
  CHECK_FALSE(rotation.is_out);
}

TEST_CASE("a single long busy time does not make an instance leave") {
  Rotation rotation;
  TimePoint now{seconds(100)};
  Run(rotation, now, milliseconds(1), seconds(3));
  CHECK_FALSE(RecordTick(rotation, milliseconds(150), now));
}

TEST_CASE("an instance that stays overloaded returns periodically") {
  Rotation rotation;
  TimePoint now{seconds(100)};
  CHECK(Run(rotation, now, milliseconds(150), seconds(30)) >= 5);
}

TEST_CASE("intermittent load does not make an instance flap") {
  Rotation rotation;
  TimePoint now{seconds(100)};
  int changes = 0;
  for (int i = 0; i < 10; ++i) {
    changes += Run(rotation, now, milliseconds(150), milliseconds(500));
    changes += Run(rotation, now, milliseconds(1), milliseconds(500));
  }
  CHECK(changes <= 4);
}

int EndedOf(const Rotation& rotation, int answers, TimePoint now) {
  int ended = 0;
  for (int i = 0; i < answers; ++i) {
    const auto number = static_cast<uint64_t>(i);
    ended += ShouldEndConnection(rotation, number, now) ? 1 : 0;
  }
  return ended;
}

TEST_CASE("some connections end once the balancer knows of an overload") {
  Rotation rotation;
  TimePoint now{seconds(100)};
  Run(rotation, now, milliseconds(150), milliseconds(500));
  REQUIRE(rotation.is_out);
  CHECK(EndedOf(rotation, 400, now) == 0);
  Run(rotation, now, milliseconds(150), seconds(2));
  CHECK(EndedOf(rotation, 400, now) == 100);
  // They are spread evenly, so that not all move at the same time.
  CHECK(EndedOf(rotation, 12, now) == 3);
}

TEST_CASE("no connection ends at an instance that has recovered") {
  Rotation rotation;
  TimePoint now{seconds(100)};
  Run(rotation, now, milliseconds(150), milliseconds(2500));
  Run(rotation, now, milliseconds(1), milliseconds(800));
  REQUIRE(rotation.is_out);
  CHECK(EndedOf(rotation, 400, now) == 0);
}

}  // namespace
}  // namespace samphirebank::rotation
