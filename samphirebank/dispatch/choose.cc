#include <xxhash.h>

#include <algorithm>
#include <string>

#include "samphirebank/dispatch/dispatch.h"

namespace samphirebank::dispatch {
namespace {

using std::chrono::duration;
using Milliseconds = duration<double, std::milli>;

const TargetState* FindState(const TargetTracker& tracker,
                             const TargetId& target) {
  const auto found = tracker.targets.find(target);
  return found == tracker.targets.end() ? nullptr : &found->second;
}

bool IsEjected(const TargetTracker& tracker, const TargetId& target,
               TimePoint now) {
  const TargetState* state = FindState(tracker, target);
  return state != nullptr && now < state->ejected_until;
}

uint64_t RendezvousHash(const TargetId& target, uint64_t key) {
  return XXH64(target.value.data(), target.value.size(), key);
}

// Homes are the two candidates with the highest rendezvous hashes for the
// shared parts of a prompt. All routers that know the same targets compute the
// same homes.
struct Homes {
  std::optional<size_t> first{};
  std::optional<size_t> second{};
};

Homes HomesFor(const std::vector<Candidate>& candidates,
               const RequestProfile& request) {
  Homes homes;
  if (request.shared.empty()) return homes;
  const uint64_t key = request.shared.back().id;
  uint64_t first_hash = 0;
  uint64_t second_hash = 0;
  for (size_t i = 0; i < candidates.size(); ++i) {
    const uint64_t hash = RendezvousHash(candidates[i].id, key);
    if (!homes.first || hash > first_hash) {
      homes.second = homes.first;
      second_hash = first_hash;
      homes.first = i;
      first_hash = hash;
    } else if (!homes.second || hash > second_hash) {
      homes.second = i;
      second_hash = hash;
    }
  }
  return homes;
}

bool IsCached(const TargetTracker& tracker, const TargetId& target,
              uint64_t part, TimePoint now) {
  const auto sent = tracker.part_sent_at.find(part);
  if (sent == tracker.part_sent_at.end()) return false;
  const auto sent_at = sent->second.find(target);
  return sent_at != sent->second.end() &&
         now - sent_at->second < tracker.options.cached_part_ttl;
}

// HitProbability estimates how likely it is that a candidate has the shared
// parts cached although this router did not send them there recently.
double HitProbability(const Options& options, const Homes& homes,
                      size_t candidate) {
  if (homes.first == candidate) return 1.0;
  return homes.second == candidate ? options.second_home_hit_probability : 0.0;
}

// UncachedTokens returns the expected number of shared tokens that a target has
// to prefill. A cached part is of use only if all parts before it are cached
// too.
Tokens UncachedTokens(const TargetTracker& tracker, const TargetId& target,
                      double hit_probability, const RequestProfile& request,
                      TimePoint now) {
  Tokens uncached;
  bool prefix_cached = true;
  for (const dialect::PromptPart& part : request.shared) {
    prefix_cached = prefix_cached && IsCached(tracker, target, part.id, now);
    if (!prefix_cached) uncached += part.tokens;
  }
  const double expected =
      (1.0 - hit_probability) * static_cast<double>(uncached.value);
  return Tokens(static_cast<int64_t>(expected));
}

Milliseconds DistanceCost(const Options& options, Distance distance) {
  switch (distance) {
    case Distance::kSameZone:
      return {};
    case Distance::kSameRegion:
      return options.cross_zone_latency;
    case Distance::kOtherRegion:
      return options.cross_region_latency;
  }
  return {};
}

// PrefillTime returns how long an engine takes to prefill the last `uncached`
// tokens of a prompt of `prompt` tokens.
Milliseconds PrefillTime(const Options& options, Tokens uncached,
                         Tokens prompt) {
  constexpr double kMillion = 1e6;
  const auto prefilled = static_cast<double>(uncached.value);
  const double attended = static_cast<double>(prompt.value) - prefilled / 2;
  return Milliseconds(prefilled / options.prefill_tokens_per_ms +
                      prefilled * attended / kMillion *
                          options.ms_per_million_pairs);
}

Tokens PromptTokens(const RequestProfile& request) {
  Tokens tokens = request.unique_tokens;
  for (const dialect::PromptPart& part : request.shared) tokens += part.tokens;
  return tokens;
}

// PrefillBacklog returns the time to prefill the prompts that all routers sent
// to a target.
Milliseconds PrefillBacklog(const TargetState* state) {
  if (state == nullptr) return {};
  return state->prefill_backlog + state->peer_prefill_backlog;
}

// LoadCost returns the delay that the requests running and waiting at a target
// add to a new request.
Milliseconds LoadCost(const TargetTracker& tracker, const Candidate& candidate,
                      TimePoint now) {
  const TargetState* state = FindState(tracker, candidate.id);
  if (state == nullptr) return {};
  const Options& options = tracker.options;
  uint32_t running = state->in_flight;
  uint32_t waiting = 0;
  const bool has_fresh_load =
      state->load && now - state->load_received_at < options.load_report_ttl;
  if (has_fresh_load) {
    running = std::max(running, state->load->running);
    waiting = state->load->waiting;
  }
  const bool over_slots = candidate.slots > 0 && running > candidate.slots;
  if (over_slots) waiting = std::max(waiting, running - candidate.slots);
  // The prefill backlog already covers the prompts that wait at an engine.
  const bool has_backlog =
      state->prefill_backlog + state->peer_prefill_backlog > Duration::zero();
  const Milliseconds waiting_cost =
      has_backlog ? Milliseconds()
                  : waiting * Milliseconds(options.delay_per_waiting);
  return running * Milliseconds(options.delay_per_running) + waiting_cost;
}

// CostEstimate is the estimated cost of a request at one target.
struct CostEstimate {
  Milliseconds cost{};
  Milliseconds wait{};
  Milliseconds prefill_time{};
  Milliseconds duplicate_prefill_time{};
};

CostEstimate EstimateCost(const TargetTracker& tracker,
                          const Candidate& candidate, double hit_probability,
                          const RequestProfile& request, TimePoint now) {
  const Tokens uncached =
      UncachedTokens(tracker, candidate.id, hit_probability, request, now);
  const Tokens prompt = PromptTokens(request);
  const Milliseconds unique_prefill_time =
      PrefillTime(tracker.options, request.unique_tokens, prompt);
  const Milliseconds prefill_time =
      PrefillTime(tracker.options, request.unique_tokens + uncached, prompt);
  const Milliseconds wait = PrefillBacklog(FindState(tracker, candidate.id));
  const Milliseconds duplicate_prefill_time =
      prefill_time - unique_prefill_time;
  return {.cost = wait + unique_prefill_time +
                  tracker.options.duplicate_prefill_weight *
                      duplicate_prefill_time +
                  DistanceCost(tracker.options, candidate.distance) +
                  LoadCost(tracker, candidate, now),
          .wait = wait,
          .prefill_time = prefill_time,
          .duplicate_prefill_time = duplicate_prefill_time};
}

// EligibleCandidates returns the positions of the candidates that are neither
// tried nor ejected. Ejected candidates are included if too few others are left
// (see Options::max_ejected_fraction). The result is empty if all were tried.
std::vector<size_t> EligibleCandidates(const TargetTracker& tracker,
                                       const std::vector<Candidate>& candidates,
                                       const RequestProfile& request,
                                       TimePoint now) {
  std::vector<size_t> untried;
  for (size_t i = 0; i < candidates.size(); ++i) {
    if (!request.tried_targets.contains(candidates[i].id)) untried.push_back(i);
  }
  std::vector<size_t> healthy;
  for (const size_t i : untried) {
    if (!IsEjected(tracker, candidates[i].id, now)) healthy.push_back(i);
  }
  const double min_healthy = static_cast<double>(candidates.size()) *
                             (1.0 - tracker.options.max_ejected_fraction);
  const bool enough_healthy =
      static_cast<double>(healthy.size() + request.tried_targets.size()) >=
      min_healthy;
  return enough_healthy && !healthy.empty() ? healthy : untried;
}

}  // namespace

std::optional<Choice> Choose(const TargetTracker& tracker,
                             const std::vector<Candidate>& candidates,
                             const RequestProfile& request, TimePoint now) {
  const std::vector<size_t> eligible =
      EligibleCandidates(tracker, candidates, request, now);
  const Homes homes = HomesFor(candidates, request);
  std::optional<size_t> best;
  CostEstimate best_estimate;
  for (const size_t i : eligible) {
    const CostEstimate estimate =
        EstimateCost(tracker, candidates[i],
                     HitProbability(tracker.options, homes, i), request, now);
    const bool wins_tie =
        best && estimate.cost == best_estimate.cost &&
        RendezvousHash(candidates[i].id, request.seed) >
            RendezvousHash(candidates[*best].id, request.seed);
    if (best && estimate.cost >= best_estimate.cost && !wins_tie) continue;
    best = i;
    best_estimate = estimate;
  }
  if (!best) return std::nullopt;
  using std::chrono::duration_cast;
  return Choice{
      .index = *best,
      .wait = duration_cast<Duration>(best_estimate.wait),
      .prefill_time = duration_cast<Duration>(best_estimate.prefill_time),
      .duplicate_prefill_time =
          duration_cast<Duration>(best_estimate.duplicate_prefill_time),
      .at_home = homes.first == *best};
}

Duration MeanWait(const TargetTracker& tracker,
                  const std::vector<Candidate>& candidates) {
  Milliseconds total{};
  for (const Candidate& candidate : candidates) {
    total += PrefillBacklog(FindState(tracker, candidate.id));
  }
  if (candidates.empty()) return {};
  return std::chrono::duration_cast<Duration>(
      total / static_cast<double>(candidates.size()));
}

}  // namespace samphirebank::dispatch
