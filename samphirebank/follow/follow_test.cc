#include "samphirebank/follow/follow.h"

#include <doctest/doctest.h>

#include <map>
#include <string>

#include "samphirebank/net/net.h"
#include "samphirebank/wire/wire.h"

namespace samphirebank::follow {
namespace {

using directory::Announcement;
using directory::Cursor;
using directory::Directory;
using directory::State;
using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(100)};
const InstanceId kSeed("10.0.0.1");
const InstanceId kOther("10.0.0.2");

Follower OneSeed() { return Start({.seeds = {kSeed}}, kStart); }

// At returns the position of a follower that has all changes up to `cursor`.
directory::Position At(uint64_t cursor) {
  return {.states = Cursor(cursor), .renewals = Cursor(cursor)};
}

Announcement MakeReady(const std::string& id) {
  return {.id = TargetId(id),
          .service = ServiceId("a"),
          .address = {.ip = "10.9.0.1", .port = 80},
          .started_at_ms = 5,
          .sequence = 1};
}

TEST_CASE("seeds are polled at once, and then at their poll interval") {
  Follower follower = OneSeed();
  Directory directory;
  CHECK(TakeDuePolls(follower, kStart).size() == 1);
  CHECK(TakeDuePolls(follower, kStart + milliseconds(500)).empty());
  Merge(follower, kSeed, {.coordinator_boot = BootId(1)}, directory, kStart);
  const TimePoint later = kStart + follower.options.unresponsive_poll_interval;
  CHECK(TakeDuePolls(follower, later).size() == 1);
  CHECK(TakeDuePolls(follower, later + milliseconds(400)).size() == 1);
}

TEST_CASE("the members listed in an update are polled too") {
  Follower follower = OneSeed();
  Directory directory;
  TakeDuePolls(follower, kStart);
  Merge(follower, kSeed,
        {.coordinator_boot = BootId(1), .members = {kSeed, kOther}}, directory,
        kStart);
  CHECK(TakeDuePolls(follower, kStart) == std::vector<InstanceId>{kOther});
}

TEST_CASE("a member without updates is removed, a seed is not") {
  Follower follower = OneSeed();
  Directory directory;
  Merge(follower, kSeed, {.coordinator_boot = BootId(1), .members = {kOther}},
        directory, kStart);
  TakeDuePolls(follower, kStart + seconds(60));
  CHECK(follower.sources.size() == 1);
  CHECK(follower.sources.contains(kSeed));
}

TEST_CASE("the next poll continues at the cursor of the last update") {
  Follower follower = OneSeed();
  Directory directory;
  Merge(follower, kSeed, {.coordinator_boot = BootId(1), .until = At(9)},
        directory, kStart);
  Merge(follower, kSeed, {.coordinator_boot = BootId(1), .until = At(4)},
        directory, kStart);
  CHECK(BuildPoll(follower, kSeed, kStart).position == At(9));
  Merge(follower, kSeed, {.coordinator_boot = BootId(2), .until = At(3)},
        directory, kStart);
  CHECK(BuildPoll(follower, kSeed, kStart).position == At(3));
  CHECK(BuildPoll(follower, kSeed, kStart).coordinator_boot == BootId(2));
}

TEST_CASE("a target that one coordinator reports as leaving leaves for all") {
  Follower follower = OneSeed();
  Directory directory;
  const MergeResult first = Merge(
      follower, kSeed, {.announcements = {MakeReady("t")}}, directory, kStart);
  CHECK(first.added.size() == 1);
  Announcement leaving = MakeReady("t");
  leaving.state = State::kDraining;
  leaving.sequence = 2;
  CHECK(Merge(follower, kOther, {.announcements = {leaving}}, directory, kStart)
            .leaving.size() == 1);
  // The first coordinator still announces the older state.
  Merge(follower, kSeed, {.announcements = {MakeReady("t")}}, directory,
        kStart);
  CHECK(directory::ReadyTargets(directory, ServiceId("a")).empty());
}

// SouthFollower returns a follower in zone "a" of the region "south".
Follower SouthFollower() {
  return Start(
      {.seeds = {kSeed}, .zone = ZoneId("a"), .region = RegionId("south")},
      kStart);
}

const Update kOtherRegionUpdate{.zone = ZoneId("b"),
                                .region = RegionId("north")};
const Update kSameRegionUpdate{.zone = ZoneId("c"),
                               .region = RegionId("south")};

TEST_CASE("the nearest coordinator is one with a recent update") {
  Follower follower = SouthFollower();
  Directory directory;
  CHECK_FALSE(NearestResponsive(follower, kStart));
  Merge(follower, kSeed, kOtherRegionUpdate, directory, kStart);
  CHECK(NearestResponsive(follower, kStart) == kSeed);
  Merge(follower, kOther, kSameRegionUpdate, directory, kStart);
  CHECK(NearestResponsive(follower, kStart) == kOther);
  const TimePoint later = kStart + follower.options.response_timeout;
  Merge(follower, kSeed, kOtherRegionUpdate, directory, later);
  CHECK(NearestResponsive(follower, later) == kSeed);
}

TEST_CASE("a table is requested from the nearest coordinator only") {
  Follower follower = SouthFollower();
  Directory directory;
  // Before the first update, any coordinator may send a table.
  CHECK(BuildPoll(follower, kSeed, kStart).include_table);
  CHECK(BuildPoll(follower, kOther, kStart).include_table);
  Merge(follower, kSeed, kOtherRegionUpdate, directory, kStart);
  Merge(follower, kOther, kSameRegionUpdate, directory, kStart);
  CHECK_FALSE(BuildPoll(follower, kSeed, kStart).include_table);
  CHECK(BuildPoll(follower, kOther, kStart).include_table);
}

TEST_CASE("the first table is requested from any coordinator of the region") {
  const InstanceId remote("10.0.0.7");
  Follower follower = SouthFollower();
  Directory directory;
  Update same_zone = kSameRegionUpdate;
  same_zone.zone = follower.options.zone;
  Merge(follower, kSeed, same_zone, directory, kStart);
  Merge(follower, kOther, kSameRegionUpdate, directory, kStart);
  Merge(follower, remote, kOtherRegionUpdate, directory, kStart);
  REQUIRE(NearestResponsive(follower, kStart) == kSeed);
  CHECK(BuildPoll(follower, kOther, kStart).include_table);
  CHECK_FALSE(BuildPoll(follower, remote, kStart).include_table);
  RecordInstalledTable(follower, kSeed, routes::TableVersion(4), kStart);
  CHECK_FALSE(BuildPoll(follower, kOther, kStart).include_table);
}

// Announcing returns an update of a coordinator in `zone` of the follower's
// region that announces a table version.
Update Announcing(uint64_t version, const std::string& zone) {
  return {.table_version = routes::TableVersion(version),
          .zone = ZoneId(zone),
          .region = RegionId("south")};
}

TEST_CASE(
    "a table that is not received in time is requested from any coordinator") {
  const InstanceId remote("10.0.0.7");
  Follower follower = SouthFollower();
  Directory directory;
  RecordInstalledTable(follower, kOther, routes::TableVersion(4), kStart);
  Merge(follower, kOther, Announcing(5, "c"), directory, kStart);
  Update newer = kOtherRegionUpdate;
  newer.table_version = routes::TableVersion(5);
  Merge(follower, remote, newer, directory, kStart);
  const TimePoint due = kStart + 2 * follower.options.table_timeout;
  const auto before = due - milliseconds(1);
  CHECK_FALSE(BuildPoll(follower, remote, before).include_table);
  CHECK(BuildPoll(follower, remote, due).include_table);
  RecordInstalledTable(follower, kOther, newer.table_version, due);
  CHECK_FALSE(BuildPoll(follower, remote, due).include_table);
}

// Guards against a follower that keeps its old table for as long as changes
// come: each newer version restarted the time after which it no longer waits
// for the nearest coordinator, which responds but is cut off from the others.
TEST_CASE("further versions do not extend the wait for an overdue table") {
  for (const milliseconds gap : {milliseconds(40), milliseconds(330)}) {
    CAPTURE(gap.count());
    Follower follower = SouthFollower();
    Directory directory;
    Merge(follower, kSeed, Announcing(1, "a"), directory, kStart);
    RecordInstalledTable(follower, kSeed, routes::TableVersion(1), kStart);
    const TimePoint due = kStart + follower.options.table_timeout;
    uint64_t version = 1;
    TimePoint now = kStart;
    for (; now < due; now += gap) {
      CHECK_FALSE(BuildPoll(follower, kOther, now).include_table);
      Merge(follower, kOther, Announcing(++version, "b"), directory, now);
      Merge(follower, kSeed, Announcing(1, "a"), directory, now);
    }
    CHECK(BuildPoll(follower, kOther, due).include_table);
    CHECK_FALSE(BuildPoll(follower, kSeed, due).include_table);
  }
}

// Guards against a wait of table_timeout for every version, while the nearest
// coordinator is known to be behind.
TEST_CASE(
    "a coordinator that is behind is not asked for tables until it is not") {
  Follower follower = SouthFollower();
  Directory directory;
  Merge(follower, kSeed, Announcing(1, "a"), directory, kStart);
  Merge(follower, kOther, Announcing(2, "b"), directory, kStart);
  RecordInstalledTable(follower, kOther, routes::TableVersion(2), kStart);
  CHECK(BuildPoll(follower, kOther, kStart).include_table);
  CHECK_FALSE(BuildPoll(follower, kSeed, kStart).include_table);
  Merge(follower, kSeed, Announcing(2, "a"), directory, kStart);
  CHECK(BuildPoll(follower, kSeed, kStart).include_table);
  CHECK_FALSE(BuildPoll(follower, kOther, kStart).include_table);
}

// The bound on the load of other coordinators at 340 nodes: while one of three
// is behind, each version is asked for once by each of 331 gateways, and the
// gateways of its zone spread over the other two.
TEST_CASE("followers of a coordinator that is behind spread over the others") {
  constexpr int kGateways = 331;
  const InstanceId third("10.0.0.3");
  std::map<InstanceId, int> asked;
  for (int i = 0; i < kGateways; ++i) {
    const std::string zone(1, static_cast<char>('a' + i % 3));
    Follower follower = Start({.seeds = {kSeed},
                               .self = InstanceId(std::to_string(i)),
                               .zone = ZoneId(zone),
                               .region = RegionId("south")},
                              kStart);
    Directory directory;
    Merge(follower, kSeed, Announcing(1, "a"), directory, kStart);
    Merge(follower, kOther, Announcing(2, "b"), directory, kStart);
    Merge(follower, third, Announcing(2, "c"), directory, kStart);
    RecordInstalledTable(follower, kSeed, routes::TableVersion(1), kStart);
    const TimePoint due = kStart + follower.options.table_timeout;
    int sources = 0;
    for (const InstanceId& id : {kSeed, kOther, third}) {
      if (!BuildPoll(follower, id, due).include_table) continue;
      ++asked[id];
      ++sources;
    }
    CHECK(sources == 1);
  }
  CHECK(asked[kSeed] == 0);
  CHECK(asked[kOther] <= kGateways * 2 / 3);
  CHECK(asked[third] <= kGateways * 2 / 3);
}

TEST_CASE("the newest update of any coordinator counts") {
  Follower follower = OneSeed();
  Directory directory;
  Merge(follower, kOther, {}, directory, kStart + seconds(2));
  CHECK(TimeSinceLastUpdate(follower, kStart + seconds(3)) == seconds(1));
}

// Guards against targets that stay unknown after a gateway was cut off for
// longer than their heartbeat timeout.
// PollAndMerge merges the update for a poll that was sent at `sent_at` and
// received at `received_at`.
void PollAndMerge(Follower& follower, const InstanceId& from, TimePoint sent_at,
                  TimePoint received_at, bool has_more = false) {
  Directory directory;
  const Poll poll = BuildPoll(follower, from, sent_at);
  Merge(follower, from,
        {.coordinator_boot = BootId(1),
         .has_more = has_more,
         .poll_sent_ms = poll.sent_ms},
        directory, received_at);
}

// Guards against an instance that stood still and takes what it reads first for
// news (issue 61).
TEST_CASE("an update is as old as the poll that it answers") {
  Follower follower = OneSeed();
  CHECK_FALSE(IsInStep(follower, kStart));
  PollAndMerge(follower, kSeed, kStart, kStart + seconds(1), true);
  CHECK_FALSE(IsInStep(follower, kStart + seconds(1)));
  PollAndMerge(follower, kSeed, kStart, kStart + seconds(1));
  CHECK(IsInStep(follower, kStart + seconds(1)));
  CHECK_FALSE(IsInStep(follower, kStart + seconds(2)));
  PollAndMerge(follower, kSeed, kStart, kStart + seconds(9));
  CHECK_FALSE(IsInStep(follower, kStart + seconds(9)));
  PollAndMerge(follower, kSeed, kStart + seconds(9), kStart + seconds(9));
  CHECK(IsInStep(follower, kStart + seconds(9)));
}

// Guards against an instance that is cut off beside one coordinator.
TEST_CASE("an instance is in step with more than half of the coordinators") {
  const InstanceId third("10.0.0.3");
  Follower follower = Start({.seeds = {kSeed, kOther, third}}, kStart);
  const auto hear = [&](const InstanceId& from, TimePoint at) {
    PollAndMerge(follower, from, at, at);
  };
  for (const InstanceId& from : {kSeed, kOther, third}) hear(from, kStart);
  const TimePoint later = kStart + seconds(5);
  hear(kSeed, later);
  CHECK_FALSE(IsInStep(follower, later));
  hear(kOther, later);
  CHECK(IsInStep(follower, later));
  // One that was replaced long ago does not count.
  const TimePoint last = later + follower.options.eviction_delay;
  hear(kSeed, last);
  CHECK(IsInStep(follower, last));
}

TEST_CASE("a coordinator that renews an unknown run is asked for all targets") {
  Follower follower = OneSeed();
  Directory directory;
  const directory::RunHash run = directory::HashRun(MakeReady("t"));
  const Update renewal{.coordinator_boot = BootId(1),
                       .since = At(0),
                       .until = At(9),
                       .renewed = {run}};
  Merge(follower, kSeed, renewal, directory, kStart);
  CHECK(BuildPoll(follower, kSeed, kStart).position == At(0));
  CHECK(TakeDuePolls(follower, kStart).size() == 1);
  // An update that was on its way does not take the place of the full one.
  Update on_its_way = renewal;
  on_its_way.since = At(9);
  on_its_way.until = At(10);
  Merge(follower, kSeed, on_its_way, directory, kStart);
  CHECK(BuildPoll(follower, kSeed, kStart).position == At(0));
  Merge(follower, kSeed,
        {.coordinator_boot = BootId(1),
         .until = At(10),
         .announcements = {MakeReady("t")}},
        directory, kStart);
  CHECK(BuildPoll(follower, kSeed, kStart).position == At(10));
  // It is known now: it is renewed, and nothing is asked for again.
  const TimePoint later = kStart + follower.options.resync_interval;
  on_its_way.since = At(10);
  on_its_way.until = At(11);
  Merge(follower, kSeed, on_its_way, directory, later);
  CHECK(BuildPoll(follower, kSeed, later).position == At(11));
  CHECK(directory.entries.at(TargetId("t")).last_seen == later);
}

TEST_CASE("a run that stays unknown is asked for once in a while") {
  Follower follower = OneSeed();
  Directory directory;
  const Update renewal{
      .coordinator_boot = BootId(1), .until = At(9), .renewed = {7}};
  Merge(follower, kSeed, renewal, directory, kStart);
  CHECK(BuildPoll(follower, kSeed, kStart).position == At(0));
  Merge(follower, kSeed, renewal, directory, kStart + seconds(1));
  CHECK(BuildPoll(follower, kSeed, kStart).position == At(9));
}

// Guards against copies that multiply, one for each update that is pushed.
TEST_CASE("an update that brings nothing new asks for no further one") {
  Follower follower = OneSeed();
  Directory directory;
  const Update batch{
      .coordinator_boot = BootId(1), .until = At(9), .has_more = true};
  CHECK(Merge(follower, kSeed, batch, directory, kStart).has_more);
  CHECK_FALSE(Merge(follower, kSeed, batch, directory, kStart).has_more);
}

// Guards against targets that stay unknown to a gateway that has just started.
TEST_CASE("targets that are renewed during a copy in batches all arrive") {
  constexpr size_t kTargets = 5 * kMaxAnnouncements;
  Directory coordinator;
  const auto announce_all = [&](uint64_t sequence, TimePoint now) {
    for (size_t i = 0; i < kTargets; ++i) {
      directory::Announcement target = MakeReady("t" + std::to_string(i));
      target.address.port = static_cast<uint16_t>(1000 + i);
      target.sequence = sequence;
      directory::ApplyAnnouncement(coordinator, target, now);
    }
  };
  announce_all(1, kStart);
  Follower follower = OneSeed();
  Directory directory;
  constexpr uint64_t kBatches = 8;
  TimePoint now = kStart;
  for (uint64_t i = 1; i <= kBatches; ++i) {
    now += coordinator.options.refresh_interval;
    announce_all(i + 1, now);
    const Poll poll = BuildPoll(follower, kSeed, now);
    const auto changes =
        directory::ChangesSince(coordinator, poll.position, kMaxAnnouncements);
    Merge(follower, kSeed,
          {.coordinator_boot = BootId(1),
           .since = poll.position,
           .until = changes.until,
           .has_more = changes.has_more,
           .announcements = changes.announcements,
           .renewed = changes.renewed},
          directory, now);
  }
  CHECK(directory.entries.size() == kTargets);
}

// An update that does not fit into one datagram takes a connection of its own;
// in a large fleet these delayed route tables for seconds.
TEST_CASE("a full update fits into one datagram") {
  Update update{.coordinator_boot = BootId(~0ULL),
                .since = At(~0ULL),
                .until = At(~0ULL),
                .table_version = routes::TableVersion(~0ULL),
                .zone = ZoneId("stajerska-a"),
                .region = RegionId("stajerska"),
                .num_gateways = 400};
  for (int i = 0; i < 9; ++i) {
    update.members.emplace_back("10.200.100." + std::to_string(100 + i));
  }
  update.evacuations.zones = {ZoneId("stajerska-a"), ZoneId("stajerska-b")};
  for (size_t i = 0; i < kMaxAnnouncements; ++i) {
    update.announcements.push_back(
        {.id = TargetId("i-" + std::to_string(1'000'000'000 + i)),
         .service = ServiceId("huvo11a"),
         .address = {.ip = "10.128.100.100", .port = 65'000},
         .zone = ZoneId("stajerska-a"),
         .software = directory::SoftwareVersion("v1.2.30"),
         .slots = 64,
         .started_at_ms = 1'700'000'000'000,
         .sequence = ~0ULL,
         .cold_remaining = milliseconds(3000)});
  }
  CHECK(wire::Encode(update).payload.size() <= net::kMaxDatagramPayload);
  update.announcements.clear();
  update.renewed.resize(kMaxAnnouncements *
                        directory::kRenewalsPerAnnouncement);
  CHECK(wire::Encode(update).payload.size() <= net::kMaxDatagramPayload);
}

}  // namespace
}  // namespace samphirebank::follow
