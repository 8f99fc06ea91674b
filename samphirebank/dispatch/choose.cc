// Hashes of short ids cost less than a call into the shared library.
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <string>

#include "samphirebank/dispatch/dispatch.h"

namespace samphirebank::dispatch {
namespace {

using std::chrono::duration;
using Milliseconds = duration<double, std::milli>;

// View is what is known of one candidate, looked up once for each choice.
struct View {
  const TargetState* state = nullptr;  // null if nothing is known
  double factor = 1.0;                 // reading time relative to the model
  Milliseconds backlog{};  // of the prompts of all routers, by the model
  bool is_untried = true;
  bool is_healthy = true;  // and untried
};

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

// PartHolders are the targets to which one shared part was sent recently; null
// if there are none.
using PartHolders =
    const std::unordered_map<TargetId, TimePoint, TargetIdHash>*;

bool IsCached(const Options& options, PartHolders holders,
              const TargetId& target, TimePoint now) {
  if (holders == nullptr) return false;
  const auto sent_at = holders->find(target);
  return sent_at != holders->end() &&
         now - sent_at->second < options.cached_part_ttl;
}

// HitProbability estimates how likely it is that a candidate has the shared
// parts cached although this router did not send them there recently.
double HitProbability(const Options& options, const Homes& homes,
                      size_t candidate) {
  if (homes.first == candidate) return 1.0;
  return homes.second == candidate ? options.second_home_hit_probability : 0.0;
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

// Work is what a choice needs to know of its request and options, computed
// once.
struct Work {
  std::vector<PartHolders> holders{};  // of each shared part
  Tokens prompt{};
  Tokens shared{};
  Milliseconds unique_prefill_time{};
  Milliseconds whole_prefill_time{};  // with all shared parts
  double duplicate_weight = 0.0;
  std::array<Milliseconds, 3> distance_costs{};  // by Distance
  Milliseconds delay_per_running{};
  Milliseconds delay_per_waiting{};
};

Work WorkOf(const TargetTracker& tracker, const RequestProfile& request) {
  const Options& options = tracker.options;
  Work work{.prompt = PromptTokens(request)};
  work.shared = work.prompt;
  work.shared -= request.unique_tokens;
  work.unique_prefill_time =
      PrefillTime(options, request.unique_tokens, work.prompt);
  work.whole_prefill_time = PrefillTime(options, work.prompt, work.prompt);
  work.distance_costs = {Milliseconds(), options.cross_zone_latency,
                         options.cross_region_latency};
  work.delay_per_running = options.delay_per_running;
  work.delay_per_waiting = options.delay_per_waiting;
  work.holders.reserve(request.shared.size());
  for (const dialect::PromptPart& part : request.shared) {
    const auto found = tracker.part_sent_at.find(part.id);
    work.holders.push_back(
        found == tracker.part_sent_at.end() ? nullptr : &found->second);
  }
  return work;
}

// LoadDelay is the delay that the requests running and waiting at a target add
// to a new request.
struct LoadDelay {
  Milliseconds running{};
  Milliseconds waiting{};
};

LoadDelay EstimateLoadDelay(const Options& options, const Work& work,
                            const View& view, uint32_t slots, TimePoint now) {
  const TargetState* state = view.state;
  if (state == nullptr) return {};
  uint32_t running = state->in_flight;
  uint32_t waiting = 0;
  const bool has_fresh_load =
      state->load && now - state->load_received_at < options.load_report_ttl;
  if (has_fresh_load) {
    running = std::max(running, state->load->running);
    waiting = state->load->waiting;
  }
  const bool over_slots = slots > 0 && running > slots;
  if (over_slots) waiting = std::max(waiting, running - slots);
  // The prefill backlog already covers the prompts that wait at an engine.
  const bool has_backlog = view.backlog > Milliseconds::zero();
  return {.running = running * work.delay_per_running,
          .waiting =
              has_backlog ? Milliseconds() : waiting * work.delay_per_waiting};
}

// UncachedTokens returns the expected number of shared tokens that a target has
// to prefill. A cached part is of use only if all parts before it are cached
// too.
Tokens UncachedTokens(const Options& options, const Work& work,
                      const TargetId& target, double hit_probability,
                      const RequestProfile& request, TimePoint now) {
  Tokens uncached;
  bool prefix_cached = true;
  for (size_t i = 0; i < request.shared.size(); ++i) {
    prefix_cached =
        prefix_cached && IsCached(options, work.holders[i], target, now);
    if (!prefix_cached) uncached += request.shared[i].tokens;
  }
  const double expected =
      (1.0 - hit_probability) * static_cast<double>(uncached.value);
  return Tokens(static_cast<int64_t>(expected));
}

// CostEstimate is the estimated cost of a request at one target.
struct CostEstimate {
  Milliseconds cost{};
  Milliseconds prefill_time{};  // by the model
  Milliseconds duplicate_charge{};
  Milliseconds other_delay{};
};

CostEstimate EstimateCost(const Options& options, const View& view,
                          const Candidate& candidate, double hit_probability,
                          const Work& work, const RequestProfile& request,
                          TimePoint now) {
  const Tokens uncached = UncachedTokens(options, work, candidate.id,
                                         hit_probability, request, now);
  const Milliseconds prefill_time =
      uncached == work.shared
          ? work.whole_prefill_time
          : PrefillTime(options, request.unique_tokens + uncached, work.prompt);
  // A repeated read delays everybody who waits behind it, however fast the
  // target is: charged by a higher speed alone it looks cheap beside the
  // distance and the requests running, and is done for their sake.
  const Milliseconds duplicate_charge =
      (prefill_time - work.unique_prefill_time) * std::max(view.factor, 1.0);
  const LoadDelay load =
      EstimateLoadDelay(options, work, view, candidate.slots, now);
  const Milliseconds other_delay =
      work.distance_costs[static_cast<size_t>(candidate.distance)] +
      load.running;
  return {.cost = view.factor * (view.backlog + work.unique_prefill_time) +
                  work.duplicate_weight * duplicate_charge + other_delay +
                  load.waiting,
          .prefill_time = prefill_time,
          .duplicate_charge = duplicate_charge,
          .other_delay = other_delay};
}

costs::Slowdown SlowdownOf(const TargetState& state) {
  if (!state.load) return {};
  return {.factor = state.load->slowdown,
          .received_at = state.load_received_at};
}

// ViewsOf looks the candidates up.
std::vector<View> ViewsOf(const TargetTracker& tracker,
                          const std::vector<Candidate>& candidates,
                          double service_factor, TimePoint now) {
  const costs::Options& options = tracker.speeds.options;
  std::vector<View> views(candidates.size(), {.factor = service_factor});
  for (size_t i = 0; i < candidates.size(); ++i) {
    const auto found = tracker.targets.find(candidates[i].id);
    if (found == tracker.targets.end()) continue;
    const TargetState& state = found->second;
    views[i] = {.state = &state,
                .factor = service_factor *
                          costs::RelativeFactor(options, state.reading_time,
                                                SlowdownOf(state), now),
                .backlog = state.prefill_backlog + state.peer_prefill_backlog};
  }
  return views;
}

// MayUseUnhealthy marks the candidates that were tried or are ejected, and
// returns whether too few others are left to do without the ejected ones (see
// Options::max_ejected_fraction).
bool MayUseUnhealthy(const Options& options,
                     const std::vector<Candidate>& candidates,
                     const RequestProfile& request, TimePoint now,
                     std::vector<View>* views) {
  size_t num_healthy = 0;
  for (size_t i = 0; i < candidates.size(); ++i) {
    View& view = (*views)[i];
    view.is_untried = request.tried_targets.empty() ||
                      !request.tried_targets.contains(candidates[i].id);
    const bool is_ejected =
        view.state != nullptr && now < view.state->ejected_until;
    view.is_healthy = view.is_untried && !is_ejected;
    if (view.is_healthy) ++num_healthy;
  }
  const double min_healthy = static_cast<double>(candidates.size()) *
                             (1.0 - options.max_ejected_fraction);
  const bool enough_healthy =
      static_cast<double>(num_healthy + request.tried_targets.size()) >=
      min_healthy;
  return !enough_healthy || num_healthy == 0;
}

// MeanWait returns the mean time until the candidates' prefill backlogs are
// processed.
Milliseconds MeanWait(const std::vector<View>& views) {
  Milliseconds total{};
  for (const View& view : views) {
    total += view.factor * view.backlog;
  }
  return views.empty() ? Milliseconds()
                       : total / static_cast<double>(views.size());
}

// DuplicateWeight returns the weight of a repeated read. It grows with the mean
// wait, as everybody who waits behind it is delayed, but not where the service
// reads as the model says.
double DuplicateWeight(const Options& options, double service_factor,
                       Milliseconds mean_wait) {
  const double growth = std::clamp(
      options.duplicate_weight_growth *
          ((mean_wait - Milliseconds(options.duplicate_weight_free_wait)) /
           Milliseconds(options.duplicate_weight_wait)),
      0.0, options.max_duplicate_weight_growth);
  const double departure = std::abs(std::log(service_factor));
  const double full = std::log(options.full_weight_growth_factor);
  return options.duplicate_prefill_weight *
         (1.0 + growth * std::min(departure / full, 1.0));
}

Choice MakeChoice(size_t index, const View& view, const CostEstimate& estimate,
                  Milliseconds mean_wait, double slowdown) {
  using std::chrono::duration_cast;
  const auto prefill_time = duration_cast<Duration>(estimate.prefill_time);
  return {.index = index,
          .wait = duration_cast<Duration>(view.factor * view.backlog),
          .mean_wait = duration_cast<Duration>(mean_wait),
          .prefill_time = prefill_time,
          .duplicate_prefill_time =
              duration_cast<Duration>(estimate.duplicate_charge),
          .prediction = {
              .wait = duration_cast<Duration>(view.backlog),
              .prefill_time = prefill_time,
              .other_delay = duration_cast<Duration>(estimate.other_delay),
              .slowdown = slowdown}};
}

}  // namespace

std::optional<Choice> Choose(const TargetTracker& tracker,
                             const std::vector<Candidate>& candidates,
                             const RequestProfile& request, TimePoint now) {
  const Options& options = tracker.options;
  const double service_factor =
      costs::ServiceFactor(tracker.speeds, request.service, now);
  std::vector<View> views = ViewsOf(tracker, candidates, service_factor, now);
  const bool may_use_unhealthy =
      MayUseUnhealthy(options, candidates, request, now, &views);
  const Homes homes = HomesFor(candidates, request);
  const Milliseconds mean_wait = MeanWait(views);
  Work work = WorkOf(tracker, request);
  work.duplicate_weight = DuplicateWeight(options, service_factor, mean_wait);
  std::optional<size_t> best;
  CostEstimate best_estimate;
  for (size_t i = 0; i < candidates.size(); ++i) {
    const View& view = views[i];
    const bool is_eligible =
        view.is_healthy || (may_use_unhealthy && view.is_untried);
    if (!is_eligible) continue;
    const CostEstimate estimate =
        EstimateCost(options, view, candidates[i],
                     HitProbability(options, homes, i), work, request, now);
    const bool wins_tie =
        best && estimate.cost == best_estimate.cost &&
        RendezvousHash(candidates[i].id, request.seed) >
            RendezvousHash(candidates[*best].id, request.seed);
    if (best && estimate.cost >= best_estimate.cost && !wins_tie) continue;
    best = i;
    best_estimate = estimate;
  }
  if (!best) return std::nullopt;
  const TargetState* state = views[*best].state;
  const double slowdown = state == nullptr
                              ? 1.0
                              : costs::CurrentSlowdown(tracker.speeds.options,
                                                       SlowdownOf(*state), now);
  Choice choice =
      MakeChoice(*best, views[*best], best_estimate, mean_wait, slowdown);
  choice.at_home = homes.first == *best;
  return choice;
}

}  // namespace samphirebank::dispatch
