// File: lease.h
//
// Configuration leases: until when an instance may act on the configuration
// that it has, and how configuration and leases travel.
//
// A proof says: every change accepted before the proof's basis has at most the
// proof's revision. Only the control leader makes proofs, by confirming with a
// quorum that it still leads. Proofs are passed on by age: the asker takes the
// time of its question less the stated age as its own basis, so delay,
// freezing and relaying can only make a lease older. No clocks of two
// instances are compared.
//
// Example (a router, or a control follower):
//
//   Holder holder = MakeHolder({.self = self, .controls = controls, .seed =
//   7}); for (const OutgoingPoll& send : OnTimer(holder, now)) { ...send it...
//   } OnUpdate(holder, update, now);        // whenever an answer arrives if
//   (MayAct(holder, now)) { ...holder.history.configuration is in force... }
//
// Whoever answers polls keeps a Registry of who asked:
//
//   RecordPoll(registry, poll, now);
//   ConfigUpdate update = MakeUpdate(history, proof, poll, now);
//
// Nothing here is thread-safe, and nothing reads a clock.
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

// Role says what an instance does.
enum class Role : uint8_t { kRouter, kControl };

// Participant describes an instance to others.
struct Participant {
  InstanceId instance;
  BootId boot;
  RegionId region;
  ZoneId zone;
  net::SocketAddress address;  // its peer address
  Role role = Role::kRouter;
  bool draining = false;       // it is shutting down and takes no duties
  uint16_t operator_port = 0;  // of a control instance

  friend bool operator==(const Participant&, const Participant&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(instance, boot, region, zone, address, role, draining,
            operator_port);
  }
};

// ReportedInstance is an instance that asked for configuration, with what it
// told about itself.
struct ReportedInstance {
  Participant participant;
  int64_t age_ns = 0;  // since it was heard
  Revision revision;   // that it had
  int64_t lease_left_ns = 0;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(participant, age_ns, revision, lease_left_ns);
  }
};

// ConfigPoll asks for a lease and for what changed.
struct ConfigPoll {
  static constexpr wire::Kind kKind = wire::Kind::kConfigPoll;
  uint64_t nonce = 0;
  Participant requester;
  Revision revision;
  int64_t lease_left_ns = 0;
  // copy_after asks for the piece of a snapshot that follows this
  // organisation; an empty identifier asks for the first piece.
  std::optional<OrganisationId> copy_after;
  bool include_peers = false;
  std::vector<ReportedInstance> instances;  // from a control follower

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(nonce, requester, revision, lease_left_ns, copy_after,
            include_peers, instances);
  }
};

// SnapshotPiece holds the contracts between two organisations as they were at
// one revision. Only the first piece holds targets and pools.
struct SnapshotPiece {
  Revision revision;
  OrganisationId after;  // as asked
  std::vector<contracts::Versioned<contracts::Contract>> contracts;
  std::map<TargetId, contracts::Versioned<contracts::TargetIntent>> targets;
  std::map<PoolId, contracts::Versioned<contracts::SchedulerAssignment>> pools;
  bool last = false;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(revision, after, contracts, targets, pools, last);
  }
};

// ConfigUpdate answers a ConfigPoll.
struct ConfigUpdate {
  static constexpr wire::Kind kKind = wire::Kind::kConfigUpdate;
  uint64_t nonce = 0;
  RegionId region;  // of who answers
  ZoneId zone;
  std::optional<int64_t> lease_age_ns;  // of the proof; nothing without one
  Revision proof_revision;              // the proof's revision
  int64_t lease_duration_ns = 0;        // Parameters::length of the answerer
  Revision revision;                    // that the answerer has
  std::vector<contracts::Change> changes;
  std::optional<SnapshotPiece> piece;
  std::optional<net::SocketAddress> leader;           // peer address, if known
  std::optional<net::SocketAddress> leader_operator;  // operators' address
  std::vector<net::SocketAddress> peers;  // routers that may be asked

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(nonce, region, zone, lease_age_ns, proof_revision,
            lease_duration_ns, revision, changes, piece, leader,
            leader_operator, peers);
  }
};

// Proof says that each change accepted before `basis`, a time of this process,
// has at most `revision`.
struct Proof {
  TimePoint basis;
  Revision revision;

  friend bool operator==(const Proof&, const Proof&) = default;
};

// Parameters are the spans that all instances of a fleet share. A holder never
// uses a longer lease than whoever answers it.
struct Parameters {
  Duration lease_duration = std::chrono::seconds(3);
  // Two clocks drift apart by at most this much, in parts per million.
  int64_t drift_ppm = 1000;
};

// Stretch lengthens a span by the drift allowance.
Duration AddDriftMargin(const Parameters& parameters, Duration span);

// InForceAfter is how long after its acceptance a change is in force
// everywhere, by the clock of the leader that accepted it.
Duration InForceAfter(const Parameters& parameters);

// ControlSeed is a control instance that may be asked.
struct ControlSeed {
  net::SocketAddress address;
  RegionId region;  // empty until it is known
  ZoneId zone;      // empty until it is known
};

// HolderOptions says who a holder is and whom it may ask.
struct HolderOptions {
  Participant self;
  std::vector<ControlSeed> controls;  // without itself
  Parameters parameters;
  Duration poll_interval = std::chrono::seconds(1);
  Duration response_timeout = std::chrono::milliseconds(300);
  Duration copy_interval = std::chrono::milliseconds(20);  // between two pieces
  Duration prefer_nearest_interval = std::chrono::seconds(30);
  uint64_t seed = 0;
};

// Holder is the state of an instance that acts under leases.
struct Holder {
  // PendingPoll is a poll without an answer.
  struct PendingPoll {
    TimePoint sent_at;
    net::SocketAddress to;
  };
  // SnapshotCopy is a snapshot being fetched piece by piece, maybe from
  // several instances. Once `complete` it still needs the changes up to
  // `newest`.
  struct SnapshotCopy {
    contracts::History staged;
    Revision oldest_revision;
    Revision newest_revision;
    OrganisationId after;
    bool complete = false;
  };

  HolderOptions options;
  contracts::History history;
  std::optional<Proof>
      satisfied_proof;                 // the newest one that history satisfies
  std::optional<Proof> pending_proof;  // a newer one whose changes are missing
  std::optional<SnapshotCopy> copy;
  std::optional<net::SocketAddress> leader;
  std::optional<net::SocketAddress> leader_operator;
  std::vector<net::SocketAddress> peers;
  std::map<uint64_t, PendingPoll> pending_polls;  // by nonce
  uint64_t next_nonce = 0;
  size_t candidate_index = 0;  // whom to ask: 0 is the nearest
  TimePoint next_poll_at;
  TimePoint next_nearest_at;
};

// OutgoingPoll is a poll to be sent.
struct OutgoingPoll {
  net::SocketAddress to;
  ConfigPoll poll;
};

// MakeHolder starts without configuration and without a lease. The boot id of
// `options.self` has to differ from those of earlier runs.
Holder MakeHolder(HolderOptions options);

// OnTimer returns the polls that are due. Send them at once: the lease counts
// from `now`. Call it at least every 50 ms.
std::vector<OutgoingPoll> OnTimer(Holder& holder, TimePoint now);

// OnUpdate takes an answer in. Answers to unknown or already answered polls
// change nothing. Returns whether the configuration changed.
bool OnUpdate(Holder& holder, const ConfigUpdate& update, TimePoint now);

// AdoptProof takes over a proof that is known without asking, as on a leader.
void AdoptProof(Holder& holder, const Proof& proof);

// LeaseLeft is how long the holder may still act; zero if it may not.
Duration LeaseLeft(const Holder& holder, TimePoint now);

// MayAct tells whether the holder may act on its configuration. Ask right
// before each act.
bool MayAct(const Holder& holder, TimePoint now);

// Answer returns the answer to a poll from what the answerer has. `proof` is
// passed on only if `history` satisfies it.
ConfigUpdate MakeUpdate(const contracts::History& history,
                        const std::optional<Proof>& proof,
                        const Parameters& parameters, const ConfigPoll& poll,
                        TimePoint now);

// PieceLimit paces the snapshot pieces that one answerer hands out, so that
// many routers that start at once do not keep it from its other work.
struct PieceLimit {
  Duration interval =
      std::chrono::milliseconds(1);                // between pieces, on average
  Duration burst = std::chrono::milliseconds(20);  // of time saved up
  TimePoint next_allowed;
};

// Pace turns a poll that is due a piece, while none may be handed out, into one
// for the lease alone; the asker tries again after its copy gap.
void ApplyPieceLimit(PieceLimit& limit, const contracts::History& history,
                     ConfigPoll& poll, TimePoint now);

// Registry remembers who asked, for the answerer's status and as hints.
struct Registry {
  struct Entry {
    Participant participant;
    TimePoint last_seen;
    Revision revision;
    Duration lease_left{0};
  };
  std::map<InstanceId, Entry> entries;
  InstanceId last_reported;  // the last one that Report returned
};

// kEntryTtl is how long an instance stays in a Registry unheard.
inline constexpr Duration kEntryTtl = std::chrono::minutes(2);

// Hear notes the asker and those whom it heard.
void RecordPoll(Registry& registry, const ConfigPoll& poll, TimePoint now);

// Forget drops those unheard for kEntryTtl.
void EvictStaleEntries(Registry& registry, TimePoint now);

// Report returns up to `limit` heard instances in turn, so that repeated calls
// cover all.
std::vector<ReportedInstance> ReportInstances(Registry& registry, size_t limit,
                                              TimePoint now);

// PeersFor returns up to `limit` routers that the asker may poll: those of its
// availability zone first, then those of its region.
std::vector<net::SocketAddress> PeersFor(const Registry& registry,
                                         const Participant& requester,
                                         size_t limit, TimePoint now);

}  // namespace samphirebank::lease

#endif  // SAMPHIREBANK_LEASE_LEASE_H_
