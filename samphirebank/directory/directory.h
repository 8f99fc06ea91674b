// File: directory.h
//
// The directory of targets: which targets exist, as reported by their own
// heartbeats, and which of them accept new work. A control instance builds its
// directory from heartbeats and distributes the changes to the routers; a
// router merges the changes received from several control instances into a
// directory of its own. No I/O.
//
// The runs of a target are ordered by the wall time at which they started
// (`started_at_ms`), and the announcements of one run by their state, which
// only moves forward, and then by the number of the heartbeat (`sequence`). An
// announcement older than the recorded one is ignored. So a run that one
// coordinator knows to be gone is gone for all who hear of it.
//
// Example:
//
//   ApplyAnnouncement(directory, announcement, now);
//   Changes changes = ChangesSince(directory, position, kMaxChanges);
//   EvictExpired(directory, now);
#ifndef SAMPHIREBANK_DIRECTORY_DIRECTORY_H_
#define SAMPHIREBANK_DIRECTORY_DIRECTORY_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "samphirebank/base/base.h"
#include "samphirebank/net/net.h"

namespace samphirebank::directory {

// State says whether a target accepts new work.
enum class State : uint8_t {
  kReady,
  kDraining,  // accepts no new work, finishes the requests it has
  kGone,      // signed off, or a later run of another target has its address
};

// SoftwareVersion names the version of a target's software. Versions have no
// order.
using SoftwareVersion = StrongText<struct SoftwareVersionTag>;

// Announcement is the state that a target reports about itself.
struct Announcement {
  TargetId id{};
  ServiceId service{};
  net::SocketAddress address{};
  ZoneId zone{};
  SoftwareVersion software{};
  uint32_t slots = 0;  // requests that the target runs concurrently
  State state = State::kReady;
  int64_t started_at_ms = 0;  // wall time of this run's start, ms since 1970
  uint64_t sequence = 0;      // number of the heartbeat within this run
  // How long the target stays cold, as it said when it sent the heartbeat.
  std::chrono::milliseconds cold_remaining{};

  friend bool operator==(const Announcement&, const Announcement&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    // Short, since announcements share a datagram; 49 days at most.
    constexpr int64_t kMaxColdMs = std::numeric_limits<uint32_t>::max();
    auto cold_ms = static_cast<uint32_t>(
        std::clamp<int64_t>(this->cold_remaining.count(), 0, kMaxColdMs));
    archive(id, service, address, zone, software, slots, state, started_at_ms,
            sequence, cold_ms);
    this->cold_remaining = std::chrono::milliseconds(cold_ms);
  }
};

// Cursor is a position in the sequence of changes of one directory.
using Cursor = StrongNumber<struct CursorTag, uint64_t>;

// Position is how far a follower has copied a directory. Renewals are counted
// apart: a copy takes several batches, and a target that is renewed meanwhile
// keeps its place among those whose state is still to be sent.
struct Position {
  Cursor states{};    // the changes of state up to it were received
  Cursor renewals{};  // likewise the renewals

  friend bool operator==(const Position&, const Position&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(states, renewals);
  }
};

// RunHash identifies a run of a target in an update that only renews it.
using RunHash = uint32_t;
// HashRun returns the hash of an announcement's run, the same on every
// instance.
RunHash HashRun(const Announcement& announcement);

// Entry is the record of one target.
struct Entry {
  Announcement announcement{};
  TimePoint run_seen_at{};   // when this run was first heard of
  TimePoint last_seen{};     // when the newest announcement was received
  TimePoint published_at{};  // when the entry last became a new change
  TimePoint published_cold_until{};  // when the target is warm, by that change
  Cursor last_change{};  // position of that change, which may be a renewal
  Cursor last_state_change{};  // position of the newest other change
};

// Options sets when a target is evicted or published again, and how long its
// tombstone is kept.
struct Options {
  // A target is evicted if no announcement was received for this long.
  Duration heartbeat_timeout = std::chrono::seconds(10);
  // An unchanged target is published as renewed at this interval, so that
  // routers see that it is still alive.
  Duration refresh_interval = std::chrono::seconds(3);
  // How long the entry of a target that is gone is kept as a tombstone, so
  // that late heartbeats of the same run are recognized and ignored.
  Duration tombstone_ttl = std::chrono::seconds(60);
};

// Directory is the set of known targets.
struct Directory {
  Options options{};
  std::map<TargetId, Entry> entries{};
  Cursor last_change{};  // position of the newest change
  // Indexes of `entries`, which only the functions below change. A coordinator
  // searches them for each heartbeat and for each update that it sends.
  std::map<Cursor, TargetId> by_change{};
  std::map<Cursor, TargetId> by_state_change{};
  std::map<net::SocketAddress, std::set<TargetId>> by_address{};
  std::unordered_map<RunHash, TargetId> by_run{};
};

// Effect is what an announcement changed in the directory.
enum class Effect : uint8_t {
  kNew,      // a target, or a run of it, that was not known
  kChanged,  // its state, address, service or another field changed
  kRenewed,  // nothing changed but `sequence` and the time last seen
  kStale,    // older than the recorded state; ignored
};

// ApplyAnnouncement records an announcement, unless it is older than the
// recorded one or its address has been taken over by a later run of another
// target. Earlier runs of other targets at the same address become kGone.
Effect ApplyAnnouncement(Directory& directory, const Announcement& announcement,
                         TimePoint now);

// Renew records that a run is still alive. Returns whether it is known.
bool Renew(Directory& directory, RunHash run, TimePoint now);

// MarkGone sets a target's state to kGone. Returns whether it was known.
bool MarkGone(Directory& directory, const TargetId& id, TimePoint now);

// EvictExpired removes the targets whose heartbeats stopped and the tombstones
// past their TTL. Returns the ids of the former only.
std::vector<TargetId> EvictExpired(Directory& directory, TimePoint now);

// kRenewalsPerAnnouncement is how many renewals take the space of one
// announcement in a message.
inline constexpr size_t kRenewalsPerAnnouncement = 27;

// Changes is one batch of changes, ordered by their position.
struct Changes {
  Position until{};       // of the follower that has received them
  bool has_more = false;  // further changes follow after `until`
  std::vector<Announcement> announcements{};
  std::vector<RunHash> renewed{};  // runs that are alive and did not change
};

// ChangesSince returns the changes after `since` that take the space of
// `max_announcements` at most: first the targets whose state changed, in full,
// then the renewals of those whose state the follower knows.
Changes ChangesSince(const Directory& directory, const Position& since,
                     size_t max_announcements);

// ReadyTargets returns the targets of a service that accept new work, ordered
// by id. The pointers are valid until the directory changes.
std::vector<const Announcement*> ReadyTargets(const Directory& directory,
                                              const ServiceId& service);

}  // namespace samphirebank::directory

#endif  // SAMPHIREBANK_DIRECTORY_DIRECTORY_H_
