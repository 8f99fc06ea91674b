// File: rotation.h
//
// Whether an overloaded instance leaves the balancer's rotation for a while,
// so that new connections go to instances with time to serve them. Overload
// shows as lateness of a periodic timer: the loop had no turn for it. No I/O.
//
// The load it answers: one large caller whose connections all fall to one
// instance of many.
//
// Example:
//
//   RecordTick(rotation, lateness, now);
//   reply(rotation.is_out ? 503 : 200);
#ifndef SAMPHIREBANK_ROTATION_ROTATION_H_
#define SAMPHIREBANK_ROTATION_ROTATION_H_

#include <chrono>

#include "samphirebank/base/base.h"

namespace samphirebank::rotation {

// Options of the decision.
struct Options {
  Duration leave_above = std::chrono::milliseconds(40);
  Duration return_below = std::chrono::milliseconds(10);
  double newest_weight = 0.2;  // of one tick in the mean
  Duration least_out = std::chrono::seconds(3);
  // An instance that keeps its load although it left serves it anyway, and
  // tells the balancer so.
  Duration most_out = std::chrono::seconds(8);
  Duration least_in = std::chrono::seconds(2);
};

// Rotation is one instance's state.
struct Rotation {
  Options options{};
  Duration mean_lateness{};
  bool is_out = false;
  TimePoint changed_at{};
};

// RecordTick takes in how late a periodic timer was. Returns whether the
// instance left or returned.
bool RecordTick(Rotation& rotation, Duration lateness, TimePoint now);

// IsOverloaded tells whether the loop is late by more than it should ever be.
bool IsOverloaded(const Rotation& rotation);

}  // namespace samphirebank::rotation

#endif  // SAMPHIREBANK_ROTATION_ROTATION_H_
