// File: rotation.h
//
// Decides whether an overloaded instance leaves the load balancer's rotation
// for a limited time, so that new connections go to instances with spare
// capacity. Overload is detected by the lateness of a periodic timer, which
// fires late when the event loop is busy. This library performs no I/O.
//
// It is designed for a large caller whose connections all reach the same one of
// many instances.
//
// Example:
//
//   RecordTick(rotation, lateness, now);  // on each tick of the timer
//   reply(rotation.is_out ? 503 : 200);
#ifndef SAMPHIREBANK_ROTATION_ROTATION_H_
#define SAMPHIREBANK_ROTATION_ROTATION_H_

#include <chrono>

#include "samphirebank/base/base.h"

namespace samphirebank::rotation {

// Options configures when an instance leaves the rotation and returns to it.
struct Options {
  // The instance leaves when its mean lateness is above this threshold.
  Duration leave_threshold = std::chrono::milliseconds(40);
  // The instance returns when its mean lateness is below this threshold.
  Duration return_threshold = std::chrono::milliseconds(10);
  double newest_tick_weight = 0.2;  // in the moving average
  // Minimum time out of the rotation.
  Duration min_time_out = std::chrono::seconds(3);
  // Maximum time out of the rotation. An instance that is still overloaded then
  // serves that load in any case, so it reports ready to the balancer again.
  Duration max_time_out = std::chrono::seconds(8);
  // Minimum time in the rotation.
  Duration min_time_in = std::chrono::seconds(2);
};

// Rotation is the rotation state of one instance.
struct Rotation {
  Options options{};
  Duration mean_lateness{};  // exponential moving average
  bool is_out = false;
  TimePoint changed_at{};  // of the last change of is_out
};

// RecordTick records how late the periodic timer fired. Returns whether the
// instance left the rotation or returned to it.
bool RecordTick(Rotation& rotation, Duration lateness, TimePoint now);

// IsOverloaded returns whether the mean lateness is above
// Options::leave_threshold, whether or not the instance is in the rotation.
bool IsOverloaded(const Rotation& rotation);

}  // namespace samphirebank::rotation

#endif  // SAMPHIREBANK_ROTATION_ROTATION_H_
