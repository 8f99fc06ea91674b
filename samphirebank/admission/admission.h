// File: admission.h
//
// Decides whether a prompt is sent to an engine now or refused at once. An
// engine accepts every prompt and prefills prompts in order of arrival, so
// prompts that wait there can no longer be prioritised. The backlog at the
// engines is therefore kept short, and shorter for an organisation that
// recently used more than its fair share. This library performs no I/O.
//
// It is designed for a few organisations that demand many times their fair
// share beside others that demand little, at engines that cannot serve the
// total demand. Organisations that are refused at the same time are equalised
// by their standings, which are computed from the load reports of the fleet.
//
// Example:
//
//   standings = ComputeStandings(options, rates);  // at each load report
//
//   const Decision decision =
//       Decide(options, {.latency_target = target, .wait = wait, .used = used,
//                        .fair_shares = fair_shares,
//                        .standing = StandingOf(standings, organisation),
//                        .draw = Draw(seed)});
//   if (!IsAdmitted(decision)) {
//     Refuse(RetryAfter(options, used, fair_share, seed));
//   }
#ifndef SAMPHIREBANK_ADMISSION_ADMISSION_H_
#define SAMPHIREBANK_ADMISSION_ADMISSION_H_

#include <chrono>
#include <cstdint>
#include <unordered_map>

#include "samphirebank/base/base.h"
#include "samphirebank/fleetload/fleetload.h"

namespace samphirebank::admission {

// Options configures admission and the delay of retries.
struct Options {
  // A prompt is admitted if its wait before the prefill is at most the latency
  // target multiplied by the larger of two ratios, up to max_wait_ratio:
  //
  //   nominal_wait_ratio * (nominal / used)^2
  //   current_wait_ratio * (current / used)^2 *
  //       max(0, 1 - mean_wait / mean_wait_cutoff)
  //
  // `nominal` and `current` are the FairShares of the organisation; the other
  // names are fields of Request.
  double nominal_wait_ratio = 0.4;
  double current_wait_ratio = 0.25;
  double max_wait_ratio = 1.2;
  Duration mean_wait_cutoff = std::chrono::milliseconds(100);
  // Targets with a shorter wait count as idle. A prompt is admitted there
  // unless its organisation is ahead.
  Duration idle_threshold = std::chrono::milliseconds(8);
  // An organisation is backlogged if it demands more than this multiple of what
  // it is admitted. It is above 1 since a few refusals occur without a
  // shortage.
  double backlogged_ratio = 1.2;
  // The standing of an organisation is what it was admitted, divided by the
  // max-min fair level of what all were admitted. Two organisations with the
  // standings 1.2 and 0.8 are served as 1.5 to 1. The chance that a prompt is
  // admitted at an idle target falls linearly from 1 at ahead_from towards 0 at
  // ahead_to, but not below least_idle_chance, which keeps targets busy if the
  // organisations behind do not use them.
  double ahead_from = 1.02;
  double ahead_to = 1.5;
  double least_idle_chance = 0.1;
  // Below the standing behind_below, the wait ratio of a backlogged
  // organisation is at least behind_wait_ratio.
  double behind_below = 0.95;
  double behind_wait_ratio = 0.08;
  // While two organisations or more are backlogged, none is admitted more than
  // a ceiling over the fleet: the level multiplied by this.
  double most_of_level = 1.5;
  // Longest time for which an organisation saves up what it was not admitted
  // below the ceiling.
  Duration max_saved = std::chrono::milliseconds(2000);
  // A refused prompt should be retried after base_retry_delay, plus
  // retry_delay_step for each fair share that its organisation used, but at
  // most after max_retry_delay.
  Duration base_retry_delay = std::chrono::milliseconds(400);
  Duration retry_delay_step = std::chrono::milliseconds(300);
  Duration max_retry_delay = std::chrono::milliseconds(2500);
};

// FairShares holds the max-min fair shares of one organisation, in tokens per
// second.
struct FairShares {
  double nominal = 0.0;  // of the stated capacity of the targets
  double current = 0.0;  // of their current capacity; at least the nominal one
};

// CurrentCapacity estimates the current capacity of the targets in tokens per
// second from their stated capacity and the recently admitted rate. It is
// somewhat above the admitted rate, so that the estimate can grow, and at least
// the stated capacity.
double CurrentCapacity(double stated, double admitted);

// ServiceRates holds what an organisation demands and is admitted over the
// fleet, in tokens per second.
struct ServiceRates {
  double demand = 0.0;
  double admitted = 0.0;
};

using RatesByOrganisation = std::unordered_map<fleetload::IdHash, ServiceRates>;

// Standing is how an organisation was served, relative to the max-min level of
// all organisations.
struct Standing {
  double ratio = 1.0;        // of what it was admitted to its fair level
  double idle_chance = 1.0;  // that a prompt is admitted at an idle target
  bool behind = false;
};

// Standings holds the organisations that are ahead or behind.
using Standings = std::unordered_map<fleetload::IdHash, Standing>;

// ComputeStandings returns the standings at the present rates of the fleet. All
// organisations stand equal unless at least two are backlogged. The rates
// remember about the last two seconds (fleetload::kRateTimeConstant).
Standings ComputeStandings(const Options& options,
                           const RatesByOrganisation& rates);

// StandingOf returns the standing of an organisation.
Standing StandingOf(const Standings& standings, fleetload::IdHash organisation);

// NumHeldBack returns how many organisations are ahead.
size_t NumHeldBack(const Standings& standings);

// ComputeCeiling returns the rate in tokens per second above which no
// organisation is admitted over the fleet at its present rates, unless that is
// below its nominal share; infinite if fewer than two are backlogged.
double ComputeCeiling(const Options& options, const RatesByOrganisation& rates);

// Pace keeps an organisation to its part of the ceiling at one gateway. A
// request that is refused spends nothing, so that it makes no difference how
// often an organisation tries.
struct Pace {
  bool limited = false;  // there is a ceiling
  double saved = 0.0;    // tokens; negative: was admitted in advance
  TimePoint updated_at{};
};

// Accrue adds what the organisation may be admitted since the last call.
// `part` is its part of the ceiling at this gateway in tokens per second;
// infinite if there is no ceiling. It should be called at a fixed interval: at
// the requests of an organisation, what is known of its part is biased.
void Accrue(const Options& options, Pace& pace, double part, TimePoint now);

// IsOverCeiling returns whether the organisation has used up its part.
bool IsOverCeiling(const Pace& pace);

// Spend records the admission of a prompt of `tokens`.
void Spend(Pace& pace, double tokens);

// Draw maps a hash to a number in [0, 1).
double Draw(uint64_t hash);

// Request describes one prompt and the load at the time of its arrival.
struct Request {
  Duration latency_target{};
  // Time that the best target needs to prefill its backlog and those shared
  // parts of the prompt that only another target has cached.
  Duration wait{};
  Duration mean_wait{};  // mean backlog of all targets of the service
  double used = 0.0;     // by the organisation across the fleet, tokens/s
  FairShares fair_shares{};
  Standing standing{};
  bool over_ceiling = false;  // see IsOverCeiling
  double draw = 0.0;          // in [0, 1), compared with Standing::idle_chance
};

// Decision is what happens to a prompt.
enum class Decision : uint8_t {
  kAdmitted,
  kAdmittedBehind,  // only because its organisation is behind
  kRefusedBusy,     // the wait is too long
  kRefusedAhead,    // only because its organisation is ahead
};

// Decide returns whether to send the prompt to a target now, and why. The
// standing and the ceiling change nothing for an organisation that used at most
// its nominal share: it is not held back, and its wait limit is above the
// raised one.
Decision Decide(const Options& options, const Request& request);

// IsAdmitted returns whether a decision admits the prompt.
bool IsAdmitted(Decision decision);

// ShouldAdmit returns whether to send the prompt to a target now.
bool ShouldAdmit(const Options& options, const Request& request);

// RetryAfter returns the delay after which a refused prompt should be retried.
// `used` and `fair_share` are rates of the organisation in tokens per second.
// `seed` spreads the retries of prompts that were refused at the same time.
Duration RetryAfter(const Options& options, double used, double fair_share,
                    uint64_t seed);

}  // namespace samphirebank::admission

#endif  // SAMPHIREBANK_ADMISSION_ADMISSION_H_
