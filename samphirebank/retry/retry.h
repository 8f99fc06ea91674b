// File: retry.h
//
// Retry budgets and backoff. Each retry takes a fixed cost from two budgets,
// one of the organisation and one of the service. Each success adds a fixed
// deposit to both budgets, so that retries add at most a fixed ratio to the
// load, however many requests fail.
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

// kCostMilli is the cost of one retry, in thousandths of a retry.
inline constexpr int64_t kCostMilli = 1000;

// Options limits retries and their delays.
struct Options {
  int64_t deposit_milli = 100;   // added to a budget by one success
  int64_t initial_milli = 3000;  // initial balance of a budget
  int64_t max_balance_milli = 10'000;
  uint32_t max_attempts = 3;  // attempts of one request, including the first
  Duration base_delay = std::chrono::milliseconds(20);
  Duration max_delay = std::chrono::seconds(1);
  // Maximum number of balances kept for organisations, and for services.
  size_t max_budgets = 65'536;
};

// Budgets holds the balances that differ from the initial balance. It keeps at
// most Options::max_budgets balances for organisations and as many for
// services. Not thread-safe.
struct Budgets {
  Options options;
  std::unordered_map<OrganisationId, int64_t> organisations_milli;
  std::unordered_map<ServiceId, int64_t> services_milli;
};

// Attempt describes a failed attempt.
struct Attempt {
  OrganisationId organisation;
  ServiceId service;
  uint32_t attempt = 1;  // number of the failed attempt, from 1
  uint64_t seed = 0;     // spreads the delays; differs between requests
  TimePoint deadline;    // a retry must start before it
};

// RecordSuccess adds the deposit for one success to both budgets.
void RecordSuccess(Budgets& budgets, const OrganisationId& organisation,
                   const ServiceId& service);

// Backoff returns the delay between attempt number `attempt` (from 1) and the
// next one: a pseudorandom duration between 0 and a limit that starts at
// Options::base_delay and doubles with each attempt, up to Options::max_delay.
// Equal arguments give equal delays.
Duration Backoff(const Options& options, uint32_t attempt, uint64_t seed);

// TryRetry takes the cost of one retry from both budgets and returns the delay
// before it. Returns nothing and leaves the budgets unchanged if a budget is
// too low, the attempts are used up or the delay would end at or after the
// deadline.
std::optional<Duration> TryRetry(Budgets& budgets, const Attempt& attempt,
                                 TimePoint now);

}  // namespace samphirebank::retry

#endif  // SAMPHIREBANK_RETRY_RETRY_H_
