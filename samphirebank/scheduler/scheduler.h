// File: scheduler.h
//
// The scheduler of one pool. It combines the demand of all entry routers, the
// state of the pool's targets and one fleet-wide virtual counter for each
// organisation, and decides which router may dispatch which organisation's
// requests to which target. It issues these decisions as grants that expire.
// It does no I/O; the present time is an argument.
//
// Example:
//
//   scheduler::State state = scheduler::Create(options, pool, epoch, now);
//   scheduler::OnConfiguration(state, configuration, now);
//   scheduler::OnTargetState(state, target_state, now);
//   scheduler::OnDemand(state, router, boot, demand, now);
//   for (auto& out : scheduler::Tick(state, now)) {
//     send(out.to, out.grant);
//   }
//
// Call Tick after each batch of messages, and at least every
// Options::tick_interval. Not thread-safe: one thread per state.
#ifndef SAMPHIREBANK_SCHEDULER_SCHEDULER_H_
#define SAMPHIREBANK_SCHEDULER_SCHEDULER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "samphirebank/base/base.h"
#include "samphirebank/contracts/contracts.h"
#include "samphirebank/net/net.h"
#include "samphirebank/sharing/sharing.h"

namespace samphirebank::scheduler {

// Options sets the scheduler's intervals, timeouts and bounds.
struct Options {
  Duration tick_interval = std::chrono::milliseconds(100);
  // Time from the making of a grant to its expiry.
  Duration grant_lifetime = std::chrono::milliseconds(800);
  // A target that has not reported for this long gets no grants. This plus
  // grant_lifetime bounds how long a target that left can still receive
  // requests.
  Duration suspect_timeout = std::chrono::milliseconds(1200);
  // The record of an idle target that has not reported for this long is
  // evicted.
  Duration eviction_timeout = std::chrono::seconds(10);
  // The record of a router that has not sent a demand for this long is evicted,
  // with its waiting and running requests.
  Duration router_timeout = std::chrono::seconds(5);
  // A new scheduler collects full demands for this long before it grants.
  Duration rebuild_time = std::chrono::milliseconds(1000);
  // How long after it was replaced the pool's previous scheduler, or a router
  // that still follows it, may act. Before a new scheduler grants requests to
  // targets that ignore fencing numbers, it waits until this time has passed
  // and the grants made until then have expired. Zero: it does not wait.
  Duration predecessor_lease = Duration::zero();
  // How long an acknowledgement is delayed if there is no grant to carry it.
  Duration acknowledgement_delay = std::chrono::milliseconds(200);
  // Requests that may wait at a target, so that its batch stays full.
  uint32_t headroom = 1;
  uint32_t default_slots = 4;  // initial for targets that report none
};

// Outgoing is a grant to be sent to one router.
struct Outgoing {
  InstanceId router{};
  net::SocketAddress to{};
  sharing::Grant grant{};
};

// OutgoingShare is a message to be sent to the scheduler of the same service in
// another region.
struct OutgoingShare {
  PoolId to{};
  sharing::CounterShare share{};
};

// Summary holds totals of the scheduler's state, for metrics and tests.
struct Summary {
  uint64_t waiting = 0;        // requests, over all routers
  uint64_t running = 0;        // requests, over all routers
  uint64_t reserved = 0;       // requests granted and not yet acknowledged
  uint64_t capacity = 0;       // concurrent requests, over all targets
  uint64_t organisations = 0;  // that have a record
  uint64_t routers = 0;
  uint64_t targets = 0;
};

struct Scheduler;  // defined in internal/state.h

// SchedulerDeleter destroys a Scheduler.
struct SchedulerDeleter {
  void operator()(Scheduler* scheduler) const;
};

// State owns the state of one pool's scheduler.
using State = std::unique_ptr<Scheduler, SchedulerDeleter>;

// Create returns a scheduler without state: for the first `rebuild_time` it
// collects full demands and grants nothing.
State Create(const Options& options, const PoolId& pool, Epoch epoch,
             TimePoint now);

// OnConfiguration applies the contracts and the operators' declared intents for
// targets. Organisations without a contract for this pool get no grants.
void OnConfiguration(State& state,
                     const contracts::Configuration& configuration,
                     TimePoint now);

// OnDemand applies a router's demand. `boot` identifies one run of the router.
// Demands of another pool or epoch, duplicates and demands older than the
// newest one received are ignored.
void OnDemand(State& state, const InstanceId& router, BootId boot,
              const sharing::Demand& demand, TimePoint now);

// OnTargetState applies a target's report, unless a newer one was received.
void OnTargetState(State& state, const sharing::TargetState& report,
                   TimePoint now);

// OnCounterShare applies the message of another region's scheduler.
void OnCounterShare(State& state, const sharing::CounterShare& share,
                    TimePoint now);

// Tick returns the messages to send now.
std::vector<Outgoing> Tick(State& state, TimePoint now);

// NextTickAt returns when Tick must be called next if no message arrives.
TimePoint NextTickAt(const State& state);

// BuildCounterShare returns the message for the scheduler of the pool `to`.
OutgoingShare BuildCounterShare(State& state, const PoolId& to, TimePoint now);

// BuildQuotaRequests returns the messages that are due now for the coordinators
// of organisations' limits. It returns none unless an organisation whose limits
// span several pools has work here. Send each request to the instance that is
// the scheduler named in its `to`.
std::vector<sharing::QuotaRequest> BuildQuotaRequests(State& state,
                                                      TimePoint now);

// OnQuotaGrant applies a coordinator's response.
void OnQuotaGrant(State& state, const sharing::QuotaGrant& grant,
                  TimePoint now);

// Summarize returns totals of the state.
Summary Summarize(const State& state);

// Counter returns an organisation's virtual counter, in tokens divided by the
// organisation's weight; nothing if it has no record.
std::optional<double> Counter(const State& state,
                              const OrganisationId& organisation);

}  // namespace samphirebank::scheduler

#endif  // SAMPHIREBANK_SCHEDULER_SCHEDULER_H_
