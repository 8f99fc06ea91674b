#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "samphirebank/contracts/contracts.h"

namespace samphirebank::contracts {
namespace {

Command Put(const std::string& change, const std::string& organisation,
            std::optional<Revision> expected, uint32_t weight = 1) {
  return {.change = ChangeId(change),
          .author = "author of " + change,
          .expected = expected,
          .action = PutContract{{.organisation = OrganisationId(organisation),
                                 .weight = weight}}};
}

Command Withdraw(const std::string& change, const std::string& organisation,
                 std::optional<Revision> expected) {
  return {.change = ChangeId(change),
          .expected = expected,
          .action = WithdrawContract{OrganisationId(organisation)}};
}

TEST_CASE(
    "of two commands with the same expected revision, the second is rejected") {
  Machine machine;
  CHECK(Apply(machine, Put("a", "org", Revision(0))).revision == Revision(1));
  CHECK(Apply(machine, Put("b", "org", Revision(1))).revision == Revision(2));
  const CommandResult rejected = Apply(machine, Put("c", "org", Revision(1)));
  CHECK(rejected == CommandResult{.status = CommandStatus::kConflict,
                                  .revision = Revision(2),
                                  .winner = ChangeId("b"),
                                  .winner_author = "author of b"});
  Apply(machine, Withdraw("d", "org", Revision(2)));
  CHECK(Apply(machine, Put("e", "org", Revision(2))).winner == ChangeId("d"));
}

TEST_CASE("a retried change returns its first result, also after a snapshot") {
  Machine machine;
  const Command first = Put("a", "org", Revision(0));
  const CommandResult accepted = Apply(machine, first);
  Apply(machine, Put("b", "org", Revision(1)));
  const auto restored = DecodeMachine(EncodeMachine(machine));
  REQUIRE(restored);
  CHECK(*restored == machine);
  Machine copy = *restored;
  CHECK(Apply(copy, first) == accepted);
  CHECK(copy == machine);
  CHECK(Apply(copy, Put("a", "other", Revision(0))).status ==
        CommandStatus::kChangeReused);
}

TEST_CASE("an assignment's epoch must increase") {
  Machine machine;
  const auto assign = [](const char* change, uint64_t epoch) {
    return Command{
        .change = ChangeId(change),
        .action = AssignScheduler{.assignment = {.epoch = Epoch(epoch)}}};
  };
  CHECK(Apply(machine, assign("a", 2)).status == CommandStatus::kAccepted);
  CHECK(Apply(machine, assign("b", 2)).status == CommandStatus::kConflict);
  CHECK(Apply(machine, assign("c", 3)).status == CommandStatus::kAccepted);
}

TEST_CASE("recorded results and changes are limited in number") {
  Machine machine;
  for (size_t i = 0; i < kMaxRecordedResults + 10; ++i) {
    Apply(machine, Put(std::to_string(i), "org", std::nullopt));
  }
  CHECK(machine.recorded_results.size() == kMaxRecordedResults);
  CHECK(machine.history.changes.size() == kMaxRetainedChanges);
  CHECK(!ChangesSince(machine.history, Revision(1), 10));
  const Revision newest = machine.history.configuration.revision;
  CHECK(ChangesSince(machine.history, newest, 10)->empty());
  CHECK(ChangesSince(machine.history, newest.Next(), 10)->empty());
}

// NaiveStore is a minimal reference implementation of the same semantics.
struct NaiveStore {
  struct Record {
    uint64_t revision = 0;  // 0: absent
    uint32_t weight = 0;
    std::string writer;
  };
  uint64_t revision = 0;
  std::map<std::string, Record> records;
  std::map<std::string, CommandResult> results;

  CommandResult Write(const std::string& change,
                      const std::string& organisation,
                      std::optional<Revision> expected,
                      std::optional<uint32_t> weight) {
    if (this->results.contains(change)) return this->results[change];
    Record& record = this->records[organisation];
    const bool conflict = (expected && expected->value != record.revision) ||
                          (!weight && record.revision == 0);
    CommandResult result;
    if (conflict) {
      result = {.status = CommandStatus::kConflict,
                .revision = Revision(record.revision),
                .winner = ChangeId(record.writer)};
    } else {
      ++this->revision;
      record = {.revision = weight ? this->revision : 0,
                .weight = weight.value_or(0),
                .writer = change};
      result.revision = Revision(this->revision);
    }
    this->results[change] = result;
    return result;
  }
};

TEST_CASE("the machine agrees with a reference implementation") {
  CHECK(rc::check("machine = naive store", [] {
    Machine machine;
    NaiveStore naive;
    std::vector<Command> sent;
    const int steps = *rc::gen::inRange(1, 60);
    for (int i = 0; i < steps; ++i) {
      const auto name = "org" + std::to_string(*rc::gen::inRange(0, 3));
      const auto expected = Revision(*rc::gen::inRange(0, i + 1));
      const bool any = *rc::gen::inRange(0, 3) == 0;
      const bool withdraw = *rc::gen::inRange(0, 4) == 0;
      Command command = withdraw ? Withdraw(std::to_string(i), name, expected)
                                 : Put(std::to_string(i), name, expected,
                                       static_cast<uint32_t>(i));
      if (any) command.expected = std::nullopt;
      if (!sent.empty() && *rc::gen::inRange(0, 4) == 0) {
        command = sent[*rc::gen::inRange<size_t>(0, sent.size())];
      }
      sent.push_back(command);
      const auto* put = std::get_if<PutContract>(&command.action);
      CommandResult result = Apply(machine, command);
      result.winner_author.clear();
      RC_ASSERT(result ==
                naive.Write(command.change.value,
                            put != nullptr
                                ? put->contract.organisation.value
                                : std::get<WithdrawContract>(command.action)
                                      .organisation.value,
                            command.expected,
                            put != nullptr ? std::optional(put->contract.weight)
                                           : std::nullopt));
      machine = *DecodeMachine(EncodeMachine(machine));
    }
    for (const auto& [name, record] : naive.records) {
      const auto& contracts = machine.history.configuration.contracts;
      const auto found = contracts.find(OrganisationId(name));
      RC_ASSERT((found != contracts.end()) == (record.revision != 0));
      if (record.revision == 0) continue;
      RC_ASSERT(found->second.revision.value == record.revision);
      RC_ASSERT(found->second.value.weight == record.weight);
    }
  }));
}

TEST_CASE("a history fed with changes never goes back and converges") {
  CHECK(rc::check("changes in any order of delivery", [] {
    Machine machine;
    History follower;
    const int steps = *rc::gen::inRange(1, 40);
    std::vector<std::vector<Change>> deliveries;
    for (int i = 0; i < steps; ++i) {
      Apply(machine, Put(std::to_string(i), "org" + std::to_string(i % 5),
                         std::nullopt, static_cast<uint32_t>(i)));
      const auto after = Revision(*rc::gen::inRange(0, i + 1));
      const auto limit = *rc::gen::inRange<size_t>(1, 10);
      deliveries.push_back(*ChangesSince(machine.history, after, limit));
      const auto& delivery =
          deliveries[*rc::gen::inRange<size_t>(0, deliveries.size())];
      const Revision before = follower.configuration.revision;
      ApplyChanges(follower, delivery);
      RC_ASSERT(follower.configuration.revision >= before);
    }
    while (follower.configuration.revision <
           machine.history.configuration.revision) {
      RC_ASSERT(ApplyChanges(
          follower,
          *ChangesSince(machine.history, follower.configuration.revision, 3)));
    }
    RC_ASSERT(follower == machine.history);
  }));
}

}  // namespace
}  // namespace samphirebank::contracts
