#include <xxhash.h>

#include <algorithm>
#include <cmath>

#include "samphirebank/warmup/warmup.h"

namespace samphirebank::warmup {
namespace {

using Seconds = std::chrono::duration<double>;

// The window over which the limit of a cold target is stated.
constexpr Seconds kLimitWindow(1.0);

// RankOf returns how many members come before `self` for a target, by
// rendezvous hashing; empty if `self` is no member.
std::optional<size_t> RankOf(const std::vector<InstanceId>& members,
                             const InstanceId& self, IdHash target) {
  const auto hash_of = [target](const InstanceId& member) {
    return XXH64(member.value.data(), member.value.size(), target);
  };
  if (std::ranges::find(members, self) == members.end()) return std::nullopt;
  const uint64_t own = hash_of(self);
  return static_cast<size_t>(std::ranges::count_if(
      members,
      [&](const InstanceId& member) { return hash_of(member) > own; }));
}

void Refill(Grantor::Bucket& bucket, const GrantRate& rate, TimePoint now) {
  const Seconds elapsed = now - bucket.refilled_at;
  bucket.tokens = std::min(
      rate.burst, bucket.tokens + rate.tokens_per_second * elapsed.count());
  bucket.refilled_at = now;
}

}  // namespace

GrantRate RateOf(const GrantorOptions& options, double requests_per_second,
                 size_t num_coordinators, size_t rank) {
  constexpr double kBurst = 1.0;
  const double limit = requests_per_second * options.overrun + options.slack;
  // At least half of the limit is left for the rates.
  const double most_grantors = std::floor(limit / 2.0 / kBurst);
  const double grantors =
      std::min(static_cast<double>(num_coordinators) + 1.0, most_grantors);
  if (grantors < 1.0 || static_cast<double>(rank) >= grantors) return {};
  const Seconds validity = kTokenValidity;
  const double fleet_rate =
      std::min(requests_per_second,
               (limit - grantors * kBurst) / (kLimitWindow + validity).count());
  return {.tokens_per_second = fleet_rate / grantors, .burst = kBurst};
}

GrantRate StatedRateOf(double requests_per_second, size_t num_coordinators,
                       size_t rank) {
  constexpr double kBurst = 1.0;
  // Only an answer shows that a limit has ended, so a few requests are sent
  // however low it is.
  constexpr double kMinRequestsPerSecond = 0.25;
  const double fleet_rate =
      std::max(requests_per_second, kMinRequestsPerSecond);
  // A rate below one request is granted by one coordinator.
  const double most_grantors = std::max(1.0, std::floor(fleet_rate));
  const double grantors =
      std::min(static_cast<double>(num_coordinators) + 1.0, most_grantors);
  if (static_cast<double>(rank) >= grantors) return {};
  return {.tokens_per_second = fleet_rate / grantors, .burst = kBurst};
}

WarmupGrant BuildGrant(Grantor& grantor, const WarmupRequest& request,
                       const std::vector<InstanceId>& members,
                       const InstanceId& self, TimePoint now) {
  WarmupGrant grant{.number = request.number};
  // Until then tokens of an earlier run of this coordinator may be in use.
  const TimePoint earlier_tokens_expired =
      grantor.started_at + kTokenValidity +
      std::chrono::duration_cast<Duration>(kLimitWindow);
  if (now < earlier_tokens_expired) return grant;
  for (const LimitedTarget& limited : request.targets) {
    const auto rank = RankOf(members, self, limited.target);
    if (!rank) break;
    const GrantRate rate =
        limited.kind == LimitKind::kStated
            ? StatedRateOf(limited.requests_per_second, members.size(), *rank)
            : RateOf(grantor.options, limited.requests_per_second,
                     members.size(), *rank);
    if (rate.burst <= 0.0) continue;
    const auto [found, is_new] = grantor.buckets.try_emplace(
        limited.target,
        Grantor::Bucket{.tokens = rate.burst, .refilled_at = now});
    Grantor::Bucket& bucket = found->second;
    if (!is_new) Refill(bucket, rate, now);
    if (bucket.tokens < 1.0) continue;
    bucket.tokens -= 1.0;
    grant.targets.push_back(limited.target);
  }
  return grant;
}

void EvictIdle(Grantor& grantor, TimePoint now) {
  // A bucket that is made anew is full. Long after the last request no window
  // of the limit holds tokens of both.
  constexpr Duration kIdleTime = std::chrono::seconds(10);
  std::erase_if(grantor.buckets, [&](const auto& item) {
    return now - item.second.refilled_at >= kIdleTime;
  });
}

}  // namespace samphirebank::warmup
