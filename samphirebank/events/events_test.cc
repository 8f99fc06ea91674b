#include "samphirebank/events/events.h"

#include <doctest/doctest.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace samphirebank::events {
namespace {

std::string ReadAll(const std::string& path) {
  std::ostringstream content;
  content << std::ifstream(path).rdbuf();
  return std::move(content).str();
}

TEST_CASE("docs/EVENTS.md is the catalogue") {
  CHECK(ReadAll(EVENTS_PAGE) == CataloguePage());
}

TEST_CASE("numbers and names are unique and rise") {
  for (size_t i = 1; i < Catalogue().size(); ++i) {
    CHECK(Catalogue()[i - 1].number < Catalogue()[i].number);
    for (size_t j = 0; j < i; ++j) {
      CHECK(Catalogue()[i].name != Catalogue()[j].name);
    }
  }
}

TEST_CASE("stamps rise within a clock and after a received stamp") {
  Clock clock;
  const Stamp first = Tick(clock, 1000);
  const Stamp second = Tick(clock, 900);
  CHECK(first < second);
  Merge(clock, Stamp{.wall_ms = 5000, .logical = 3}, 1001);
  CHECK(Tick(clock, 1002) == Stamp{.wall_ms = 5000, .logical = 4});
  Merge(clock, Stamp{.wall_ms = 900'000, .logical = 0}, 1003);
  CHECK(Tick(clock, 1004).wall_ms == 5000);
}

TEST_CASE("a logged line has its source and only the fields that are set") {
  const std::string path = "events_test." + std::to_string(getpid()) + ".log";
  Log({.number = Number::kProcessReady});  // dropped: not open yet
  Open({.instance = InstanceId("r1"),
        .role = "router",
        .boot = BootId(7),
        .file = path});
  Log({.number = Number::kRequestDispatched,
       .request = RequestId("q\"1\xff"),
       .target = TargetId("t1"),
       .epoch = Epoch(3),
       .outcome = "ran"});
  Log({.number = Number::kRequestQueued});  // below the lowest severity
  Close();
  const nlohmann::json line = nlohmann::json::parse(ReadAll(path));
  std::remove(path.c_str());
  CHECK(line["event"] == 204);
  CHECK(line["name"] == "request-dispatched");
  CHECK(line["instance"] == "r1");
  CHECK(line["boot"] == 7);
  CHECK(line["target"] == "t1");
  CHECK(line["epoch"] == 3);
  CHECK(!line.contains("organisation"));
  CHECK(line["undeclared"] == nlohmann::json::array({"outcome"}));
}

TEST_CASE("lines of one kind are bounded by second, and counted") {
  LineBudget budget;
  for (uint32_t i = 0; i < kMostLinesPerSecond; ++i) {
    REQUIRE(TakeLine(budget, Number::kRequestRefused, 5'000));
  }
  CHECK_FALSE(TakeLine(budget, Number::kRequestRefused, 5'999));
  CHECK(budget.left_out == 1);
  CHECK(TakeLine(budget, Number::kRequestAnswered, 5'999));
  CHECK(TakeLine(budget, Number::kRequestRefused, 6'000));
}

TEST_CASE("nobody has to read standard output") {
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  const int kept = dup(STDOUT_FILENO);
  dup2(ends[1], STDOUT_FILENO);
  Open({.instance = InstanceId("r1"), .role = "router", .file = "-"});
  const std::string detail(900, 'x');
  for (int kind = 200; kind <= 210; ++kind) {
    for (uint32_t i = 0; i < kMostLinesPerSecond; ++i) {
      Log({.number = static_cast<Number>(kind), .detail = detail});
    }
  }
  dup2(kept, STDOUT_FILENO);
  Close();
  for (const int descriptor : {kept, ends[0], ends[1]}) close(descriptor);
}

}  // namespace
}  // namespace samphirebank::events
