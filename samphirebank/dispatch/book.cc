#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "samphirebank/dispatch/dispatch.h"

namespace samphirebank::dispatch {
namespace {

Tokens SharedTokens(const RequestProfile& request) {
  Tokens tokens;
  for (const dialect::PromptPart& part : request.shared) tokens += part.tokens;
  return tokens;
}

void Eject(TargetState& state, const Options& options, TimePoint now) {
  const uint32_t extra_failures =
      state.consecutive_failures >= options.consecutive_failure_threshold
          ? state.consecutive_failures - options.consecutive_failure_threshold
          : 0;
  const Duration ejection =
      options.initial_ejection * (1 << std::min<uint32_t>(extra_failures, 8));
  state.ejected_until = now + std::min(ejection, options.max_ejection);
}

void UpdateHealth(TargetState& state, const Options& options, bool failed,
                  TimePoint now) {
  const double weight = options.failure_rate_weight;
  state.failure_rate =
      (1.0 - weight) * state.failure_rate + (failed ? weight : 0.0);
  state.consecutive_failures = failed ? state.consecutive_failures + 1 : 0;
  const bool should_eject =
      failed &&
      (state.consecutive_failures >= options.consecutive_failure_threshold ||
       state.failure_rate >= options.failure_rate_threshold);
  if (should_eject) Eject(state, options, now);
}

costs::Slowdown SlowdownOf(const TargetState& state) {
  if (!state.load) return {};
  return {.factor = state.load->slowdown,
          .received_at = state.load_received_at};
}

}  // namespace

size_t TargetIdHash::operator()(const TargetId& target) const {
  return XXH3_64bits(target.value.data(), target.value.size());
}

RequestProfile MakeRequestProfile(const dialect::Prompt& prompt,
                                  uint64_t seed) {
  RequestProfile request{
      .shared = prompt.parts, .unique_tokens = prompt.tokens_in, .seed = seed};
  if (!request.shared.empty()) request.shared.pop_back();
  request.unique_tokens -= SharedTokens(request);
  request.unique_tokens.value =
      std::max<int64_t>(request.unique_tokens.value, 0);
  return request;
}

void RecordSent(TargetTracker& tracker, const TargetId& target,
                const RequestProfile& request, Duration prefill_time,
                TimePoint now) {
  TargetState& state = tracker.targets[target];
  ++state.in_flight;
  state.prefill_backlog += prefill_time;
  for (const dialect::PromptPart& part : request.shared) {
    tracker.part_sent_at[part.id][target] = now;
  }
}

void RecordLoadReport(TargetTracker& tracker, const TargetId& target,
                      const dialect::TargetLoad& load, TimePoint now) {
  TargetState& state = tracker.targets[target];
  state.load = load;
  state.load_received_at = now;
}

void RecordPrefillDone(TargetTracker& tracker, const TargetId& target,
                       Duration prefill_time) {
  TargetState& state = tracker.targets[target];
  state.prefill_backlog -= std::min(state.prefill_backlog, prefill_time);
}

void RecordFirstEvent(TargetTracker& tracker, const TargetId& target,
                      const ServiceId& service, const Prediction& prediction,
                      Duration elapsed, TimePoint now) {
  TargetState& state = tracker.targets[target];
  // Other delays are estimates; some of the time was spent on reading.
  const Duration reading =
      std::max(elapsed - prediction.other_delay, elapsed / 4);
  const double slowdown_now =
      costs::CurrentSlowdown(tracker.speeds.options, SlowdownOf(state), now);
  costs::RecordFirstEvent(
      tracker.speeds, state.reading_time,
      {.service = service,
       .predicted = prediction.wait + prediction.prefill_time,
       .predicted_prompt = prediction.prefill_time,
       .elapsed = reading,
       .slowdown = (prediction.slowdown + slowdown_now) / 2},
      now);
}

double ReadingTimeFactor(const TargetTracker& tracker, const ServiceId& service,
                         const TargetId& target, TimePoint now) {
  const double factor = costs::ServiceFactor(tracker.speeds, service, now);
  const auto found = tracker.targets.find(target);
  if (found == tracker.targets.end()) return factor;
  return factor * costs::RelativeFactor(tracker.speeds.options,
                                        found->second.reading_time,
                                        SlowdownOf(found->second), now);
}

void RecordCompletion(TargetTracker& tracker, const TargetId& target,
                      HealthResult result, TimePoint now) {
  TargetState& state = tracker.targets[target];
  if (state.in_flight > 0) --state.in_flight;
  if (result == HealthResult::kIgnored) return;
  UpdateHealth(state, tracker.options, result == HealthResult::kFailure, now);
}

void RecordUnreachable(TargetTracker& tracker, const TargetId& target,
                       TimePoint now) {
  TargetState& state = tracker.targets[target];
  state.consecutive_failures =
      std::max(state.consecutive_failures + 1,
               tracker.options.consecutive_failure_threshold);
  Eject(state, tracker.options, now);
}

void RecordRun(TargetTracker& tracker, const TargetId& target,
               int64_t started_at_ms) {
  TargetState& state = tracker.targets[target];
  if (state.run_started_at_ms != started_at_ms) {
    state = {.run_started_at_ms = started_at_ms};
    tracker.restricted.erase(target);
  } else if (state.leaving || state.paused_until != TimePoint()) {
    tracker.restricted.insert(target);
  }
}

bool RecordLeaving(TargetTracker& tracker, const TargetId& target,
                   int64_t run_started_at_ms) {
  TargetState& state = tracker.targets[target];
  if (state.run_started_at_ms != run_started_at_ms) return false;
  tracker.restricted.insert(target);
  return !std::exchange(state.leaving, true);
}

void RecordPause(TargetTracker& tracker, const TargetId& target,
                 int64_t run_started_at_ms, TimePoint until) {
  TargetState& state = tracker.targets[target];
  if (state.run_started_at_ms != run_started_at_ms) return;
  tracker.restricted.insert(target);
  state.paused_until = std::max(state.paused_until, until);
}

bool TakesWork(const TargetTracker& tracker, const TargetId& target,
               TimePoint now) {
  if (!tracker.restricted.contains(target)) return true;
  const auto found = tracker.targets.find(target);
  if (found == tracker.targets.end()) return true;
  return !found->second.leaving && now >= found->second.paused_until;
}

void EvictStaleEntries(TargetTracker& tracker, TimePoint now) {
  for (auto& [part, targets] : tracker.part_sent_at) {
    std::erase_if(targets, [&](const auto& entry) {
      return now - entry.second >= tracker.options.cached_part_ttl;
    });
  }
  std::erase_if(tracker.part_sent_at,
                [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace samphirebank::dispatch
