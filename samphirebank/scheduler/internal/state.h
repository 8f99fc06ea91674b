// File: state.h
//
// The records of one pool's scheduler, and the functions that keep their sums
// and ordered indices consistent.
#ifndef SAMPHIREBANK_SCHEDULER_INTERNAL_STATE_H_
#define SAMPHIREBANK_SCHEDULER_INTERNAL_STATE_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "samphirebank/capacity/capacity.h"
#include "samphirebank/placement/placement.h"
#include "samphirebank/quota/quota.h"
#include "samphirebank/scheduler/scheduler.h"

namespace samphirebank::scheduler {

struct Organisation;
struct Router;

// Limits are the limits of an organisation's contract in this pool.
struct Limits {
  uint32_t weight = 1;
  uint32_t requests_per_second = 0;  // 0: no limit, here and below
  uint32_t concurrency = 0;
  uint32_t queue_length = 0;
  int64_t tokens_per_minute = 0;
  bool spans_pools = false;  // the contract allows other pools too
  bool split = false;        // the limits are divided into quotas of pools
};

// QuotaRecord is the part of an organisation's limits that this pool may use.
struct QuotaRecord {
  sharing::Quota quota{};
  uint64_t applied_sequence = 0;        // QuotaRequest that obtained the quota
  std::optional<TimePoint> expires_at;  // in Scheduler::expiring_quotas
  uint32_t waiting_elsewhere = 0;       // requests, in other pools
  uint64_t returning_sequence = 0;  // newest request that returned the quota
  bool returned = false;            // by the newest request with its state
};

// Bucket is a token bucket; its level may fall below 0.
struct Bucket {
  double level = 0;
  TimePoint filled_at{};
  bool started = false;
};

// RouterOrganisation is one organisation's demand at one router: a source of
// requests.
struct RouterOrganisation {
  Router* router = nullptr;
  Organisation* organisation = nullptr;
  uint32_t generation = 0;
  uint32_t waiting = 0;
  uint32_t running = 0;
  uint32_t reserved = 0;  // granted, not acknowledged
  uint32_t estimate = 1;  // tokens, of one request
  uint64_t prefix = 0;
  int64_t charged = 0;    // tokens, as reported
  TimePoint oldest_at{};  // estimated arrival of its oldest request
  TimePoint changed_at{};
  bool listed = false;  // in Organisation::sources
};

// SourceKey orders an organisation's sources by the age of their oldest
// request.
using SourceKey = std::tuple<TimePoint, uint64_t, RouterOrganisation*>;

// RemoteService is the state of an organisation that another region reported.
struct RemoteService {
  uint32_t generation = 0;
  int64_t charged = 0;       // tokens
  bool has_waiting = false;  // requests wait in that region
  TimePoint received_at{};
};

// Loan is the slots of one local target that one other region may use.
struct Loan {
  uint32_t desired = 0;    // slots to be lent once they are free
  uint32_t slots = 0;      // lent by the newest share
  TimePoint expires_at{};  // of `desired` and `slots`
  // A larger loan by an earlier share. It holds its slots until the other
  // region acknowledges share `reduced_by` or a later one, but no longer than
  // until `prior_expires_at`.
  uint32_t prior_slots = 0;
  TimePoint prior_expires_at{};
  uint64_t reduced_by = 0;
  uint32_t used = 0;  // slots, as the other region reported
};

// Organisation is the fleet-wide record of one organisation in this pool.
struct Organisation {
  OrganisationId id{};
  uint64_t number = 0;  // unique, breaks ties
  Limits limits{};
  bool allowed = false;     // has a contract for this pool
  double counter = 0;       // tokens / weight, including granted requests
  bool cost_known = false;  // at a router, from ended requests
  uint64_t waiting = 0;     // requests, as routers reported
  uint64_t running = 0;
  uint64_t reserved = 0;
  uint32_t references = 0;  // number of RouterOrganisations
  std::set<SourceKey> sources{};
  Bucket requests{};
  Bucket tokens{};
  bool active = false;       // in Scheduler::active_weight
  bool ready = false;        // in Scheduler::ready
  TimePoint idle_since{};    // when it last ran out of waiting requests
  bool has_counter = false;  // else its counter starts at the floor
  std::optional<TimePoint> blocked_until{};  // in Scheduler::blocked
  QuotaRecord quota{};
  // Exchanged with the schedulers of other regions.
  uint32_t share_generation = 0;
  int64_t charged = 0;  // tokens, in this region
  std::map<PoolId, RemoteService> remote_services{};
};

// Target is a target of the pool, or one of which another region lends slots.
struct Target {
  TargetId id{};
  uint64_t number = 0;  // unique, breaks ties; sent to routers
  net::SocketAddress address{};
  sharing::TargetTraits traits{};
  uint32_t description_version = 1;  // of address and traits
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  contracts::TargetIntent intent = contracts::TargetIntent::kServing;
  contracts::TargetIntent declared = contracts::TargetIntent::kServing;
  TimePoint last_seen{};
  bool known = false;  // has reported, or is remote
  bool remote = false;
  // Slots that the target's region lends, if it is remote.
  uint32_t borrowed_slots = 0;
  TimePoint borrowed_until{};
  std::map<PoolId, Loan> loans{};  // if it is local
  uint32_t running = 0;            // requests, as routers reported
  uint32_t reserved = 0;           // granted, not acknowledged
  capacity::State capacity{};
  // Statistics reported by routers. `failed` and `ended` are reset whenever
  // they are passed to capacity::OnObservation.
  uint64_t tokens = 0;      // generated since observed_at
  uint32_t failed = 0;      // requests that failed
  uint32_t ended = 0;       // router reports with newly generated tokens
  double busy_seconds = 0;  // sum over requests, since observed_at
  double speed = 0;         // tokens per second for each running request
  TimePoint observed_at{};
  TimePoint busy_updated_at{};
  uint32_t flaps = 0;  // recent recoveries from suspicion, and restarts
  TimePoint trusted_from{};
  bool suspected = false;
  std::optional<double> free_key{};  // in Scheduler::free_targets
};

// Reservation is one item of a grant that its router has not acknowledged.
struct Reservation {
  RouterOrganisation* source = nullptr;
  Target* target = nullptr;
  uint32_t count = 0;
  int64_t estimate = 0;  // tokens for each request
  bool remote = false;
};

// PendingGrant is a grant that its router has not acknowledged.
struct PendingGrant {
  TimePoint made_at{};
  std::vector<Reservation> reservations{};
};

// SentDescription is the version of a target's address and traits that was last
// sent to a router.
struct SentDescription {
  uint32_t description_version = 0;  // Target::description_version
  uint64_t grant_sequence = 0;  // of the grant whose receipt acknowledges it
  bool acknowledged = false;
};

// Router is the record of one entry router.
struct Router {
  InstanceId id{};
  uint64_t number = 0;  // unique, breaks ties
  BootId boot{};
  BootId previous_boot{};
  net::SocketAddress address{};
  sharing::Receipts demands{};
  TimePoint last_seen{};    // when the newest demand was received
  bool has_report = false;  // a full demand was applied
  bool needs_full_demand = false;
  std::optional<TimePoint> acknowledge_at{};
  uint64_t last_grant = 0;
  std::map<uint64_t, PendingGrant> pending{};
  std::unordered_map<Organisation*, RouterOrganisation> organisations{};
  // By the generation of the router's record: once the scheduler acknowledged
  // an organisation's id, demands carry only the generation.
  std::unordered_map<uint32_t, Organisation*> generations{};
  std::unordered_map<Target*, sharing::TargetUse> uses{};
  std::unordered_map<const Target*, SentDescription> sent_descriptions{};
  // The grants that the router had received when it sent its newest demand.
  sharing::Receipts grants{};
  std::vector<sharing::GrantItem> items{};      // of the grant being made
  std::vector<Reservation> reservations{};      // of the grant being made
  std::vector<sharing::QueueNotice> notices{};  // of the grant being made
};

// Neighbour is the scheduler of the same service in another region.
struct Neighbour {
  Epoch epoch{};
  uint64_t newest_share = 0;  // sequence of the newest share received
  TimePoint last_seen{};
  uint64_t last_share = 0;  // sequence of the newest share sent
  std::map<uint64_t, TimePoint> sent_at{};
  bool needs_slots = false;
  uint32_t capacity = 0;  // requests, of its region's targets
  bool has_targets = false;
  double token_deficit = 0;   // smoothed; see TokenDeficit in loans.cc
  double integral_slots = 0;  // integral term of the loan, in slots
};

// QuotaGroup is the state of the exchange with one coordinator of limits.
struct QuotaGroup {
  std::optional<sharing::CoordinatorId> coordinator{};
  uint64_t last_request = 0;
  std::map<uint64_t, TimePoint> sent_at{};
  TimePoint requested_at{};
  bool urgent = false;                          // a member needs a quota soon
  std::set<OrganisationId> members{};           // whose state is reported
  std::optional<OrganisationId> next_member{};  // to be reported
};

// Scheduler is the whole state of one pool's scheduler.
struct Scheduler {
  Options options{};
  PoolId pool{};
  Epoch epoch{};
  TimePoint created_at{};
  Revision revision{};
  std::unordered_map<OrganisationId, Limits> contracts{};
  std::map<TargetId, contracts::TargetIntent> declared{};
  std::unordered_map<OrganisationId, Organisation> organisations{};
  std::map<InstanceId, Router> routers{};
  std::map<TargetId, Target> targets{};
  std::unordered_map<uint64_t, Target*> targets_by_number{};
  std::map<PoolId, Neighbour> neighbours{};
  // Organisations that may be granted requests now, ordered by counter.
  std::set<std::tuple<double, uint64_t, Organisation*>> ready{};
  // Organisations blocked by their rate limits, by the time when that ends.
  std::set<std::tuple<TimePoint, uint64_t, Organisation*>> blocked{};
  std::array<QuotaGroup, quota::kGroups> quota_groups{};
  // Organisations that have a quota, by its expiry.
  std::set<std::tuple<TimePoint, uint64_t, Organisation*>> expiring_quotas{};
  size_t num_pools = 0;  // in the fleet
  // Targets with free slots, ordered by load.
  std::set<std::tuple<double, uint64_t, Target*>> free_targets{};
  // Routers that await a response, by the time when it is due.
  std::set<std::tuple<TimePoint, uint64_t, Router*>> pending_responses{};
  std::vector<Router*> granted_routers{};  // with items in the grant being made
  bool is_backlog_announced = false;       // to all routers
  TimePoint last_backlog_at{};             // when requests last waited
  bool rebuilt = false;                    // rebuild_time has passed
  placement::Ring ring{};
  std::vector<Target*> ring_targets{};  // by position on the ring
  bool ring_stale = true;
  double counter_floor = 0;  // maximum over time of the smallest ready counter
  double active_weight = 0;  // of organisations with requests
  double capacity = 0;       // requests, of targets that accept grants
  uint64_t last_number = 0;
  uint64_t waiting = 0;
  uint64_t running = 0;
  uint64_t reserved = 0;
  TimePoint targets_seen_at{};  // last time, in any region
  TimePoint swept_at{};
  TimePoint records_swept_at{};
  TimePoint saturated_since{};
  TimePoint has_slots_since{};
  bool saturated = false;
  bool spillover = false;
};

}  // namespace samphirebank::scheduler

namespace samphirebank::scheduler::internal {

// FindOrCreateOrganisation returns the record of an organisation, which it
// creates if it does not exist.
Organisation& FindOrCreateOrganisation(Scheduler& scheduler,
                                       const OrganisationId& id);

// FindOrCreateTarget returns the record of a target, which it creates if it
// does not exist.
Target& FindOrCreateTarget(Scheduler& scheduler, const TargetId& id,
                           TimePoint now);

// SetDescription updates a target's address and traits.
void SetDescription(Target& target, const net::SocketAddress& address,
                    const sharing::TargetTraits& traits);

// Charge adds `tokens`, divided by the organisation's weight, to its counter.
// `tokens` may be negative.
void Charge(Scheduler& scheduler, Organisation& organisation, int64_t tokens);

// MoveCounter adds `step` (tokens / weight; may be negative) to an
// organisation's counter.
void MoveCounter(Scheduler& scheduler, Organisation& organisation, double step);

// UpdateReadiness adds an organisation to Scheduler::ready or
// Scheduler::blocked, or removes it from both, according to its state.
void UpdateReadiness(Scheduler& scheduler, Organisation& organisation,
                     TimePoint now);

// UpdateSource adds a router's demand to its organisation's sources, or removes
// it if no request is left to grant.
void UpdateSource(RouterOrganisation& source);

// UpdateFreeList updates a target's entry in Scheduler::free_targets.
void UpdateFreeList(Scheduler& scheduler, Target& target, TimePoint now);

// ScheduleResponse ensures that a router is sent a message by `due`.
void ScheduleResponse(Scheduler& scheduler, Router& router, TimePoint due);

// InFlight returns the number of requests at a target, including granted ones.
uint32_t InFlight(const Target& target);

// FreeSlots returns how many more requests a target may be granted now.
uint32_t FreeSlots(const Scheduler& scheduler, const Target& target,
                   TimePoint now);

// AccumulateBusyTime adds the time since the last call to a target's busy time.
// Must be called before the number of running requests changes.
void AccumulateBusyTime(Target& target, TimePoint now);

// ReleaseGrant undoes the reservations of a grant that was acknowledged, is
// assumed lost, has expired or belongs to a removed router.
void ReleaseGrant(Scheduler& scheduler, const PendingGrant& grant,
                  TimePoint now);

// ClearRouter releases all that a router holds: its reservations and its
// waiting and running requests.
void ClearRouter(Scheduler& scheduler, Router& router, TimePoint now);

// SetWaiting and SetRunning update a source's counts and the sums over all
// sources.
void SetWaiting(Scheduler& scheduler, RouterOrganisation& source,
                uint32_t waiting);
void SetRunning(Scheduler& scheduler, RouterOrganisation& source,
                uint32_t running);

// SetTargetUse applies a router's reported use of a target.
void SetTargetUse(Router& router, Target& target, const sharing::TargetUse& use,
                  TimePoint now);

// EvictIdleRecords removes the records of idle organisations, per router and
// fleet-wide.
void EvictIdleRecords(Scheduler& scheduler, TimePoint now);

// CheckTargets evaluates the speed of targets, suspects targets that do not
// report and evicts those that have not reported for eviction_timeout.
void CheckTargets(Scheduler& scheduler, TimePoint now);

// UpdateLimits sets an organisation's limits from its contract.
void UpdateLimits(Scheduler& scheduler, Organisation& organisation);

// BlockedUntil returns when an organisation's rate limits will allow a request;
// nothing if they allow one now.
std::optional<TimePoint> BlockedUntil(Organisation& organisation,
                                      TimePoint now);

// RefillBuckets adds the tokens due until `now` to an organisation's token
// buckets.
void RefillBuckets(Organisation& organisation, TimePoint now);

// IsOverdrawn returns whether an organisation used more tokens than its limit
// allows.
bool IsOverdrawn(const Organisation& organisation);

// LacksQuota returns whether an organisation's limits are split over pools and
// this pool has no part of one of them.
bool LacksQuota(const Organisation& organisation);

// ConcurrencyLimit returns how many requests may run in this pool; 0 if there
// is no limit or if LacksQuota.
uint64_t ConcurrencyLimit(const Organisation& organisation);

// UpdateQuotaMembership adds an organisation to those that are reported to the
// coordinator of its limits, if it needs a quota.
void UpdateQuotaMembership(Scheduler& scheduler, Organisation& organisation);

// ExpireQuotas removes the quotas that have expired.
void ExpireQuotas(Scheduler& scheduler, TimePoint now);

// UpdateCoordinators applies the coordinators of the configuration.
void UpdateCoordinators(Scheduler& scheduler,
                        const contracts::Configuration& configuration);

// ConsumeRate counts `requests` (may be 0) and `tokens` (may be negative)
// against the rate limits.
void ConsumeRate(Organisation& organisation, uint32_t requests, int64_t tokens);

// LoanedInUse returns the number of requests that other regions run on a
// target.
uint32_t LoanedInUse(const Target& target);

// IsAvailable returns whether the operators declare a target as serving and, if
// it is local, it reported so within suspect_timeout or, if it is remote, its
// loan has not expired.
bool IsAvailable(const Scheduler& scheduler, const Target& target,
                 TimePoint now);

// CanUse returns whether a target may be granted requests now: it is
// available, and neither flaps, a predecessor's grants nor the rules of
// spillover exclude it.
bool CanUse(const Scheduler& scheduler, const Target& target, TimePoint now);

// WaitsRemotely returns whether requests of an organisation wait in another
// region.
bool WaitsRemotely(const Organisation& organisation, TimePoint now);

// UpdateSpillover decides whether targets of other regions are used.
void UpdateSpillover(Scheduler& scheduler, TimePoint now);

}  // namespace samphirebank::scheduler::internal

#endif  // SAMPHIREBANK_SCHEDULER_INTERNAL_STATE_H_
