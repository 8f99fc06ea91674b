// File: directory.h
//
// The directory of targets: which targets there are, by their own heartbeats,
// and which of them take new work. A control instance keeps one directory from
// heartbeats and hands its changes to the routers; a router merges what
// several control instances say into its own. No I/O.
//
// A target's runs are told apart by the wall time of their start (`born`), the
// heartbeats of one run by their number (`sequence`). What is older than what
// is known changes nothing.
//
// Example:
//
//   Hear(directory, announcement, now);
//   Changes changes = ChangesSince(directory, cursor, kMaxChanges);
//   Forget(directory, now);
#ifndef SAMPHIREBANK_DIRECTORY_DIRECTORY_H_
#define SAMPHIREBANK_DIRECTORY_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "samphirebank/base/base.h"
#include "samphirebank/net/net.h"

namespace samphirebank::directory {

// State says whether a target takes new work.
enum class State : uint8_t {
  kReady,
  kDraining,  // finishes what it has
  kGone,      // signed off, or its address has a newer owner
};

// Announcement is what a target says about itself.
struct Announcement {
  TargetId id{};
  ServiceId service{};
  net::SocketAddress address{};
  ZoneId zone{};
  uint32_t slots = 0;
  State state = State::kReady;
  int64_t started_at_ms = 0;  // wall time of this run's start, ms since 1970
  uint64_t sequence = 0;

  friend bool operator==(const Announcement&, const Announcement&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(id, service, address, zone, slots, state, started_at_ms, sequence);
  }
};

// Cursor is a position in one directory's changes.
using Cursor = StrongNumber<struct CursorTag, uint64_t>;

// Entry is one known target.
struct Entry {
  Announcement announcement{};
  TimePoint last_seen{};
  TimePoint published_at{};
  Cursor last_change{};
};

// Options of a directory.
struct Options {
  // A target unheard for this long is forgotten.
  Duration heartbeat_timeout = std::chrono::seconds(10);
  // An unchanged target is published again this often, as a sign of life.
  Duration refresh_interval = std::chrono::seconds(3);
  // How long one that is gone is remembered, against late heartbeats.
  Duration tombstone_ttl = std::chrono::seconds(60);
};

// Directory is all that is known of targets.
struct Directory {
  Options options{};
  std::map<TargetId, Entry> entries{};
  Cursor last_change{};
};

// Effect says what became of an announcement.
enum class Effect : uint8_t {
  kNew,      // a target, or a run of it, that was not known
  kChanged,  // its state, address or service changed
  kRenewed,  // a sign of life
  kStale,    // older than what is known; nothing changed
};

// Hear takes an announcement in.
Effect ApplyAnnouncement(Directory& directory, const Announcement& announcement,
                         TimePoint now);

// SignOff marks a target as gone. Returns whether it was known.
bool MarkGone(Directory& directory, const TargetId& id, TimePoint now);

// Forget drops the targets that fell silent and returns their ids.
std::vector<TargetId> EvictExpired(Directory& directory, TimePoint now);

// Changes are announcements in the order in which they changed.
struct Changes {
  Cursor cursor{};  // ask from here next
  bool has_more = false;
  std::vector<Announcement> announcements{};
};

// ChangesSince returns at most `most` changes after `cursor`.
Changes ChangesSince(const Directory& directory, Cursor cursor, size_t most);

// ReadyTargets returns the targets of a service that take new work, by id.
std::vector<const Announcement*> ReadyTargets(const Directory& directory,
                                              const ServiceId& service);

}  // namespace samphirebank::directory

#endif  // SAMPHIREBANK_DIRECTORY_DIRECTORY_H_
