#include "samphirebank/forwarding/forwarding.h"

namespace samphirebank::forwarding {
namespace {

using std::chrono::duration_cast;
using std::chrono::seconds;

int64_t ToSeconds(TimePoint now) {
  return duration_cast<seconds>(now.time_since_epoch()).count();
}

// A window that does not start on a second boundary overlaps one more
// one-second bucket than its length in seconds.
int64_t RetainedSeconds(const BudgetOptions& options) {
  return duration_cast<seconds>(options.window).count() + 1;
}

RepeatBudget::Bucket& CurrentBucket(RepeatBudget& budget,
                                    const BudgetOptions& options,
                                    TimePoint now) {
  const int64_t second = ToSeconds(now);
  while (!budget.buckets.empty() &&
         budget.buckets.front().second <= second - RetainedSeconds(options)) {
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
  const int64_t second = ToSeconds(now);
  const int64_t retained = RetainedSeconds(options);
  uint64_t requests = 0;
  uint64_t repeats = 0;
  for (const RepeatBudget::Bucket& bucket : budget.buckets) {
    if (bucket.second <= second - retained) continue;
    repeats += bucket.repeats;
    // The first second may lie partly outside the window. Its requests do not
    // count, so that the limit is never exceeded.
    if (bucket.second > second - retained + 1) requests += bucket.requests;
  }
  const double max_repeats =
      options.ratio * static_cast<double>(requests) + options.allowance;
  return static_cast<double>(repeats + 1) <= max_repeats;
}

void RecordRepeat(RepeatBudget& budget, const BudgetOptions& options,
                  TimePoint now) {
  ++CurrentBucket(budget, options, now).repeats;
}

}  // namespace samphirebank::forwarding
