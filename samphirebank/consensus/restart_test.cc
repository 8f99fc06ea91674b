// Simulates a restart of all members and limits the time until a leader is
// elected.
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
constexpr Duration kOneWayDelay = milliseconds(32);  // between regions
constexpr Duration kSyncDelay = milliseconds(5);
constexpr Duration kElectionTimeout = milliseconds(1000);
constexpr Duration kLeaderlessTimeout = milliseconds(400);
// All members start within this time of each other.
constexpr Duration kStartSpread = milliseconds(150);
constexpr Duration kMaxElectionTime = std::chrono::seconds(60);

MemberId MakeId(size_t i) {
  return {.instance = InstanceId("c" + std::to_string(i)),
          .storage = StorageId(100 + i)};
}

// RestartSimulation runs members that start at random times, with disk and link
// delays. Messages to a member that has not started are lost.
struct RestartSimulation {
  std::mt19937_64 random;
  std::vector<TimePoint> starts{};
  std::vector<std::optional<State>> members{kMembers};
  std::multimap<TimePoint, std::pair<size_t, Event>> scheduled_events{};
  TimePoint now{};
  // All messages between these two members are lost.
  std::optional<std::pair<size_t, size_t>> partitioned_pair{};

  // The last `num_absent` of the voters do not start.
  explicit RestartSimulation(uint64_t seed, size_t num_absent) : random(seed) {
    std::uniform_int_distribution<int64_t> offset(0, kStartSpread.count());
    for (size_t i = 0; i + num_absent < kMembers; ++i) {
      this->starts.emplace_back(Duration(offset(this->random)));
      this->scheduled_events.emplace(this->starts[i],
                                     std::pair(i, Event(Tick{})));
    }
  }

  State StartMember(size_t i) {
    Membership initial;
    for (size_t k = 0; k < kMembers; ++k) initial.voters.insert(MakeId(k));
    return Start({.self = MakeId(i),
                  .seed = this->random(),
                  .election_timeout = kElectionTimeout,
                  .leaderless_election_timeout = kLeaderlessTimeout},
                 {.hard_state = {.term = Term(1)},
                  .entries = {{.index = LogIndex(1),
                               .term = Term(1),
                               .kind = EntryKind::kMembership,
                               .payload = wire::EncodeFields(initial)}}},
                 this->now);
  }

  bool IsPartitioned(size_t from, size_t to) const {
    return this->partitioned_pair &&
           (*this->partitioned_pair == std::pair(from, to) ||
            *this->partitioned_pair == std::pair(to, from));
  }

  void Process(size_t i, const Event& event) {
    if (!this->members[i]) {
      const bool is_start = std::holds_alternative<Tick>(event);
      if (!is_start) return;
      this->members[i] = this->StartMember(i);
    }
    Actions actions = Step(*this->members[i], event, this->now);
    for (Message& message : actions.messages) {
      for (size_t to = 0; to < kMembers; ++to) {
        if (MakeId(to) != message.to || this->IsPartitioned(i, to)) continue;
        this->scheduled_events.emplace(
            this->now + kOneWayDelay,
            std::pair(to, Event(Received{std::move(message)})));
        break;
      }
    }
    if (actions.persist) {
      this->scheduled_events.emplace(
          this->now + kSyncDelay,
          std::pair(i, Event(Persisted{actions.persist->ticket})));
    }
    if (std::holds_alternative<Tick>(event)) {
      this->scheduled_events.emplace(this->now + kTick,
                                     std::pair(i, Event(Tick{})));
    }
  }

  bool HasLeader() const {
    return std::ranges::any_of(this->members, [](const auto& member) {
      return member && member->role == Role::kLeader;
    });
  }

  // TimeUntilLeader returns the time from the first start until a leader is
  // elected; at least kMaxElectionTime if none is.
  Duration TimeUntilLeader() {
    const TimePoint first = *std::ranges::min_element(this->starts);
    while (!this->HasLeader() && this->now - first < kMaxElectionTime) {
      const auto next = this->scheduled_events.begin();
      const auto [member, event] = std::move(next->second);
      this->now = next->first;
      this->scheduled_events.erase(next);
      this->Process(member, event);
    }
    return this->now - first;
  }
};

// Percentile99TimeUntilLeader returns the time within which 99 of 100 restarts
// elect a leader.
Duration Percentile99TimeUntilLeader(size_t num_absent) {
  constexpr size_t kRestarts = 500;
  std::vector<Duration> durations;
  for (uint64_t seed = 1; seed <= kRestarts; ++seed) {
    durations.push_back(RestartSimulation(seed, num_absent).TimeUntilLeader());
  }
  std::ranges::sort(durations);
  const auto ms = [&](size_t i) { return durations[i] / milliseconds(1); };
  MESSAGE(num_absent, " absent: median ", ms(kRestarts / 2),
          " ms, 90th percentile ", ms(kRestarts * 9 / 10), " ms, maximum ",
          ms(kRestarts - 1), " ms");
  return durations[kRestarts * 99 / 100];
}

TEST_CASE("a restarted group elects a leader soon, even after a split vote") {
  for (const size_t num_absent : {0, 1, 2}) {
    CAPTURE(num_absent);
    // The first election starts one to two timeouts after a member's start, and
    // the second one to two timeouts after the first.
    CHECK(Percentile99TimeUntilLeader(num_absent) <=
          kStartSpread + 4 * kLeaderlessTimeout);
  }
}

TEST_CASE("a member with the greatest id that cannot win blocks no election") {
  for (uint64_t seed = 1; seed <= 500; ++seed) {
    CAPTURE(seed);
    // All three remaining votes are needed, and only member 1 can receive them.
    RestartSimulation restart(seed, 2);
    restart.partitioned_pair = {0, 2};
    CHECK(restart.TimeUntilLeader() < kMaxElectionTime);
  }
}

}  // namespace
}  // namespace samphirebank::consensus
