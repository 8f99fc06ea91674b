// File: follow.h
//
// How an instance follows the coordinators: it polls each one it knows,
// starting from a few seeds, and merges what they say of targets into one
// directory. A coordinator answers with what changed since the last answer, and
// says which coordinators there are. Messages may be lost: the next poll asks
// again. No I/O.
//
// An instance is named by its IP number here, so that a name is enough to
// reach it.
//
// Example:
//
//   for (const InstanceId& to : TakeDuePolls(follower, now)) {
//     link.Send(AddressOf(to), wire::Encode(PollOf(follower, to, version)));
//   }
//   Merge(follower, from, update, directory, now);
#ifndef SAMPHIREBANK_FOLLOW_FOLLOW_H_
#define SAMPHIREBANK_FOLLOW_FOLLOW_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "samphirebank/base/base.h"
#include "samphirebank/directory/directory.h"
#include "samphirebank/routes/routes.h"

namespace samphirebank::wire {
enum class Kind : uint16_t;
}  // namespace samphirebank::wire

namespace samphirebank::follow {

// Poll asks a coordinator for what is new.
struct Poll {
  static constexpr wire::Kind kKind = static_cast<wire::Kind>(14);

  BootId coordinator_boot{};   // the run of the coordinator that was heard
  directory::Cursor cursor{};  // in that run's directory
  routes::TableVersion table_version{};  // that the asker has
  bool is_gateway = true;
  bool include_table = true;  // a newer table is to be sent to the asker

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(coordinator_boot, cursor, table_version, is_gateway, include_table);
  }
};

// Update is the answer.
struct Update {
  static constexpr wire::Kind kKind = static_cast<wire::Kind>(15);

  BootId coordinator_boot{};
  directory::Cursor cursor{};
  bool has_more = false;
  std::vector<directory::Announcement> announcements{};
  routes::TableVersion table_version{};  // in force at the coordinator
  ZoneId zone{};                         // of the coordinator
  RegionId region{};
  std::vector<InstanceId> members{};  // of the control group
  uint32_t num_gateways = 0;          // that follow this coordinator

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(coordinator_boot, cursor, has_more, announcements, table_version,
            zone, region, members, num_gateways);
  }
};

// TableUpdate carries a whole table.
struct TableUpdate {
  static constexpr wire::Kind kKind = static_cast<wire::Kind>(16);

  routes::RouteTable table{};

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(table);
  }
};

// kMostAnnouncements keeps an update within one datagram.
inline constexpr size_t kMaxAnnouncements = 10;

// Options of a follower.
struct Options {
  std::vector<InstanceId> seeds{};
  ZoneId zone{};  // of the instance that follows
  RegionId region{};
  // Tables come from the nearest coordinator, the first one from any of the
  // region. One that is told of and does not come within this time is taken
  // from any.
  Duration table_timeout = std::chrono::milliseconds(500);
  Duration poll_interval = std::chrono::milliseconds(400);
  // One that was never heard, or not lately, is asked less often.
  Duration unresponsive_poll_interval = std::chrono::milliseconds(1000);
  Duration response_timeout = std::chrono::seconds(3);
  // One that is neither a seed nor a member is forgotten after so long.
  Duration eviction_delay = std::chrono::seconds(30);
};

// Source is one coordinator as a follower knows it.
struct Source {
  BootId boot{};
  directory::Cursor cursor{};
  std::optional<TimePoint> last_seen{};
  TimePoint added_at{};
  TimePoint next_poll{};
  bool is_seed = false;
  ZoneId zone{};
  RegionId region{};
};

// Follower is what an instance knows of the coordinators.
struct Follower {
  Options options{};
  std::map<InstanceId, Source> sources{};
  uint32_t num_gateways = 0;  // as the coordinators count them
  // The newest table that a coordinator told of, and since when.
  routes::TableVersion newest_table_version{};
  TimePoint newest_table_at{};
};

// Start returns a follower that polls all seeds at once.
Follower Start(Options options, TimePoint now);

// TakeDuePolls returns whom to poll now.
std::vector<InstanceId> TakeDuePolls(Follower& follower, TimePoint now);

// PollOf returns the poll for one coordinator.
Poll BuildPoll(const Follower& follower, const InstanceId& to,
               routes::TableVersion table, TimePoint now);

// MergeResult is what an update brought.
struct MergeResult {
  std::vector<TargetId> added{};    // targets, or runs of them, that are new
  std::vector<TargetId> leaving{};  // targets that get no new work from now on
  bool has_more = false;            // there is more to ask for at once
};

// Merge takes an update in.
MergeResult Merge(Follower& follower, const InstanceId& from,
                  const Update& update, directory::Directory& directory,
                  TimePoint now);

// NearestHeard returns the coordinator heard lately that is nearest to the
// follower: in its zone, else in its region, else any; nothing if none was
// heard.
std::optional<InstanceId> NearestResponsive(const Follower& follower,
                                            TimePoint now);

// SilentFor is how long no coordinator was heard.
Duration TimeSinceLastUpdate(const Follower& follower, TimePoint now);

}  // namespace samphirebank::follow

#endif  // SAMPHIREBANK_FOLLOW_FOLLOW_H_
