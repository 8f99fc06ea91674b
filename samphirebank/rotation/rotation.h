// File: rotation.h
//
// Decides whether an overloaded instance leaves the load balancer's rotation
// for a limited time, so that new connections go to instances with spare
// capacity, and which of its callers' connections it ends meanwhile, so that
// those callers come to such an instance too. Overload is detected by the time
// for which the event loop has been busy without a break. This library performs
// no I/O.
//
// It is designed for a large caller whose connections all reach the same one of
// many instances.
//
// Example:
//
//   RecordTick(rotation, busy_time, now);  // on each tick of the timer
//   reply(rotation.is_out ? 503 : 200);
//   Answer(request, ShouldEndConnection(rotation, number, now) ? kClose :
//   kKeep);
#ifndef SAMPHIREBANK_ROTATION_ROTATION_H_
#define SAMPHIREBANK_ROTATION_ROTATION_H_

#include <chrono>
#include <cstdint>

#include "samphirebank/base/base.h"

namespace samphirebank::rotation {

// Options configures when an instance leaves the rotation and returns to it.
struct Options {
  // The instance leaves when its mean busy time is above this threshold.
  Duration leave_threshold = std::chrono::milliseconds(40);
  // The instance returns when its mean busy time is below this threshold.
  Duration return_threshold = std::chrono::milliseconds(10);
  double newest_tick_weight = 0.2;  // in the moving average
  // Minimum time out of the rotation.
  Duration min_time_out = std::chrono::seconds(3);
  // Maximum time out of the rotation. An instance that is still overloaded then
  // serves that load in any case, so it reports ready to the balancer again.
  Duration max_time_out = std::chrono::seconds(8);
  // Minimum time in the rotation.
  Duration min_time_in = std::chrono::seconds(1);
  // The balancer takes this long to notice that the instance has left. Before
  // that, a caller whose connection ends may come back to the same instance.
  Duration balancer_delay = std::chrono::seconds(2);
  // One of so many answers ends its connection while the instance is out and
  // overloaded. Not all do, since the callers would move to one other instance
  // at the same time.
  uint64_t answers_per_ended_connection = 4;
};

// Rotation is the rotation state of one instance.
struct Rotation {
  Options options{};
  Duration mean_busy_time{};  // exponential moving average
  bool is_out = false;
  TimePoint changed_at{};  // of the last change of is_out
};

// RecordTick records for how long the event loop has been busy at a tick of the
// periodic timer, that is, how long ago it last waited for events. Returns
// whether the instance left the rotation or returned to it.
bool RecordTick(Rotation& rotation, Duration busy_time, TimePoint now);

// IsOverloaded returns whether the mean busy time is above
// Options::leave_threshold, whether or not the instance is in the rotation.
bool IsOverloaded(const Rotation& rotation);

// ShouldEndConnection returns whether an answer that begins now should end its
// caller's connection. `answer_number` counts the answers of the instance.
bool ShouldEndConnection(const Rotation& rotation, uint64_t answer_number,
                         TimePoint now);

}  // namespace samphirebank::rotation

#endif  // SAMPHIREBANK_ROTATION_ROTATION_H_
