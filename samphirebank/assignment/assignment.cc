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

// Rank orders the candidates of a pool; it depends on nothing else, so that
// the loss of one router moves only that router's pools.
uint64_t Rank(const PoolId& pool, const InstanceId& instance) {
  const std::string text =
      pool.region.value + '\n' + pool.service.value + '\n' + instance.value;
  return XXH3_64bits(text.data(), text.size());
}

bool IsCandidate(const Registry::Heard& heard, const PoolId& pool,
                 const Options& options, TimePoint now) {
  return heard.who.role == lease::Role::kRouter && !heard.who.draining &&
         heard.who.region == pool.region &&
         now - heard.at <= options.candidate_silence;
}

// Best returns the candidate with the highest rank; null if there is none.
const Participant* Best(const Registry& registry, const PoolId& pool,
                        const Options& options, TimePoint now) {
  const Participant* best = nullptr;
  uint64_t best_rank = 0;
  for (const auto& [instance, heard] : registry.heard) {
    if (!IsCandidate(heard, pool, options, now)) continue;
    const uint64_t rank = Rank(pool, instance);
    if (best != nullptr && rank <= best_rank) continue;
    best = &heard.who;
    best_rank = rank;
  }
  return best;
}

// Keeps tells whether the holder of a pool stays.
bool Keeps(const contracts::SchedulerAssignment& standing,
           const Registry& registry, const Options& options, TimePoint now) {
  const auto found = registry.heard.find(standing.holder);
  if (found == registry.heard.end()) {
    return now - options.leader_since < options.holder_silence;
  }
  const Registry::Heard& heard = found->second;
  if (heard.who.draining) return false;
  if (heard.who.address != standing.address) return false;
  return now - heard.at < options.holder_silence ||
         now - options.leader_since < options.holder_silence;
}

contracts::AssignScheduler Assign(const PoolId& pool, const Participant& who,
                                  Epoch epoch) {
  return {.pool = pool,
          .assignment = {
              .holder = who.instance, .address = who.address, .epoch = epoch}};
}

}  // namespace

void RecordRequest(RequestedPools& wanted,
                   const contracts::Configuration& configuration,
                   const PoolRequest& request) {
  Epoch& failed = wanted[request.pool];
  const auto standing = configuration.pools.find(request.pool);
  const bool is_holder = standing != configuration.pools.end() &&
                         standing->second.value.holder == request.requester &&
                         standing->second.value.epoch == request.failed_epoch;
  if (is_holder) failed = std::max(failed, request.failed_epoch);
}

std::vector<contracts::AssignScheduler> PlanAssignments(
    const contracts::Configuration& configuration, const Registry& registry,
    const RequestedPools& wanted, const Options& options, TimePoint now) {
  std::vector<contracts::AssignScheduler> plan;
  for (const auto& [pool, row] : configuration.pools) {
    const contracts::SchedulerAssignment& standing = row.value;
    const auto asked = wanted.find(pool);
    const bool lost_memory =
        asked != wanted.end() && asked->second == standing.epoch;
    if (!lost_memory && Keeps(standing, registry, options, now)) continue;
    const Participant* best = Best(registry, pool, options, now);
    if (best == nullptr) continue;
    plan.push_back(Assign(pool, *best, standing.epoch.Next()));
  }
  for (const auto& [pool, failed] : wanted) {
    if (configuration.pools.contains(pool)) continue;
    const Participant* best = Best(registry, pool, options, now);
    if (best == nullptr) continue;
    plan.push_back(Assign(pool, *best, Epoch(1)));
  }
  return plan;
}

}  // namespace samphirebank::assignment
