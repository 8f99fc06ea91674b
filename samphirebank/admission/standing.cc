// How organisations were served in comparison with each other.
#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>
#include <vector>

#include "samphirebank/admission/admission.h"
#include "samphirebank/admission/internal/level.h"

namespace samphirebank::admission {
bool IsBacklogged(const Options& options, const ServiceRates& rates) {
  return rates.demand > options.backlogged_ratio * rates.admitted;
}

double FairLevel(const Options& options,
                 const RatesByOrganisation& by_organisation) {
  std::vector<double> demands;
  demands.reserve(by_organisation.size());
  double admitted = 0.0;
  size_t num_backlogged = 0;
  for (const auto& [organisation, rates] : by_organisation) {
    demands.push_back(rates.demand);
    admitted += rates.admitted;
    if (IsBacklogged(options, rates)) ++num_backlogged;
  }
  if (num_backlogged < 2) return std::numeric_limits<double>::infinity();
  return fleetload::MaxMinFairShare(std::move(demands), admitted);
}

Standings ComputeStandings(const Options& options,
                           const RatesByOrganisation& rates) {
  Standings standings;
  const double level = FairLevel(options, rates);
  if (!std::isfinite(level) || level <= 0.0) return standings;
  for (const auto& [organisation, present] : rates) {
    const double ratio = present.admitted / level;
    const Standing standing = {
        .ratio = ratio,
        .idle_chance = std::clamp((options.ahead_to - ratio) /
                                      (options.ahead_to - options.ahead_from),
                                  options.least_idle_chance, 1.0),
        .behind =
            ratio < options.behind_below && IsBacklogged(options, present)};
    if (standing.idle_chance < 1.0 || standing.behind) {
      standings[organisation] = standing;
    }
  }
  return standings;
}

Standing StandingOf(const Standings& standings,
                    fleetload::IdHash organisation) {
  const auto found = standings.find(organisation);
  return found == standings.end() ? Standing{} : found->second;
}

size_t NumHeldBack(const Standings& standings) {
  return static_cast<size_t>(std::ranges::count_if(
      standings,
      [](const auto& item) { return item.second.idle_chance < 1.0; }));
}

double Draw(uint64_t hash) {
  constexpr int kFractionBits = 53;
  constexpr int kDropped = 64 - kFractionBits;
  return std::ldexp(static_cast<double>(hash >> kDropped), -kFractionBits);
}

}  // namespace samphirebank::admission
