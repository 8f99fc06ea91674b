// File: account.h
//
// What organisations got during a run: gaps between them, waits, utilisation.
#ifndef SAMPHIREBANK_MEASURE_INTERNAL_ACCOUNT_H_
#define SAMPHIREBANK_MEASURE_INTERNAL_ACCOUNT_H_

#include <vector>

#include "samphirebank/measure/measure.h"

namespace samphirebank::measure::internal {

// GapMeter finds the largest difference of service between two organisations
// over any span in which both are backlogged.
struct GapMeter {
  struct Span {
    bool open = false;
    double low = 0;
    double high = 0;
  };
  std::vector<double> service{};  // by organisation, weighted
  std::vector<Span> spans{};      // by pair
  double largest = 0;
};

// Account is what a run has measured so far.
struct Account {
  std::vector<double> weights{};
  std::vector<uint32_t> waiting{};  // requests by organisation
  std::vector<TimePoint> hungry_since{};
  std::vector<int64_t> service{};  // tokens by organisation
  GapMeter began{};
  GapMeter received{};
  std::vector<double> waits{};  // seconds
  uint64_t total_waiting = 0;
  double starvation = 0;  // seconds
  double slot_seconds = 0;
  double busy_seconds = 0;
  TimePoint idle_since{};
  bool idling = false;
  double longest_idle = 0;  // seconds
};

// Open starts an account.
Account Open(const Workload& workload);

// OnWaiting counts a request that waits; OnGone one that vanished unserved.
void OnWaiting(Account& account, uint32_t organisation, TimePoint now);
void OnGone(Account& account, uint32_t organisation, TimePoint now);

// OnBegan counts a request that a target began.
void OnBegan(Account& account, const Request& request, TimePoint now);

// OnReceived samples the tokens that each organisation received in all.
void OnReceived(Account& account, const std::vector<double>& tokens);

// OnSlots counts a span in which `busy` of `slots` were used.
void OnSlots(Account& account, double busy, double slots, Duration span,
             TimePoint now);

// Close fills the account's part of a result.
void Close(Account& account, Result& result, TimePoint now);

}  // namespace samphirebank::measure::internal

#endif  // SAMPHIREBANK_MEASURE_INTERNAL_ACCOUNT_H_
