// File: assignment.h
//
// Which router schedules a pool. The control leader decides; the replicated
// state machine makes it hold. A holder keeps its pool as long as it is heard
// and does not drain; a router that comes back takes nothing from another.
//
// Example (on the leader, every few hundred milliseconds):
//
//   for (const contracts::AssignScheduler& assign :
//        PlanAssignments(configuration, registry, wanted, {.leader_since =
//        took_office}, now)) {
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

// PoolRequest tells control that a pool has targets but no working scheduler.
struct PoolRequest {
  static constexpr wire::Kind kKind = wire::Kind::kPoolRequest;
  PoolId pool;
  // failed is 0 if the pool has no scheduler. A holder that lost its memory
  // names its own epoch and gets the pool again under the next one.
  Epoch failed_epoch;
  InstanceId requester;  // also when a control follower passes the request on

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(pool, failed_epoch, requester);
  }
};

// RequestedPools are the pools that were asked for, with the highest failed
// epoch that a holder named itself (0: none).
using RequestedPools = std::map<PoolId, Epoch>;

// RecordRequest takes a request in. Only the holder of an epoch may say that it
// failed; from anybody else the request says only that the pool is wanted.
void RecordRequest(RequestedPools& wanted,
                   const contracts::Configuration& configuration,
                   const PoolRequest& request);

// Options of the decision.
struct Options {
  TimePoint leader_since;  // when this leader took office
  // A holder unheard for so long is replaced.
  Duration holder_silence = std::chrono::seconds(2);
  // A router heard within this time may get a pool.
  Duration candidate_silence = std::chrono::milliseconds(1500);
};

// Plan returns the assignments to be made now. A leader in office for less
// than `holder_silence` replaces nobody, because it has not heard all yet.
std::vector<contracts::AssignScheduler> PlanAssignments(
    const contracts::Configuration& configuration,
    const lease::Registry& registry, const RequestedPools& wanted,
    const Options& options, TimePoint now);

}  // namespace samphirebank::assignment

#endif  // SAMPHIREBANK_ASSIGNMENT_ASSIGNMENT_H_
