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

}  // namespace

std::optional<TimePoint> BlockedUntil(Organisation& organisation,
                                      TimePoint now) {
  Duration wait = Duration::zero();
  if (organisation.limits.requests_per_second > 0) {
    const double rate = organisation.limits.requests_per_second;
    Fill(organisation.requests, rate, 1 + rate / 10, now);
    wait = std::max(wait, Wait(organisation.requests, rate, 1));
  }
  if (organisation.limits.tokens_per_minute > 0) {
    const double rate =
        static_cast<double>(organisation.limits.tokens_per_minute) / 60;
    Fill(organisation.tokens, rate, rate, now);
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
