// File: forwarding.h
//
// What becomes of one forwarded request when a send to a target ends without
// a whole answer, and how many requests may be sent again. No I/O.
//
// Example:
//
//   const NextAction next = DecideNextAction(progress, SendResult::kIncomplete,
//                            MayRepeat(budget, now));
//   if (next == NextAction::kResend) RecordRepeat(budget, now);
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

// SendResult says how a send ended, short of a success.
enum class SendResult : uint8_t {
  kConnectFailed,  // no connection came about
  kNotRun,         // the target states that it did not run the request
  kTargetError,    // the target answered with a failure of its own
  kIncomplete,     // no whole answer came; the request may have run
};

// Progress is what one request went through.
struct Progress {
  routes::RetryPolicy repetition = routes::RetryPolicy::kNever;
  uint32_t max_attempts = 1;      // targets that it may be sent to
  uint32_t num_sends = 0;         // targets that it was sent to
  uint32_t connect_failures = 0;  // connections that did not come about
  bool may_have_run =
      false;  // an earlier send ended in kIncomplete or kTargetError
  bool response_started = false;  // the caller has a part of the answer
};

// kMaxConnectFailures is how many targets that cannot be reached one request
// tries.
inline constexpr uint32_t kMaxConnectFailures = 3;

// NextAction says what to do.
enum class NextAction : uint8_t {
  kResend,
  kForwardFailure,  // the caller gets the target's failure
  kRefuse,          // tell the caller that it has not run and may come back
  kReportUnknown,   // tell the caller that nobody knows whether it ran
  kAbortResponse,   // break the answer off, so that it does not look whole
};

// DecideNextAction says what follows the end of a send. `may_repeat` is whether
// the budget allows one more arrival at a target.
NextAction DecideNextAction(const Progress& progress, SendResult end,
                            bool may_repeat);

// BudgetOptions bounds how many arrivals at targets beyond the first of each
// request one router adds in any window.
struct BudgetOptions {
  Duration window = std::chrono::seconds(10);
  double ratio = 0.2;      // of the requests in the window
  double allowance = 0.0;  // besides, this router's part of the fleet's
};

// RepeatBudget counts one service's requests and repeats by second.
struct RepeatBudget {
  struct Bucket {
    int64_t second = 0;
    uint32_t requests = 0;
    uint32_t repeats = 0;
  };
  std::deque<Bucket> buckets{};  // oldest first
};

// RecordRequest counts a caller's request.
void RecordRequest(RepeatBudget& budget, const BudgetOptions& options,
                   TimePoint now);
// MayRepeat tells whether one more repeat stays within the bound in every
// window that ends now or later.
bool MayRepeat(const RepeatBudget& budget, const BudgetOptions& options,
               TimePoint now);
// RecordRepeat counts a repeat.
void RecordRepeat(RepeatBudget& budget, const BudgetOptions& options,
                  TimePoint now);

// EventStream cuts a streamed answer into whole events.
struct EventStream {
  std::string buffer{};                             // the start of an event
  std::optional<dialect::EventId> last_event_id{};  // of what was passed on
};

// TakeEvents returns the whole events in what was held and `piece`. An event
// that was passed on before is left out.
std::string TakeEvents(EventStream& stream, std::string_view piece);

}  // namespace samphirebank::forwarding

#endif  // SAMPHIREBANK_FORWARDING_FORWARDING_H_
