#include "samphirebank/process/process.h"

#include <doctest/doctest.h>

#include "samphirebank/rotation/rotation.h"

namespace samphirebank::process {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kNow{seconds(100)};

TEST_CASE("a tick's delay is the busy time or the lateness of the tick") {
  const BusyClock busy{.busy_since = kNow - milliseconds(300)};
  CHECK(TickDelay(busy, kNow, kNow) == milliseconds(300));
  CHECK(TickDelay({}, kNow - milliseconds(90), kNow) == milliseconds(90));
  CHECK(TickDelay({}, kNow, kNow) == milliseconds(0));
  // A pause of the whole process.
  CHECK(TickDelay({}, kNow - seconds(9), kNow) == kMaxTickDelay);
}

// Guards against an instance that sends on the requests of callers who left
// long ago: it did not notice its load, since each tick came at the begin of a
// turn of the loop.
TEST_CASE("an instance whose turns last as long as its period is overloaded") {
  constexpr Duration kPeriod = milliseconds(100);
  for (const milliseconds turn :
       {milliseconds(60), milliseconds(80), milliseconds(97)}) {
    CAPTURE(turn.count());
    rotation::Rotation rotation;
    TimePoint due = kNow;
    // The timer is looked at when a turn begins.
    for (TimePoint now = kNow; now < kNow + seconds(5); now += turn) {
      if (now < due) continue;
      rotation::RecordTick(rotation, TickDelay({.busy_since = now}, due, now),
                           now);
      due = now + kPeriod;
    }
    CHECK(rotation::IsOverloaded(rotation) == (turn > milliseconds(60)));
  }
}

}  // namespace
}  // namespace samphirebank::process
