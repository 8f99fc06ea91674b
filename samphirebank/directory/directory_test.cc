#include "samphirebank/directory/directory.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

namespace samphirebank::directory {
namespace {

using std::chrono::seconds;

const TimePoint kStart{seconds(100)};

Announcement MakeAnnouncement(const std::string& id, int64_t started_at_ms,
                              uint64_t sequence) {
  return {.id = TargetId(id),
          .service = ServiceId("a"),
          .address = {.ip = "10.0.0.1", .port = 80},
          .started_at_ms = started_at_ms,
          .sequence = sequence};
}

// At returns the position of a follower that has all changes up to `cursor`.
Position At(Cursor cursor) { return {.states = cursor, .renewals = cursor}; }

size_t ReadyCount(const Directory& directory) {
  return ReadyTargets(directory, ServiceId("a")).size();
}

TEST_CASE("an outdated heartbeat is ignored") {
  Directory directory;
  CHECK(ApplyAnnouncement(directory, MakeAnnouncement("t", 5, 2), kStart) ==
        Effect::kNew);
  CHECK(ApplyAnnouncement(directory, MakeAnnouncement("t", 5, 1), kStart) ==
        Effect::kStale);
  CHECK(ApplyAnnouncement(directory, MakeAnnouncement("t", 4, 9), kStart) ==
        Effect::kStale);
  CHECK(ApplyAnnouncement(directory, MakeAnnouncement("t", 5, 3), kStart) ==
        Effect::kRenewed);
}

TEST_CASE("a late heartbeat does not bring back a target that left") {
  Directory directory;
  ApplyAnnouncement(directory, MakeAnnouncement("t", 5, 2), kStart);
  Announcement draining = MakeAnnouncement("t", 5, 3);
  draining.state = State::kDraining;
  CHECK(ApplyAnnouncement(directory, draining, kStart) == Effect::kChanged);
  CHECK(ReadyCount(directory) == 0);
  CHECK(ApplyAnnouncement(directory, MakeAnnouncement("t", 5, 4), kStart) ==
        Effect::kStale);
  CHECK(MarkGone(directory, TargetId("t"), kStart));
  CHECK(ApplyAnnouncement(directory, MakeAnnouncement("t", 5, 5), kStart) ==
        Effect::kStale);
}

// Guards against a sign-off that is dropped since another coordinator has
// passed on a later heartbeat of the run.
TEST_CASE(
    "a run that is gone at one coordinator is gone, whatever its number") {
  for (const State state : {State::kDraining, State::kGone}) {
    Directory directory;
    ApplyAnnouncement(directory, MakeAnnouncement("t", 5, 9), kStart);
    Announcement left = MakeAnnouncement("t", 5, 2);
    left.state = state;
    CHECK(ApplyAnnouncement(directory, left, kStart) == Effect::kChanged);
    CHECK(ReadyCount(directory) == 0);
    CHECK(ApplyAnnouncement(directory, MakeAnnouncement("t", 5, 10), kStart) ==
          Effect::kStale);
    CHECK(ApplyAnnouncement(directory, MakeAnnouncement("t", 6, 1), kStart) ==
          Effect::kNew);
  }
}

TEST_CASE("a new run of a target starts a new sequence") {
  Directory directory;
  ApplyAnnouncement(directory, MakeAnnouncement("t", 5, 20), kStart);
  MarkGone(directory, TargetId("t"), kStart);
  CHECK(ApplyAnnouncement(directory, MakeAnnouncement("t", 6, 1), kStart) ==
        Effect::kNew);
  CHECK(ReadyCount(directory) == 1);
}

TEST_CASE("an address belongs to the latest run") {
  Directory directory;
  ApplyAnnouncement(directory, MakeAnnouncement("old", 5, 1), kStart);
  CHECK(ApplyAnnouncement(directory, MakeAnnouncement("new", 6, 1), kStart) ==
        Effect::kNew);
  REQUIRE(ReadyCount(directory) == 1);
  CHECK(ReadyTargets(directory, ServiceId("a"))[0]->id == TargetId("new"));
  CHECK(ApplyAnnouncement(directory, MakeAnnouncement("old", 5, 2), kStart) ==
        Effect::kStale);
}

TEST_CASE("changes are returned once, in order and in batches") {
  Directory directory;
  for (int i = 0; i < 5; ++i) {
    Announcement announcement = MakeAnnouncement("t" + std::to_string(i), 5, 1);
    announcement.address.port = static_cast<uint16_t>(80 + i);
    ApplyAnnouncement(directory, announcement, kStart);
  }
  const Changes first = ChangesSince(directory, {}, 3);
  CHECK(first.announcements.size() == 3);
  CHECK(first.has_more);
  const Changes rest = ChangesSince(directory, first.until, 3);
  CHECK(rest.announcements.size() == 2);
  CHECK_FALSE(rest.has_more);
  CHECK(ChangesSince(directory, rest.until, 3).announcements.empty());
}

TEST_CASE("an unchanged target is published again after the refresh interval") {
  Directory directory;
  ApplyAnnouncement(directory, MakeAnnouncement("t", 5, 1), kStart);
  const Cursor cursor = directory.last_change;
  ApplyAnnouncement(directory, MakeAnnouncement("t", 5, 2),
                    kStart + seconds(1));
  CHECK(directory.last_change == cursor);
  ApplyAnnouncement(directory, MakeAnnouncement("t", 5, 3),
                    kStart + directory.options.refresh_interval);
  CHECK(directory.last_change > cursor);
}

TEST_CASE("a silent target is evicted, one that left is kept as a tombstone") {
  Directory directory;
  ApplyAnnouncement(directory, MakeAnnouncement("t", 5, 1), kStart);
  const TimePoint later = kStart + directory.options.heartbeat_timeout;
  CHECK(EvictExpired(directory, later - seconds(1)).empty());
  CHECK(EvictExpired(directory, later).size() == 1);
  ApplyAnnouncement(directory, MakeAnnouncement("u", 5, 1), later);
  MarkGone(directory, TargetId("u"), later);
  CHECK(EvictExpired(directory, later + directory.options.heartbeat_timeout)
            .empty());
  CHECK(directory.entries.size() == 1);
  EvictExpired(directory, later + directory.options.tombstone_ttl);
  CHECK(directory.entries.empty());
}

// A target that reports a short remaining time again and again must not be
// taken for warm between two refreshes.
TEST_CASE("a target that stays cold by small steps is published") {
  Directory directory;
  size_t changes = 0;
  for (uint64_t i = 0; i < 10; ++i) {
    Announcement heartbeat = MakeAnnouncement("t", 5, i + 1);
    heartbeat.cold_remaining = std::chrono::milliseconds(1000);
    const TimePoint now = kStart + i * std::chrono::milliseconds(400);
    const Cursor before = directory.last_change;
    ApplyAnnouncement(directory, heartbeat, now);
    if (directory.last_change != before) ++changes;
    const Entry& entry = directory.entries.at(TargetId("t"));
    CHECK(entry.published_cold_until >= now + std::chrono::milliseconds(500));
  }
  CHECK(changes >= 4);
}

// Routers learn from changes when a target turns cold or warm; the remaining
// time, which each heartbeat renews, must not make every heartbeat a change.
TEST_CASE("a target that turns cold or warm, or stays cold longer, changes") {
  const auto heartbeat = [](uint64_t sequence, int64_t cold_ms) {
    Announcement announcement = MakeAnnouncement("t", 5, sequence);
    announcement.cold_remaining = std::chrono::milliseconds(cold_ms);
    return announcement;
  };
  Directory directory;
  ApplyAnnouncement(directory, heartbeat(1, 3000), kStart);
  CHECK(ApplyAnnouncement(directory, heartbeat(2, 2000), kStart + seconds(1)) ==
        Effect::kRenewed);
  CHECK(ApplyAnnouncement(directory, heartbeat(3, 3000), kStart + seconds(2)) ==
        Effect::kChanged);
  CHECK(ApplyAnnouncement(directory, heartbeat(4, 0), kStart + seconds(3)) ==
        Effect::kChanged);
  CHECK(ApplyAnnouncement(directory, heartbeat(5, 0), kStart + seconds(4)) ==
        Effect::kRenewed);
  CHECK(ApplyAnnouncement(directory, heartbeat(6, 500), kStart + seconds(5)) ==
        Effect::kChanged);
}

// Guards against coordinators that are busy with repeating what has not
// changed: the announcements of 1,000 targets took 125 updates each time.
TEST_CASE("targets that are only renewed take few updates") {
  Directory directory;
  constexpr int kTargets = 1000;
  constexpr size_t kMaxAnnouncements = 8;
  const auto announce_all = [&](uint64_t sequence, TimePoint now) {
    for (int i = 0; i < kTargets; ++i) {
      Announcement next = MakeAnnouncement(std::to_string(i), 5, sequence);
      next.address.port = static_cast<uint16_t>(1000 + i);
      ApplyAnnouncement(directory, next, now);
    }
  };
  announce_all(1, kStart);
  Position position = At(directory.last_change);
  announce_all(2, kStart + directory.options.refresh_interval);
  size_t num_updates = 0;
  size_t num_renewed = 0;
  bool has_more = true;
  while (has_more) {
    const Changes changes =
        ChangesSince(directory, position, kMaxAnnouncements);
    CHECK(changes.announcements.empty());
    num_renewed += changes.renewed.size();
    position = changes.until;
    has_more = changes.has_more;
    ++num_updates;
  }
  CHECK(num_renewed == kTargets);
  CHECK(num_updates <= 5);
}

TEST_CASE("a follower that missed the change gets a renewed target in full") {
  Directory directory;
  ApplyAnnouncement(directory, MakeAnnouncement("t", 5, 1), kStart);
  const TimePoint later = kStart + directory.options.refresh_interval;
  ApplyAnnouncement(directory, MakeAnnouncement("t", 5, 2), later);
  const Changes changes = ChangesSince(directory, {}, 8);
  CHECK(changes.announcements.size() == 1);
  CHECK(changes.renewed.empty());
}

TEST_CASE("a run that is renewed is not evicted, an unknown one is told") {
  Directory directory;
  const Announcement announced = MakeAnnouncement("t", 5, 1);
  ApplyAnnouncement(directory, announced, kStart);
  const TimePoint late = kStart + directory.options.heartbeat_timeout;
  CHECK(Renew(directory, HashRun(announced), late - seconds(1)));
  CHECK(EvictExpired(directory, late).empty());
  // A new run of the same target is another run.
  CHECK(!Renew(directory, HashRun(MakeAnnouncement("t", 6, 1)), late));
}

// NaiveChangesSince is ChangesSince by a search of all entries.
Changes NaiveChangesSince(const Directory& directory, const Position& since,
                          size_t max_announcements) {
  std::vector<const Entry*> changed;
  std::vector<const Entry*> renewed;
  for (const auto& [id, entry] : directory.entries) {
    const bool has_changed = entry.last_state_change > since.states;
    if (has_changed) changed.push_back(&entry);
    if (!has_changed && entry.last_change > since.renewals) {
      renewed.push_back(&entry);
    }
  }
  std::ranges::sort(changed, {}, &Entry::last_state_change);
  std::ranges::sort(renewed, {}, &Entry::last_change);
  Changes changes{.has_more = changed.size() > max_announcements};
  changed.resize(std::min(changed.size(), max_announcements));
  for (const Entry* entry : changed) {
    changes.announcements.push_back(entry->announcement);
  }
  const size_t room =
      (max_announcements - changed.size()) * kRenewalsPerAnnouncement;
  if (renewed.size() > room) changes.has_more = true;
  renewed.resize(std::min(renewed.size(), room));
  for (const Entry* entry : renewed) {
    changes.renewed.push_back(HashRun(entry->announcement));
  }
  return changes;
}

// Guards against an index that misses a change, or an owner of an address.
TEST_CASE("the indexes agree with a search of all entries") {
  CHECK(rc::check([] {
    Directory directory;
    TimePoint now = kStart;
    const int steps = *rc::gen::inRange(1, 80);
    for (int step = 0; step < steps; ++step) {
      now += std::chrono::milliseconds(*rc::gen::inRange(0, 4000));
      Announcement next =
          MakeAnnouncement(std::to_string(*rc::gen::inRange(0, 6)),
                           *rc::gen::inRange(1, 5), *rc::gen::inRange(1, 9));
      next.address.port = static_cast<uint16_t>(*rc::gen::inRange(80, 84));
      ApplyAnnouncement(directory, next, now);
      EvictExpired(directory, now);
      const auto any_cursor = [&] {
        return Cursor(
            *rc::gen::inRange<uint64_t>(0, directory.last_change.value + 1));
      };
      const Position since{.states = any_cursor(), .renewals = any_cursor()};
      const Changes changes = ChangesSince(directory, since, 3);
      const Changes expected = NaiveChangesSince(directory, since, 3);
      RC_ASSERT(changes.has_more == expected.has_more);
      RC_ASSERT(changes.announcements == expected.announcements);
      RC_ASSERT(changes.renewed == expected.renewed);
      size_t num_owners = 0;
      for (const auto& [address, owners] : directory.by_address) {
        num_owners += owners.size();
      }
      RC_ASSERT(num_owners == directory.entries.size());
      RC_ASSERT(directory.by_change.size() == directory.entries.size());
      RC_ASSERT(directory.by_state_change.size() == directory.entries.size());
    }
  }));
}

}  // namespace
}  // namespace samphirebank::directory
