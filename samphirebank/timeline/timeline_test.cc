#include "samphirebank/timeline/timeline.h"

#include <doctest/doctest.h>

namespace samphirebank::timeline {
namespace {

std::string LineOf(const std::string& instance, int64_t wall_ms,
                   uint32_t logical, const std::string& request) {
  return events::EventLine({.instance = InstanceId(instance), .role = "router"},
                           {.wall_ms = wall_ms, .logical = logical},
                           {.number = events::Number::kRequestDispatched,
                            .request = RequestId(request),
                            .target = TargetId("t1")}) +
         "\n";
}

TEST_CASE("logs merge in causal order and pass the filters") {
  Findings findings;
  std::vector<Line> lines = ReadLog(
      "a", LineOf("a", 10, 0, "q") + LineOf("a", 12, 1, "q"), &findings);
  const std::vector<Line> others = ReadLog(
      "b", LineOf("b", 12, 0, "q") + LineOf("b", 13, 0, "p"), &findings);
  lines.insert(lines.end(), others.begin(), others.end());
  CHECK(findings.empty());
  const std::vector<Line> merged = Merge(lines, {.request = "q"});
  REQUIRE(merged.size() == 3);
  CHECK(merged[0].stamp.wall_ms == 10);
  CHECK(merged[1].instance == InstanceId("b"));
  CHECK(merged[2].stamp.logical == 1);
  CHECK(Merge(lines, {.instance = "b"}).size() == 2);
  CHECK(Merge(lines, {.target = "t2"}).empty());
  CHECK(Merge(lines, {.from_ms = 12, .to_ms = 13}).size() == 2);
  CHECK(Merge(lines, {.event = 204}).size() == 4);
  CHECK(Describe(merged[0]) ==
        "10.0 a 204 request-dispatched request=q target=t1");
}

TEST_CASE("a torn last line is reported and the rest is kept") {
  Findings findings;
  const std::string whole = LineOf("a", 10, 0, "q");
  const std::vector<Line> lines =
      ReadLog("a.log", whole + "nonsense\n" + whole.substr(0, 20), &findings);
  CHECK(lines.size() == 1);
  REQUIRE(findings.all().size() == 2);
  CHECK(findings.all()[0].place == "a.log:2");
  CHECK(findings.all()[1].place == "a.log:3");
}

}  // namespace
}  // namespace samphirebank::timeline
