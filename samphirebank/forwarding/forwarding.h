// File: forwarding.h
//
// Decides how a gateway proceeds when a target did not return a complete
// response to a forwarded request, and limits how many requests are sent again.
// Also splits a streamed response into events, so that only complete events
// are forwarded. This library performs no I/O.
//
// Example:
//
//   const NextAction action =
//       DecideNextAction(progress, SendResult::kIncomplete,
//                        MayRepeat(budget, options, now));
//   if (action == NextAction::kResend) RecordRepeat(budget, options, now);
#ifndef SAMPHIREBANK_FORWARDING_FORWARDING_H_
#define SAMPHIREBANK_FORWARDING_FORWARDING_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

#include "samphirebank/base/base.h"
#include "samphirebank/dialect/dialect.h"
#include "samphirebank/routes/routes.h"

namespace samphirebank::forwarding {

// SendResult is the way in which a send failed.
enum class SendResult : uint8_t {
  kConnectFailed,  // the connection could not be established
  kNotRun,         // the target stated that it did not run the request
  kTargetError,    // the target returned an error response
  kIncomplete,     // the response is incomplete; the request may have run
};

// Progress is the state of one request across its sends.
struct Progress {
  routes::RetryPolicy repetition = routes::RetryPolicy::kNever;
  uint32_t max_attempts = 1;      // maximum number of sends
  uint32_t num_sends = 0;         // sends so far, without failed connections
  uint32_t connect_failures = 0;  // connections that failed so far
  // Whether an earlier send ended with kIncomplete or kTargetError.
  bool may_have_run = false;
  bool response_started = false;  // part of the response went to the caller
};

// kMaxConnectFailures is the number of failed connections after which a request
// is no longer sent.
inline constexpr uint32_t kMaxConnectFailures = 3;

// NextAction is how the gateway proceeds after a failed send.
enum class NextAction : uint8_t {
  kResend,          // send the request again
  kForwardFailure,  // forward the target's error response to the caller
  kRefuse,          // report that the request did not run and can be retried
  kReportUnknown,   // report that it is unknown whether the request ran
  kAbortResponse,   // abort the response, so that it does not look complete
};

// DecideNextAction returns how to proceed after a failed send. `may_repeat` is
// the result of MayRepeat. A failed connection takes nothing from the budget.
NextAction DecideNextAction(const Progress& progress, SendResult result,
                            bool may_repeat);

// BudgetOptions limits the number of repeats, which are sends after the first
// one of a request, that one router makes in any window.
struct BudgetOptions {
  Duration window = std::chrono::seconds(10);
  double ratio = 0.2;  // repeats per request in the window
  // Repeats allowed in addition to the ratio: this router's part of the
  // allowance of the fleet.
  double allowance = 0.0;
};

// RepeatBudget counts the requests and repeats of one service per second.
struct RepeatBudget {
  struct Bucket {
    int64_t second = 0;
    uint32_t requests = 0;
    uint32_t repeats = 0;
  };
  std::deque<Bucket> buckets{};  // oldest first
};

// RecordRequest counts a request of a caller.
void RecordRequest(RepeatBudget& budget, const BudgetOptions& options,
                   TimePoint now);
// MayRepeat returns whether one more repeat keeps within the limit in every
// window that ends at `now` or later.
bool MayRepeat(const RepeatBudget& budget, const BudgetOptions& options,
               TimePoint now);
// RecordRepeat counts a repeat.
void RecordRepeat(RepeatBudget& budget, const BudgetOptions& options,
                  TimePoint now);

// EventStream splits a streamed response into server-sent events.
struct EventStream {
  std::string buffer{};  // the incomplete event at the end of the stream
  // The ID of the last event that TakeEvents returned.
  std::optional<dialect::EventId> last_event_id{};
};

// TakeEvents appends `piece` to the buffer, and removes and returns the
// complete events. Events whose ID is not above `last_event_id` are dropped,
// because they were returned before.
std::string TakeEvents(EventStream& stream, std::string_view piece);

}  // namespace samphirebank::forwarding

#endif  // SAMPHIREBANK_FORWARDING_FORWARDING_H_
