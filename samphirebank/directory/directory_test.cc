#include "samphirebank/directory/directory.h"

#include <doctest/doctest.h>

#include <chrono>

namespace samphirebank::directory {
namespace {

using std::chrono::seconds;

const TimePoint kStart{seconds(100)};

Announcement Beat(const std::string& id, int64_t born_ms, uint64_t sequence) {
  return {.id = TargetId(id),
          .service = ServiceId("a"),
          .address = {.ip = "10.0.0.1", .port = 80},
          .born_ms = born_ms,
          .sequence = sequence};
}

size_t ReadyCount(const Directory& directory) {
  return ReadyTargets(directory, ServiceId("a")).size();
}

TEST_CASE("a late heartbeat changes nothing") {
  Directory directory;
  CHECK(Hear(directory, Beat("t", 5, 2), kStart) == Verdict::kNew);
  CHECK(Hear(directory, Beat("t", 5, 1), kStart) == Verdict::kStale);
  CHECK(Hear(directory, Beat("t", 4, 9), kStart) == Verdict::kStale);
  CHECK(Hear(directory, Beat("t", 5, 3), kStart) == Verdict::kRenewed);
}

TEST_CASE("a target that left does not return by a late heartbeat") {
  Directory directory;
  Hear(directory, Beat("t", 5, 2), kStart);
  Announcement draining = Beat("t", 5, 3);
  draining.state = State::kDraining;
  CHECK(Hear(directory, draining, kStart) == Verdict::kChanged);
  CHECK(ReadyCount(directory) == 0);
  CHECK(Hear(directory, Beat("t", 5, 4), kStart) == Verdict::kStale);
  CHECK(SignOff(directory, TargetId("t"), kStart));
  CHECK(Hear(directory, Beat("t", 5, 5), kStart) == Verdict::kStale);
}

TEST_CASE("a new run under the same id starts its count anew") {
  Directory directory;
  Hear(directory, Beat("t", 5, 20), kStart);
  SignOff(directory, TargetId("t"), kStart);
  CHECK(Hear(directory, Beat("t", 6, 1), kStart) == Verdict::kNew);
  CHECK(ReadyCount(directory) == 1);
}

TEST_CASE("an address belongs to the latest run") {
  Directory directory;
  Hear(directory, Beat("old", 5, 1), kStart);
  CHECK(Hear(directory, Beat("new", 6, 1), kStart) == Verdict::kNew);
  REQUIRE(ReadyCount(directory) == 1);
  CHECK(ReadyTargets(directory, ServiceId("a"))[0]->id == TargetId("new"));
  CHECK(Hear(directory, Beat("old", 5, 2), kStart) == Verdict::kStale);
}

TEST_CASE("changes are handed out once, in order and in pieces") {
  Directory directory;
  for (int i = 0; i < 5; ++i) {
    Announcement beat = Beat("t" + std::to_string(i), 5, 1);
    beat.address.port = static_cast<uint16_t>(80 + i);
    Hear(directory, beat, kStart);
  }
  const Changes first = ChangesSince(directory, Cursor(0), 3);
  CHECK(first.announcements.size() == 3);
  CHECK(first.more);
  const Changes rest = ChangesSince(directory, first.cursor, 3);
  CHECK(rest.announcements.size() == 2);
  CHECK_FALSE(rest.more);
  CHECK(ChangesSince(directory, rest.cursor, 3).announcements.empty());
}

TEST_CASE("an unchanged target is published again as a sign of life") {
  Directory directory;
  Hear(directory, Beat("t", 5, 1), kStart);
  const Cursor cursor = directory.last;
  Hear(directory, Beat("t", 5, 2), kStart + seconds(1));
  CHECK(directory.last == cursor);
  Hear(directory, Beat("t", 5, 3), kStart + directory.options.refresh);
  CHECK(directory.last > cursor);
}

TEST_CASE("a silent target is forgotten, one that left is remembered longer") {
  Directory directory;
  Hear(directory, Beat("t", 5, 1), kStart);
  const TimePoint later = kStart + directory.options.silence;
  CHECK(Forget(directory, later - seconds(1)).empty());
  CHECK(Forget(directory, later).size() == 1);
  Hear(directory, Beat("u", 5, 1), later);
  SignOff(directory, TargetId("u"), later);
  CHECK(Forget(directory, later + directory.options.silence).empty());
  CHECK(directory.entries.size() == 1);
  Forget(directory, later + directory.options.remember_gone);
  CHECK(directory.entries.empty());
}

}  // namespace
}  // namespace samphirebank::directory
