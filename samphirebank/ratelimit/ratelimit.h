// File: ratelimit.h
//
// The rate limits that targets state. A target in need names in its answers how
// many requests per second it takes from the whole fleet. The limit holds until
// an answer of the same run names another one or none. No I/O.
//
// Requests to such a target are admitted by tokens, which coordinators grant;
// see warmup.
//
// Example:
//
//   RecordAnswer(limits, target, run_started_at_ms, head.requests_per_second);
//   std::optional<double> limit = LimitOf(limits, target);
#ifndef SAMPHIREBANK_RATELIMIT_RATELIMIT_H_
#define SAMPHIREBANK_RATELIMIT_RATELIMIT_H_

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "samphirebank/base/base.h"

namespace samphirebank::ratelimit {

// StatedLimits holds the limits of the targets that state one.
struct StatedLimits {
  struct Entry {
    int64_t run_started_at_ms = 0;
    double requests_per_second = 0.0;  // from all gateways together
  };
  std::unordered_map<TargetId, Entry> entries{};
};

// Change says what an answer changed.
enum class Change : uint8_t { kNone, kBegan, kEnded };

// RecordAnswer records the limit that an answer of a target's run names; empty
// if it names none. What an earlier run than the recorded one said is ignored.
Change RecordAnswer(StatedLimits& limits, const TargetId& target,
                    int64_t run_started_at_ms,
                    std::optional<double> requests_per_second);

// RecordRun forgets what an earlier run of a target said.
void RecordRun(StatedLimits& limits, const TargetId& target,
               int64_t run_started_at_ms);

// LimitOf returns the limit of a target; empty if it states none.
std::optional<double> LimitOf(const StatedLimits& limits,
                              const TargetId& target);

}  // namespace samphirebank::ratelimit

#endif  // SAMPHIREBANK_RATELIMIT_RATELIMIT_H_
