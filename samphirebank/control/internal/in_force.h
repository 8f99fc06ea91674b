// File: in_force.h
//
// When a change is in force everywhere, as far as this instance can prove. An
// instance applies a change after it was accepted, so counting from the own
// time of applying is safe, whoever led when it was accepted.
#ifndef SAMPHIREBANK_CONTROL_INTERNAL_IN_FORCE_H_
#define SAMPHIREBANK_CONTROL_INTERNAL_IN_FORCE_H_

#include <deque>

#include "samphirebank/base/base.h"

namespace samphirebank::control {

// InForceClock remembers when the newest changes were applied here.
struct InForceClock {
  // AppliedChange is one change that may not be in force yet.
  struct AppliedChange {
    Revision revision;
    TimePoint at;
  };
  Duration span{0};  // from acceptance to in force
  TimePoint restored_at;
  Revision restored;  // up to here the times of applying are unknown
  std::deque<AppliedChange> applied;
};

// NoteApplied notes the next change.
void NoteApplied(InForceClock& clock, Revision revision, TimePoint now);

// NoteRestored notes that all changes up to `revision` came in a snapshot.
void NoteRestored(InForceClock& clock, Revision revision, TimePoint now);

// UntilInForce is how long to wait until an applied change is in force; zero
// if it is.
Duration UntilInForce(const InForceClock& clock, Revision revision,
                      TimePoint now);

}  // namespace samphirebank::control

#endif  // SAMPHIREBANK_CONTROL_INTERNAL_IN_FORCE_H_
