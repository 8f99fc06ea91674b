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
// total demand.
//
// Example:
//
//   if (!ShouldAdmit(options, {.latency_target = target, .wait = wait,
//                              .used = used, .fair_shares = fair_shares})) {
//     Refuse(RetryAfter(options, used, fair_share, seed));
//   }
#ifndef SAMPHIREBANK_ADMISSION_ADMISSION_H_
#define SAMPHIREBANK_ADMISSION_ADMISSION_H_

#include <chrono>
#include <cstdint>

#include "samphirebank/base/base.h"

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
  // A prompt is always admitted if its wait is at most this, so that no
  // capacity is left idle.
  Duration idle_threshold = std::chrono::milliseconds(8);
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

// Request describes one prompt and the load at the time of its arrival.
struct Request {
  Duration latency_target{};
  // Time that the best target needs to prefill its backlog and those shared
  // parts of the prompt that only another target has cached.
  Duration wait{};
  Duration mean_wait{};  // mean backlog of all targets of the service
  double used = 0.0;     // by the organisation across the fleet, tokens/s
  FairShares fair_shares{};
};

// ShouldAdmit returns whether to send the prompt to a target now.
bool ShouldAdmit(const Options& options, const Request& request);

// RetryAfter returns the delay after which a refused prompt should be retried.
// `used` and `fair_share` are rates of the organisation in tokens per second.
// `seed` spreads the retries of prompts that were refused at the same time.
Duration RetryAfter(const Options& options, double used, double fair_share,
                    uint64_t seed);

}  // namespace samphirebank::admission

#endif  // SAMPHIREBANK_ADMISSION_ADMISSION_H_
