// File: shedding.h
//
// Decides which requests an overloaded instance refuses at once. A refusal
// costs a fraction of the processor time of a served request and tells the
// caller to retry, and the retry reaches another instance. Without it, requests
// wait unread until their callers give up, and the instance spends its
// processor on work that nobody waits for. This library performs no I/O.
//
// It is designed for a large caller whose connections all reach one instance
// of a zone, at several times the load that the instance can serve, while the
// other instances of the zone are nearly idle.
//
// Example:
//
//   RecordTick(shedding, busy_time);  // on each tick of the timer
//   if (ShouldRefuse(shedding, {.in_flight = 12, .above_share = true,
//                               .seed = seed})) {
//     Refuse(RetryAfter(shedding.options, seed));
//   }
#ifndef SAMPHIREBANK_SHEDDING_SHEDDING_H_
#define SAMPHIREBANK_SHEDDING_SHEDDING_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "samphirebank/base/base.h"

namespace samphirebank::shedding {

// Options configures how much load is shed.
struct Options {
  // The fraction of refused requests grows while the event loop has been busy
  // for longer than this without a break, and shrinks otherwise. A request that
  // is read now has waited unread for at most that time.
  Duration target_busy_time = std::chrono::milliseconds(50);
  // Change of the fraction at a tick at which the loop has been busy for twice
  // the target.
  double gain = 0.06;
  // Bound of the busy time in multiples of the target, so that a single long
  // pause of the process does not count as lasting overload.
  double max_busy_ratio = 4.0;
  // Some requests are always served, so that the instance notices when the
  // load is gone.
  double max_refused_fraction = 0.95;
  // Requests in flight above which all further ones are refused. Each of them
  // takes up to three descriptors: the caller's connection, the target's, and
  // one that is being closed.
  size_t max_in_flight = 1000;
  // A refused request should be retried after a delay between these.
  Duration min_retry_delay = std::chrono::milliseconds(50);
  Duration max_retry_delay = std::chrono::milliseconds(150);
};

// Shedding is the state of one instance.
struct Shedding {
  Options options{};
  double refused_fraction = 0.0;  // of all requests, from 0 to 1
};

// RecordTick records for how long the event loop has been busy at a tick of the
// periodic timer, that is, how long ago it last waited for events.
void RecordTick(Shedding& shedding, Duration busy_time);

// Request describes a request that was read just now.
struct Request {
  size_t in_flight = 0;  // other requests of this instance
  // Whether its organisation uses more than its fair share. Such requests are
  // refused before any other.
  bool above_share = false;
  uint64_t seed = 0;  // differs between requests
};

// ShouldRefuse returns whether to refuse the request at once.
bool ShouldRefuse(const Shedding& shedding, const Request& request);

// RetryAfter returns the delay after which a refused request should be retried.
// `seed` spreads the retries of requests that were refused at the same time.
Duration RetryAfter(const Options& options, uint64_t seed);

}  // namespace samphirebank::shedding

#endif  // SAMPHIREBANK_SHEDDING_SHEDDING_H_
