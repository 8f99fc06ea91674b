#include "samphirebank/assignment/assignment.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace samphirebank::assignment {
namespace {

using lease::Participant;
using lease::Registry;

// Rank returns the rendezvous hash of a pool and an instance. It depends on
// nothing else, so that the loss of a router moves only the pools of that
// router.
uint64_t Rank(const PoolId& pool, const InstanceId& instance) {
  const std::string text =
      pool.region.value + '\n' + pool.service.value + '\n' + instance.value;
  return XXH3_64bits(text.data(), text.size());
}

bool IsCandidate(const Registry::Entry& heard, const PoolId& pool,
                 const Options& options, TimePoint now) {
  return heard.peer.role == lease::Role::kRouter && !heard.peer.draining &&
         heard.peer.region == pool.region &&
         now - heard.last_seen <= options.candidate_timeout;
}

// BestCandidate returns the candidate with the highest rank, or null if there
// is none.
const Participant* BestCandidate(const Registry& registry, const PoolId& pool,
                                 const Options& options, TimePoint now) {
  const Participant* best = nullptr;
  uint64_t best_rank = 0;
  for (const auto& [instance, heard] : registry.entries) {
    if (!IsCandidate(heard, pool, options, now)) continue;
    const uint64_t rank = Rank(pool, instance);
    if (best != nullptr && rank <= best_rank) continue;
    best = &heard.peer;
    best_rank = rank;
  }
  return best;
}

// KeepsHolder returns whether the current holder keeps its pool.
bool KeepsHolder(const contracts::SchedulerAssignment& current,
                 const Registry& registry, const Options& options,
                 TimePoint now) {
  const auto found = registry.entries.find(current.holder);
  if (found == registry.entries.end()) {
    return now - options.leader_since < options.holder_timeout;
  }
  const Registry::Entry& heard = found->second;
  if (heard.peer.draining) return false;
  if (heard.peer.address != current.address) return false;
  return now - heard.last_seen < options.holder_timeout ||
         now - options.leader_since < options.holder_timeout;
}

contracts::AssignScheduler MakeAssignment(const PoolId& pool,
                                          const Participant& router,
                                          Epoch epoch) {
  return {.pool = pool,
          .assignment = {.holder = router.instance,
                         .address = router.address,
                         .epoch = epoch}};
}

}  // namespace

void RecordRequest(RequestedPools& requested_pools,
                   const contracts::Configuration& configuration,
                   const PoolRequest& request) {
  Epoch& failed_epoch = requested_pools[request.pool];
  const auto current = configuration.pools.find(request.pool);
  const bool is_holder = current != configuration.pools.end() &&
                         current->second.value.holder == request.requester &&
                         current->second.value.epoch == request.failed_epoch;
  if (is_holder) failed_epoch = std::max(failed_epoch, request.failed_epoch);
}

std::vector<contracts::AssignScheduler> PlanAssignments(
    const contracts::Configuration& configuration, const Registry& registry,
    const RequestedPools& requested_pools, const Options& options,
    TimePoint now) {
  std::vector<contracts::AssignScheduler> plan;
  for (const auto& [pool, row] : configuration.pools) {
    const contracts::SchedulerAssignment& current = row.value;
    const auto request = requested_pools.find(pool);
    const bool lost_state =
        request != requested_pools.end() && request->second == current.epoch;
    if (!lost_state && KeepsHolder(current, registry, options, now)) continue;
    const Participant* best = BestCandidate(registry, pool, options, now);
    if (best == nullptr) continue;
    plan.push_back(MakeAssignment(pool, *best, current.epoch.Next()));
  }
  for (const auto& [pool, failed_epoch] : requested_pools) {
    if (configuration.pools.contains(pool)) continue;
    const Participant* best = BestCandidate(registry, pool, options, now);
    if (best == nullptr) continue;
    plan.push_back(MakeAssignment(pool, *best, Epoch(1)));
  }
  return plan;
}

}  // namespace samphirebank::assignment
