#include <algorithm>

#include "samphirebank/dispatch/dispatch.h"

namespace samphirebank::dispatch {
namespace {

Tokens SharedTokens(const RequestProfile& work) {
  Tokens tokens;
  for (const dialect::PromptPart& part : work.shared_parts)
    tokens += part.tokens;
  return tokens;
}

void Eject(TargetState& record, const Options& options, TimePoint now) {
  const uint32_t over =
      record.consecutive_failures >= options.failures_to_eject
          ? record.consecutive_failures - options.failures_to_eject
          : 0;
  const Duration span =
      options.first_ejection * (1 << std::min<uint32_t>(over, 8));
  record.ejected_until = now + std::min(span, options.most_ejection);
}

void NoteHealth(TargetState& record, const Options& options, bool failed,
                TimePoint now) {
  const double weight = options.failure_rate_weight;
  record.failure_rate =
      (1.0 - weight) * record.failure_rate + (failed ? weight : 0.0);
  record.consecutive_failures = failed ? record.consecutive_failures + 1 : 0;
  const bool eject =
      failed && (record.consecutive_failures >= options.failures_to_eject ||
                 record.failure_rate >= options.failure_rate_to_eject);
  if (eject) Eject(record, options, now);
}

}  // namespace

RequestProfile MakeRequestProfile(const dialect::Prompt& prompt,
                                  uint64_t seed) {
  RequestProfile work{.shared_parts = prompt.parts,
                      .unique_tokens = prompt.tokens_in,
                      .seed = seed};
  if (!work.shared_parts.empty()) work.shared_parts.pop_back();
  work.unique_tokens -= SharedTokens(work);
  work.unique_tokens.value = std::max<int64_t>(work.unique_tokens.value, 0);
  return work;
}

void RecordSent(TargetTracker& tracker, const TargetId& target,
                const RequestProfile& work, Duration reading, TimePoint now) {
  TargetState& record = tracker.targets[target];
  ++record.in_flight;
  record.prefill_backlog += reading;
  for (const dialect::PromptPart& part : work.shared_parts) {
    tracker.part_sent[part.id][target] = now;
  }
}

void RecordLoadReport(TargetTracker& tracker, const TargetId& target,
                      const dialect::TargetLoad& load, TimePoint now) {
  TargetState& record = tracker.targets[target];
  record.load = load;
  record.load_received_at = now;
}

void RecordPrefillDone(TargetTracker& tracker, const TargetId& target,
                       Duration reading) {
  TargetState& record = tracker.targets[target];
  record.prefill_backlog -= std::min(record.prefill_backlog, reading);
}

void RecordCompletion(TargetTracker& tracker, const TargetId& target,
                      HealthResult ending, TimePoint now) {
  TargetState& record = tracker.targets[target];
  if (record.in_flight > 0) --record.in_flight;
  if (ending == HealthResult::kIgnored) return;
  NoteHealth(record, tracker.options, ending == HealthResult::kFailure, now);
}

void RecordUnreachable(TargetTracker& tracker, const TargetId& target,
                       TimePoint now) {
  TargetState& record = tracker.targets[target];
  record.consecutive_failures = std::max(record.consecutive_failures + 1,
                                         tracker.options.failures_to_eject);
  Eject(record, tracker.options, now);
}

void EvictStaleEntries(TargetTracker& tracker, TimePoint now) {
  for (auto& [part, targets] : tracker.part_sent) {
    std::erase_if(targets, [&](const auto& item) {
      return now - item.second >= tracker.options.cache_belief;
    });
  }
  std::erase_if(tracker.part_sent,
                [](const auto& item) { return item.second.empty(); });
}

}  // namespace samphirebank::dispatch
