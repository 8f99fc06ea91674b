#include <xxhash.h>

#include <algorithm>
#include <string>

#include "samphirebank/dispatch/dispatch.h"

namespace samphirebank::dispatch {
namespace {

using std::chrono::duration;
using Milliseconds = duration<double, std::milli>;

const Record* FindRecord(const Book& book, const TargetId& target) {
  const auto found = book.records.find(target);
  return found == book.records.end() ? nullptr : &found->second;
}

bool IsEjected(const Book& book, const TargetId& target, TimePoint now) {
  const Record* record = FindRecord(book, target);
  return record != nullptr && now < record->ejected_until;
}

uint64_t Rank(const TargetId& target, uint64_t key) {
  return XXH64(target.value.data(), target.value.size(), key);
}

// HomeOf is the candidate that all routers take a prompt part to, as long as
// they know the same targets (rendezvous hashing).
std::optional<size_t> HomeOf(const std::vector<Candidate>& candidates,
                             const Work& work) {
  if (work.shared.empty() || candidates.empty()) return std::nullopt;
  const uint64_t key = work.shared.back().id;
  size_t home = 0;
  for (size_t i = 1; i < candidates.size(); ++i) {
    if (Rank(candidates[i].id, key) > Rank(candidates[home].id, key)) home = i;
  }
  return home;
}

bool IsCached(const Book& book, const TargetId& target, uint64_t part,
              TimePoint now) {
  const auto sent = book.part_sent.find(part);
  if (sent == book.part_sent.end()) return false;
  const auto at = sent->second.find(target);
  return at != sent->second.end() &&
         now - at->second < book.options.cache_belief;
}

// UncachedTokens is how much of the shared parts a target has to read. A part
// helps only if all parts before it are cached too.
Tokens UncachedTokens(const Book& book, const Candidate& candidate,
                      bool is_home, const Work& work, TimePoint now) {
  Tokens uncached;
  bool prefix_cached = true;
  for (const dialect::PromptPart& part : work.shared) {
    prefix_cached =
        prefix_cached &&
        (is_home || IsCached(book, candidate.id, part.id, now));
    if (!prefix_cached) uncached += part.tokens;
  }
  return uncached;
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

// LoadCost is what the requests that a target has cost one more.
Milliseconds LoadCost(const Book& book, const Candidate& candidate,
                      TimePoint now) {
  const Record* record = FindRecord(book, candidate.id);
  if (record == nullptr) return {};
  const Options& options = book.options;
  Milliseconds cost(static_cast<double>(record->unread.value) /
                    options.tokens_read_per_ms);
  uint32_t running = record->in_flight;
  uint32_t waiting = 0;
  const bool fresh =
      record->load && now - record->load_at < options.load_age;
  if (fresh) {
    running = std::max(running, record->load->running);
    waiting = record->load->waiting;
  }
  const bool over = candidate.slots > 0 && running > candidate.slots;
  if (over) waiting = std::max(waiting, running - candidate.slots);
  cost += running * Milliseconds(options.per_running);
  cost += waiting * Milliseconds(options.per_waiting);
  return cost;
}

Milliseconds CostOf(const Book& book, const Candidate& candidate, bool is_home,
                    const Work& work, TimePoint now) {
  const Tokens uncached =
      UncachedTokens(book, candidate, is_home, work, now);
  const Milliseconds reading(static_cast<double>(uncached.value) /
                             book.options.tokens_read_per_ms);
  return reading + CrossingCost(book.options, candidate.distance) +
         LoadCost(book, candidate, now);
}

// Allowed returns the candidates that may be chosen: not tried, not ejected.
// Each condition is given up if it would leave too few.
std::vector<size_t> Allowed(const Book& book,
                            const std::vector<Candidate>& candidates,
                            const Work& work, TimePoint now) {
  std::vector<size_t> untried;
  for (size_t i = 0; i < candidates.size(); ++i) {
    if (!work.tried.contains(candidates[i].id)) untried.push_back(i);
  }
  std::vector<size_t> healthy;
  for (const size_t i : untried) {
    if (!IsEjected(book, candidates[i].id, now)) healthy.push_back(i);
  }
  const double least = static_cast<double>(candidates.size()) *
                       (1.0 - book.options.most_ejected);
  const bool enough = static_cast<double>(healthy.size() + work.tried.size()) >=
                      least;
  return enough && !healthy.empty() ? healthy : untried;
}

}  // namespace

std::optional<size_t> Choose(const Book& book,
                             const std::vector<Candidate>& candidates,
                             const Work& work, TimePoint now) {
  const std::vector<size_t> allowed = Allowed(book, candidates, work, now);
  const std::optional<size_t> home = HomeOf(candidates, work);
  std::optional<size_t> best;
  Milliseconds best_cost{};
  for (const size_t i : allowed) {
    const Milliseconds cost =
        CostOf(book, candidates[i], home == i, work, now);
    const bool tie_won = best && cost == best_cost &&
                         Rank(candidates[i].id, work.seed) >
                             Rank(candidates[*best].id, work.seed);
    if (best && cost >= best_cost && !tie_won) continue;
    best = i;
    best_cost = cost;
  }
  return best;
}

}  // namespace samphirebank::dispatch
