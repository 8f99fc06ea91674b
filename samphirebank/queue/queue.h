// File: queue.h
//
// The waiting requests of one entry router: filed by (pool, organisation),
// first in first out within an organisation. It tells each pool's scheduler
// what changed and turns grants into dispatches. No I/O; the present time is
// an argument.
//
// Example:
//
//   queue::State state;
//   queue::OnEpoch(state, pool, epoch, now);
//   if (auto refusal = queue::Enqueue(state, request, limits, now)) {
//     ...  // answer the caller: not run, come back after refusal->retry_after
//   }
//   if (queue::NextDemandAt(state, pool) <= now) {
//     send(queue::BuildDemand(state, pool, now));
//   }
//   for (auto& dispatch : queue::ApplyGrant(state, grant, now)) {
//     ...  // send to dispatch.address before dispatch.expires
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

// Options sets the pace of demands and the bounds of memory.
struct Options {
  net::SocketAddress reply_to{};  // this router's peer address
  // Least time between two demands to one pool; the longer one holds while
  // requests wait there anyway.
  Duration min_demand_interval = std::chrono::milliseconds(5);
  Duration min_backlogged_demand_interval = std::chrono::milliseconds(200);
  // Longest delay of a change in usage, while nothing waits in the pool.
  Duration max_usage_delay = std::chrono::milliseconds(1500);
  // A demand is sent at least this often while anything waits or runs.
  Duration keepalive_interval = std::chrono::milliseconds(2000);
  // Changes that were not acknowledged are sent again after this time.
  Duration resend_delay = std::chrono::milliseconds(400);
  uint32_t max_waiting = 50'000;  // requests, over all pools
  // Most tokens to charge in advance for a request of an organisation whose
  // mean cost is not known yet. Charging too little is corrected
  // while the request runs, charging too much only when it ends.
  int64_t max_initial_charge = 100;
};

// Request is what the queue knows of a caller's request.
struct Request {
  RequestId id{};
  PoolId pool{};
  OrganisationId organisation{};
  Tokens estimate{};     // of the whole cost; a hint
  uint64_t prefix = 0;   // hash of the prompt's prefix; 0: none
  TimePoint deadline{};  // to be dispatched by
};

// RefusalKind says why a request was refused before it ran.
enum class RefusalKind : uint8_t {
  kQueueFull,     // beyond the contract's queue length
  kRouterFull,    // this router holds as many requests as it can
  kWouldExpire,   // would not be dispatched within its deadline
  kDeadlinePast,  // waited until its deadline
  kNoTargets,     // no region has a target for it
};

// Refusal tells a caller that its request did not run.
struct Refusal {
  RequestId id{};
  RefusalKind kind = RefusalKind::kQueueFull;
  Duration retry_after{};
};

// Limits are those of the organisation's contract that bind the queue.
struct Limits {
  uint32_t queue_length = 0;  // requests waiting over the fleet; 0: no limit
};

// Dispatch lets the router send one request to one target. No byte of it may
// leave after `expires`; call Return then.
struct Dispatch {
  RequestId id{};
  TargetId target{};
  net::SocketAddress address{};
  Epoch epoch{};
  bool is_remote = false;  // the target is in another region
  sharing::TargetTraits traits{};
  TimePoint expires_at{};
};

// Outcome is how a dispatched request ended.
struct Outcome {
  Tokens tokens{};  // its true cost
  bool failed = false;
};

// WaitingRequest is a request in a queue.
struct WaitingRequest {
  Request request{};
  TimePoint enqueued_at{};
};

// OrganisationQueue is one organisation's requests for one pool.
struct OrganisationQueue {
  uint32_t generation = 0;
  std::list<WaitingRequest> waiting{};
  int64_t waiting_estimate = 0;  // tokens, sum
  uint32_t running = 0;
  int64_t charged = 0;  // tokens
  double counter = 0;
  uint32_t waiting_elsewhere = 0;
  TimePoint
      waiting_elsewhere_expires_at{};  // when waiting_elsewhere is forgotten
  double dispatch_rate = 0;            // requests a second, decaying average
  TimePoint dispatch_rate_at{};        // when it was computed
  TimePoint backlogged_since{};        // when the queue became non-empty
  uint64_t state_sent_in = 0;          // newest demand that told its state
  uint64_t name_sent_in = 0;           // newest demand that told its name
  bool is_name_known = false;          // the scheduler knows its name
  bool changed = true;                 // since that demand
};

// TargetRecord is what this router runs on one target.
struct TargetRecord {
  uint32_t running = 0;
  uint32_t failed = 0;
  uint64_t tokens = 0;
  uint64_t number = 0;  // by the present scheduler; 0: not known
  uint64_t state_sent_in = 0;
  bool changed = true;
};

// TargetFacts is what a scheduler told of a target with its number.
struct TargetInfo {
  TargetId id{};
  net::SocketAddress address{};
  sharing::TargetTraits traits{};
  uint64_t last_grant = 0;  // the newest grant that told it
};

// CostSums gives an organisation's mean cost; old requests count less.
struct CostSums {
  double tokens = 0;  // tokens
  double requests = 0;
};

// PoolQueue is all that this router knows of one pool.
struct PoolQueue {
  Epoch epoch{};
  bool is_full_demand_due = true;
  bool backlogged = false;  // by the scheduler's word
  uint64_t last_sequence = 0;
  sharing::Receipts grants{};               // received
  sharing::Receipts acknowledged{};         // demands the scheduler received
  std::map<uint64_t, TimePoint> sent_at{};  // of recent demands
  std::map<OrganisationId, OrganisationQueue> organisations{};
  std::unordered_map<uint32_t, OrganisationId> generations{};
  std::map<TargetId, TargetRecord> targets{};
  std::unordered_map<uint64_t, TargetInfo>
      targets_by_number{};  // by its number
  std::map<OrganisationId, CostSums> costs{};
  std::set<OrganisationId> unacknowledged{};    // changed or not confirmed
  std::set<TargetId> unacknowledged_targets{};  // changed or not confirmed
  TimePoint last_sent{};
  // By the scheduler's word no target serves the pool, until then.
  TimePoint no_targets_until{};
  bool is_demand_urgent = false;  // due at once
  std::optional<TimePoint>
      changed_since{};   // of the oldest unsent usage change
  uint64_t running = 0;  // requests
  uint64_t waiting = 0;  // requests
};

// RunningRequest is a dispatched request.
struct RunningRequest {
  Request request{};
  TargetId target{};
  TimePoint enqueued_at{};  // of its enqueueing
  int64_t charged = 0;      // tokens
  int64_t tokens_seen = 0;  // tokens
};

// State is the queues of one entry router.
struct State {
  Options options{};
  std::map<PoolId, PoolQueue> pools{};
  std::unordered_map<RequestId, RunningRequest> running{};
  // Where a waiting request stands.
  std::unordered_map<RequestId, std::list<WaitingRequest>::iterator> waiting{};
  std::set<std::pair<TimePoint, RequestId>> deadlines{};  // of those waiting
  // Requests that wait here, over all pools, of organisations with any.
  std::unordered_map<OrganisationId, uint32_t> waiting_by_organisation{};
  uint32_t last_generation = 0;
};

// OnEpoch takes a pool's scheduler assignment from the configuration. Grants
// of other epochs are refused from now on and a full demand becomes due.
void OnEpoch(State& state, const PoolId& pool, Epoch epoch, TimePoint now);

// Enqueue files a request, or refuses it at once.
std::optional<Refusal> Enqueue(State& state, const Request& request,
                               const Limits& limits, TimePoint now);

// Remove forgets a waiting request whose caller went away; false if it does
// not wait.
bool Remove(State& state, const RequestId& id, TimePoint now);

// Expire removes and returns the waiting requests whose deadline is past.
std::vector<Refusal> Expire(State& state, TimePoint now);

// RefuseUnserved removes and returns the waiting requests of a pool, if its
// scheduler said that no target serves it.
std::vector<Refusal> RefuseUnserved(State& state, const PoolId& pool,
                                    TimePoint now);

// NextDemandAt is when BuildDemand should be called for `pool`; nothing while
// there is nothing to tell.
std::optional<TimePoint> NextDemandAt(const State& state, const PoolId& pool);

// NextDeadlineAt is when Expire should be called.
std::optional<TimePoint> NextDeadlineAt(const State& state);

// BuildDemand returns the message for the pool's scheduler and counts it as
// sent. Only call it for pools that OnEpoch was called for.
sharing::Demand BuildDemand(State& state, const PoolId& pool, TimePoint now);

// ApplyGrant takes a scheduler's message and returns what may be dispatched.
// A grant of another epoch, seen before, expired, or that answers no known
// demand gives nothing. What is returned counts as running until OnEnd or
// Return. A grant that finds no waiting request goes back to the scheduler
// with the next demand.
std::vector<Dispatch> ApplyGrant(State& state, const sharing::Grant& grant,
                                 TimePoint now);

// Return puts a dispatched request of which no byte was sent back to the head
// of its queue.
void Requeue(State& state, const RequestId& id, TimePoint now);

// OnProgress tells the tokens of a running request so far.
void OnProgress(State& state, const RequestId& id, Tokens seen, TimePoint now);

// OnEnd settles a running request; unknown ids are ignored.
void OnEnd(State& state, const RequestId& id, const Outcome& outcome,
           TimePoint now);

}  // namespace samphirebank::queue

#endif  // SAMPHIREBANK_QUEUE_QUEUE_H_
