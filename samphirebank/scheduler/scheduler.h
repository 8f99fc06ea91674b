// File: scheduler.h
//
// The scheduler of one pool: one virtual counter an organisation over the
// whole fleet, the demand of all entry routers, the pool's targets. It decides
// who may dispatch what to which target, and says so by grants that expire.
// No I/O; the present time is an argument.
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

// Options sets the scheduler's times and bounds.
struct Options {
  Duration tick_interval = std::chrono::milliseconds(100);
  // Grants expire this long after they were made.
  Duration grant_lifetime = std::chrono::milliseconds(800);
  // A target without news for this long gets no grants; together with
  // grant_lifetime this bounds what a target that left can still receive.
  Duration suspect_timeout = std::chrono::milliseconds(1200);
  // A target without news for this long is forgotten.
  Duration eviction_timeout = std::chrono::seconds(10);
  // A router without news for this long is forgotten with all it runs.
  Duration router_timeout = std::chrono::seconds(5);
  // A new scheduler waits this long for full reports before it grants.
  Duration rebuild_time = std::chrono::milliseconds(1000);
  // How long after its replacement an older scheduler of the pool, or a router
  // that follows it, may still act. For targets that ignore fencing numbers a
  // new scheduler waits out this and the grants made until then.
  Duration predecessor_lease = Duration::zero();
  // Acknowledgements without grants are held back this long.
  Duration acknowledgement_delay = std::chrono::milliseconds(200);
  // Requests that may wait in a target, so that its batch stays full.
  uint32_t headroom = 1;
  uint32_t default_slots = 4;  // first capacity of a target that states none
};

// Outgoing is a message for one router.
struct Outgoing {
  InstanceId router{};
  net::SocketAddress to{};
  sharing::Grant grant{};
};

// OutgoingShare is a message for the scheduler of the same service in another
// region.
struct OutgoingShare {
  PoolId to{};
  sharing::CounterShare share{};
};

// Summary is the scheduler's state in numbers, for metrics and tests.
struct Summary {
  uint64_t waiting = 0;        // requests, over all routers
  uint64_t running = 0;        // requests, over all routers
  uint64_t reserved = 0;       // requests granted and not yet confirmed
  uint64_t capacity = 0;       // requests that all targets can carry now
  uint64_t organisations = 0;  // with a record
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

// Create starts a scheduler that knows nothing yet: for the first
// `rebuild_time` it collects full reports and grants nothing.
State Create(const Options& options, const PoolId& pool, Epoch epoch,
             TimePoint now);

// OnConfiguration takes the contracts and the operators' declarations about
// targets. Organisations without a contract for this pool get no grants.
void OnConfiguration(State& state,
                     const contracts::Configuration& configuration,
                     TimePoint now);

// OnDemand takes a router's message. `boot` differs between two runs of the
// router. Demands of another epoch, seen before or overtaken are ignored.
void OnDemand(State& state, const InstanceId& router, BootId boot,
              const sharing::Demand& demand, TimePoint now);

// OnTargetState takes a target's report. Older ones than known are ignored.
void OnTargetState(State& state, const sharing::TargetState& report,
                   TimePoint now);

// OnCounterShare takes the message of another region's scheduler.
void OnCounterShare(State& state, const sharing::CounterShare& share,
                    TimePoint now);

// Tick returns the messages to send now.
std::vector<Outgoing> Tick(State& state, TimePoint now);

// NextTickAt is when Tick must be called next if no message arrives.
TimePoint NextTickAt(const State& state);

// BuildCounterShare returns the message for the scheduler of `to`.
OutgoingShare BuildCounterShare(State& state, const PoolId& to, TimePoint now);

// BuildQuotaRequests returns the messages for the coordinators of
// organisations' limits that are due now: none while no organisation with
// limits over several pools has work here. Each is for the instance that holds
// the scheduler assignment which the ask's `to` names.
std::vector<sharing::QuotaRequest> BuildQuotaRequests(State& state,
                                                      TimePoint now);

// OnQuotaGrant takes a coordinator's answer.
void OnQuotaGrant(State& state, const sharing::QuotaGrant& grant,
                  TimePoint now);

// Summarize returns the state in numbers.
Summary Summarize(const State& state);

// Counter returns an organisation's virtual counter (tokens by weight), if it
// has a record.
std::optional<double> Counter(const State& state,
                              const OrganisationId& organisation);

}  // namespace samphirebank::scheduler

#endif  // SAMPHIREBANK_SCHEDULER_SCHEDULER_H_
