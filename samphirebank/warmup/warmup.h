// File: warmup.h
//
// Limits of single targets that hold for the sum over all gateways: a cold
// target bears only a few requests per second, and a target in need states a
// rate (see ratelimit). Coordinators grant the right to send single requests to
// cold targets as tokens, leases that expire soon. A gateway without a token
// sends nothing to a cold target, so that the limit holds while messages are
// lost, instances freeze or restart, and the fleet is partitioned. No I/O.
//
// Each coordinator grants on its own. The coordinators divide the limit by
// their number, and each holds a token bucket for each cold target:
//
//   bursts of all coordinators + rate * (1 s + validity) <= limit
//
// For a stated rate the rates of all coordinators add up to it at most, and
// their bursts to the requests of one second.
//
// Example, on a coordinator:
//
//   WarmupGrant reply = BuildGrant(grantor, request, members, now);
//
// and on a gateway:
//
//   Send(coordinator, BuildRequest(allowance, cold_targets, now));
//   RecordGrant(allowance, reply, now);
//   std::optional<Token> token = TakeToken(allowance, target, now);
//   if (token && IsValid(*token, now)) SendRequest(target);
#ifndef SAMPHIREBANK_WARMUP_WARMUP_H_
#define SAMPHIREBANK_WARMUP_WARMUP_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "samphirebank/base/base.h"
#include "samphirebank/fleetload/fleetload.h"

namespace samphirebank::wire {
enum class Kind : uint16_t;
}  // namespace samphirebank::wire

namespace samphirebank::warmup {

using fleetload::IdHash;

// kTokenValidity is how long a token may be used after its gateway asked for
// it. It outlasts two crossings between regions, and the time until a
// connection is established.
inline constexpr Duration kTokenValidity = std::chrono::milliseconds(500);

// kMaxTargetsPerRequest keeps a request within one datagram.
inline constexpr size_t kMaxTargetsPerRequest = 60;

// LimitKind says what limits a target.
enum class LimitKind : uint8_t {
  kCold,    // the rate that it bears while it is cold, by the route table
  kStated,  // the rate that it states in its answers
};

// LimitedTarget is a target for which a gateway asks for a token.
struct LimitedTarget {
  IdHash target = 0;
  double requests_per_second = 0.0;
  LimitKind kind = LimitKind::kCold;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(target, requests_per_second, kind);
  }
};

// WarmupRequest is sent by a gateway to a coordinator. It asks for one token
// for each target.
struct WarmupRequest {
  static constexpr wire::Kind kKind = static_cast<wire::Kind>(25);
  uint64_t number = 0;  // identifies the request in the grant
  std::vector<LimitedTarget> targets{};

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(number, targets);
  }
};

// WarmupGrant is the response to a WarmupRequest: the targets for which a token
// is granted.
struct WarmupGrant {
  static constexpr wire::Kind kKind = static_cast<wire::Kind>(26);
  uint64_t number = 0;
  std::vector<IdHash> targets{};

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(number, targets);
  }
};

// GrantorOptions states the limit of a cold target: in any second it receives
// at most its stated rate * overrun + slack requests.
struct GrantorOptions {
  double overrun = 1.0;
  double slack = 0.0;
};

// Grantor is the state of one coordinator.
struct Grantor {
  struct Bucket {
    double tokens = 0.0;
    TimePoint refilled_at{};
  };
  GrantorOptions options{};
  TimePoint started_at{};
  std::unordered_map<IdHash, Bucket> buckets{};
};

// GrantRate is what one coordinator may grant for one cold target.
struct GrantRate {
  double tokens_per_second = 0.0;
  double burst = 0.0;  // 0: this coordinator grants nothing
};

// RateOf divides a cold target's limit over `num_coordinators`. One more than
// those is allowed for, since a coordinator that is replaced may not know it
// yet. `rank` is this coordinator's rank for the target, from 0: where the
// limit is too low for all, only those of the lowest ranks grant.
GrantRate RateOf(const GrantorOptions& options, double requests_per_second,
                 size_t num_coordinators, size_t rank);
// StatedRateOf does the same for a rate that a target states. At a rate of 0 it
// still grants one request in some seconds, since only an answer shows that the
// limit has ended.
GrantRate StatedRateOf(double requests_per_second, size_t num_coordinators,
                       size_t rank);

// BuildGrant returns the response to a request. `members` are the coordinators
// of the group, `self` is this one; if it is no member, nothing is granted. A
// coordinator grants nothing until the tokens of its earlier run have expired.
WarmupGrant BuildGrant(Grantor& grantor, const WarmupRequest& request,
                       const std::vector<InstanceId>& members,
                       const InstanceId& self, TimePoint now);

// EvictIdle removes the buckets of targets that are no longer asked for.
void EvictIdle(Grantor& grantor, TimePoint now);

// Token is the right to send one request to a cold target. Tokens expire by a
// clock that counts the time for which the gateway was suspended.
struct Token {
  IdHash target = 0;
  SuspendAwareTime expires_at{};
};

// IsValid returns whether the request may be sent now.
bool IsValid(const Token& token, SuspendAwareTime now);

// Allowance holds the tokens of one gateway.
struct Allowance {
  // The number of the next request. Starts at a random number, so that a grant
  // to an earlier run of the gateway matches no request.
  uint64_t next_number = 0;
  // When the requests without a response were sent, by number.
  std::map<uint64_t, SuspendAwareTime> asked_at{};
  std::unordered_map<IdHash, std::vector<Token>> tokens{};
  uint64_t num_expired = 0;  // tokens that were not used
};

// BuildRequest returns a request for the targets, at most
// kMaxTargetsPerRequest.
WarmupRequest BuildRequest(Allowance& allowance,
                           std::vector<LimitedTarget> targets,
                           SuspendAwareTime now);
// RecordGrant adds the tokens of a response; returns their number. A response
// that came before, or belongs to no request, adds none.
size_t RecordGrant(Allowance& allowance, const WarmupGrant& grant,
                   SuspendAwareTime now);
// HasToken returns whether a request may be sent to a cold target.
bool HasToken(const Allowance& allowance, const TargetId& target,
              SuspendAwareTime now);
// TakeToken removes the token for a cold target that expires last; empty if
// there is none.
std::optional<Token> TakeToken(Allowance& allowance, const TargetId& target,
                               SuspendAwareTime now);
// ReturnToken gives back a token that was not used.
void ReturnToken(Allowance& allowance, const Token& token);
// EvictExpired removes the tokens that can no longer be used.
void EvictExpired(Allowance& allowance, SuspendAwareTime now);

// ColdTargets records which targets are cold, by their own reports.
struct ColdTargets {
  struct Entry {
    TimePoint until{};
    // Reports of an earlier end are ignored until then.
    TimePoint at_least_until{};
  };
  std::unordered_map<TargetId, Entry> entries{};
};

// kReportDelay is added to the remaining time that a target reports, for the
// report's transit time.
inline constexpr Duration kReportDelay = std::chrono::milliseconds(300);

// RecordReport records the newest report of a target: for how long it stays
// cold; zero: it is warm.
void RecordReport(ColdTargets& cold, const TargetId& target, Duration remaining,
                  TimePoint now);
// RecordPossiblyCold records that a target may be cold for a time, whatever its
// earlier reports say.
void RecordPossiblyCold(ColdTargets& cold, const TargetId& target,
                        Duration duration, TimePoint now);
// IsCold returns whether a target is cold.
bool IsCold(const ColdTargets& cold, const TargetId& target, TimePoint now);
// EvictWarm removes the entries of targets that are warm.
void EvictWarm(ColdTargets& cold, TimePoint now);

}  // namespace samphirebank::warmup

#endif  // SAMPHIREBANK_WARMUP_WARMUP_H_
