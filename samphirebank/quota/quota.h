// File: quota.h
//
// Contract limits over all pools of an organisation. Organisations are filed
// in a few groups; for each group one coordinator, on the router that holds a
// certain pool's scheduler, splits the limits into quotas for the pools by
// their demand. Quotas expire, and their sum never exceeds a limit, whichever
// messages are lost. No I/O; the present time is an argument.
//
// Example:
//
//   LocalCoordinators duties;
//   Refresh(duties, own_instance, configuration, now);  // often
//   if (Coordinator* coordinator = Find(duties, ask.to)) {
//     if (auto grant = OnQuotaRequest(*coordinator, ask, configuration, now)) {
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

// kGroups is how many coordinators a fleet has, and a scheduler talks to.
inline constexpr uint32_t kGroups = 4;
// kQuotaTtl is how long a quota may be used after it was asked for.
inline constexpr Duration kQuotaTtl = std::chrono::milliseconds(1500);

// Coordinators are the coordinators of all groups.
using Coordinators = std::array<std::optional<sharing::CoordinatorId>, kGroups>;

// GroupOf returns the group of an organisation.
uint32_t GroupOf(const OrganisationId& organisation);

// CoordinatorsOf chooses the coordinators by rendezvous hashing over the
// scheduler assignments: each configuration gives one choice, and a change of
// one assignment moves only the groups that it had or gets.
Coordinators CoordinatorsOf(const contracts::Configuration& configuration);

// IsLimited says whether a contract has a limit that is split.
bool IsLimited(const contracts::Contract& contract);

// SpansPools says whether a contract allows more than one of the pools.
bool SpansPools(const contracts::Contract& contract,
                const contracts::Configuration& configuration);

// Options sets a coordinator's times.
struct Options {
  // Longest time for which somebody may act on an older configuration, and so
  // give or ask for quotas as if an earlier coordinator stood.
  Duration configuration_lease = std::chrono::seconds(3);
  // What runs in a pool that fell silent counts this long.
  Duration usage_timeout = std::chrono::seconds(30);
  // Where a limit has fewer units than pools, they take turns of this length.
  Duration rotation_interval = std::chrono::seconds(4);
};

// IssuedQuota is a quota that a pool may be using.
struct IssuedQuota {
  uint64_t request_sequence = 0;  // the ask's sequence
  sharing::Quota quota{};
  TimePoint expires_at{};
};

// PoolUsage is what is known of one organisation in one pool.
struct PoolUsage {
  uint32_t waiting = 0;  // requests
  uint32_t running = 0;  // requests
  TimePoint last_seen{};
  bool superseded = false;  // the pool has a newer scheduler
  std::vector<IssuedQuota> issued{};
};

// SchedulerRecord is one run of a pool's scheduler.
struct SchedulerRecord {
  uint64_t last_sequence = 0;  // ask received
  TimePoint last_seen{};
};

// SchedulerRun names one run of a pool's scheduler.
using SchedulerRun = std::pair<PoolId, Epoch>;

// Coordinator is the state of one group's coordinator.
struct Coordinator {
  Options options{};
  sharing::CoordinatorId id{};
  TimePoint created_at{};
  TimePoint swept_at{};
  std::map<SchedulerRun, SchedulerRecord> schedulers{};
  std::map<OrganisationId, std::map<SchedulerRun, PoolUsage>> usages{};
};

// Create starts a coordinator. It gives nothing until all that an earlier one
// gave has expired.
Coordinator Create(const Options& options, const sharing::CoordinatorId& id,
                   TimePoint now);

// OnQuotaRequest takes a scheduler's message and returns the answer; nothing
// while an earlier coordinator's quotas may be in use, for another
// coordinator's messages, and for old ones. Only call it while the
// configuration may be acted on.
std::optional<sharing::QuotaGrant> OnQuotaRequest(
    Coordinator& coordinator, const sharing::QuotaRequest& ask,
    const contracts::Configuration& configuration, TimePoint now);

// LocalCoordinators are the coordinators that run on one instance.
struct LocalCoordinators {
  Options options{};
  std::array<std::optional<Coordinator>, kGroups> coordinators{};
  TimePoint refreshed_at{};
};

// Refresh starts and ends coordinators by the configuration. Call it at least
// every second, and only while the configuration may be acted on: after a gap
// of kQuotaTtl all start again, since others may have stood in between.
void Refresh(LocalCoordinators& duties, const InstanceId& self,
             const contracts::Configuration& configuration, TimePoint now);

// Find returns the coordinator `id` if it runs here, else null.
Coordinator* Find(LocalCoordinators& duties, const sharing::CoordinatorId& id);

// Split divides `total` into parts in proportion to `demands`. The units that
// are left over go to those with demand, one each, from position `first` on.
std::vector<uint64_t> Split(uint64_t total,
                            const std::vector<uint64_t>& demands, size_t first);

}  // namespace samphirebank::quota

#endif  // SAMPHIREBANK_QUOTA_QUOTA_H_
