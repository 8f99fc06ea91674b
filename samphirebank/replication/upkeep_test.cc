#include "samphirebank/replication/internal/upkeep.h"

#include <doctest/doctest.h>

#include <string>

namespace samphirebank::replication {
namespace {

using consensus::ChangeKind;
using consensus::MemberId;
using consensus::Membership;
using consensus::MembershipChange;
using consensus::StorageId;
using std::chrono::seconds;

const TimePoint kStart{seconds(100)};

MemberId MakeMember(const std::string& instance, uint64_t storage = 1) {
  return {.instance = InstanceId(instance), .storage = StorageId(storage)};
}

// Group is a group of three voters, led by "a" since kStart. Tests set when the
// last message from each other member arrived.
struct Group {
  Membership membership{
      .voters = {MakeMember("a"), MakeMember("b"), MakeMember("c")}};
  std::map<MemberId, TimePoint> last_seen{};
  std::map<MemberId, TimePoint> departing{};
  std::map<MemberId, LogIndex> match_indexes{};
  bool is_settled = true;
  std::optional<MemberId> previous_leader{};

  GroupView View() const {
    return {.membership = this->membership,
            .self = MakeMember("a"),
            .last_seen = this->last_seen,
            .leader_since = kStart,
            .previous_leader = this->previous_leader,
            .match_indexes = this->match_indexes,
            .is_settled = this->is_settled,
            .departing = this->departing};
  }
  std::optional<MembershipChange> Plan(TimePoint now) const {
    return PlanMembershipChange(this->View(), {.desired_voters = 3}, now);
  }
  bool MayDepart(const MemberId& member, TimePoint now) const {
    return replication::MayDepart(this->View(), {.desired_voters = 3}, member,
                                  now);
  }
};

TEST_CASE("a group whose voters are all live is not changed") {
  Group group;
  group.last_seen = {{MakeMember("b"), kStart}, {MakeMember("c"), kStart}};
  CHECK_FALSE(group.Plan(kStart + seconds(1)));
}

TEST_CASE("a new member becomes a learner and replaces a timed-out voter") {
  Group group;
  const TimePoint now = kStart + seconds(4);
  group.last_seen = {{MakeMember("b"), now}, {MakeMember("d"), now}};
  auto change = group.Plan(now);
  REQUIRE(change);
  CHECK(change->kind == ChangeKind::kAddLearner);
  CHECK(change->member == MakeMember("d"));
  group.membership.learners.insert(MakeMember("d"));
  change = group.Plan(now);
  REQUIRE(change);
  CHECK(change->kind == ChangeKind::kReplace);
  CHECK(change->member == MakeMember("c"));
  CHECK(change->replacement == MakeMember("d"));
}

TEST_CASE("a new leader does not replace voters before the voter timeout") {
  Group group;
  const TimePoint now = kStart + seconds(2);
  group.last_seen = {{MakeMember("b"), now}, {MakeMember("d"), now}};
  group.membership.learners.insert(MakeMember("d"));
  CHECK_FALSE(group.Plan(now));
}

TEST_CASE("the vote of a lost data folder moves to the instance's new folder") {
  Group group;
  group.last_seen = {{MakeMember("b"), kStart},
                     {MakeMember("c"), kStart},
                     {MakeMember("c", 2), kStart + seconds(1)}};
  const TimePoint now = kStart + seconds(1);
  auto change = group.Plan(now);
  REQUIRE(change);
  CHECK(change->kind == ChangeKind::kAddLearner);
  CHECK(change->member == MakeMember("c", 2));
  group.membership.learners.insert(MakeMember("c", 2));
  change = group.Plan(now);
  REQUIRE(change);
  CHECK(change->kind == ChangeKind::kReplace);
  CHECK(change->member == MakeMember("c"));
  CHECK(change->replacement == MakeMember("c", 2));
}

TEST_CASE("only live learners are promoted to missing voters") {
  Group group;
  group.membership.voters.erase(MakeMember("c"));
  group.membership.learners = {MakeMember("d"), MakeMember("e")};
  const TimePoint now = kStart + seconds(2);
  group.last_seen = {{MakeMember("b"), now},
                     {MakeMember("d"), kStart},
                     {MakeMember("e"), now}};
  const auto change = group.Plan(now);
  REQUIRE(change);
  CHECK(change->kind == ChangeKind::kPromote);
  CHECK(change->member == MakeMember("e"));
}

TEST_CASE("a learner that timed out is removed") {
  Group group;
  group.membership.learners.insert(MakeMember("d"));
  const TimePoint now = kStart + seconds(31);
  group.last_seen = {{MakeMember("b"), now}, {MakeMember("c"), now}};
  const auto change = group.Plan(now);
  REQUIRE(change);
  CHECK(change->kind == ChangeKind::kRemoveLearner);
}

TEST_CASE("no change is planned while another one is in progress") {
  Group group;
  group.membership.outgoing = {MakeMember("a"), MakeMember("b")};
  group.last_seen = {{MakeMember("d"), kStart}};
  CHECK_FALSE(group.Plan(kStart));
}

// MakeGroupWithLearner returns a group with the learner "d", in which all are
// live at `now`.
Group MakeGroupWithLearner(TimePoint now) {
  Group group;
  group.membership.learners.insert(MakeMember("d"));
  for (const std::string name : {"b", "c", "d"}) {
    group.last_seen[MakeMember(name)] = now;
  }
  return group;
}

// Guards against a stopped voter that keeps its vote until it times out: the
// group then bears no further loss for seconds.
TEST_CASE("a learner replaces a voter that departs, also the leader, at once") {
  for (const std::string name : {"a", "b"}) {
    Group group = MakeGroupWithLearner(kStart);
    group.departing[MakeMember(name)] = kStart;
    const auto change = group.Plan(kStart);
    REQUIRE(change);
    CHECK(change->kind == ChangeKind::kReplace);
    CHECK(change->member == MakeMember(name));
    CHECK(change->replacement == MakeMember("d"));
  }
}

TEST_CASE("a voter may stop once the group has settled without its vote") {
  Group group = MakeGroupWithLearner(kStart);
  const MemberId leaver = MakeMember("b");
  group.departing[leaver] = kStart;
  CHECK_FALSE(group.MayDepart(leaver, kStart));
  group.membership = {
      .voters = {MakeMember("a"), MakeMember("c"), MakeMember("d")},
      .outgoing = {MakeMember("a"), leaver, MakeMember("c")}};
  group.is_settled = false;
  CHECK_FALSE(group.MayDepart(leaver, kStart));
  group.membership.outgoing.clear();
  CHECK_FALSE(group.MayDepart(leaver, kStart));
  group.is_settled = true;
  CHECK(group.MayDepart(leaver, kStart));
}

TEST_CASE("a voter whose vote nobody can take may stop at once") {
  Group group = MakeGroupWithLearner(kStart);
  group.departing[MakeMember("b")] = kStart;
  const TimePoint learner_is_silent = kStart + seconds(2);
  group.departing[MakeMember("b")] = learner_is_silent;
  CHECK(group.MayDepart(MakeMember("b"), learner_is_silent));
}

TEST_CASE("a voter that departs waits for a newcomer that is not added yet") {
  Group group = MakeGroupWithLearner(kStart);
  group.membership.learners.clear();
  group.departing[MakeMember("b")] = kStart;
  CHECK_FALSE(group.MayDepart(MakeMember("b"), kStart));
  const auto change = group.Plan(kStart);
  REQUIRE(change);
  CHECK(change->kind == ChangeKind::kAddLearner);
  CHECK(change->member == MakeMember("d"));
}

TEST_CASE("a member that departs is given no part in the group") {
  Group group = MakeGroupWithLearner(kStart);
  group.departing = {{MakeMember("b"), kStart}, {MakeMember("d"), kStart}};
  CHECK_FALSE(group.Plan(kStart));
  CHECK(group.MayDepart(MakeMember("b"), kStart));
  CHECK(group.MayDepart(MakeMember("d"), kStart));
  group.membership.learners.clear();
  CHECK_FALSE(group.Plan(kStart));
}

// Guards against a leader that was killed and never comes back, whose vote
// counted until the voter timeout had passed since the election.
TEST_CASE("a new leader replaces the old one 3 s after its last message") {
  const TimePoint now = kStart + seconds(1);
  Group group = MakeGroupWithLearner(now);
  group.previous_leader = MakeMember("c");
  group.last_seen[MakeMember("c")] = now - seconds(2);
  CHECK_FALSE(group.Plan(now));
  group.last_seen[MakeMember("c")] = now - seconds(3);
  const auto change = group.Plan(now);
  REQUIRE(change);
  CHECK(change->kind == ChangeKind::kReplace);
  CHECK(change->member == MakeMember("c"));
  CHECK(change->replacement == MakeMember("d"));
}

// Guards against a learner with a full or stalled disk that keeps a vote from a
// learner that has caught up.
TEST_CASE("the learner with the most of the log takes a vote") {
  Group group = MakeGroupWithLearner(kStart);
  group.membership.learners.insert(MakeMember("e"));
  group.last_seen[MakeMember("e")] = kStart;
  group.match_indexes = {{MakeMember("d"), LogIndex(3)},
                         {MakeMember("e"), LogIndex(900)}};
  group.departing[MakeMember("b")] = kStart;
  const auto change = group.Plan(kStart);
  REQUIRE(change);
  CHECK(change->replacement == MakeMember("e"));
}

TEST_CASE("a member that was restarted does not depart any more") {
  Group group = MakeGroupWithLearner(kStart + seconds(2));
  group.departing[MakeMember("b")] = kStart;
  CHECK_FALSE(group.Plan(kStart + seconds(2)));
}

}  // namespace
}  // namespace samphirebank::replication
