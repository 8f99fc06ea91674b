// File: quota.h
//
// Enforcement of contract limits over all pools of an organisation. The
// organisations are hashed into a few groups. Each group has one coordinator,
// which runs on the router that holds the scheduler of a chosen pool and
// divides each limit into quotas for the pools in proportion to their demand.
// Quotas expire, and their sum never exceeds the limit, whichever messages are
// lost. No I/O; the present time is an argument.
//
// Example:
//
//   LocalCoordinators local;
//   Refresh(local, own_instance, configuration, now);  // periodically
//   if (Coordinator* coordinator = Find(local, request.to)) {
//     if (auto grant =
//             OnQuotaRequest(*coordinator, request, configuration, now)) {
//       send(grant->pool, *grant);
//     }
//   }
//
// Not thread-safe: one thread per coordinator.
#ifndef SAMPHIREBANK_QUOTA_QUOTA_H_
#define SAMPHIREBANK_QUOTA_QUOTA_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "samphirebank/base/base.h"
#include "samphirebank/contracts/contracts.h"
#include "samphirebank/sharing/sharing.h"

namespace samphirebank::quota {

// kGroups is the number of groups, and so of coordinators in a fleet. Each
// scheduler exchanges messages with all of them.
inline constexpr uint32_t kGroups = 4;
// kQuotaTtl is how long a quota may be used after it was requested.
inline constexpr Duration kQuotaTtl = std::chrono::milliseconds(1500);

// Coordinators holds the id of each group's coordinator, by group; nullopt if
// no pool is assigned.
using Coordinators = std::array<std::optional<sharing::CoordinatorId>, kGroups>;

// QuotaGroupOf returns the quota group of an organisation.
uint32_t QuotaGroupOf(const OrganisationId& organisation);

// CoordinatorsOf chooses the coordinators by rendezvous hashing over the
// scheduler assignments. The choice depends on the configuration only, and a
// change of one assignment moves only the groups that it had or gets.
Coordinators CoordinatorsOf(const contracts::Configuration& configuration);

// IsLimited returns whether a contract has a limit that is divided among pools.
bool IsLimited(const contracts::Contract& contract);

// SpansPools returns whether a contract allows more than one of the pools.
bool SpansPools(const contracts::Contract& contract,
                const contracts::Configuration& configuration);

// Options sets the timeouts and intervals of a coordinator.
struct Options {
  // The longest time for which an instance may act on an outdated
  // configuration, and so grant or request quotas under an earlier coordinator.
  Duration configuration_lease = std::chrono::seconds(3);
  // After the last message from a pool its running requests count against the
  // limit for this long.
  Duration usage_timeout = std::chrono::seconds(30);
  // If a limit has fewer units than there are pools, the units move on to the
  // next pools at this interval.
  Duration rotation_interval = std::chrono::seconds(4);
};

// IssuedQuota is a quota that a pool may still be using.
struct IssuedQuota {
  uint64_t request_sequence = 0;  // of the request that it was granted for
  sharing::Quota quota{};
  TimePoint expires_at{};
};

// PoolUsage is the state of one organisation in one pool.
struct PoolUsage {
  uint32_t waiting = 0;  // requests
  uint32_t running = 0;  // requests
  TimePoint last_seen{};
  bool superseded = false;  // the pool has a newer scheduler
  std::vector<IssuedQuota> issued{};
};

// SchedulerRecord is the state of one run of a pool's scheduler.
struct SchedulerRecord {
  uint64_t last_sequence = 0;  // of the newest request received
  TimePoint last_seen{};
};

// SchedulerRun identifies one run of a pool's scheduler.
using SchedulerRun = std::pair<PoolId, Epoch>;

// Coordinator is the state of one group's coordinator.
struct Coordinator {
  Options options{};
  sharing::CoordinatorId id{};
  TimePoint created_at{};
  TimePoint swept_at{};  // when expired records were last evicted
  std::map<SchedulerRun, SchedulerRecord> schedulers{};
  std::map<OrganisationId, std::map<SchedulerRun, PoolUsage>> usages{};
};

// Create returns a new coordinator. It grants no quota until every quota of an
// earlier coordinator has expired.
Coordinator Create(const Options& options, const sharing::CoordinatorId& id,
                   TimePoint now);

// OnQuotaRequest records a scheduler's message and returns the response. It
// returns nullopt while quotas of an earlier coordinator may be in use, and for
// messages that are addressed to another coordinator, from a replaced scheduler
// or not newer than the last one. Only call it while the configuration may be
// acted on.
std::optional<sharing::QuotaGrant> OnQuotaRequest(
    Coordinator& coordinator, const sharing::QuotaRequest& request,
    const contracts::Configuration& configuration, TimePoint now);

// LocalCoordinators holds the coordinators that run on one instance, by group.
struct LocalCoordinators {
  Options options{};
  std::array<std::optional<Coordinator>, kGroups> coordinators{};
  TimePoint refreshed_at{};
};

// Refresh starts and stops coordinators to match the configuration. Call it at
// least every second, and only while the configuration may be acted on: after a
// gap of kQuotaTtl all coordinators are started anew, since other instances may
// have run them in the meantime.
void Refresh(LocalCoordinators& local, const InstanceId& self,
             const contracts::Configuration& configuration, TimePoint now);

// Find returns the coordinator `id` if it runs on this instance, else null.
Coordinator* Find(LocalCoordinators& local, const sharing::CoordinatorId& id);

// Split divides `total` in proportion to `demands`, rounded down. The remaining
// units go one each to the positions with demand, starting at `first`.
std::vector<uint64_t> Split(uint64_t total,
                            const std::vector<uint64_t>& demands, size_t first);

}  // namespace samphirebank::quota

#endif  // SAMPHIREBANK_QUOTA_QUOTA_H_
