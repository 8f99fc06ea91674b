#include "samphirebank/soak/internal/ledger.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <set>
#include <string>

namespace samphirebank::soak {
namespace {

using routes::RetryPolicy;
using std::chrono::milliseconds;
using std::chrono::seconds;

const RequestId kId("q1");
const TimePoint kStart{seconds(100)};

SentRequest Once() {
  return {.gateway = 1,
          .target = "/once/1",
          .body = "b",
          .organisation = OrganisationId("o1"),
          .service = ServiceId("plain")};
}

TargetRun RunOf(const SentRequest& sent) {
  return {.target = TargetId("t1"),
          .service = sent.service,
          .organisation = sent.organisation,
          .path = sent.target,
          .body = sent.body};
}

CallerAnswer Good() {
  return {.end = CallerEnd::kAnswered,
          .status = 200,
          .sealed = true,
          .body = PlainBody(kId)};
}

// Kept is a ledger in which all promises were kept: one request was served,
// after the faults, and version 4 was accepted and read back.
Ledger Kept() {
  Ledger ledger;
  NoteSent(ledger, kId, Once(), kStart);
  NoteRun(ledger, kId, RunOf(Once()), kStart + milliseconds(5));
  NoteAnswer(ledger, kId, Good(), kStart + milliseconds(9));
  ledger.quiet_since = kStart - seconds(20);
  ledger.tables_sent[4] = "four";
  ledger.tables_sent_at[4] = kStart;
  ledger.tables_accepted[4] = kStart + milliseconds(20);
  ledger.table_read_back = "four";
  return ledger;
}

void Replace(Ledger& ledger, CallerAnswer answer) {
  ledger.requests.at(kId).answer = std::move(answer);
}

bool Finds(const Ledger& ledger, const std::string& text) {
  const std::vector<std::string> findings = Judge(ledger, {});
  return std::ranges::any_of(findings, [&](const std::string& finding) {
    return finding.find(text) != std::string::npos;
  });
}

Probe ProbeOf(uint64_t version, bool in_force, TimePoint at) {
  return {.gateway = 1,
          .incarnation = 1,
          .version = version,
          .in_force = in_force,
          .sent_at = at,
          .answered_at = at + milliseconds(2)};
}

TEST_CASE("kept promises give no finding") { CHECK(Judge(Kept(), {}).empty()); }

TEST_CASE("a second run counts only for what may run once") {
  Ledger ledger = Kept();
  NoteRun(ledger, kId, RunOf(Once()), kStart);
  CHECK(Finds(ledger, "ran more than once"));
  ledger.requests.at(kId).sent.repetition = RetryPolicy::kRetry;
  CHECK_FALSE(Finds(ledger, "ran more than once"));
}

TEST_CASE("a run that nobody asked for, or asked for otherwise") {
  Ledger ledger = Kept();
  NoteRun(ledger, RequestId("other"), RunOf(Once()), kStart);
  CHECK(Finds(ledger, "no caller sent"));
  ledger = Kept();
  ledger.requests.at(kId).runs[0].run.body = "c";
  CHECK(Finds(ledger, "another path or body"));
  ledger = Kept();
  ledger.requests.at(kId).runs[0].run.organisation = OrganisationId("o2");
  CHECK(Finds(ledger, "another organisation"));
  ledger = Kept();
  ledger.requests.at(kId).runs[0].run.service = ServiceId("engine");
  CHECK(Finds(ledger, "does not name"));
}

// EventsBy returns the first two events of a stream, each by a version.
std::string EventsBy(size_t first, size_t second) {
  const auto& versions = SoftwareVersions();
  return EventText(kId, 1, versions[first]) +
         EventText(kId, 2, versions[second]);
}

TEST_CASE("a stream holds events of one software version, whole or not") {
  Ledger ledger = Kept();
  SentRequest& sent = ledger.requests.at(kId).sent;
  sent.streamed = true;
  const auto judge = [&](const std::string& received, const std::string& body) {
    sent.received = received;
    Replace(ledger, {.end = CallerEnd::kBroken, .status = 200, .body = body});
    return Finds(ledger, "events of two runs");
  };
  CHECK_FALSE(judge("", EventsBy(0, 0)));
  CHECK_FALSE(judge("", EventsBy(1, 1)));
  CHECK(judge("", EventsBy(0, 1)));
  // Over its caller's tries.
  const std::string first = EventText(kId, 1, SoftwareVersions()[0]);
  CHECK_FALSE(judge(first, EventText(kId, 2, SoftwareVersions()[0])));
  CHECK(judge(first, EventText(kId, 2, SoftwareVersions()[1])));
}

TEST_CASE("a refusal must be true") {
  Ledger ledger = Kept();
  Replace(ledger, {.end = CallerEnd::kAnswered, .status = 503});
  CHECK(Finds(ledger, "said not to have run"));
  ledger.requests.at(kId).runs.clear();
  CHECK_FALSE(Finds(ledger, "said not to have run"));
}

TEST_CASE("an answer must be the target's, and whole") {
  Ledger ledger = Kept();
  CallerAnswer answer = Good();
  answer.sealed = false;
  Replace(ledger, answer);
  CHECK(Finds(ledger, "success of our own"));
  answer = Good();
  answer.body.pop_back();
  Replace(ledger, answer);
  CHECK(Finds(ledger, "looks whole"));
  // One that does not look whole is no finding.
  answer.end = CallerEnd::kBroken;
  Replace(ledger, answer);
  CHECK_FALSE(Finds(ledger, "looks whole"));
  answer = {.end = CallerEnd::kAnswered, .status = 404};
  Replace(ledger, answer);
  CHECK(Finds(ledger, "denied"));
}

TEST_CASE("what was passed on is answered, unless a fault hit the gateway") {
  Ledger ledger = Kept();
  Replace(ledger, {.end = CallerEnd::kBroken});
  CHECK(Finds(ledger, "dropped"));
  ledger.disturbances.push_back({.gateway = 1,
                                 .is_planned = true,
                                 .from = kStart,
                                 .until = kStart + seconds(1)});
  CHECK(Finds(ledger, "dropped"));
  ledger.disturbances[0].is_planned = false;
  CHECK_FALSE(Finds(ledger, "dropped"));
}

TEST_CASE("a request is not held past its time") {
  Ledger ledger = Kept();
  Replace(ledger, {.end = CallerEnd::kOverdue});
  CHECK(Finds(ledger, "held past its time"));
}

TEST_CASE("a target that leaves gets no work after the bound") {
  Ledger ledger = Kept();
  ledger.leaving_since[TargetId("t1")] = kStart - milliseconds(2900);
  CHECK_FALSE(Finds(ledger, "that leaves"));
  ledger.leaving_since[TargetId("t1")] = kStart - milliseconds(3100);
  CHECK(Finds(ledger, "that leaves"));
}

TEST_CASE("too few are served after the faults") {
  Ledger ledger = Kept();
  for (int i = 0; i < 4; ++i) {
    const RequestId id("r" + std::to_string(i));
    NoteSent(ledger, id, Once(), kStart);
    NoteAnswer(ledger, id, {.end = CallerEnd::kAnswered, .status = 503},
               kStart);
  }
  CHECK(Finds(ledger, "1 of 5 requests"));
  ledger.requests.erase(RequestId("r0"));
  CHECK_FALSE(Finds(ledger, "requests were served"));
}

TEST_CASE("repeats over the whole fleet stay within the budget") {
  Ledger ledger = Kept();
  RequestRecord& record = ledger.requests.at(kId);
  record.sent.repetition = RetryPolicy::kRetry;
  // 20 + 0.2 of one request.
  for (int i = 0; i < 20; ++i) NoteRun(ledger, kId, RunOf(Once()), kStart);
  CHECK_FALSE(Finds(ledger, "repeats"));
  NoteRun(ledger, kId, RunOf(Once()), kStart);
  CHECK(Finds(ledger, "21 repeats"));
}

TEST_CASE("an accepted table is in force in time") {
  Ledger ledger = Kept();
  ledger.probes.push_back(ProbeOf(4, false, kStart + milliseconds(3000)));
  CHECK_FALSE(Finds(ledger, "is late"));
  ledger.probes.push_back(ProbeOf(4, false, kStart + milliseconds(3100)));
  CHECK(Finds(ledger, "version 4 is late at gateway 1"));
  ledger.disturbances.push_back(
      {.from = kStart - seconds(1), .until = kStart - milliseconds(500)});
  CHECK_FALSE(Finds(ledger, "is late"));
}

TEST_CASE("a table does not come back within one run of a gateway") {
  Ledger ledger = Kept();
  ledger.probes.push_back(ProbeOf(4, true, kStart));
  ledger.probes.push_back(ProbeOf(3, true, kStart + milliseconds(200)));
  CHECK_FALSE(Finds(ledger, "in force again"));
  ledger.probes.push_back(ProbeOf(3, true, kStart + milliseconds(300)));
  CHECK(Finds(ledger, "version 3 is in force again after version 4"));
  ledger.probes.back().incarnation = 2;
  CHECK_FALSE(Finds(ledger, "in force again"));
}

TEST_CASE("what was accepted is read back") {
  Ledger ledger = Kept();
  ledger.table_read_back = "three";
  CHECK(Finds(ledger, "was never sent"));
  ledger.table_read_back.reset();
  CHECK(Finds(ledger, "cannot be read"));
  // One without a clear answer may be in force.
  ledger.tables_sent[5] = "five";
  ledger.table_read_back = "five";
  CHECK_FALSE(Finds(ledger, "read"));
}

TEST_CASE("a request runs in allowed regions only") {
  Ledger ledger = Kept();
  RequestRecord& record = ledger.requests.at(kId);
  record.runs[0].run.region = RegionId("r");
  record.sent.route_regions = {RegionId("r"), RegionId("s")};
  CHECK_FALSE(Finds(ledger, "not allowed"));
  record.sent.organisation_regions = {RegionId("s")};
  CHECK(Finds(ledger, "ran in the region r, which is not allowed"));
  record.sent.organisation_regions.clear();
  record.sent.route_regions = {RegionId("s")};
  CHECK(Finds(ledger, "ran in the region r, which is not allowed"));
}

ZoneOrder OrderOf(bool evacuate, TimePoint acknowledged_at) {
  return {.zone = ZoneId("z"),
          .evacuate = evacuate,
          .sent_at = acknowledged_at - milliseconds(20),
          .ended_at = acknowledged_at,
          .status = 200};
}

// Evacuated is a ledger whose request ran in the zone "z", which was evacuated
// `before` that.
Ledger Evacuated(Duration before) {
  Ledger ledger = Kept();
  RequestRecord::Run& item = ledger.requests.at(kId).runs[0];
  item.run.zone = ZoneId("z");
  ledger.zone_orders = {OrderOf(true, item.at - before)};
  ledger.zones_read_back = std::set<ZoneId>{ZoneId("z")};
  return ledger;
}

TEST_CASE("an evacuated zone gets no request after the bound") {
  CHECK_FALSE(Finds(Evacuated(milliseconds(4900)), "evacuated zone"));
  CHECK(Finds(Evacuated(milliseconds(5100)), "reached the evacuated zone z"));
  // From the withdrawal on it may get some.
  Ledger ledger = Evacuated(milliseconds(5100));
  ledger.zone_orders.push_back(OrderOf(false, kStart));
  CHECK_FALSE(Finds(ledger, "evacuated zone"));
  ledger.zone_orders.back().zone = ZoneId("y");
  CHECK(Finds(ledger, "evacuated zone"));
}

TEST_CASE("only a gateway that was disturbed may miss an evacuation") {
  Ledger ledger = Evacuated(milliseconds(5100));
  ledger.disturbances.push_back(
      {.gateway = 2, .from = kStart - seconds(2), .until = kStart});
  ledger.disturbances.push_back({.from = kStart - seconds(2), .until = kStart});
  CHECK(Finds(ledger, "evacuated zone"));
  ledger.disturbances[1].cuts_off = true;
  CHECK_FALSE(Finds(ledger, "evacuated zone"));
  ledger.disturbances[1].cuts_off = false;
  ledger.disturbances[0].gateway = 1;
  CHECK_FALSE(Finds(ledger, "evacuated zone"));
}

TEST_CASE("the zones at the end are those of the last orders") {
  Ledger ledger = Evacuated(milliseconds(0));
  CHECK_FALSE(Finds(ledger, "at the end"));
  ledger.zone_orders.push_back(OrderOf(false, kStart + seconds(1)));
  CHECK(Finds(ledger, "zone z is evacuated at the end"));
  // A try of the contrary order that had no answer may come late.
  ledger.zone_orders[0].is_unclear = true;
  CHECK_FALSE(Finds(ledger, "at the end"));
  ledger.zone_orders[1].sent_at = kStart + seconds(8);
  CHECK(Finds(ledger, "zone z is evacuated at the end"));
  ledger.zones_read_back->clear();
  CHECK_FALSE(Finds(ledger, "zone"));
  ledger.zone_orders.pop_back();
  CHECK(Finds(ledger, "zone z is not evacuated at the end"));
  ledger.zones_read_back = std::set<ZoneId>{ZoneId("z"), ZoneId("y")};
  CHECK(Finds(ledger, "zone y was never evacuated"));
  ledger.zones_read_back.reset();
  CHECK(Finds(ledger, "zones cannot be read"));
}

TEST_CASE("a cold target gets at most its limit in any second") {
  Ledger ledger = Kept();
  std::vector<ColdRequest>& received = ledger.cold_requests[TargetId("t1")];
  // 12.8 is the limit.
  for (int i = 0; i < 12; ++i) {
    received.push_back(
        {.at = kStart + milliseconds(80 * i), .from_start = true});
  }
  received.push_back({.at = kStart + milliseconds(1000), .from_start = true});
  CHECK_FALSE(Finds(ledger, "cold target"));
  received.back().at = kStart + milliseconds(999);
  CHECK(Finds(ledger, "the cold target t1 received 13 requests"));
  // A gateway that was disturbed need not know what turned cold in its run.
  ledger.disturbances.push_back({.gateway = 2,
                                 .from = kStart - seconds(2),
                                 .until = kStart - seconds(1)});
  CHECK(Finds(ledger, "cold target"));
  received.back().from_start = false;
  CHECK_FALSE(Finds(ledger, "cold target"));
}

}  // namespace
}  // namespace samphirebank::soak
