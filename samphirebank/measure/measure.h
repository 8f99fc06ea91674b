// File: measure.h
//
// Drives the decision code of queues and schedulers against small stand-ins
// for targets and links, in simulated time, and measures what organisations
// get. It is for measurements and tests of decisions; it does no I/O.
//
// Example:
//
//   measure::Workload workload = measure::Cooperative();
//   measure::Setup setup{.variant = measure::Variant::kPoolScheduler,
//                        .fault = measure::Fault::kSchedulerLost};
//   measure::Result result = measure::Run(workload, setup);
//   std::cout << result.gap / result.ideal_bound;
//
// Not thread-safe; each Run is independent and depends on its arguments alone.
#ifndef SAMPHIREBANK_MEASURE_MEASURE_H_
#define SAMPHIREBANK_MEASURE_MEASURE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "samphirebank/base/base.h"
#include "samphirebank/contracts/contracts.h"

namespace samphirebank::measure {

// OrganisationLoad is what one organisation asks for.
struct OrganisationLoad {
  contracts::Contract contract{};
  double requests_per_second = 1;
  std::vector<double> routers{};  // share of its requests at each router
  double hint_bias = 1;           // hints are about this times the cost
  int64_t fixed_cost = 0;         // tokens of each request; 0: drawn
};

// Workload is one user's traffic and places.
struct Workload {
  std::string name{};
  uint32_t routers = 9;
  uint32_t targets = 20;
  uint32_t slots = 16;            // requests in a target's batch
  double tokens_per_second = 35;  // of one request in a batch
  int64_t least_cost = 60;        // tokens
  int64_t largest_cost = 4096;    // tokens
  double tail = 1.3;              // exponent of the costs' distribution
  double hint_spread = 0.8;       // sigma of the hints' logarithm
  Duration link_delay = std::chrono::milliseconds(1);
  Duration length = std::chrono::seconds(120);
  std::vector<OrganisationLoad> organisations{};
  uint64_t seed = 1;
};

// Cooperative and Imprenta are the two users' workloads, with a backlog.
Workload Cooperative();
Workload Imprenta();

// Request is one request of a trace.
struct Request {
  TimePoint at{};
  uint32_t organisation = 0;
  uint32_t router = 0;
  int64_t cost = 0;  // tokens
  int64_t hint = 0;  // tokens
};

// MakeTrace draws a workload's requests, in the order of their times.
std::vector<Request> MakeTrace(const Workload& workload);

// Variant is how requests find targets.
enum class Variant : uint8_t {
  kCentral,        // one queue that knows all true costs: the reference
  kNaive,          // each router: first come first served, random target
  kRouterFair,     // each router: a fair queue of its own, split slots
  kPoolScheduler,  // one scheduler grants over the fleet
  kHintsOnly,      // the same, but charged by hints until a request ends
  kBatched,        // the same, with fewer and later messages
};

// Fault is what goes wrong during a run, from a third of its length on.
enum class Fault : uint8_t {
  kNone,
  kRouterLost,      // one restarts after 10 s with empty memory
  kSchedulerLost,   // another starts 3 s later
  kPartition,       // two routers are cut off for 15 s
  kTargetLeaves,    // two targets leave
  kCapacityHalves,  // half the slots, for a third of the run
  kLossyLinks,      // 5 % lost, 5 % doubled, up to 20 ms late, all the time
};

// Name returns a short name.
std::string Name(Variant variant);
std::string Name(Fault fault);

// Setup is one run.
struct Setup {
  Variant variant = Variant::kPoolScheduler;
  Fault fault = Fault::kNone;
};

// Result is what a run measured.
struct Result {
  // Largest difference between two organisations, over any span in which both
  // had requests waiting, of the weighted service they received: tokens
  // generated. In tokens.
  double gap = 0;
  // The same of the whole true cost of each request, counted when it begins;
  // nobody knows it then.
  double begun_gap = 0;
  // What an ideal central queue of known costs may differ by: twice the
  // largest cost by weight.
  double ideal_bound = 0;
  double utilisation = 0;    // busy slots of all slots while requests wait
  double control_bytes = 0;  // sent a second, mean over nodes
  double control_bytes_busiest = 0;  // the same of the busiest node
  double wait_p50 = 0;               // seconds
  double wait_p95 = 0;               // seconds
  double starvation = 0;     // seconds without a start while requests waited
  uint64_t started = 0;      // requests
  uint64_t lost = 0;         // requests that were at a router that was lost
  uint64_t late_starts = 0;  // at a target, more than 2 s after it left
  double longest_idle = 0;   // seconds with waiting work and under 0.9 busy
  std::vector<int64_t> service{};  // tokens by organisation
};

// Run drives one variant through a workload.
Result Run(const Workload& workload, const Setup& setup);

// RunTrace drives one variant through given requests.
Result RunTrace(const Workload& workload, const Setup& setup,
                const std::vector<Request>& trace);

// LimitsFault is what goes wrong while limits are split over pools.
enum class LimitsFault : uint8_t {
  kNone,
  kLossyLinks,        // 20 % lost, 10 % doubled, up to 1.2 s late
  kCoordinatorLost,   // with the pool's scheduler; another one 3 s later
  kCoordinatorMoved,  // some learn of the new one up to 3 s later than others
  kPoolCut,           // one pool's scheduler and the coordinator, for 10 s
};

// Name returns a short name.
std::string Name(LimitsFault fault);

// LimitsSetup is a run of one organisation that uses several pools. A fault
// begins at a third of the run.
struct LimitsSetup {
  contracts::Contract contract{};
  std::vector<double> requests_per_second{};  // by pool
  // The load moves on to the next pools at this pace.
  Duration rotation = std::chrono::seconds(15);
  Duration service = std::chrono::seconds(1);  // of one request
  int64_t cost = 100;                          // tokens of one request
  LimitsFault fault = LimitsFault::kNone;
  bool split = true;  // false: each pool applies the limits by itself
  Duration length = std::chrono::seconds(60);
  uint64_t seed = 1;
};

// LimitsResult is what a run of split limits measured. An excess is the most
// that any span of time saw above the limit's rate times its length; 0 without
// such a limit.
struct LimitsResult {
  uint64_t arrived = 0;  // requests
  uint64_t started = 0;  // requests
  uint64_t peak_running = 0;
  double excess_requests = 0;
  double excess_tokens = 0;
  double use = 0;         // of the tightest limit, while requests wait
  double starvation = 0;  // longest time without a start while requests wait
  double bytes = 0;       // of quota messages a node and second
  uint64_t messages = 0;  // about quotas
};

// RunLimits drives schedulers and coordinators of limits.
LimitsResult RunLimits(const LimitsSetup& setup);

}  // namespace samphirebank::measure

#endif  // SAMPHIREBANK_MEASURE_MEASURE_H_
