#include "samphirebank/forwarding/forwarding.h"

namespace samphirebank::forwarding {
namespace {

using std::chrono::duration_cast;
using std::chrono::seconds;

int64_t SecondOf(TimePoint now) {
  return duration_cast<seconds>(now.time_since_epoch()).count();
}

// A window touches one second more than it is long.
int64_t SecondsKept(const BudgetOptions& options) {
  return duration_cast<seconds>(options.window).count() + 1;
}

RepeatBudget::Bucket& CurrentBucket(RepeatBudget& budget,
                                    const BudgetOptions& options,
                                    TimePoint now) {
  const int64_t second = SecondOf(now);
  while (!budget.buckets.empty() &&
         budget.buckets.front().second <= second - SecondsKept(options)) {
    budget.buckets.pop_front();
  }
  if (budget.buckets.empty() || budget.buckets.back().second != second) {
    budget.buckets.push_back({.second = second});
  }
  return budget.buckets.back();
}

}  // namespace

void RecordRequest(RepeatBudget& budget, const BudgetOptions& options,
                   TimePoint now) {
  ++CurrentBucket(budget, options, now).requests;
}

bool MayRepeat(const RepeatBudget& budget, const BudgetOptions& options,
               TimePoint now) {
  const int64_t second = SecondOf(now);
  const int64_t kept = SecondsKept(options);
  uint64_t requests = 0;
  uint64_t repeats = 0;
  for (const RepeatBudget::Bucket& bucket : budget.buckets) {
    if (bucket.second <= second - kept) continue;
    repeats += bucket.repeats;
    // Only the seconds that lie wholly in the window count for the requests.
    if (bucket.second > second - kept + 1) requests += bucket.requests;
  }
  const double bound =
      options.ratio * static_cast<double>(requests) + options.allowance;
  return static_cast<double>(repeats + 1) <= bound;
}

void RecordRepeat(RepeatBudget& budget, const BudgetOptions& options,
                  TimePoint now) {
  ++CurrentBucket(budget, options, now).repeats;
}

}  // namespace samphirebank::forwarding
