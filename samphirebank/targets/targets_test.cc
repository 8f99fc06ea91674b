#include "samphirebank/targets/targets.h"

#include <doctest/doctest.h>

#include <string>

namespace samphirebank::targets {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{};

Announcement SampleAnnouncement() {
  return ParseAnnouncement(
             R"({"id":"t1","region":"r","availability_zone":"z",
                 "address":"127.0.0.1:9","slots":4,"renew_ms":1000,
                 "services":[{"name":"m"},{"name":"s","kind":"service"}]})")
      .announcement;
}

TEST_CASE("an announcement's faults are reported together") {
  const ParsedAnnouncement parsed = ParseAnnouncement(
      R"({"id":"","region":"r","availability_zone":"z","address":"host:1",
          "slots":-1,"renew_ms":5,"services":[{"kind":"x"}]})");
  CHECK(parsed.findings.all().size() == 6);
  CHECK(ParseAnnouncement("[1").findings.all().size() == 1);
  const ParsedAnnouncement wrong_kind = ParseAnnouncement(
      R"({"id":"t","region":"r","availability_zone":"z",
          "address":"127.0.0.1:1","services":[{"name":"s","kind":5}]})");
  CHECK(wrong_kind.findings.all().size() == 1);
  const ParsedAnnouncement no_port = ParseAnnouncement(
      R"({"id":"t","region":"r","availability_zone":"z",
          "address":"127.0.0.1:0","services":[{"name":"s"}]})");
  CHECK(no_port.findings.all().size() == 1);
  constexpr size_t kDepth = 1'000'000;
  const std::string deep = R"({"services":)" + std::string(kDepth, '[') +
                           std::string(kDepth, ']') + "}";
  CHECK(ParseAnnouncement(deep).findings.all().size() == 1);
  CHECK(!ParseLoad(deep).has_value());
}

TEST_CASE(
    "an announced target is forwarded once per service, then periodically") {
  Registry registry;
  Announce(registry, SampleAnnouncement(), 7, kStart);
  const auto first = TakeDueStates(registry, kStart);
  REQUIRE(first.size() == 2);
  CHECK(first[0].pool == PoolId{RegionId("r"), ServiceId("m")});
  CHECK(first[0].incarnation == 7);
  CHECK(TakeDueStates(registry, kStart + milliseconds(500)).empty());
  Announce(registry, SampleAnnouncement(), 900, kStart + milliseconds(600));
  const auto renewed = TakeDueStates(registry, kStart + milliseconds(600));
  REQUIRE(renewed.size() == 2);
  CHECK(renewed[0].incarnation == 7);
  CHECK(renewed[0].sequence == 2);
}

TEST_CASE("a renewal without a load report keeps the target, not its load") {
  Registry registry;
  Announce(registry, SampleAnnouncement(), 7, kStart);
  ReportLoad(registry, TargetId("t1"), {.running = 3}, kStart);
  TakeDueStates(registry, kStart);
  const TimePoint later = kStart + milliseconds(2900);
  Announce(registry, SampleAnnouncement(), 8, later);
  CHECK(TakeDueStates(registry, later).at(0).running == 3);
  const TimePoint last = kStart + milliseconds(4000);
  Announce(registry, SampleAnnouncement(), 9, last);
  const auto states = TakeDueStates(registry, last);
  REQUIRE(states.size() == 2);
  CHECK(states[0].age_ms == 0);
  CHECK(states[0].running == 0);
}

TEST_CASE("a leaving target is forwarded at once; an expired one is evicted") {
  Registry registry;
  Announce(registry, SampleAnnouncement(), 7, kStart);
  TakeDueStates(registry, kStart);
  CHECK(MarkLeaving(registry, TargetId("t1"), kStart + milliseconds(1)));
  const auto states = TakeDueStates(registry, kStart + milliseconds(1));
  REQUIRE(states.size() == 2);
  CHECK(states[0].intent == contracts::TargetIntent::kLeaving);
  TakeDueStates(registry, kStart + milliseconds(4000));
  CHECK(registry.records.empty());
  CHECK(!ReportLoad(registry, TargetId("t1"), {}, kStart));
}

TEST_CASE("a target that announces again after leaving serves again") {
  Registry registry;
  Announce(registry, SampleAnnouncement(), 7, kStart);
  MarkLeaving(registry, TargetId("t1"), kStart);
  Announce(registry, SampleAnnouncement(), 9, kStart + milliseconds(5));
  const auto states = TakeDueStates(registry, kStart + milliseconds(5));
  REQUIRE(states.size() == 2);
  CHECK(states[0].intent == contracts::TargetIntent::kServing);
  CHECK(states[0].incarnation == 9);
}

}  // namespace
}  // namespace samphirebank::targets
