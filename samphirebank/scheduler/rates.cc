#include <algorithm>

#include "samphirebank/scheduler/internal/state.h"

namespace samphirebank::scheduler::internal {
namespace {

double Seconds(Duration span) {
  return std::chrono::duration<double>(span).count();
}

void Refill(Bucket& bucket, double rate, double depth, TimePoint now) {
  if (!bucket.started) {
    bucket = Bucket{.level = depth, .filled_at = now, .started = true};
    return;
  }
  const double added = rate * Seconds(now - bucket.filled_at);
  bucket.level = std::min(depth, bucket.level + added);
  bucket.filled_at = now;
}

// TimeUntil returns how long until a bucket's level reaches `needed`.
Duration TimeUntil(const Bucket& bucket, double rate, double needed) {
  if (bucket.level >= needed) return Duration::zero();
  const std::chrono::duration<double> span((needed - bucket.level) / rate);
  return std::chrono::duration_cast<Duration>(span) +
         std::chrono::milliseconds(1);
}

// RequestRate and TokenRate return the requests and tokens that this pool may
// use per second.
double RequestRate(const Organisation& organisation) {
  if (!organisation.limits.split) {
    return organisation.limits.requests_per_second;
  }
  return static_cast<double>(
             organisation.quota.quota.millirequests_per_second) /
         1000;
}

double TokenRate(const Organisation& organisation) {
  const double limit =
      organisation.limits.split
          ? static_cast<double>(organisation.quota.quota.tokens_per_minute)
          : static_cast<double>(organisation.limits.tokens_per_minute);
  return limit / 60;
}

}  // namespace

void RefillBuckets(Organisation& organisation, TimePoint now) {
  if (organisation.limits.requests_per_second > 0) {
    const double rate = RequestRate(organisation);
    // The bucket holds one request plus 100 ms of the rate.
    Refill(organisation.requests, rate, 1 + rate / 10, now);
  }
  if (organisation.limits.tokens_per_minute > 0) {
    const double rate = TokenRate(organisation);
    // The bucket holds 1 s of the rate.
    Refill(organisation.tokens, rate, rate, now);
  }
}

bool IsOverdrawn(const Organisation& organisation) {
  return organisation.limits.tokens_per_minute > 0 &&
         organisation.tokens.level < 0;
}

bool LacksQuota(const Organisation& organisation) {
  const Limits& limits = organisation.limits;
  const sharing::Quota& quota = organisation.quota.quota;
  if (!limits.split) return false;
  return (limits.requests_per_second > 0 &&
          quota.millirequests_per_second == 0) ||
         (limits.tokens_per_minute > 0 && quota.tokens_per_minute == 0) ||
         (limits.concurrency > 0 && quota.concurrency == 0);
}

uint64_t ConcurrencyLimit(const Organisation& organisation) {
  const Limits& limits = organisation.limits;
  if (limits.concurrency == 0 || !limits.split) return limits.concurrency;
  return organisation.quota.quota.concurrency;
}

std::optional<TimePoint> BlockedUntil(Organisation& organisation,
                                      TimePoint now) {
  RefillBuckets(organisation, now);
  Duration wait = Duration::zero();
  if (organisation.limits.requests_per_second > 0) {
    const double rate = RequestRate(organisation);
    wait = std::max(wait, TimeUntil(organisation.requests, rate, 1));
  }
  if (organisation.limits.tokens_per_minute > 0) {
    const double rate = TokenRate(organisation);
    // A request may start when the bucket holds at least the tokens that refill
    // in 10 ms.
    wait = std::max(wait, TimeUntil(organisation.tokens, rate, rate / 100));
  }
  if (wait == Duration::zero()) return std::nullopt;
  return now + wait;
}

void ConsumeRate(Organisation& organisation, uint32_t requests,
                 int64_t tokens) {
  organisation.requests.level -= requests;
  organisation.tokens.level -= static_cast<double>(tokens);
}

}  // namespace samphirebank::scheduler::internal
