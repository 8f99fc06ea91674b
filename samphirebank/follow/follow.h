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

  BootId answerer{};             // the run of the coordinator that was heard
  directory::Cursor cursor{};    // in that run's directory
  routes::TableVersion table{};  // that the asker has
  bool is_gateway = true;
  bool takes_table = true;  // a newer table is to be sent to the asker

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(answerer, cursor, table, is_gateway, takes_table);
  }
};

// Update is the answer.
struct Update {
  static constexpr wire::Kind kKind = static_cast<wire::Kind>(15);

  BootId answerer{};
  directory::Cursor cursor{};
  bool more = false;
  std::vector<directory::Announcement> announcements{};
  routes::TableVersion table{};  // in force at the coordinator
  ZoneId zone{};                 // of the coordinator
  RegionId region{};
  std::vector<InstanceId> members{};  // of the control group
  uint32_t gateways = 0;              // that follow this coordinator

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(answerer, cursor, more, announcements, table, zone, region, members,
            gateways);
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
inline constexpr size_t kMostAnnouncements = 10;

// Options of a follower.
struct Options {
  std::vector<InstanceId> seeds{};
  ZoneId zone{};  // of the instance that follows
  RegionId region{};
  // Tables come from the nearest coordinator, the first one from any of the
  // region. One that is told of and does not come within this time is taken
  // from any.
  Duration table_patience = std::chrono::milliseconds(500);
  Duration poll_interval = std::chrono::milliseconds(400);
  // One that was never heard, or not lately, is asked less often.
  Duration search_interval = std::chrono::milliseconds(1000);
  Duration silence = std::chrono::seconds(3);
  // One that is neither a seed nor a member is forgotten after so long.
  Duration forget = std::chrono::seconds(30);
};

// Source is one coordinator as a follower knows it.
struct Source {
  BootId boot{};
  directory::Cursor cursor{};
  std::optional<TimePoint> heard_at{};
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
  uint32_t gateways = 0;  // as the coordinators count them
  // The newest table that a coordinator told of, and since when.
  routes::TableVersion newest_table{};
  TimePoint newest_table_at{};
};

// Start returns a follower that polls all seeds at once.
Follower Start(Options options, TimePoint now);

// TakeDuePolls returns whom to poll now.
std::vector<InstanceId> TakeDuePolls(Follower& follower, TimePoint now);

// PollOf returns the poll for one coordinator.
Poll PollOf(const Follower& follower, const InstanceId& to,
            routes::TableVersion table, TimePoint now);

// Heard is what an update brought.
struct Heard {
  std::vector<TargetId> arrived{};  // targets, or runs of them, that are new
  std::vector<TargetId> leaving{};  // targets that get no new work from now on
  bool poll_again = false;          // there is more to ask for at once
};

// Merge takes an update in.
Heard Merge(Follower& follower, const InstanceId& from, const Update& update,
            directory::Directory& directory, TimePoint now);

// NearestHeard returns the coordinator heard lately that is nearest to the
// follower: in its zone, else in its region, else any; nothing if none was
// heard.
std::optional<InstanceId> NearestHeard(const Follower& follower, TimePoint now);

// SilentFor is how long no coordinator was heard.
Duration SilentFor(const Follower& follower, TimePoint now);

}  // namespace samphirebank::follow

#endif  // SAMPHIREBANK_FOLLOW_FOLLOW_H_
