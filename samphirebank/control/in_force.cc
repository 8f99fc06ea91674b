#include "samphirebank/control/internal/in_force.h"

#include <algorithm>

namespace samphirebank::control {

void NoteApplied(InForceClock& clock, Revision revision, TimePoint now) {
  while (!clock.applied.empty() &&
         now - clock.applied.front().at >= clock.span) {
    clock.applied.pop_front();
  }
  clock.applied.push_back({.revision = revision, .at = now});
}

void NoteRestored(InForceClock& clock, Revision revision, TimePoint now) {
  clock.applied.clear();
  clock.restored = revision;
  clock.restored_at = now;
}

Duration UntilInForce(const InForceClock& clock, Revision revision,
                      TimePoint now) {
  const auto found = std::ranges::lower_bound(
      clock.applied, revision, {}, &InForceClock::AppliedChange::revision);
  TimePoint at;
  if (found != clock.applied.end() && found->revision == revision) {
    at = found->at;
  } else if (revision <= clock.restored) {
    at = clock.restored_at;
  } else {
    return Duration::zero();  // applied so long ago that it was forgotten
  }
  return std::max<Duration>(Duration::zero(), at + clock.span - now);
}

}  // namespace samphirebank::control
