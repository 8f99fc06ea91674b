// File: targets.h
//
// The targets that announced themselves to this router: their announcements,
// heartbeats and load reports, and what of it goes to the schedulers of their
// pools. No I/O.
//
// Example:
//
//   ParsedAnnouncement read = ParseAnnouncement(body);
//   if (read.findings.empty()) Announce(registry, read.announcement, wall,
//   now); ReportLoad(registry, id, load, now); for (const sharing::TargetState&
//   state : TakeDueStates(registry, now)) Send(state);
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

// ServiceOffer is one model or plain service of a target.
struct ServiceOffer {
  ServiceId name;
  bool model = false;
  bool repeatable = false;  // its calls may run more than once

  friend bool operator==(const ServiceOffer&, const ServiceOffer&) = default;
};

// Announcement is what a target says about itself.
struct Announcement {
  TargetId id;
  RegionId region;
  ZoneId zone;
  net::SocketAddress address;
  std::vector<ServiceOffer> services;
  uint32_t slots = 0;  // requests it batches; 0: not stated
  sharing::TargetTraits traits;
  Duration renew = std::chrono::milliseconds(500);

  friend bool operator==(const Announcement&, const Announcement&) = default;
};

// ParsedAnnouncement is an announcement or what is wrong with it.
struct ParsedAnnouncement {
  Announcement announcement;
  Findings findings;
};

// ParseAnnouncement reads JSON and reports all faults together.
ParsedAnnouncement ParseAnnouncement(std::string_view text);

// Load is a target's own reading of its work.
struct Load {
  uint32_t running = 0;  // requests in its batch
  uint32_t waiting = 0;  // requests admitted but not in its batch
};

// ParseLoad reads JSON; nothing when malformed.
std::optional<Load> ParseLoad(std::string_view text);

// Record is one announced target.
struct Record {
  Announcement announcement;
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  Load load;
  TimePoint load_at;
  TimePoint heard_at;
  TimePoint forwarded_at;
  bool leaving = false;
  bool news = true;  // something that its schedulers should hear at once
};

// Options bounds the registry's pace.
struct Options {
  // A heard target is forwarded at least this often.
  Duration forward_interval = std::chrono::milliseconds(400);
  // A target unheard for this many of its own renew intervals is dropped.
  int missed_renewals = 3;
};

// Registry holds the targets announced to one router.
struct Registry {
  Options options;
  std::map<TargetId, Record> records;
};

// Announce adds a target, or renews one that announced the same before.
// `wall_ms` numbers the incarnation of a new or changed announcement.
void Announce(Registry& registry, const Announcement& announcement,
              uint64_t wall_ms, TimePoint now);

// ReportLoad takes a load report, which also renews; false if the target is
// not known here and has to announce itself.
bool ReportLoad(Registry& registry, const TargetId& target, const Load& load,
                TimePoint now);

// MarkLeaving notes that a target takes no new work; false if it is not known
// here.
bool MarkLeaving(Registry& registry, const TargetId& target, TimePoint now);

// TakeDueStates returns what the schedulers should hear now, one state a
// service. Targets that stopped renewing are dropped silently: their schedulers
// suspect them by themselves.
std::vector<sharing::TargetState> TakeDueStates(Registry& registry,
                                                TimePoint now);

}  // namespace samphirebank::targets

#endif  // SAMPHIREBANK_TARGETS_TARGETS_H_
