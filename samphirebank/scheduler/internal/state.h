// File: state.h
//
// The records of one pool's scheduler and the steps that keep their sums and
// orders consistent.
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

// Limits are what a contract grants an organisation in this pool.
struct Limits {
  uint32_t weight = 1;
  uint32_t requests_per_second = 0;  // 0: no limit, here and below
  uint32_t concurrency = 0;
  uint32_t queue_length = 0;
  int64_t tokens_per_minute = 0;
  bool spans_pools = false;  // the contract allows further pools
  bool split = false;        // this pool has only a quota of the limits
};

// QuotaRecord is the quota that this pool may use of an organisation's limits.
struct QuotaRecord {
  sharing::Quota quota{};
  uint64_t applied_sequence = 0;   // the ask whose answer gave it
  std::optional<TimePoint> until;  // in Scheduler::lapsing
  uint32_t waiting_elsewhere = 0;  // requests, in other pools
  uint64_t returned_in = 0;        // the newest ask that gave quota back
  bool returned = false;           // by the newest ask that told its state
};

// Bucket is a token bucket; its level may fall below 0.
struct Bucket {
  double level = 0;
  TimePoint filled_at{};
  bool started = false;
};

// RouterOrganisation is one organisation's demand at one router.
struct RouterOrganisation {
  Router* router = nullptr;
  Organisation* organisation = nullptr;
  uint32_t generation = 0;
  uint32_t waiting = 0;
  uint32_t running = 0;
  uint32_t reserved = 0;  // granted, not confirmed
  uint32_t estimate = 1;  // tokens, of one request
  uint64_t prefix = 0;
  int64_t charged = 0;    // tokens, as reported
  TimePoint oldest_at{};  // about when its oldest request came
  TimePoint changed_at{};
  bool listed = false;  // in Organisation::sources
};

// Source orders the routers that hold an organisation's requests by age.
using Source = std::tuple<TimePoint, uint64_t, RouterOrganisation*>;

// FarService is what another region told of an organisation.
struct FarService {
  uint32_t generation = 0;
  int64_t charged = 0;  // tokens
  bool waits = false;   // requests wait there
  TimePoint heard_at{};
};

// Loan is what one other region may use of a target here.
struct Loan {
  uint32_t wanted = 0;  // slots to be lent, once they are free
  uint32_t slots = 0;   // told; both hold until `until`
  TimePoint until{};
  // Told before, and more than now: counts until the other region confirms
  // `past_share` or a later one, at most until `past_until`.
  uint32_t past_slots = 0;
  TimePoint past_until{};
  uint64_t past_share = 0;
  uint32_t used = 0;  // as the other region told
};

// Organisation is the fleet-wide record of one organisation in this pool.
struct Organisation {
  OrganisationId id{};
  uint64_t number = 0;  // breaks ties
  Limits limits{};
  bool allowed = false;     // by contract
  double counter = 0;       // tokens by weight, granted ones included
  bool cost_known = false;  // to a router, from ended requests
  uint64_t waiting = 0;     // requests, as routers reported
  uint64_t running = 0;
  uint64_t reserved = 0;
  uint32_t references = 0;  // router records
  std::set<Source> sources{};
  Bucket requests{};
  Bucket tokens{};
  bool active = false;  // in Scheduler::active_weight
  bool ready = false;   // in Scheduler::ready
  TimePoint left_at{};  // when it stopped being ready for want of requests
  bool seeded = false;  // its counter is known
  std::optional<TimePoint> blocked_until{};  // in Scheduler::blocked
  QuotaRecord quota{};
  // Shared with the schedulers of other regions.
  uint32_t share_generation = 0;
  int64_t charged = 0;  // tokens, here
  std::map<PoolId, FarService> far{};
};

// Target is one target of the pool, or one that another region lends.
struct Target {
  TargetId id{};
  uint64_t number = 0;  // breaks ties
  net::SocketAddress address{};
  sharing::TargetTraits traits{};
  uint32_t facts = 1;  // counts the changes of address and traits
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  contracts::TargetIntent intent = contracts::TargetIntent::kServing;
  contracts::TargetIntent declared = contracts::TargetIntent::kServing;
  TimePoint heard_at{};
  bool known = false;  // it has reported
  bool far = false;
  // Of a far one: slots that its region lends.
  uint32_t borrowed = 0;
  TimePoint borrowed_until{};
  std::map<PoolId, Loan> loans{};  // of a near one
  uint32_t running = 0;            // requests, as routers reported
  uint32_t reserved = 0;           // granted, not confirmed
  capacity::State capacity{};
  // Speed as routers see it.
  uint64_t tokens = 0;      // since observed_at
  uint32_t failed = 0;      // since observed_at
  uint32_t ended = 0;       // since observed_at
  double busy_seconds = 0;  // running requests by time, since observed_at
  double speed = 0;         // tokens a second of one running request
  TimePoint observed_at{};
  TimePoint busy_at{};
  uint32_t flaps = 0;  // returns after a suspicion, decaying
  TimePoint trusted_at{};
  bool suspected = false;
  std::optional<double> free_key{};  // in Scheduler::free
};

// Reservation is one item of a grant that its router has not confirmed.
struct Reservation {
  RouterOrganisation* source = nullptr;
  Target* target = nullptr;
  uint32_t count = 0;
  int64_t estimate = 0;  // tokens, of one request
  bool far = false;
};

// PendingGrant is a grant that its router has not confirmed.
struct PendingGrant {
  TimePoint made_at{};
  std::vector<Reservation> reservations{};
};

// ToldTarget is what a router was told of a target's address and traits.
struct ToldTarget {
  uint32_t facts = 0;  // Target::facts
  uint64_t grant = 0;  // that told them
  bool confirmed = false;
};

// Router is all that is known of one entry router.
struct Router {
  InstanceId id{};
  uint64_t number = 0;  // breaks ties
  BootId boot{};
  BootId past_boot{};
  net::SocketAddress address{};
  sharing::Receipts demands{};
  TimePoint heard_at{};     // the newest demand
  bool has_report = false;  // a full demand was taken
  bool full_wanted = false;
  std::optional<TimePoint> acknowledge_at{};
  uint64_t last_grant = 0;
  std::map<uint64_t, PendingGrant> pending{};
  std::unordered_map<Organisation*, RouterOrganisation> organisations{};
  // By the numbers of the router's records, of which names are told once.
  std::unordered_map<uint32_t, Organisation*> generations{};
  std::unordered_map<Target*, sharing::TargetUse> uses{};
  std::unordered_map<const Target*, ToldTarget> told{};
  sharing::Receipts grants{};  // received there, by its newest demand
  std::vector<sharing::GrantItem> items{};      // of the grant being made
  std::vector<Reservation> reservations{};      // of the grant being made
  std::vector<sharing::QueueNotice> notices{};  // of the grant being made
};

// Neighbour is the scheduler of the same service in another region.
struct Neighbour {
  Epoch epoch{};
  uint64_t newest = 0;  // share received
  TimePoint heard_at{};
  uint64_t last_share = 0;  // sent
  std::map<uint64_t, TimePoint> sent_at{};
  bool wants_slots = false;
  uint32_t capacity = 0;  // requests that its own targets can carry
  bool has_targets = false;
  double behind = 0;  // tokens that it is behind, smoothed
  double trim = 0;    // slots lent above its part of what is left
};

// QuotaGroup is the exchange with one coordinator of limits.
struct QuotaGroup {
  std::optional<sharing::CoordinatorId> coordinator{};
  uint64_t last_ask = 0;
  std::map<uint64_t, TimePoint> sent_at{};
  TimePoint asked_at{};
  bool urgent = false;                   // a member has no quota yet
  std::set<OrganisationId> members{};    // whose state is told
  std::optional<OrganisationId> next{};  // the round goes on there
};

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
  std::unordered_map<uint64_t, Target*> numbered{};  // by Target::number
  std::map<PoolId, Neighbour> neighbours{};
  // Organisations that may be granted now, by counter.
  std::set<std::tuple<double, uint64_t, Organisation*>> ready{};
  // Organisations whose rate limits bind, by the time when they end.
  std::set<std::tuple<TimePoint, uint64_t, Organisation*>> blocked{};
  std::array<QuotaGroup, quota::kGroups> quota_groups{};
  // Organisations with a quota, by the time when it expires.
  std::set<std::tuple<TimePoint, uint64_t, Organisation*>> lapsing{};
  size_t pools = 0;  // of the fleet
  // Targets with room, by load.
  std::set<std::tuple<double, uint64_t, Target*>> free{};
  // Routers that are owed an answer, by the time when it is due.
  std::set<std::tuple<TimePoint, uint64_t, Router*>> answers{};
  std::vector<Router*> granted{};  // routers with items of the grant being made
  bool backlog_told = false;       // to all routers, since backlog_at
  TimePoint backlog_at{};          // when requests last had to wait
  bool rebuilt = false;            // rebuild_time is over
  placement::Ring ring{};
  std::vector<Target*> ring_targets{};  // by the ring's positions
  bool ring_stale = true;
  double floor = 0;  // the smallest counter of a ready organisation, so far
  double active_weight = 0;  // of organisations that wait or run
  double capacity = 0;       // requests that the serving targets can carry
  uint64_t last_number = 0;
  uint64_t waiting = 0;
  uint64_t running = 0;
  uint64_t reserved = 0;
  TimePoint targets_seen_at{};  // in any region
  TimePoint swept_at{};
  TimePoint records_swept_at{};
  TimePoint saturated_since{};
  TimePoint relaxed_since{};
  bool saturated = false;
  bool spilling = false;
};

}  // namespace samphirebank::scheduler

namespace samphirebank::scheduler::internal {

// OrganisationOf returns the record of an organisation, made if missing.
Organisation& OrganisationOf(Scheduler& scheduler, const OrganisationId& id);

// TargetOf returns the record of a target, made if missing.
Target& TargetOf(Scheduler& scheduler, const TargetId& id, TimePoint now);

// SetFacts takes a target's address and traits.
void SetFacts(Target& target, const net::SocketAddress& address,
              const sharing::TargetTraits& traits);

// Charge moves an organisation's counter by `tokens`.
void Charge(Scheduler& scheduler, Organisation& organisation, int64_t tokens);

// Lift raises an organisation's counter by `step` tokens by weight.
void Lift(Scheduler& scheduler, Organisation& organisation, double step);

// Place puts an organisation among the ready, the blocked or neither.
void Place(Scheduler& scheduler, Organisation& organisation, TimePoint now);

// List puts a router's demand in or out of its organisation's sources.
void List(RouterOrganisation& source);

// PlaceTarget puts a target among those with room, or not.
void PlaceTarget(Scheduler& scheduler, Target& target, TimePoint now);

// OweAnswer notes that a router must get a message by `due`.
void OweAnswer(Scheduler& scheduler, Router& router, TimePoint due);

// InFlight is what is known to be at a target, granted requests included.
uint32_t InFlight(const Target& target);

// Room is how many more requests a target may be granted now.
uint32_t Room(const Scheduler& scheduler, const Target& target, TimePoint now);

// Observe takes the time since the last change into a target's busy time.
void ObserveBusy(Target& target, TimePoint now);

// Release takes back reservations: confirmed, expired or of a lost router.
void Release(Scheduler& scheduler, const PendingGrant& grant, TimePoint now);

// ForgetRouter removes a router and all that it holds.
void ForgetRouter(Scheduler& scheduler, Router& router, TimePoint now);

// SetWaiting and SetRunning keep the sums over a router's records.
void SetWaiting(Scheduler& scheduler, RouterOrganisation& source,
                uint32_t waiting);
void SetRunning(Scheduler& scheduler, RouterOrganisation& source,
                uint32_t running);

// SetUse takes what a router says it runs on a target.
void SetUse(Router& router, Target& target, const sharing::TargetUse& use,
            TimePoint now);

// SweepRecords forgets what is idle and lost.
void SweepRecords(Scheduler& scheduler, TimePoint now);

// CheckTargets suspects, drops and observes targets.
void CheckTargets(Scheduler& scheduler, TimePoint now);

// UseLimits gives an organisation the limits of its contract.
void UseLimits(Scheduler& scheduler, Organisation& organisation);

// BlockedUntil is when an organisation's rate limits allow a request: nothing
// if now.
std::optional<TimePoint> BlockedUntil(Organisation& organisation,
                                      TimePoint now);

// FillBuckets brings an organisation's token buckets to `now`.
void FillBuckets(Organisation& organisation, TimePoint now);

// Owes says whether an organisation used more tokens than its limit allows.
bool Owes(const Organisation& organisation);

// LacksQuota says whether an organisation's limits are split and this pool has
// no part of one of them.
bool LacksQuota(const Organisation& organisation);

// ConcurrencyLimit is how many requests may run here; 0: LacksQuota or none.
uint64_t ConcurrencyLimit(const Organisation& organisation);

// FollowQuota notes whether the coordinator of its limits must be told of an
// organisation.
void FollowQuota(Scheduler& scheduler, Organisation& organisation);

// LapseQuotas ends the quotas that are over.
void LapseQuotas(Scheduler& scheduler, TimePoint now);

// UseCoordinators takes the coordinators from the configuration.
void UseCoordinators(Scheduler& scheduler,
                     const contracts::Configuration& configuration);

// TakeRate counts `requests` (may be 0) and `tokens` (may be negative)
// against the rate limits.
void TakeRate(Organisation& organisation, uint32_t requests, int64_t tokens);

// LoansUsed is what other regions run on a target.
uint32_t LoansUsed(const Target& target);

// Stands says whether a target offers to serve, by its own and the operators'
// word.
bool Stands(const Scheduler& scheduler, const Target& target, TimePoint now);

// Serves says whether a target may be granted requests now.
bool Serves(const Scheduler& scheduler, const Target& target, TimePoint now);

// WaitsFar says whether requests of an organisation wait in another region.
bool WaitsFar(const Organisation& organisation, TimePoint now);

// UpdateSpill decides whether other regions' targets are used.
void UpdateSpill(Scheduler& scheduler, TimePoint now);

}  // namespace samphirebank::scheduler::internal

#endif  // SAMPHIREBANK_SCHEDULER_INTERNAL_STATE_H_
