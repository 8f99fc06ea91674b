// File: admission.h
//
// Whether a prompt is sent to an engine now or refused at once. An engine
// takes all that it is sent and reads prompts in the order of their arrival, so
// what waits there can no longer be ordered: little may wait, and less of an
// organisation that got more than its share lately. No I/O.
//
// The load it answers: a few organisations that ask for many times their share
// beside others that ask for little, at engines that could not serve all.
//
// Example:
//
//   if (!ShouldAdmit(options, {.latency_target = target, .wait = wait,
//                         .used = used, .fair_shares = levels})) {
//     Refuse(RetryAfter(options, used, level, seed));
//   }
#ifndef SAMPHIREBANK_ADMISSION_ADMISSION_H_
#define SAMPHIREBANK_ADMISSION_ADMISSION_H_

#include <chrono>
#include <cstdint>

#include "samphirebank/base/base.h"

namespace samphirebank::admission {

// Options of the decision.
struct Options {
  // The longest wait before a prompt is read, in parts of the latency target:
  // of an organisation that used just its owed share, and of one that used just
  // its part of what the targets make now. Both fall with the square of what
  // was used; the longer one holds, but never more than `at_most`. The latter
  // shrinks to nothing as the mean wait at all targets grows to `calm`.
  double at_owed = 0.4;
  double at_present = 0.25;
  double at_most = 1.2;
  Duration calm = std::chrono::milliseconds(100);
  // A target at which less waits takes any request: capacity must not idle.
  Duration idle = std::chrono::milliseconds(8);
  // When those who are refused come back.
  Duration first_return = std::chrono::milliseconds(400);
  Duration return_step = std::chrono::milliseconds(300);  // for each share used
  Duration last_return = std::chrono::milliseconds(2500);
};

// FairShares are max-min shares of one organisation, in tokens a second.
struct FairShares {
  double nominal = 0.0;  // of what the targets are stated to make
  double current = 0.0;  // of what they make now; at least the owed one
};

// CurrentCapacity is what the targets make now, in tokens a second: a little
// more than what was admitted lately, so that it can grow, and at least what
// they are stated to make.
double CurrentCapacity(double stated, double admitted);

// Question is one prompt.
struct Question {
  Duration latency_target{};
  Duration wait{};       // until the best target has read what others have
                         // sent, and what another target has cached
  Duration mean_wait{};  // at all targets of the service
  double used = 0.0;     // by its organisation, tokens a second over the fleet
  FairShares fair_shares{};
};

// ShouldAdmit tells whether the prompt is sent.
bool ShouldAdmit(const Options& options, const Question& question);

// RetryAfter is when one that was refused should come back; `seed` spreads
// those that were refused together.
Duration RetryAfter(const Options& options, double used, double level,
                    uint64_t seed);

}  // namespace samphirebank::admission

#endif  // SAMPHIREBANK_ADMISSION_ADMISSION_H_
