// How long a group whose members all start again is without a leader.
#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>
#include <utility>
#include <vector>

#include "samphirebank/consensus/consensus.h"
#include "samphirebank/wire/wire.h"

namespace samphirebank::consensus {
namespace {

using std::chrono::milliseconds;

constexpr size_t kMembers = 5;
constexpr Duration kTick = milliseconds(50);
constexpr Duration kOneWay = milliseconds(32);  // between regions
constexpr Duration kSync = milliseconds(5);
constexpr Duration kElectionTimeout = milliseconds(1000);
constexpr Duration kVacancyTimeout = milliseconds(400);
// The members of a fleet come back within this time of each other.
constexpr Duration kSpread = milliseconds(150);
constexpr Duration kGiveUp = std::chrono::seconds(60);

MemberId Name(size_t i) {
  return {.instance = InstanceId("c" + std::to_string(i)),
          .storage = StorageId(100 + i)};
}

// Restart plays members that start at random times on disks and links that take
// their time. What arrives at a member that has not started is lost.
struct Restart {
  std::mt19937_64 random;
  std::vector<TimePoint> starts{};
  std::vector<std::optional<State>> members{kMembers};
  std::multimap<TimePoint, std::pair<size_t, Event>> due{};
  TimePoint now{};
  // Nothing passes between these two members, either way.
  std::optional<std::pair<size_t, size_t>> cut{};

  // The last `absent` of the voters do not come back.
  explicit Restart(uint64_t seed, size_t absent) : random(seed) {
    std::uniform_int_distribution<int64_t> offset(0, kSpread.count());
    for (size_t i = 0; i + absent < kMembers; ++i) {
      this->starts.emplace_back(Duration(offset(this->random)));
      this->due.emplace(this->starts[i], std::pair(i, Event(Tick{})));
    }
  }

  State StartMember(size_t i) {
    Membership founding;
    for (size_t k = 0; k < kMembers; ++k) founding.voters.insert(Name(k));
    return Start({.self = Name(i),
                  .seed = this->random(),
                  .election_timeout = kElectionTimeout,
                  .leaderless_election_timeout = kVacancyTimeout},
                 {.hard_state = {.term = Term(1)},
                  .entries = {{.index = LogIndex(1),
                               .term = Term(1),
                               .kind = EntryKind::kMembership,
                               .payload = wire::EncodeFields(founding)}}},
                 this->now);
  }

  bool IsCut(size_t from, size_t to) const {
    return this->cut && (*this->cut == std::pair(from, to) ||
                         *this->cut == std::pair(to, from));
  }

  void Take(size_t i, const Event& event) {
    if (!this->members[i]) {
      const bool starts = std::holds_alternative<Tick>(event);
      if (!starts) return;
      this->members[i] = this->StartMember(i);
    }
    Actions actions = Step(*this->members[i], event, this->now);
    for (Message& message : actions.messages) {
      for (size_t to = 0; to < kMembers; ++to) {
        if (Name(to) != message.to || this->IsCut(i, to)) continue;
        this->due.emplace(this->now + kOneWay,
                          std::pair(to, Event(Received{std::move(message)})));
        break;
      }
    }
    if (actions.persist) {
      this->due.emplace(
          this->now + kSync,
          std::pair(i, Event(Persisted{actions.persist->ticket})));
    }
    if (std::holds_alternative<Tick>(event)) {
      this->due.emplace(this->now + kTick, std::pair(i, Event(Tick{})));
    }
  }

  bool HasLeader() const {
    return std::ranges::any_of(this->members, [](const auto& member) {
      return member && member->role == Role::kLeader;
    });
  }

  // UntilLeader returns when the first leader stands, from the first start;
  // kGiveUp or more if none does.
  Duration UntilLeader() {
    const TimePoint first = *std::ranges::min_element(this->starts);
    while (!this->HasLeader() && this->now - first < kGiveUp) {
      const auto next = this->due.begin();
      const auto [member, event] = std::move(next->second);
      this->now = next->first;
      this->due.erase(next);
      this->Take(member, event);
    }
    return this->now - first;
  }
};

// LongestOf99 is the time without a leader that 99 in 100 restarts keep to.
Duration LongestOf99(size_t absent) {
  constexpr size_t kRestarts = 500;
  std::vector<Duration> spans;
  for (uint64_t seed = 1; seed <= kRestarts; ++seed) {
    spans.push_back(Restart(seed, absent).UntilLeader());
  }
  std::ranges::sort(spans);
  const auto ms = [&](size_t i) { return spans[i] / milliseconds(1); };
  MESSAGE(absent, " absent: median ", ms(kRestarts / 2), " ms, 9 in 10 ",
          ms(kRestarts * 9 / 10), " ms, longest ", ms(kRestarts - 1), " ms");
  return spans[kRestarts * 99 / 100];
}

TEST_CASE("a group that starts again has a leader soon, also by a split vote") {
  for (const size_t absent : {0, 1, 2}) {
    CAPTURE(absent);
    // The second election begins as soon as the first one can: one or two
    // timeouts after it.
    CHECK(LongestOf99(absent) <= kSpread + 4 * kVacancyTimeout);
  }
}

TEST_CASE("a member of greater name that cannot win does not stop the others") {
  for (uint64_t seed = 1; seed <= 500; ++seed) {
    CAPTURE(seed);
    // All three votes that are left are needed, and only member 1 can get them.
    Restart restart(seed, 2);
    restart.cut = {0, 2};
    CHECK(restart.UntilLeader() < kGiveUp);
  }
}

}  // namespace
}  // namespace samphirebank::consensus
