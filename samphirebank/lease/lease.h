// File: lease.h
//
// Configuration leases: how long an instance may act on its copy of the
// configuration, and the messages that distribute configuration and leases.
//
// A proof consists of a time, its basis, and a revision: every change accepted
// before the basis has at most that revision. Only the control leader creates
// proofs, by confirming with a quorum that it is still the leader. A proof is
// sent as its age. The receiver computes its own basis as the time at which it
// sent the poll minus that age, so network delay, paused processes and relaying
// through other instances can only shorten a lease. Clocks of different
// instances are never compared.
//
// Example (a router, or a control follower):
//
//   Holder holder =
//       MakeHolder({.self = self, .controls = controls, .seed = 7});
//   for (const OutgoingPoll& send : OnTimer(holder, now)) Send(send);
//   OnUpdate(holder, update, now);  // for each response
//   if (MayAct(holder, now)) Use(holder.history.configuration);
//
// An instance that responds to polls keeps a Registry of the requesters:
//
//   RecordPoll(registry, poll, now);
//   ConfigUpdate update = MakeUpdate(history, proof, poll, now);
//
// Nothing in this library is thread-safe, and nothing reads a clock: the caller
// passes the current time.
#ifndef SAMPHIREBANK_LEASE_LEASE_H_
#define SAMPHIREBANK_LEASE_LEASE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "samphirebank/base/base.h"
#include "samphirebank/contracts/contracts.h"
#include "samphirebank/net/net.h"
#include "samphirebank/wire/wire.h"

namespace samphirebank::lease {

// Role is the kind of process that an instance runs.
enum class Role : uint8_t { kRouter, kControl };

// Participant is the description of itself that an instance sends to others.
struct Participant {
  InstanceId instance;
  BootId boot;
  RegionId region;
  ZoneId zone;
  net::SocketAddress address;  // for messages from other instances
  Role role = Role::kRouter;
  bool draining = false;       // shutting down; gets no new duties
  uint16_t operator_port = 0;  // control instances only

  friend bool operator==(const Participant&, const Participant&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(instance, boot, region, zone, address, role, draining,
            operator_port);
  }
};

// ReportedInstance is a Registry entry as a control follower sends it to the
// leader.
struct ReportedInstance {
  Participant peer;
  int64_t age_ns = 0;  // time since its last poll
  Revision revision;   // of its configuration, as of that poll
  int64_t lease_left_ns = 0;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(peer, age_ns, revision, lease_left_ns);
  }
};

// ConfigPoll requests a lease and the changes after `revision`.
struct ConfigPoll {
  static constexpr wire::Kind kKind = wire::Kind::kConfigPoll;
  uint64_t nonce = 0;
  Participant requester;
  Revision revision;  // of the requester's configuration
  int64_t lease_left_ns = 0;
  // copy_after requests the snapshot piece that follows this organisation
  // instead of changes; an empty identifier requests the first piece.
  std::optional<OrganisationId> copy_after;
  bool include_peers = false;               // whether to list routers to poll
  std::vector<ReportedInstance> instances;  // sent by control followers

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(nonce, requester, revision, lease_left_ns, copy_after,
            include_peers, instances);
  }
};

// SnapshotPiece holds the contracts of a contiguous range of organisations, in
// order of identifier, at one revision. Only the first piece holds targets and
// pools.
struct SnapshotPiece {
  Revision revision;
  OrganisationId after;  // ConfigPoll::copy_after of the request
  std::vector<contracts::Versioned<contracts::Contract>> contracts;
  std::map<TargetId, contracts::Versioned<contracts::TargetIntent>> targets;
  std::map<PoolId, contracts::Versioned<contracts::SchedulerAssignment>> pools;
  bool last = false;  // no piece follows

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(revision, after, contracts, targets, pools, last);
  }
};

// ConfigUpdate is the response to a ConfigPoll.
struct ConfigUpdate {
  static constexpr wire::Kind kKind = wire::Kind::kConfigUpdate;
  uint64_t nonce = 0;
  RegionId region;  // of the responder
  ZoneId zone;
  std::optional<int64_t> lease_age_ns;  // age of the proof, if there is one
  Revision proof_revision;
  int64_t lease_duration_ns = 0;  // the responder's lease duration
  Revision revision;              // of the responder's configuration
  std::vector<contracts::Change> changes;
  std::optional<SnapshotPiece> piece;
  std::optional<net::SocketAddress> leader;           // peer address, if known
  std::optional<net::SocketAddress> leader_operator;  // for operators' requests
  std::vector<net::SocketAddress> peers;  // routers that can be polled

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(nonce, region, zone, lease_age_ns, proof_revision,
            lease_duration_ns, revision, changes, piece, leader,
            leader_operator, peers);
  }
};

// Proof guarantees that every change accepted before `basis`, a time on this
// process's clock, has at most `revision`.
struct Proof {
  TimePoint basis;
  Revision revision;

  friend bool operator==(const Proof&, const Proof&) = default;
};

// Parameters holds the settings that all instances of a fleet share. A holder
// shortens its lease duration to that of any instance that responds to it.
struct Parameters {
  Duration lease_duration = std::chrono::seconds(3);
  // The maximum difference in rate between two clocks, in parts per million.
  int64_t drift_ppm = 1000;
};

// AddDriftMargin returns `span` lengthened by the maximum clock drift.
Duration AddDriftMargin(const Parameters& parameters, Duration span);

// InForceAfter returns the time after its acceptance at which a change is in
// force on every instance, measured on the clock of the leader that accepted
// it.
Duration InForceAfter(const Parameters& parameters);

// ControlSeed is a control instance that a holder can poll.
struct ControlSeed {
  net::SocketAddress address;
  RegionId region;  // empty until it is known
  ZoneId zone;      // empty until it is known
};

// HolderOptions configures a Holder.
struct HolderOptions {
  Participant self;
  std::vector<ControlSeed> controls;  // excluding this instance
  Parameters parameters;
  Duration poll_interval = std::chrono::seconds(1);
  Duration response_timeout = std::chrono::milliseconds(300);
  Duration copy_interval = std::chrono::milliseconds(20);  // between two polls
  Duration prefer_nearest_interval = std::chrono::seconds(30);
  // Varies the order of control instances at the same distance.
  uint64_t seed = 0;
};

// Holder is the state of an instance that obtains configuration and leases by
// polling.
struct Holder {
  // PendingPoll is a poll without a response so far.
  struct PendingPoll {
    TimePoint sent_at;
    net::SocketAddress to;
  };
  // SnapshotCopy is a snapshot being fetched piece by piece, possibly from
  // several instances. Once all pieces have arrived (`complete`), it still
  // needs the changes up to `newest_revision` to be consistent.
  struct SnapshotCopy {
    contracts::History staged;
    Revision oldest_revision;
    Revision newest_revision;
    OrganisationId after;
    bool complete = false;
  };

  HolderOptions options;
  contracts::History history;
  // The newest proof whose revision `history` has reached.
  std::optional<Proof> satisfied_proof;
  // A newer proof whose changes have not all arrived. It waits for its changes
  // even if yet newer proofs arrive meanwhile; the newest one of these follows.
  std::optional<Proof> pending;
  std::optional<Proof> newest_pending;
  std::optional<SnapshotCopy> copy;
  std::optional<net::SocketAddress> leader;
  std::optional<net::SocketAddress> leader_operator;
  std::vector<net::SocketAddress> peers;
  std::map<uint64_t, PendingPoll> pending_polls;  // by nonce
  uint64_t next_nonce = 0;
  size_t candidate_index = 0;  // which instance to poll; 0 is the nearest
  TimePoint next_poll_at;
  TimePoint next_nearest_at;
};

// OutgoingPoll is a poll for the caller to send.
struct OutgoingPoll {
  net::SocketAddress to;
  ConfigPoll poll;
};

// MakeHolder returns a holder without configuration and without a lease. The
// boot id of `options.self` must differ from those of earlier boots.
Holder MakeHolder(HolderOptions options);

// OnTimer returns the polls that are due. Send them immediately: the lease is
// measured from `now`. Call it at least every 50 ms.
std::vector<OutgoingPoll> OnTimer(Holder& holder, TimePoint now);

// OnUpdate processes a response. A response to an unknown poll, or a second
// response to the same poll, is ignored. Returns whether the configuration
// changed.
bool OnUpdate(Holder& holder, const ConfigUpdate& update, TimePoint now);

// AdoptProof adds a proof that was obtained without polling, such as one that
// the leader itself created.
void AdoptProof(Holder& holder, const Proof& proof);

// LeaseLeft returns the remaining time of the lease; zero if there is none or
// it has expired.
Duration LeaseLeft(const Holder& holder, TimePoint now);

// MayAct returns whether the lease is valid, so that the holder may act on its
// configuration. Check it immediately before each action that depends on the
// configuration.
bool MayAct(const Holder& holder, TimePoint now);

// MakeUpdate returns the response to a poll, built from the responder's
// `history` and `proof`. The proof is included only if `history` has reached
// its revision and it is younger than the lease duration. The caller fills in
// the region, the availability zone and the addresses.
ConfigUpdate MakeUpdate(const contracts::History& history,
                        const std::optional<Proof>& proof,
                        const Parameters& parameters, const ConfigPoll& poll,
                        TimePoint now);

// PieceLimit is the rate limit on the snapshot pieces that one instance sends,
// so that many routers that start at the same time do not delay its other work.
struct PieceLimit {
  // The mean time between two pieces.
  Duration interval = std::chrono::milliseconds(1);
  // The maximum unused time that is carried over.
  Duration burst = std::chrono::milliseconds(20);
  TimePoint next_allowed;
};

// ApplyPieceLimit changes a poll that needs a snapshot piece into one for the
// lease only if the limit allows no piece now. The requester then polls again
// after its copy interval.
void ApplyPieceLimit(PieceLimit& limit, const contracts::History& history,
                     ConfigPoll& poll, TimePoint now);

// Registry holds the last poll of each instance, for status responses, for
// lists of peers and for detecting failed instances.
struct Registry {
  struct Entry {
    Participant peer;
    TimePoint last_seen;
    Revision revision;
    Duration lease_left{0};
  };
  std::map<InstanceId, Entry> entries;
  InstanceId last_reported;  // last instance returned by ReportInstances
};

// kEntryTtl is how long an instance stays in a Registry after its last poll.
inline constexpr Duration kEntryTtl = std::chrono::minutes(2);

// RecordPoll records the requester and the instances that it reports. An entry
// is replaced only by a newer one.
void RecordPoll(Registry& registry, const ConfigPoll& poll, TimePoint now);

// EvictStaleEntries removes the instances whose last poll is older than
// kEntryTtl.
void EvictStaleEntries(Registry& registry, TimePoint now);

// ReportInstances returns up to `limit` entries. Each call continues after the
// last instance of the previous call, so repeated calls cover all entries.
std::vector<ReportedInstance> ReportInstances(Registry& registry, size_t limit,
                                              TimePoint now);

// PeersFor returns the addresses of up to `limit` routers that the requester
// can poll: first those in its availability zone, then others in its region.
std::vector<net::SocketAddress> PeersFor(const Registry& registry,
                                         const Participant& requester,
                                         size_t limit, TimePoint now);

}  // namespace samphirebank::lease

#endif  // SAMPHIREBANK_LEASE_LEASE_H_
