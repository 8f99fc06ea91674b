#include <algorithm>

#include "samphirebank/scheduler/internal/state.h"

namespace samphirebank::scheduler::internal {
namespace {

double Seconds(Duration span) {
  return std::chrono::duration<double>(span).count();
}

void Fill(Bucket& bucket, double rate, double depth, TimePoint now) {
  if (!bucket.started) {
    bucket = Bucket{.level = depth, .filled_at = now, .started = true};
    return;
  }
  const double added = rate * Seconds(now - bucket.filled_at);
  bucket.level = std::min(depth, bucket.level + added);
  bucket.filled_at = now;
}

// Wait is how long until a bucket's level reaches `needed`.
Duration Wait(const Bucket& bucket, double rate, double needed) {
  if (bucket.level >= needed) return Duration::zero();
  const std::chrono::duration<double> span((needed - bucket.level) / rate);
  return std::chrono::duration_cast<Duration>(span) +
         std::chrono::milliseconds(1);
}

// RequestRate and TokenRate are what this pool may use, a second.
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

void FillBuckets(Organisation& organisation, TimePoint now) {
  if (organisation.limits.requests_per_second > 0) {
    const double rate = RequestRate(organisation);
    Fill(organisation.requests, rate, 1 + rate / 10, now);
  }
  if (organisation.limits.tokens_per_minute > 0) {
    const double rate = TokenRate(organisation);
    Fill(organisation.tokens, rate, rate, now);
  }
}

bool Owes(const Organisation& organisation) {
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
  FillBuckets(organisation, now);
  Duration wait = Duration::zero();
  if (organisation.limits.requests_per_second > 0) {
    const double rate = RequestRate(organisation);
    wait = std::max(wait, Wait(organisation.requests, rate, 1));
  }
  if (organisation.limits.tokens_per_minute > 0) {
    const double rate = TokenRate(organisation);
    wait = std::max(wait, Wait(organisation.tokens, rate, rate / 100));
  }
  if (wait == Duration::zero()) return std::nullopt;
  return now + wait;
}

void TakeRate(Organisation& organisation, uint32_t requests, int64_t tokens) {
  organisation.requests.level -= requests;
  organisation.tokens.level -= static_cast<double>(tokens);
}

}  // namespace samphirebank::scheduler::internal
