// File: queue.h
//
// The waiting requests of one entry router, queued by (pool, organisation) in
// FIFO order within an organisation. The queue reports changes to each pool's
// scheduler (demands) and turns the scheduler's grants into dispatches. No I/O;
// the present time is an argument.
//
// Example:
//
//   queue::State state;
//   queue::OnEpoch(state, pool, epoch, now);
//   if (auto refusal = queue::Enqueue(state, request, limits, now)) {
//     ...  // respond: not run, retry after refusal->retry_after
//   }
//   if (queue::NextDemandAt(state, pool) <= now) {
//     send(queue::BuildDemand(state, pool, now));
//   }
//   for (auto& dispatch : queue::ApplyGrant(state, grant, now)) {
//     ...  // send to dispatch.address before dispatch.expires_at
//   }
//   queue::OnProgress(state, request_id, tokens_so_far, now);
//   queue::OnEnd(state, request_id, {.tokens = all, .failed = false}, now);
//
// Not thread-safe: one thread per state.
#ifndef SAMPHIREBANK_QUEUE_QUEUE_H_
#define SAMPHIREBANK_QUEUE_QUEUE_H_

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "samphirebank/base/base.h"
#include "samphirebank/net/net.h"
#include "samphirebank/sharing/sharing.h"

namespace samphirebank::queue {

// Options sets the intervals of demands and the bounds on memory.
struct Options {
  net::SocketAddress reply_to{};  // this router's peer address
  // Minimum time between two demands to one pool. The longer one applies while
  // the scheduler reports a backlog, since requests have to wait then anyway.
  Duration min_demand_interval = std::chrono::milliseconds(5);
  Duration min_backlogged_demand_interval = std::chrono::milliseconds(200);
  // Maximum delay before a change in usage is reported while no request waits
  // in the pool. While the scheduler reports a backlog, the end of a request is
  // reported without this delay.
  Duration max_usage_delay = std::chrono::milliseconds(1500);
  // A demand is sent at least this often while any request waits or runs.
  Duration keepalive_interval = std::chrono::milliseconds(2000);
  // Changes that were not acknowledged are sent again after this time.
  Duration resend_delay = std::chrono::milliseconds(400);
  uint32_t max_waiting = 50'000;  // requests, over all pools
  // Maximum number of tokens to charge in advance for a request of an
  // organisation whose mean cost is not known yet. Charging too little is
  // corrected while the request runs, charging too much only when it ends.
  int64_t max_initial_charge = 100;
};

// Request is the part of a caller's request that the queue needs.
struct Request {
  RequestId id{};
  PoolId pool{};
  OrganisationId organisation{};
  Tokens estimate{};     // of the whole cost; a hint
  uint64_t prefix = 0;   // hash of the prompt's prefix; 0: none
  TimePoint deadline{};  // for the dispatch
};

// RefusalKind says why a request was refused before it ran.
enum class RefusalKind : uint8_t {
  kQueueFull,     // beyond the contract's queue length
  kRouterFull,    // this router holds Options::max_waiting requests
  kWouldExpire,   // the expected wait ends after its deadline
  kDeadlinePast,  // its deadline passed before it was dispatched
  kNoTargets,     // no region has a target for it
};

// Refusal is the response for a request that did not run.
struct Refusal {
  RequestId id{};
  RefusalKind kind = RefusalKind::kQueueFull;
  Duration retry_after{};
};

// Limits are the limits of the organisation's contract that apply to the queue.
struct Limits {
  uint32_t queue_length = 0;  // requests waiting over the fleet; 0: no limit
};

// Dispatch allows the router to send one request to one target. No byte of the
// request may be sent after `expires_at`; call Requeue then.
struct Dispatch {
  RequestId id{};
  TargetId target{};
  net::SocketAddress address{};
  Epoch epoch{};
  bool is_remote = false;  // the target is in another region
  sharing::TargetTraits traits{};
  TimePoint expires_at{};
};

// Outcome is the result of a dispatched request.
struct Outcome {
  Tokens tokens{};  // its actual cost
  bool failed = false;
};

// WaitingRequest is a request in a queue.
struct WaitingRequest {
  Request request{};
  TimePoint enqueued_at{};
};

// OrganisationQueue holds one organisation's requests for one pool.
struct OrganisationQueue {
  uint32_t generation = 0;  // number of this record, unique within the router
  std::list<WaitingRequest> waiting{};
  int64_t waiting_estimate = 0;  // tokens, sum over `waiting`
  uint32_t running = 0;          // requests
  int64_t charged = 0;           // tokens charged since this record was created
  // The organisation's virtual counter at the scheduler: tokens charged,
  // divided by its weight. From the newest grant.
  double counter = 0;
  uint32_t waiting_elsewhere = 0;  // requests that wait at other routers
  TimePoint waiting_elsewhere_expires_at{};
  double dispatch_rate = 0;      // requests a second, decaying average
  TimePoint dispatch_rate_at{};  // when it was computed
  TimePoint backlogged_since{};  // when the queue became non-empty
  uint64_t state_sent_in = 0;    // newest demand with this record's state
  uint64_t name_sent_in = 0;     // newest demand with the organisation's name
  bool is_name_known = false;    // the scheduler acknowledged the name
  bool changed = true;           // since state_sent_in
};

// TargetRecord counts this router's requests on one target. `failed` and
// `tokens` are totals. The scheduler assigns each target a short id that
// replaces the TargetId in messages.
struct TargetRecord {
  uint32_t running = 0;
  uint32_t failed = 0;
  uint64_t tokens = 0;
  uint64_t target_number = 0;  // short id from the scheduler; 0: unknown
  uint64_t state_sent_in = 0;  // newest demand with this record's state
  bool changed = true;         // since state_sent_in
};

// TargetInfo describes a target that the scheduler refers to by a number.
struct TargetInfo {
  TargetId id{};
  net::SocketAddress address{};
  sharing::TargetTraits traits{};
  uint64_t last_grant = 0;  // sequence of the newest grant that described it
};

// CostSums holds the decaying sums for an organisation's mean cost.
struct CostSums {
  double tokens = 0;
  double requests = 0;
};

// PoolQueue is the router's state for one pool.
struct PoolQueue {
  Epoch epoch{};  // of the scheduler assignment
  bool is_full_demand_due = true;
  bool backlogged = false;     // as reported by the newest grant
  uint64_t last_sequence = 0;  // of the newest demand
  sharing::Receipts received_grants{};
  sharing::Receipts acknowledged{};         // demands the scheduler received
  std::map<uint64_t, TimePoint> sent_at{};  // of recent demands, by sequence
  std::map<OrganisationId, OrganisationQueue> organisations{};
  std::unordered_map<uint32_t, OrganisationId> generations{};
  std::map<TargetId, TargetRecord> targets{};
  std::unordered_map<uint64_t, TargetInfo> targets_by_number{};
  std::map<OrganisationId, CostSums> costs{};
  // Records that changed or whose newest state was not acknowledged.
  std::set<OrganisationId> unacknowledged{};
  std::set<TargetId> unacknowledged_targets{};
  TimePoint last_sent{};  // time of the newest demand
  // Until then requests are refused, since the scheduler reported that no
  // target serves the pool.
  TimePoint no_targets_until{};
  bool is_demand_urgent = false;  // due after the minimum interval
  std::optional<TimePoint>
      changed_since{};   // unreported changes exist since then
  uint64_t running = 0;  // requests
  uint64_t waiting = 0;  // requests
};

// RunningRequest is a dispatched request.
struct RunningRequest {
  Request request{};
  TargetId target{};
  TimePoint enqueued_at{};
  int64_t charged = 0;      // tokens charged to the organisation so far
  int64_t tokens_seen = 0;  // tokens reported by OnProgress
};

// State holds the queues of one entry router.
struct State {
  Options options{};
  std::map<PoolId, PoolQueue> pools{};
  std::unordered_map<RequestId, RunningRequest> running{};
  // Positions of the waiting requests in their OrganisationQueue::waiting.
  std::unordered_map<RequestId, std::list<WaitingRequest>::iterator> waiting{};
  std::set<std::pair<TimePoint, RequestId>> deadlines{};  // of those waiting
  // Requests waiting at this router, over all pools. Organisations without any
  // have no entry.
  std::unordered_map<OrganisationId, uint32_t> waiting_by_organisation{};
  uint32_t last_assigned_generation = 0;
};

// OnEpoch applies a pool's scheduler assignment from the configuration. If the
// epoch is new, grants of other epochs are rejected from now on and a full
// demand becomes due.
void OnEpoch(State& state, const PoolId& pool, Epoch epoch, TimePoint now);

// Enqueue appends a request to its queue. Returns a refusal if the request must
// not wait; it is not queued then.
std::optional<Refusal> Enqueue(State& state, const Request& request,
                               const Limits& limits, TimePoint now);

// Remove removes a waiting request, for example because its caller
// disconnected. Returns false if the request is not waiting.
bool Remove(State& state, const RequestId& id, TimePoint now);

// Expire removes and returns the waiting requests whose deadline has passed.
std::vector<Refusal> Expire(State& state, TimePoint now);

// RefuseUnserved removes and returns all waiting requests of a pool if its
// scheduler reported that no target serves it.
std::vector<Refusal> RefuseUnserved(State& state, const PoolId& pool,
                                    TimePoint now);

// NextDemandAt returns when BuildDemand should be called for `pool`; nullopt
// while there is nothing to report.
std::optional<TimePoint> NextDemandAt(const State& state, const PoolId& pool);

// NextDeadlineAt returns when Expire should be called; nullopt if no request
// waits.
std::optional<TimePoint> NextDeadlineAt(const State& state);

// BuildDemand returns the message for the pool's scheduler and records it as
// sent. Only call it for pools that OnEpoch was called for.
sharing::Demand BuildDemand(State& state, const PoolId& pool, TimePoint now);

// ApplyGrant applies a scheduler's message and returns the requests that may be
// dispatched. They count as running until OnEnd or Requeue. It returns nothing
// for a grant of another epoch, a duplicate, an expired grant or one that
// responds to an unknown demand. A grant for which no request waits is returned
// to the scheduler by the next demand.
std::vector<Dispatch> ApplyGrant(State& state, const sharing::Grant& grant,
                                 TimePoint now);

// Requeue returns a dispatched request to the head of its queue. No byte of the
// request may have been sent.
void Requeue(State& state, const RequestId& id, TimePoint now);

// OnProgress reports the total number of tokens that a running request has
// generated so far.
void OnProgress(State& state, const RequestId& id, Tokens seen, TimePoint now);

// OnEnd ends a running request and replaces its charge by its actual cost.
// Unknown ids are ignored.
void OnEnd(State& state, const RequestId& id, const Outcome& outcome,
           TimePoint now);

}  // namespace samphirebank::queue

#endif  // SAMPHIREBANK_QUEUE_QUEUE_H_
