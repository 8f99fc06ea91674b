// File: follow.h
//
// How an instance follows the coordinators: it polls every coordinator it
// knows, starting from configured seeds, and merges the target announcements
// it receives into one directory. The response of a coordinator contains the
// changes since its previous response and the members of the control group.
// Messages may be lost; the next poll repeats the request. No I/O.
//
// An InstanceId is an IP address here, so that a peer can be reached without
// another lookup.
//
// Example:
//
//   for (const InstanceId& to : TakeDuePolls(follower, now)) {
//     link.Send(AddressOf(to), wire::Encode(BuildPoll(follower, to, now)));
//   }
//   Merge(follower, from, update, directory, now);
//   RecordInstalledTable(follower, from, table.version, now);
#ifndef SAMPHIREBANK_FOLLOW_FOLLOW_H_
#define SAMPHIREBANK_FOLLOW_FOLLOW_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "samphirebank/base/base.h"
#include "samphirebank/directory/directory.h"
#include "samphirebank/evacuation/evacuation.h"
#include "samphirebank/routes/routes.h"

namespace samphirebank::wire {
enum class Kind : uint16_t;
}  // namespace samphirebank::wire

namespace samphirebank::follow {

// Poll requests the changes since `position` from a coordinator.
struct Poll {
  static constexpr wire::Kind kKind = static_cast<wire::Kind>(14);

  BootId coordinator_boot{};             // of the coordinator's newest update
  directory::Position position{};        // in the directory of that boot
  routes::TableVersion table_version{};  // of the sender
  bool is_gateway = true;
  bool include_table = true;  // the coordinator should send a newer table
  uint64_t sent_ms = 0;       // by the sender's steady clock

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(coordinator_boot, position, table_version, is_gateway,
            include_table, sent_ms);
  }
};

// Update is a coordinator's response to a Poll.
struct Update {
  static constexpr wire::Kind kKind = static_cast<wire::Kind>(15);

  BootId coordinator_boot{};
  directory::Position since{};  // the changes after this position are listed
  directory::Position until{};  // where the next poll continues
  bool has_more = false;        // further changes follow after `until`
  std::vector<directory::Announcement> announcements{};
  std::vector<directory::RunHash> renewed{};
  routes::TableVersion table_version{};  // in force at the coordinator
  ZoneId zone{};                         // of the coordinator
  RegionId region{};                     // of the coordinator
  std::vector<InstanceId> members{};     // of the control group
  uint32_t num_gateways = 0;             // that poll this coordinator
  evacuation::Evacuations evacuations{};
  uint64_t poll_sent_ms = 0;  // Poll::sent_ms of the follower's newest poll

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(coordinator_boot, since, until, has_more, announcements, renewed,
            table_version, zone, region, members, num_gateways, evacuations,
            poll_sent_ms);
  }
};

// TableUpdate carries a whole route table.
struct TableUpdate {
  static constexpr wire::Kind kKind = static_cast<wire::Kind>(16);

  routes::RouteTable table{};

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(table);
  }
};

// kMaxAnnouncements is the number of announcements that fit into one update,
// which has to fit into one datagram. A larger update takes a connection, of
// which few are open at once, and delays the route tables behind it.
inline constexpr size_t kMaxAnnouncements = 7;

// Options sets which coordinators a follower polls first, how often it polls
// them, and when it evicts one.
struct Options {
  std::vector<InstanceId> seeds{};
  InstanceId self{};
  ZoneId zone{};      // of this instance
  RegionId region{};  // of this instance
  // Route tables are requested from the nearest coordinator, the first one
  // from any coordinator of the region. If a newer table was announced but not
  // received within this time, it is requested from the nearest coordinator
  // that announced it, and after twice this time from any coordinator. Further
  // versions that are announced meanwhile do not extend these times.
  Duration table_timeout = std::chrono::milliseconds(500);
  Duration poll_interval = std::chrono::milliseconds(400);
  // Poll interval for coordinators without an update within response_timeout.
  Duration unresponsive_poll_interval = std::chrono::milliseconds(1000);
  Duration response_timeout = std::chrono::seconds(3);
  // A coordinator that is not a seed is removed after this time without an
  // update from it. If it still is a member of the control group, the next
  // update of another coordinator adds it again.
  Duration eviction_delay = std::chrono::seconds(30);
  // A coordinator that renews a run unknown here is asked for all its targets
  // again, at most once in this time.
  Duration resync_interval = std::chrono::seconds(5);
  // A coordinator's state is up to date for this time. Less than a target takes
  // to start again.
  Duration max_state_age = std::chrono::milliseconds(1500);
};

// Source is a follower's record of one coordinator.
struct Source {
  BootId boot{};
  directory::Position position{};        // in the directory of `boot`
  std::optional<TimePoint> last_seen{};  // when its newest update was received
  // All that it knew at this time is known here.
  std::optional<TimePoint> known_until{};
  TimePoint added_at{};
  TimePoint next_poll{};
  bool is_seed = false;
  ZoneId zone{};
  RegionId region{};
  routes::TableVersion table_version{};  // the newest one that it has announced
  std::optional<TimePoint> resynced_at{};  // when all targets were asked for
};

// AnnouncedTable is a table version and when a coordinator first announced it.
struct AnnouncedTable {
  routes::TableVersion version{};
  TimePoint announced_at{};
};

// Follower is the state of one instance that follows the coordinators.
struct Follower {
  Options options{};
  std::map<InstanceId, Source> sources{};
  uint32_t num_gateways = 0;  // as reported by the newest update, at least 1
  evacuation::Evacuations evacuations{};  // the newest ones heard of
  routes::TableVersion installed{};       // the newest one in use here
  AnnouncedTable newest{};
  // The version whose arrival is timed. It stays the same until the instance
  // has that version or a newer one, however many are announced meanwhile.
  AnnouncedTable awaited{};
};

// Start returns a follower whose polls to all seeds are due at once.
Follower Start(Options options, TimePoint now);

// TakeDuePolls returns the coordinators to poll now and schedules their next
// polls. It also removes coordinators past options.eviction_delay.
std::vector<InstanceId> TakeDuePolls(Follower& follower, TimePoint now);

// BuildPoll returns the poll for the coordinator `to`.
Poll BuildPoll(const Follower& follower, const InstanceId& to, TimePoint now);

// MergeResult lists what an update changed in the directory.
struct MergeResult {
  std::vector<TargetId> added{};    // new targets, or new runs of targets
  std::vector<TargetId> leaving{};  // targets that no longer accept new work
  evacuation::Changes zones{};
  bool has_more = false;  // poll the same coordinator again at once
};

// Merge applies an update to the follower and the directory.
MergeResult Merge(Follower& follower, const InstanceId& from,
                  const Update& update, directory::Directory& directory,
                  TimePoint now);

// RecordInstalledTable records that this instance now uses the table of
// `version`, which the coordinator `from` sent. Returns for how long a newer
// table than the one before had been announced; zero if this one was the first
// to be heard of.
Duration RecordInstalledTable(Follower& follower, const InstanceId& from,
                              routes::TableVersion version, TimePoint now);

// NearestResponsive returns the nearest coordinator with an update within
// options.response_timeout: one in the same zone, else one in the same region,
// else any other; nullopt if there is none.
std::optional<InstanceId> NearestResponsive(const Follower& follower,
                                            TimePoint now);

// Responsive returns all coordinators with an update within
// options.response_timeout.
std::vector<InstanceId> Responsive(const Follower& follower, TimePoint now);

// IsInStep returns whether what this instance knows is up to date with more
// than half of the coordinators that it has heard of within eviction_delay. An
// update that has waited unread says nothing of the time since its poll.
bool IsInStep(const Follower& follower, TimePoint now);

// TimeSinceLastUpdate returns the time since the newest update of any
// coordinator. A coordinator without an update counts from when it was added.
Duration TimeSinceLastUpdate(const Follower& follower, TimePoint now);

}  // namespace samphirebank::follow

#endif  // SAMPHIREBANK_FOLLOW_FOLLOW_H_
