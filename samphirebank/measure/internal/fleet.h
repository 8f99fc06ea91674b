// File: fleet.h
//
// Simulated time and stand-in targets of a run. A policy (how requests find
// targets) is a set of handlers.
#ifndef SAMPHIREBANK_MEASURE_INTERNAL_FLEET_H_
#define SAMPHIREBANK_MEASURE_INTERNAL_FLEET_H_

#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <unordered_map>
#include <vector>

#include "samphirebank/measure/internal/account.h"
#include "samphirebank/measure/measure.h"

namespace samphirebank::measure::internal {

// Event is something that happens at a simulated time.
struct Event {
  TimePoint at{};
  uint64_t number = 0;  // breaks ties in the order of making
  std::function<void()> action{};
};

// Later orders events for a heap with the earliest on top.
struct Later {
  bool operator()(const Event& a, const Event& b) const {
    if (a.at != b.at) return a.at > b.at;
    return a.number > b.number;
  }
};

// Target is a stand-in: it batches up to `slots` requests, the others wait in
// it in the order of their coming.
struct Target {
  uint32_t slots = 0;
  bool leaving = false;
  TimePoint left_at{};
  std::deque<uint32_t> queue{};                       // requests
  std::unordered_map<uint32_t, TimePoint> running{};  // by request: start
};

// Job is what became of one request.
struct Job {
  uint32_t target = 0;
  uint64_t attempt = 0;  // raised when a router's loss cancels it
  bool waiting = false;
};

// Fleet is one run.
struct Fleet {
  const Workload& workload;
  Setup setup{};
  const std::vector<Request>& trace;
  TimePoint now{};
  TimePoint end{};
  uint64_t last_number = 0;
  std::priority_queue<Event, std::vector<Event>, Later> events{};
  std::mt19937_64 random{};
  Account account{};
  std::vector<Target> targets{};
  std::vector<Job> jobs{};                // by request
  std::vector<double> tokens_received{};  // of ended requests
  std::vector<double> control_bytes{};    // by router
  uint64_t late_starts = 0;
  uint64_t lost = 0;
  TimePoint slots_at{};
  // The policy's handlers; each may be empty.
  std::function<void(uint32_t request)> on_arrival{};
  std::function<void(uint32_t request, int64_t tokens)> on_progress{};
  std::function<void(uint32_t request)> on_end{};
  std::function<void()> on_fault{};
  std::shared_ptr<void> policy{};  // keeps the policy's state
};

// At runs `action` after `delay`.
void At(Fleet& fleet, Duration delay, std::function<void()> action);

// Every runs `action` each `period` until the run ends.
void Every(Fleet& fleet, Duration period, std::function<void()> action);

// Send hands a request to a target; the target has it one link delay later.
void Send(Fleet& fleet, uint32_t request, uint32_t target);

// Cancel takes a lost router's request from its target.
void Cancel(Fleet& fleet, uint32_t request);

// FaultStart is when the fault of a run begins.
TimePoint FaultStart(const Fleet& fleet);

// UseCentral, UseLocal and UseScheduler install a policy.
void UseCentral(Fleet& fleet);
void UseLocal(Fleet& fleet);
void UseScheduler(Fleet& fleet);

}  // namespace samphirebank::measure::internal

#endif  // SAMPHIREBANK_MEASURE_INTERNAL_FLEET_H_
