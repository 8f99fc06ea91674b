// File: assignment.h
//
// Decides which router schedules a pool. The leader of the control group plans
// the assignments; the replicated state machine commits them. A holder keeps
// its pool as long as it reports in time, keeps its address and does not drain.
// A router that returns does not get a pool back from its current holder.
//
// Example (on the leader, every few hundred milliseconds):
//
//   for (const contracts::AssignScheduler& assign :
//        PlanAssignments(configuration, registry, requested_pools,
//                        {.leader_since = elected_at}, now)) {
//     ...propose it...
//   }
#ifndef SAMPHIREBANK_ASSIGNMENT_ASSIGNMENT_H_
#define SAMPHIREBANK_ASSIGNMENT_ASSIGNMENT_H_

#include <chrono>
#include <map>
#include <vector>

#include "samphirebank/base/base.h"
#include "samphirebank/contracts/contracts.h"
#include "samphirebank/lease/lease.h"
#include "samphirebank/wire/wire.h"

namespace samphirebank::assignment {

// PoolRequest is sent by a router to control if a pool has targets but no
// working scheduler.
struct PoolRequest {
  static constexpr wire::Kind kKind = wire::Kind::kPoolRequest;
  PoolId pool;
  // The epoch whose scheduler failed; 0 if the pool has no scheduler. A holder
  // that lost its in-memory state reports its own epoch here, and the pool is
  // then assigned again, under the next epoch.
  Epoch failed_epoch;
  // The router that needs the scheduler, also if a control follower forwards
  // the request.
  InstanceId requester;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(pool, failed_epoch, requester);
  }
};

// RequestedPools maps each requested pool to the highest epoch that the holder
// of that epoch reported as failed; 0 if no holder reported one.
using RequestedPools = std::map<PoolId, Epoch>;

// RecordRequest adds the pool of a request. The failed epoch is recorded only
// if the current holder of that epoch sent the request.
void RecordRequest(RequestedPools& requested_pools,
                   const contracts::Configuration& configuration,
                   const PoolRequest& request);

// Options configures the assignment of pools.
struct Options {
  TimePoint leader_since;  // when this instance became the leader
  // A holder is replaced if its last message is at least this old.
  Duration holder_timeout = std::chrono::seconds(2);
  // A router may be assigned a pool if its last message is at most this old.
  Duration candidate_timeout = std::chrono::milliseconds(1500);
};

// PlanAssignments returns the assignments to commit now. For the first
// holder_timeout after its election a leader replaces no holder for silence,
// because it may not have received a message of every router yet.
std::vector<contracts::AssignScheduler> PlanAssignments(
    const contracts::Configuration& configuration,
    const lease::Registry& registry, const RequestedPools& requested_pools,
    const Options& options, TimePoint now);

}  // namespace samphirebank::assignment

#endif  // SAMPHIREBANK_ASSIGNMENT_ASSIGNMENT_H_
