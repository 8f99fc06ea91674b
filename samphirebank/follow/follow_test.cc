#include "samphirebank/follow/follow.h"

#include <doctest/doctest.h>

#include <string>

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

Announcement Ready(const std::string& id) {
  return {.id = TargetId(id),
          .service = ServiceId("a"),
          .address = {.ip = "10.9.0.1", .port = 80},
          .born_ms = 5,
          .sequence = 1};
}

TEST_CASE("seeds are polled at once, and then at their pace") {
  Follower follower = OneSeed();
  Directory directory;
  CHECK(TakeDuePolls(follower, kStart).size() == 1);
  CHECK(TakeDuePolls(follower, kStart + milliseconds(500)).empty());
  Merge(follower, kSeed, {.answerer = BootId(1)}, directory, kStart);
  const TimePoint later = kStart + follower.options.search_interval;
  CHECK(TakeDuePolls(follower, later).size() == 1);
  CHECK(TakeDuePolls(follower, later + milliseconds(400)).size() == 1);
}

TEST_CASE("members that a coordinator names are polled too") {
  Follower follower = OneSeed();
  Directory directory;
  TakeDuePolls(follower, kStart);
  Merge(follower, kSeed, {.answerer = BootId(1), .members = {kSeed, kOther}},
        directory, kStart);
  CHECK(TakeDuePolls(follower, kStart) == std::vector<InstanceId>{kOther});
}

TEST_CASE("a member that is gone is forgotten, a seed is not") {
  Follower follower = OneSeed();
  Directory directory;
  Merge(follower, kSeed, {.answerer = BootId(1), .members = {kOther}},
        directory, kStart);
  TakeDuePolls(follower, kStart + seconds(60));
  CHECK(follower.sources.size() == 1);
  CHECK(follower.sources.contains(kSeed));
}

TEST_CASE("the next poll asks from where the last answer ended") {
  Follower follower = OneSeed();
  Directory directory;
  Merge(follower, kSeed, {.answerer = BootId(1), .cursor = Cursor(9)},
        directory, kStart);
  Merge(follower, kSeed, {.answerer = BootId(1), .cursor = Cursor(4)},
        directory, kStart);
  CHECK(PollOf(follower, kSeed, {}).cursor == Cursor(9));
  Merge(follower, kSeed, {.answerer = BootId(2), .cursor = Cursor(3)},
        directory, kStart);
  CHECK(PollOf(follower, kSeed, {}).cursor == Cursor(3));
  CHECK(PollOf(follower, kSeed, {}).answerer == BootId(2));
}

TEST_CASE("a target that leaves at one coordinator leaves for all") {
  Follower follower = OneSeed();
  Directory directory;
  const Heard first = Merge(follower, kSeed, {.announcements = {Ready("t")}},
                            directory, kStart);
  CHECK(first.arrived.size() == 1);
  Announcement leaving = Ready("t");
  leaving.state = State::kDraining;
  leaving.sequence = 2;
  CHECK(Merge(follower, kOther, {.announcements = {leaving}}, directory, kStart)
            .leaving.size() == 1);
  // The first coordinator has not heard of it yet.
  Merge(follower, kSeed, {.announcements = {Ready("t")}}, directory, kStart);
  CHECK(directory::ReadyTargets(directory, ServiceId("a")).empty());
}

TEST_CASE("the nearest coordinator is one that was heard lately") {
  Follower follower = OneSeed();
  Directory directory;
  const ZoneId zone("a");
  const RegionId region("south");
  CHECK_FALSE(NearestHeard(follower, zone, region, kStart));
  Merge(follower, kSeed, {.zone = ZoneId("b"), .region = RegionId("north")},
        directory, kStart);
  CHECK(NearestHeard(follower, zone, region, kStart) == kSeed);
  Merge(follower, kOther, {.zone = ZoneId("c"), .region = region}, directory,
        kStart);
  CHECK(NearestHeard(follower, zone, region, kStart) == kOther);
  const TimePoint later = kStart + follower.options.silence;
  Merge(follower, kSeed, {.zone = ZoneId("b"), .region = RegionId("north")},
        directory, later);
  CHECK(NearestHeard(follower, zone, region, later) == kSeed);
}

TEST_CASE("silence is that of the coordinator heard last") {
  Follower follower = OneSeed();
  Directory directory;
  Merge(follower, kOther, {}, directory, kStart + seconds(2));
  CHECK(SilentFor(follower, kStart + seconds(3)) == seconds(1));
}

}  // namespace
}  // namespace samphirebank::follow
