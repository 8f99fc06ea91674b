// File: drain.h
//
// Decides what an instance still does after it was asked to stop, until it is
// killed at the end of its grace period. Callers that come early are served,
// because balancers still send them; later ones are refused. Shortly before the
// end, requests in progress get their final response, so that no connection is
// closed without one. This library performs no I/O.
//
// Example:
//
//   const Duration elapsed = now - stop_requested_at;
//   if (!ShouldAccept(options, elapsed)) Refuse();
//   switch (NextStep(options, elapsed, is_idle)) { ... }
#ifndef SAMPHIREBANK_DRAIN_DRAIN_H_
#define SAMPHIREBANK_DRAIN_DRAIN_H_

#include <chrono>
#include <cstdint>

#include "samphirebank/base/base.h"

namespace samphirebank::drain {

// Options configures the timing of a stop. Times without "before" in their
// names count from the request to stop.
struct Options {
  // From the request to stop until the process is killed.
  Duration grace_period = std::chrono::seconds(30);
  // Requests that arrive later are refused.
  Duration accept_period = std::chrono::milliseconds(2800);
  // Idle connections stay open until balancers have noticed the stop: their
  // callers could otherwise be sent here again.
  Duration close_idle_after = std::chrono::milliseconds(3000);
  // Requests in progress get their final response this long before the end, and
  // the process exits this long before it.
  Duration respond_before_end = std::chrono::milliseconds(800);
  Duration exit_before_end = std::chrono::milliseconds(300);
};

// Step is what a draining instance does now.
enum class Step : uint8_t {
  kServe,       // wait
  kCloseIdle,   // close connections without a request in progress
  kRespondAll,  // give all requests in progress their final response
  kExit,        // end the process
};

// ShouldAccept returns whether a request that arrives `elapsed` after the
// request to stop is accepted.
bool ShouldAccept(const Options& options, Duration elapsed);

// NextStep returns the step that is due `elapsed` after the request to stop. An
// instance is idle if it has no connection and nothing left to send.
Step NextStep(const Options& options, Duration elapsed, bool is_idle);

}  // namespace samphirebank::drain

#endif  // SAMPHIREBANK_DRAIN_DRAIN_H_
