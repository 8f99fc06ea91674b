// File: targets.h
//
// The registry of targets that announced themselves to this router: their
// announcements, heartbeats and load reports, and the states that the router
// forwards to the schedulers of their pools. No I/O.
//
// Example:
//
//   ParsedAnnouncement parsed = ParseAnnouncement(body);
//   if (parsed.findings.empty()) {
//     Announce(registry, parsed.announcement, wall_ms, now);
//   }
//   ReportLoad(registry, id, load, now);
//   for (const sharing::TargetState& state : TakeDueStates(registry, now)) {
//     Send(state);
//   }
#ifndef SAMPHIREBANK_TARGETS_TARGETS_H_
#define SAMPHIREBANK_TARGETS_TARGETS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "samphirebank/base/base.h"
#include "samphirebank/net/net.h"
#include "samphirebank/sharing/sharing.h"

namespace samphirebank::targets {

// ServiceOffer is one model or non-model service that a target serves.
struct ServiceOffer {
  ServiceId name;
  bool is_model = false;
  bool repeatable = false;  // running a call more than once is safe

  friend bool operator==(const ServiceOffer&, const ServiceOffer&) = default;
};

// Announcement is the self-description that a target registers with.
struct Announcement {
  TargetId id;
  RegionId region;
  ZoneId zone;
  net::SocketAddress address;
  std::vector<ServiceOffer> services;
  uint32_t slots = 0;  // maximum batch size in requests; 0 if not stated
  sharing::TargetTraits traits;
  // The interval at which the target repeats its announcement.
  Duration renew_interval = std::chrono::milliseconds(500);

  friend bool operator==(const Announcement&, const Announcement&) = default;
};

// ParsedAnnouncement is the result of ParseAnnouncement; the announcement is
// valid only if there are no findings.
struct ParsedAnnouncement {
  Announcement announcement;
  Findings findings;
};

// ParseAnnouncement parses a JSON announcement and reports all its faults
// together.
ParsedAnnouncement ParseAnnouncement(std::string_view text);

// Load is the number of requests that a target reports, by state.
struct Load {
  uint32_t running = 0;  // requests in its current batch
  uint32_t waiting = 0;  // requests accepted but not yet in the batch
};

// ParseLoad parses a JSON load report; returns nullopt if it is malformed.
std::optional<Load> ParseLoad(std::string_view text);

// TargetRecord is the registry's entry for one announced target.
struct TargetRecord {
  Announcement announcement;
  // Grows with each new or changed announcement of the target.
  uint64_t incarnation = 0;
  uint64_t sequence = 0;  // of the latest forwarded state
  Load load;
  TimePoint load_reported_at;
  TimePoint last_seen;  // latest announcement, load report or leave
  TimePoint forwarded_at;
  bool leaving = false;
  // The schedulers have to learn of a change without waiting for
  // Options::forward_interval.
  bool forward_now = true;
};

// Options sets the registry's intervals.
struct Options {
  // Minimum time between two forwarded states of an unchanged target.
  Duration forward_interval = std::chrono::milliseconds(400);
  // A target is evicted after this many of its own renew intervals without an
  // announcement or a load report.
  int max_missed_renewals = 3;
};

// Registry holds the targets announced to one router.
struct Registry {
  Options options;
  std::map<TargetId, TargetRecord> records;
};

// Announce adds a target, or renews one whose announcement is unchanged. A new
// or changed announcement, or one that follows MarkLeaving, starts a new
// incarnation, numbered by `wall_ms` or the previous number plus one, whichever
// is greater.
void Announce(Registry& registry, const Announcement& announcement,
              uint64_t wall_ms, TimePoint now);

// ReportLoad records a load report, which also renews the target. Returns false
// if the target is not registered and has to announce itself first.
bool ReportLoad(Registry& registry, const TargetId& target, const Load& load,
                TimePoint now);

// MarkLeaving records that a target accepts no new work. Returns false if the
// target is not registered.
bool MarkLeaving(Registry& registry, const TargetId& target, TimePoint now);

// TakeDueStates returns the states that are due to be forwarded to the
// schedulers, one per target and service, and marks them as forwarded. It also
// evicts targets that stopped renewing; nothing is forwarded for these, since
// the schedulers detect the loss by their own timeouts.
std::vector<sharing::TargetState> TakeDueStates(Registry& registry,
                                                TimePoint now);

}  // namespace samphirebank::targets

#endif  // SAMPHIREBANK_TARGETS_TARGETS_H_
