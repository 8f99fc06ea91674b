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

MemberId Name(const std::string& instance, uint64_t storage = 1) {
  return {.instance = InstanceId(instance), .storage = StorageId(storage)};
}

// Group is three voters, heard all the time unless a test says otherwise.
struct Group {
  Membership membership{.voters = {Name("a"), Name("b"), Name("c")}};
  std::map<MemberId, TimePoint> heard{};

  std::optional<MembershipChange> Plan(TimePoint now) const {
    return PlanUpkeep({.membership = this->membership,
                       .self = Name("a"),
                       .heard = this->heard,
                       .leads_since = kStart},
                      {.desired_voters = 3}, now);
  }
};

TEST_CASE("a whole group is left alone") {
  Group group;
  group.heard = {{Name("b"), kStart}, {Name("c"), kStart}};
  CHECK_FALSE(group.Plan(kStart + seconds(1)));
}

TEST_CASE("a newcomer learns, and takes the vote of a silent voter") {
  Group group;
  const TimePoint now = kStart + seconds(4);
  group.heard = {{Name("b"), now}, {Name("d"), now}};
  auto change = group.Plan(now);
  REQUIRE(change);
  CHECK(change->kind == ChangeKind::kAddLearner);
  CHECK(change->member == Name("d"));
  group.membership.learners.insert(Name("d"));
  change = group.Plan(now);
  REQUIRE(change);
  CHECK(change->kind == ChangeKind::kReplace);
  CHECK(change->member == Name("c"));
  CHECK(change->replacement == Name("d"));
}

TEST_CASE("a voter is not replaced before a new leader could hear it") {
  Group group;
  const TimePoint now = kStart + seconds(2);
  group.heard = {{Name("b"), now}, {Name("d"), now}};
  group.membership.learners.insert(Name("d"));
  CHECK_FALSE(group.Plan(now));
}

TEST_CASE("an empty folder at an old address gets the old folder's vote") {
  Group group;
  group.heard = {{Name("b"), kStart},
                 {Name("c"), kStart},
                 {Name("c", 2), kStart + seconds(1)}};
  const TimePoint now = kStart + seconds(1);
  auto change = group.Plan(now);
  REQUIRE(change);
  CHECK(change->kind == ChangeKind::kAddLearner);
  CHECK(change->member == Name("c", 2));
  group.membership.learners.insert(Name("c", 2));
  change = group.Plan(now);
  REQUIRE(change);
  CHECK(change->kind == ChangeKind::kReplace);
  CHECK(change->member == Name("c"));
  CHECK(change->replacement == Name("c", 2));
}

TEST_CASE("missing votes are filled by living learners only") {
  Group group;
  group.membership.voters.erase(Name("c"));
  group.membership.learners = {Name("d"), Name("e")};
  const TimePoint now = kStart + seconds(2);
  group.heard = {{Name("b"), now}, {Name("d"), kStart}, {Name("e"), now}};
  const auto change = group.Plan(now);
  REQUIRE(change);
  CHECK(change->kind == ChangeKind::kPromote);
  CHECK(change->member == Name("e"));
}

TEST_CASE("a learner that stays silent is dropped") {
  Group group;
  group.membership.learners.insert(Name("d"));
  const TimePoint now = kStart + seconds(31);
  group.heard = {{Name("b"), now}, {Name("c"), now}};
  const auto change = group.Plan(now);
  REQUIRE(change);
  CHECK(change->kind == ChangeKind::kRemoveLearner);
}

TEST_CASE("nothing is planned while a change is under way") {
  Group group;
  group.membership.outgoing = {Name("a"), Name("b")};
  group.heard = {{Name("d"), kStart}};
  CHECK_FALSE(group.Plan(kStart));
}

}  // namespace
}  // namespace samphirebank::replication
