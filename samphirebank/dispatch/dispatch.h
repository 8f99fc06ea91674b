// File: dispatch.h
//
// Selects the target of a forwarded request. A prompt for a model engine goes
// to the target that is likely to have its shared parts cached, unless the
// prefill backlog of that target costs more than prefilling the parts again on
// another target. A request for a plain service goes to the nearest target with
// few requests in flight. Failing targets are ejected for a limited time. This
// library performs no I/O.
//
// Prefill backlogs are kept, and told to other routers, in the time of a model
// with constants (Options), so that all routers mean the same by them. How long
// a target really takes relative to that model is learned (see costs), and
// applied when a target is chosen.
//
// It is designed for prompts whose shared parts are several times longer than
// their unique part, at a rate at which the engines cannot prefill every prompt
// in full.
//
// Example:
//
//   std::optional<Choice> choice = Choose(tracker, candidates, request, now);
//   const TargetId& target = candidates[choice->index].id;
//   RecordSent(tracker, target, request, choice->prefill_time, now);
//   RecordPrefillDone(tracker, target, choice->prefill_time);
//   RecordFirstEvent(tracker, target, service, choice->prediction,
//                    now - sent_at, now);
//   RecordCompletion(tracker, target, HealthResult::kSuccess, now);
#ifndef SAMPHIREBANK_DISPATCH_DISPATCH_H_
#define SAMPHIREBANK_DISPATCH_DISPATCH_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "samphirebank/base/base.h"
#include "samphirebank/costs/costs.h"
#include "samphirebank/dialect/dialect.h"

namespace samphirebank::dispatch {

// Options configures the cost model and the ejection of failing targets. Costs
// are durations that a request would wait.
struct Options {
  // Prefill speed of one engine without other load, in tokens per millisecond.
  // What is learned is relative to it.
  double prefill_tokens_per_ms = 60.0;
  // Attention cost: every prefilled token attends to all tokens before it.
  double ms_per_million_pairs = 0.37;
  // Weight of the time to prefill parts that another target has cached. It is
  // above 1 because that prefill also delays the other requests at the target.
  double duplicate_prefill_weight = 2.0;
  // That weight grows by this part of itself for each duplicate_weight_wait by
  // which the mean wait at the candidates exceeds duplicate_weight_free_wait,
  // up to max_duplicate_weight_growth. Without it a busy fleet reads more and
  // more parts again, which makes it busier.
  double duplicate_weight_growth = 1.0;
  Duration duplicate_weight_free_wait = std::chrono::milliseconds(20);
  Duration duplicate_weight_wait = std::chrono::milliseconds(100);
  double max_duplicate_weight_growth = 2.0;
  // The weight grows in full where the learned factor of the service or its
  // inverse is at least this, and not where the constants are right.
  double full_weight_growth_factor = 1.5;
  // Probability that a part is cached at its second home, the target to which
  // all routers send it when the first home is busy.
  double second_home_hit_probability = 0.5;
  // Added latency of a target in another zone of the region.
  Duration cross_zone_latency = std::chrono::milliseconds(2);
  // Added latency of a target in another region.
  Duration cross_region_latency = std::chrono::milliseconds(60);
  // Delay that each running request adds to the first event of another one.
  Duration delay_per_running = std::chrono::microseconds(500);
  // Delay that each request waiting at a target adds.
  Duration delay_per_waiting = std::chrono::milliseconds(30);
  // A target's own load report is ignored once it is this old.
  Duration load_report_ttl = std::chrono::seconds(2);
  // A prompt part is assumed to be cached at a target for this long after it
  // was sent there.
  Duration cached_part_ttl = std::chrono::seconds(20);
  // Duration of the first ejection. Each further consecutive failure doubles
  // it, up to max_ejection.
  Duration initial_ejection = std::chrono::milliseconds(500);
  Duration max_ejection = std::chrono::seconds(4);
  // Consecutive failures after which a target is ejected.
  uint32_t consecutive_failure_threshold = 2;
  // A failure ejects the target if the moving average of its failure rate is at
  // least this.
  double failure_rate_threshold = 0.5;
  // Weight of the newest result in the moving average.
  double failure_rate_weight = 0.15;
  // Maximum fraction of a service's targets that may be ejected.
  double max_ejected_fraction = 0.5;
};

// Distance is the network distance between this router and a target.
enum class Distance : uint8_t { kSameZone, kSameRegion, kOtherRegion };

// Candidate is a target that may be chosen. `slots` is the number of requests
// that it runs at once; 0 means unknown.
struct Candidate {
  TargetId id{};
  Distance distance = Distance::kSameZone;
  uint32_t slots = 0;
};

// RequestProfile holds the properties of a request that the choice depends on.
struct RequestProfile {
  // Prompt parts that other prompts may share, in prompt order.
  std::vector<dialect::PromptPart> shared{};
  Tokens unique_tokens{};  // the rest of the prompt
  ServiceId service{};     // whose targets are the candidates
  uint64_t seed = 0;       // breaks ties; differs between requests
  // Targets already tried. They are chosen again only if no other is left.
  std::set<TargetId> tried_targets{};
};

// MakeRequestProfile derives the profile from a caller's prompt. The last part
// of the prompt counts as unique.
RequestProfile MakeRequestProfile(const dialect::Prompt& prompt, uint64_t seed);

// HealthResult classifies a completed request for the target's health.
// kIgnored leaves the health unchanged.
enum class HealthResult : uint8_t { kSuccess, kFailure, kIgnored };

// TargetState is a router's view of one target.
struct TargetState {
  uint32_t in_flight = 0;  // requests of this router
  // Time by the model to prefill the prompts that this router sent and that the
  // target has not prefilled yet.
  Duration prefill_backlog{};
  // The same for the prompts of all other routers, as last reported by them or
  // estimated from this router's own backlog.
  Duration peer_prefill_backlog{};
  std::optional<dialect::TargetLoad> load{};  // latest load report
  TimePoint load_received_at{};
  costs::Estimate reading_time{};  // relative to the model
  uint32_t consecutive_failures = 0;
  double failure_rate = 0.0;  // moving average, from 0 to 1
  TimePoint ejected_until{};
  // The run that the other members describe, by its start.
  int64_t run_started_at_ms = 0;
  bool leaving = false;      // the target said that it takes no new work
  TimePoint paused_until{};  // the target asked for no request before
};

// TargetIdHash is faster than std::hash: a choice looks all candidates up.
struct TargetIdHash {
  size_t operator()(const TargetId& target) const;
};

// TargetTracker holds a router's view of all targets.
struct TargetTracker {
  Options options{};
  costs::ReadingSpeeds speeds{};
  std::unordered_map<TargetId, TargetState, TargetIdHash> targets{};
  // The targets whose current run said that it leaves or wants a pause.
  std::set<TargetId> restricted{};
  // The time when each prompt part was last sent to each target.
  std::unordered_map<uint64_t,
                     std::unordered_map<TargetId, TimePoint, TargetIdHash>>
      part_sent_at{};
};

// Prediction is what the model gives for the time from a send to the first
// event of the answer.
struct Prediction {
  Duration wait{};          // for the target's prefill backlog
  Duration prefill_time{};  // of the prompt
  // Delays that do not depend on how fast the target reads.
  Duration other_delay{};
  double slowdown = 1.0;  // of the target's machine, when it was chosen
};

// Choice is the candidate with the lowest estimated cost.
struct Choice {
  size_t index = 0;  // among the candidates
  // Estimated time until the target's prefill backlog is processed, and the
  // mean of that time over all candidates.
  Duration wait{};
  Duration mean_wait{};
  Duration prefill_time{};  // by the model, for the uncached tokens
  // What is charged, before its weight, for the part of the prefill that is
  // spent on shared parts. It is at least the time by the model.
  Duration duplicate_prefill_time{};
  // Whether the target is the first home of the prompt's shared parts, where
  // all routers expect them to be cached.
  bool at_home = false;
  Prediction prediction{};  // see RecordFirstEvent
};

// Choose returns the candidate with the lowest estimated cost, or nothing if
// there is no candidate.
std::optional<Choice> Choose(const TargetTracker& tracker,
                             const std::vector<Candidate>& candidates,
                             const RequestProfile& request, TimePoint now);

// ReadingTimeFactor returns how long a target takes to read prompts relative to
// the model, as Choose uses it.
double ReadingTimeFactor(const TargetTracker& tracker, const ServiceId& service,
                         const TargetId& target, TimePoint now);

// RecordSent records that a request was sent to a target. `prefill_time` is the
// estimate that Choose returned.
void RecordSent(TargetTracker& tracker, const TargetId& target,
                const RequestProfile& request, Duration prefill_time,
                TimePoint now);
// RecordLoadReport stores a load report that was received from a target.
void RecordLoadReport(TargetTracker& tracker, const TargetId& target,
                      const dialect::TargetLoad& load, TimePoint now);
// RecordPrefillDone removes the prompt of a request from the target's prefill
// backlog. Pass the `prefill_time` that was passed to RecordSent.
void RecordPrefillDone(TargetTracker& tracker, const TargetId& target,
                       Duration prefill_time);
// RecordFirstEvent learns from a request whose answer has begun `elapsed` after
// the send how fast the target reads. `prediction` is what Choose returned.
void RecordFirstEvent(TargetTracker& tracker, const TargetId& target,
                      const ServiceId& service, const Prediction& prediction,
                      Duration elapsed, TimePoint now);
// RecordCompletion ends a request that RecordSent recorded, and updates the
// target's health.
void RecordCompletion(TargetTracker& tracker, const TargetId& target,
                      HealthResult result, TimePoint now);
// RecordUnreachable records a failed connection attempt, which ejects the
// target at once.
void RecordUnreachable(TargetTracker& tracker, const TargetId& target,
                       TimePoint now);
// RecordRun records that a target announced a run. The state of an earlier run
// is dropped.
void RecordRun(TargetTracker& tracker, const TargetId& target,
               int64_t started_at_ms);
// RecordLeaving and RecordPause record what a target's run said in an answer:
// that it takes no new work, or none before `until`. They ignore what an
// earlier run than the recorded one said.
bool RecordLeaving(TargetTracker& tracker, const TargetId& target,
                   int64_t run_started_at_ms);
void RecordPause(TargetTracker& tracker, const TargetId& target,
                 int64_t run_started_at_ms, TimePoint until);
// TakesWork returns whether a request may be sent to a target. Unlike an
// ejection, what a target said itself holds even if no other target is left.
bool TakesWork(const TargetTracker& tracker, const TargetId& target,
               TimePoint now);
// EvictStaleEntries removes the entries of prompt parts that are no longer
// assumed to be cached. Call it every few seconds.
void EvictStaleEntries(TargetTracker& tracker, TimePoint now);

}  // namespace samphirebank::dispatch

#endif  // SAMPHIREBANK_DISPATCH_DISPATCH_H_
