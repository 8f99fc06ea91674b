// File: retry.h
//
// Retry budgets and backoff. A retry is paid from two budgets, that of the
// organisation and that of the service, which successes refill by a fixed
// ratio; so retries add at most that ratio to the load, whatever fails.
//
// Example:
//
//   Budgets budgets;
//   RecordSuccess(budgets, organisation, service);
//   std::optional<Duration> delay = TryRetry(budgets,
//       {.organisation = organisation, .service = service, .attempt = 1,
//        .seed = request_number, .deadline = deadline}, now);
//   if (delay) loop.After(*delay, ...);
#ifndef SAMPHIREBANK_RETRY_RETRY_H_
#define SAMPHIREBANK_RETRY_RETRY_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "samphirebank/base/base.h"

namespace samphirebank::retry {

// kCostMilli is what one retry takes from a budget, in thousandths.
inline constexpr int64_t kCostMilli = 1000;

// Options bounds retries and their delays.
struct Options {
  int64_t deposit_milli = 100;   // added to a budget by one success
  int64_t initial_milli = 3000;  // what a budget starts with
  int64_t limit_milli = 10'000;  // the most a budget holds
  uint32_t max_attempts = 3;     // attempts of one request, the first too
  Duration base_delay = std::chrono::milliseconds(20);
  Duration max_delay = std::chrono::seconds(1);
  size_t max_budgets = 65'536;  // remembered organisations or services
};

// Budgets holds the balances that differ from the initial one. Its size stays
// within Options::max_budgets for each kind. Not thread-safe.
struct Budgets {
  Options options;
  std::unordered_map<OrganisationId, int64_t> organisations_milli;
  std::unordered_map<ServiceId, int64_t> services_milli;
};

// Attempt describes the attempt that failed.
struct Attempt {
  OrganisationId organisation;
  ServiceId service;
  uint32_t attempt = 1;  // the number of the attempt that failed, from 1
  uint64_t seed = 0;     // differs between requests
  TimePoint deadline;    // a retry starts before it or not at all
};

// RecordSuccess refills the two budgets after a success.
void RecordSuccess(Budgets& budgets, const OrganisationId& organisation,
                   const ServiceId& service);

// Backoff returns the delay before the attempt after number `attempt`: random
// between 0 and a bound that doubles with each attempt, equal for equal
// arguments.
Duration Backoff(const Options& options, uint32_t attempt, uint64_t seed);

// TryRetry pays for one retry and returns its delay. Returns nothing, and
// takes nothing, when a budget is short, the attempts are used up or the
// delay would end at or after the deadline.
std::optional<Duration> TryRetry(Budgets& budgets, const Attempt& attempt,
                                 TimePoint now);

}  // namespace samphirebank::retry

#endif  // SAMPHIREBANK_RETRY_RETRY_H_
