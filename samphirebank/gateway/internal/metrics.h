// File: metrics.h
//
// The counters and histograms of one gateway.
#ifndef SAMPHIREBANK_GATEWAY_INTERNAL_METRICS_H_
#define SAMPHIREBANK_GATEWAY_INTERNAL_METRICS_H_

#include <array>
#include <cstdint>

#include "samphirebank/accounting/accounting.h"
#include "samphirebank/metrics/metrics.h"

namespace samphirebank::gateway {

// Outcome says how a caller's request ended.
enum class Outcome : uint8_t {
  kServed,
  kFailedByTarget,
  kRefused,  // not run
  kUnknown,  // may have run
  kCut,      // broken off midway
  kCallerLeft,
};
inline constexpr size_t kOutcomes = 6;

// Metrics of one gateway.
struct Metrics {
  metrics::Registry registry{};
  metrics::Counter& requests;
  metrics::Counter& unreadable;
  std::array<metrics::Counter*, kOutcomes> outcomes{};
  metrics::Histogram& first_answer;
  metrics::Counter& repeats;
  metrics::Counter& repeats_denied;
  metrics::Counter& connects;
  metrics::Counter& unreachable;
  metrics::Counter& passed_over;
  metrics::Counter& broken_begun;
  metrics::Counter& broken_unbegun;
  metrics::Counter& quarantined_parts;
  metrics::Counter& refused_for_residency;
  metrics::Counter& sent_to_other_region;
  metrics::Counter& chosen_again;
  metrics::Counter& refused_for_memory;
  metrics::Counter& refused_for_warmup;
  metrics::Counter& refused_for_rate_limit;
  metrics::Counter& streams_taken_up;
  metrics::Counter& refused_for_origin;
  metrics::Counter& given_up_unread;
  metrics::Counter& turned_away;
  std::array<metrics::Counter*, accounting::kRefusals> refused_by_reason{};
  metrics::Counter& refused_ahead;
  metrics::Counter& admitted_behind;
  metrics::Counter& warmup_tokens_received;
  metrics::Counter& warmup_tokens_used;
  metrics::Counter& warmup_tokens_expired;
  metrics::Histogram& reading_time_factor;
  metrics::Gauge& sessions;
  metrics::Gauge& held_bytes;
  metrics::Gauge& idle_connections;
  metrics::Gauge& targets;
  metrics::Gauge& table_version;
  metrics::Gauge& evacuated_zones;
  metrics::Gauge& cold_targets;
  metrics::Gauge& rate_limited_targets;
  metrics::Gauge& organisations_held_back;
  metrics::Gauge& load_sum_age;
  metrics::Gauge& shed_fraction;
  metrics::Gauge& control_silence;

  Metrics();
};

}  // namespace samphirebank::gateway

#endif  // SAMPHIREBANK_GATEWAY_INTERNAL_METRICS_H_
