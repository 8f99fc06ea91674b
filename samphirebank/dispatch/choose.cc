#include <xxhash.h>

#include <algorithm>
#include <string>

#include "samphirebank/dispatch/dispatch.h"

namespace samphirebank::dispatch {
namespace {

using std::chrono::duration;
using Milliseconds = duration<double, std::milli>;

const TargetState* FindRecord(const TargetTracker& tracker,
                              const TargetId& target) {
  const auto found = tracker.targets.find(target);
  return found == tracker.targets.end() ? nullptr : &found->second;
}

bool IsEjected(const TargetTracker& tracker, const TargetId& target,
               TimePoint now) {
  const TargetState* record = FindRecord(tracker, target);
  return record != nullptr && now < record->ejected_until;
}

uint64_t Rank(const TargetId& target, uint64_t key) {
  return XXH64(target.value.data(), target.value.size(), key);
}

// Homes are the candidates that all routers take a prompt part to, as long as
// they know the same targets (rendezvous hashing).
struct Homes {
  std::optional<size_t> first{};
  std::optional<size_t> second{};
};

Homes HomesOf(const std::vector<Candidate>& candidates,
              const RequestProfile& work) {
  Homes homes;
  if (work.shared_parts.empty()) return homes;
  const uint64_t key = work.shared_parts.back().id;
  uint64_t first = 0;
  uint64_t second = 0;
  for (size_t i = 0; i < candidates.size(); ++i) {
    const uint64_t rank = Rank(candidates[i].id, key);
    if (!homes.first || rank > first) {
      homes.second = homes.first;
      second = first;
      homes.first = i;
      first = rank;
    } else if (!homes.second || rank > second) {
      homes.second = i;
      second = rank;
    }
  }
  return homes;
}

bool IsCached(const TargetTracker& tracker, const TargetId& target,
              uint64_t part, TimePoint now) {
  const auto sent = tracker.part_sent.find(part);
  if (sent == tracker.part_sent.end()) return false;
  const auto at = sent->second.find(target);
  return at != sent->second.end() &&
         now - at->second < tracker.options.cache_belief;
}

// HitChance is how likely the shared parts are cached at a candidate, as far
// as nothing was sent there lately.
double HitChance(const Options& options, const Homes& homes, size_t candidate) {
  if (homes.first == candidate) return 1.0;
  return homes.second == candidate ? options.second_home_hit : 0.0;
}

// UncachedTokens is how much of the shared parts a target will have to read. A
// part helps only if all parts before it are cached too.
Tokens UncachedTokens(const TargetTracker& tracker, const TargetId& target,
                      double hit_chance, const RequestProfile& work,
                      TimePoint now) {
  Tokens uncached;
  bool prefix_cached = true;
  for (const dialect::PromptPart& part : work.shared_parts) {
    prefix_cached = prefix_cached && IsCached(tracker, target, part.id, now);
    if (!prefix_cached) uncached += part.tokens;
  }
  const double missed =
      (1.0 - hit_chance) * static_cast<double>(uncached.value);
  return Tokens(static_cast<int64_t>(missed));
}

Milliseconds CrossingCost(const Options& options, Distance distance) {
  switch (distance) {
    case Distance::kSameZone:
      return {};
    case Distance::kSameRegion:
      return options.crossing_zone;
    case Distance::kOtherRegion:
      return options.crossing_region;
  }
  return {};
}

// ReadingTime is how long an engine reads `uncached` tokens at the end of a
// prompt.
Milliseconds ReadingTime(const Options& options, Tokens uncached,
                         Tokens prompt) {
  constexpr double kMillion = 1e6;
  const auto read = static_cast<double>(uncached.value);
  const double attended = static_cast<double>(prompt.value) - read / 2;
  return Milliseconds(read / options.tokens_read_per_ms +
                      read * attended / kMillion *
                          options.ms_per_million_pairs);
}

Tokens PromptTokens(const RequestProfile& work) {
  Tokens tokens = work.unique_tokens;
  for (const dialect::PromptPart& part : work.shared_parts)
    tokens += part.tokens;
  return tokens;
}

// ReadWait is how long the prompts that were sent to a target take to read.
Milliseconds ReadWait(const TargetState* record) {
  if (record == nullptr) return {};
  return record->prefill_backlog + record->peer_prefill_backlog;
}

// LoadCost is what the requests that run or wait at a target cost one more.
Milliseconds LoadCost(const TargetTracker& tracker, const Candidate& candidate,
                      TimePoint now) {
  const TargetState* record = FindRecord(tracker, candidate.id);
  if (record == nullptr) return {};
  const Options& options = tracker.options;
  uint32_t running = record->in_flight;
  uint32_t waiting = 0;
  const bool fresh =
      record->load && now - record->load_received_at < options.load_age;
  if (fresh) {
    running = std::max(running, record->load->running);
    waiting = record->load->waiting;
  }
  const bool over = candidate.slots > 0 && running > candidate.slots;
  if (over) waiting = std::max(waiting, running - candidate.slots);
  // An engine's waiting prompts are counted by the time to read them.
  const bool reads =
      record->prefill_backlog + record->peer_prefill_backlog > Duration::zero();
  const Milliseconds queue =
      reads ? Milliseconds() : waiting * Milliseconds(options.per_waiting);
  return running * Milliseconds(options.per_running) + queue;
}

// Estimate is what one target would take for a request.
struct Estimate {
  Milliseconds cost{};
  Milliseconds wait{};
  Milliseconds prefill_time{};
  Milliseconds duplicate_prefill_time{};
};

Estimate EstimateOf(const TargetTracker& tracker, const Candidate& candidate,
                    double hit_chance, const RequestProfile& work,
                    TimePoint now) {
  const Tokens uncached =
      UncachedTokens(tracker, candidate.id, hit_chance, work, now);
  const Tokens prompt = PromptTokens(work);
  const Milliseconds own =
      ReadingTime(tracker.options, work.unique_tokens, prompt);
  const Milliseconds reading =
      ReadingTime(tracker.options, work.unique_tokens + uncached, prompt);
  const Milliseconds wait = ReadWait(FindRecord(tracker, candidate.id));
  const Milliseconds again = reading - own;
  return {.cost = wait + own + tracker.options.read_again_weight * again +
                  CrossingCost(tracker.options, candidate.distance) +
                  LoadCost(tracker, candidate, now),
          .wait = wait,
          .prefill_time = reading,
          .duplicate_prefill_time = again};
}

// Allowed returns the candidates that may be chosen: not tried, not ejected.
// Each condition is given up if it would leave too few.
std::vector<size_t> Allowed(const TargetTracker& tracker,
                            const std::vector<Candidate>& candidates,
                            const RequestProfile& work, TimePoint now) {
  std::vector<size_t> untried;
  for (size_t i = 0; i < candidates.size(); ++i) {
    if (!work.tried_targets.contains(candidates[i].id)) untried.push_back(i);
  }
  std::vector<size_t> healthy;
  for (const size_t i : untried) {
    if (!IsEjected(tracker, candidates[i].id, now)) healthy.push_back(i);
  }
  const double least = static_cast<double>(candidates.size()) *
                       (1.0 - tracker.options.most_ejected);
  const bool enough =
      static_cast<double>(healthy.size() + work.tried_targets.size()) >= least;
  return enough && !healthy.empty() ? healthy : untried;
}

}  // namespace

std::optional<Choice> Choose(const TargetTracker& tracker,
                             const std::vector<Candidate>& candidates,
                             const RequestProfile& work, TimePoint now) {
  const std::vector<size_t> allowed = Allowed(tracker, candidates, work, now);
  const Homes homes = HomesOf(candidates, work);
  std::optional<size_t> best;
  Estimate least;
  for (const size_t i : allowed) {
    const Estimate estimate =
        EstimateOf(tracker, candidates[i], HitChance(tracker.options, homes, i),
                   work, now);
    const bool tie_won = best && estimate.cost == least.cost &&
                         Rank(candidates[i].id, work.seed) >
                             Rank(candidates[*best].id, work.seed);
    if (best && estimate.cost >= least.cost && !tie_won) continue;
    best = i;
    least = estimate;
  }
  if (!best) return std::nullopt;
  using std::chrono::duration_cast;
  return Choice{.index = *best,
                .wait = duration_cast<Duration>(least.wait),
                .prefill_time = duration_cast<Duration>(least.prefill_time),
                .duplicate_prefill_time =
                    duration_cast<Duration>(least.duplicate_prefill_time),
                .at_home = homes.first == *best};
}

Duration MeanWait(const TargetTracker& tracker,
                  const std::vector<Candidate>& candidates) {
  Milliseconds total{};
  for (const Candidate& candidate : candidates) {
    total += ReadWait(FindRecord(tracker, candidate.id));
  }
  if (candidates.empty()) return {};
  return std::chrono::duration_cast<Duration>(
      total / static_cast<double>(candidates.size()));
}

}  // namespace samphirebank::dispatch
