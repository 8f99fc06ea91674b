#include <algorithm>

#include "samphirebank/events/events.h"

namespace samphirebank::events {

Stamp Tick(Clock& clock, int64_t wall_ms) {
  if (wall_ms > clock.last.wall_ms) {
    clock.last = Stamp{.wall_ms = wall_ms, .logical = 0};
  } else {
    ++clock.last.logical;
  }
  return clock.last;
}

void Merge(Clock& clock, Stamp received, int64_t wall_ms) {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  const int64_t limit =
      wall_ms + duration_cast<milliseconds>(kMaxStampAhead).count();
  if (received.wall_ms > limit) return;
  clock.last = std::max(clock.last, received);
}

}  // namespace samphirebank::events
