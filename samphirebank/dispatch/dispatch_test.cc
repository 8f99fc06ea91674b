#include "samphirebank/dispatch/dispatch.h"

#include <doctest/doctest.h>

#include <map>
#include <set>

namespace samphirebank::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(1000)};

std::vector<Candidate> Engines(int count) {
  std::vector<Candidate> engines;
  engines.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i) {
    engines.push_back({.id = TargetId("t" + std::to_string(i)), .slots = 64});
  }
  return engines;
}

Work LongPrompt(uint64_t part, uint64_t seed = 0) {
  return {.shared = {{.id = part, .tokens = Tokens(13'000)}},
          .own = Tokens(3'700),
          .seed = seed};
}

// Pick is the position of the chosen target.
size_t Pick(const Book& book, const std::vector<Candidate>& candidates,
            const Work& work, TimePoint now) {
  const auto choice = Choose(book, candidates, work, now);
  REQUIRE(choice);
  return choice->index;
}

// Send sends work to a target as Choose would estimate it there.
void Send(Book& book, const Candidate& target, const Work& work) {
  const auto choice = Choose(book, {target}, work, kStart);
  NoteSent(book, target.id, work, choice->reading, kStart);
}

TEST_CASE("a prompt's last part is its own") {
  const Work work = WorkOf({.parts = {{.id = 1, .tokens = Tokens(800)},
                                      {.id = 2, .tokens = Tokens(400)},
                                      {.id = 3, .tokens = Tokens(260)}},
                            .tokens_in = Tokens(1460)},
                           7);
  CHECK(work.shared.size() == 2);
  CHECK(work.own == Tokens(260));
}

TEST_CASE("a shared part has one home for all routers") {
  const auto engines = Engines(18);
  std::map<size_t, int> homes;
  for (uint64_t part = 1; part <= 180; ++part) {
    const size_t first = Pick({}, engines, LongPrompt(part, 1), kStart);
    CHECK(first == Pick({}, engines, LongPrompt(part, 2), kStart));
    ++homes[first];
  }
  CHECK(homes.size() == 18);
}

TEST_CASE("few homes move when a target leaves") {
  auto engines = Engines(18);
  std::map<uint64_t, TargetId> before;
  for (uint64_t part = 1; part <= 180; ++part) {
    before[part] = engines[Pick({}, engines, LongPrompt(part), kStart)].id;
  }
  const TargetId gone = engines.back().id;
  engines.pop_back();
  for (const auto& [part, home] : before) {
    const TargetId now =
        engines[Pick({}, engines, LongPrompt(part), kStart)].id;
    CHECK((home == gone || home == now));
  }
}

TEST_CASE("a prompt leaves its home when waiting costs more than reading") {
  const auto engines = Engines(18);
  Book book;
  const size_t home = Pick(book, engines, LongPrompt(5), kStart);
  const Duration reading =
      Choose(book, engines, LongPrompt(5), kStart)->reading;
  for (int i = 0; i < 3; ++i) {
    Send(book, engines[home], LongPrompt(5));
    CHECK(Pick(book, engines, LongPrompt(5), kStart) == home);
  }
  for (int i = 0; i < 7; ++i) Send(book, engines[home], LongPrompt(5));
  CHECK(Pick(book, engines, LongPrompt(5), kStart) != home);
  CHECK(Choose(book, engines, LongPrompt(5), kStart)->again >
        milliseconds(100));
  CHECK(Choose(Book{}, engines, LongPrompt(5), kStart)->again == Duration());
  for (int i = 0; i < 10; ++i) NoteRead(book, engines[home].id, reading);
  CHECK(Pick(book, engines, LongPrompt(5), kStart) == home);
}

TEST_CASE("all routers take a part to one second home") {
  const auto engines = Engines(18);
  std::set<size_t> second_homes;
  for (uint64_t router = 0; router < 9; ++router) {
    Book book;
    const Work work = LongPrompt(5, router);
    const size_t home = Pick(book, engines, work, kStart);
    book.records[engines[home].id].others_unread = seconds(1);
    second_homes.insert(Pick(book, engines, work, kStart));
  }
  CHECK(second_homes.size() == 1);
}

TEST_CASE("the mean wait is that of all targets") {
  const auto engines = Engines(4);
  Book book;
  book.records[engines[0].id].others_unread = milliseconds(100);
  book.records[engines[1].id].unread = milliseconds(60);
  CHECK(MeanWait(book, engines) == milliseconds(40));
  CHECK(MeanWait(book, {}) == Duration());
}

TEST_CASE("what other routers sent to a target counts too") {
  const auto engines = Engines(18);
  Book book;
  const size_t home = Pick(book, engines, LongPrompt(5), kStart);
  book.records[engines[home].id].others_unread = seconds(1);
  CHECK(Pick(book, engines, LongPrompt(5), kStart) != home);
  const auto there = Choose(book, {engines[home]}, LongPrompt(5), kStart);
  CHECK(there->wait == seconds(1));
}

TEST_CASE("a short prompt stays in its region, a long one crosses") {
  auto engines = Engines(18);
  for (size_t i = 6; i < engines.size(); ++i) {
    engines[i].distance = Distance::kOtherRegion;
  }
  int crossed = 0;
  for (uint64_t part = 1; part <= 60; ++part) {
    Work work = LongPrompt(part);
    crossed += Pick({}, engines, work, kStart) >= 6 ? 1 : 0;
    work.shared[0].tokens = Tokens(350);
    CHECK(Pick({}, engines, work, kStart) < 6);
  }
  CHECK(crossed > 20);
}

TEST_CASE("a failing target is passed over, for longer each time") {
  auto targets = Engines(3);
  Book book;
  const Work work;
  const TargetId failing = targets[Pick(book, targets, work, kStart)].id;
  for (int i = 0; i < 2; ++i) {
    NoteSent(book, failing, work, Duration(), kStart);
    NoteEnd(book, failing, Ending::kFailed, kStart);
  }
  CHECK(targets[Pick(book, targets, work, kStart)].id != failing);
  const TimePoint later = kStart + milliseconds(600);
  CHECK(targets[Pick(book, targets, work, later)].id == failing);
  NoteSent(book, failing, work, Duration(), later);
  NoteEnd(book, failing, Ending::kFailed, later);
  const TimePoint again = later + milliseconds(600);
  CHECK(targets[Pick(book, targets, work, again)].id != failing);
}

TEST_CASE("a target that fails half of its requests is passed over") {
  auto targets = Engines(3);
  Book book;
  const Work work;
  for (int i = 0; i < 40; ++i) {
    NoteSent(book, targets[0].id, work, Duration(), kStart);
    NoteEnd(book, targets[0].id, i % 2 == 0 ? Ending::kGood : Ending::kFailed,
            kStart);
  }
  CHECK(Pick(book, targets, work, kStart) != 0);
}

TEST_CASE("not more than a part of the targets is passed over") {
  auto targets = Engines(4);
  Book book;
  for (int i = 0; i < 3; ++i) NoteUnreachable(book, targets[i].id, kStart);
  std::map<size_t, int> chosen;
  for (uint64_t seed = 0; seed < 50; ++seed) {
    ++chosen[Pick(book, targets, {.seed = seed}, kStart)];
  }
  CHECK(chosen.size() > 1);
}

TEST_CASE("a target that was tried is chosen again only if no other is left") {
  auto targets = Engines(2);
  const Work tried{.tried = {targets[0].id}};
  CHECK(Pick({}, targets, tried, kStart) == 1);
  CHECK_FALSE(Choose(Book{}, {}, {}, kStart));
}

TEST_CASE("a plain service's requests go to the nearest idle target") {
  auto targets = Engines(3);
  for (Candidate& target : targets) target.slots = 6;
  targets[1].distance = Distance::kOtherRegion;
  targets[2].distance = Distance::kOtherRegion;
  Book book;
  for (int i = 0; i < 6; ++i) {
    CHECK(Pick(book, targets, {}, kStart) == 0);
    NoteSent(book, targets[0].id, {}, Duration(), kStart);
  }
  for (int i = 0; i < 4; ++i) {
    NoteSent(book, targets[0].id, {}, Duration(), kStart);
  }
  CHECK(Pick(book, targets, {}, kStart) != 0);
}

}  // namespace
}  // namespace samphirebank::dispatch
