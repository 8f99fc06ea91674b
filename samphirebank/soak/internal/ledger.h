// File: ledger.h
//
// What callers, targets and the operator of a soak saw, and which promises
// were broken by it. Nothing here knows the processes under test. No I/O.
//
// Example:
//
//   NoteSent(ledger, id, request, now);
//   NoteRun(ledger, id, run, now);
//   NoteAnswer(ledger, id, answer, now);
//   for (const std::string& finding : Judge(ledger, bounds)) Print(finding);
#ifndef SAMPHIREBANK_SOAK_INTERNAL_LEDGER_H_
#define SAMPHIREBANK_SOAK_INTERNAL_LEDGER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "samphirebank/base/base.h"
#include "samphirebank/directory/directory.h"
#include "samphirebank/routes/routes.h"

namespace samphirebank::soak {

// SentRequest is a request as a caller sent it.
struct SentRequest {
  size_t gateway = 0;
  std::string target{};  // path and query
  std::string body{};
  OrganisationId organisation{};
  ServiceId service{};  // that the route allows
  // The regions that the route and the organisation allow; empty: any.
  std::vector<RegionId> route_regions{};
  std::vector<RegionId> organisation_regions{};
  routes::RetryPolicy repetition = routes::RetryPolicy::kNever;
  bool streamed = false;
  // Of a stream that is taken up: the request that began it, and its events so
  // far.
  std::optional<RequestId> begun_by{};
  std::string received{};
};

// TargetRun is one run of a request at a target.
struct TargetRun {
  TargetId target{};
  ServiceId service{};
  ZoneId zone{};  // of the target, and its region
  RegionId region{};
  OrganisationId organisation{};
  std::string path{};
  std::string body{};
  uint64_t after = 0;  // the run goes on after this event
  bool carries_key = false;
};

// CallerEnd says how a request ended for its caller.
enum class CallerEnd : uint8_t {
  kAnswered,  // whole, by its framing
  kBroken,    // the connection ended before
  kLeft,      // the caller went away
  kOverdue,   // nothing came in its time and a second
};

// CallerAnswer is what a caller got.
struct CallerAnswer {
  CallerEnd end = CallerEnd::kBroken;
  int status = 0;       // 0: no head
  bool sealed = false;  // a target vouches for it
  std::string body{};
};

// RequestRecord is all that is known of one request.
struct RequestRecord {
  SentRequest sent{};
  TimePoint sent_at{};
  struct Run {
    TargetRun run{};
    TimePoint at{};
  };
  std::vector<Run> runs{};
  std::optional<CallerAnswer> answer{};
  TimePoint ended_at{};
};

// Disturbance is a time in which a gateway, or else the control group, was
// under a fault, or under planned work: a shutdown that it was asked for.
struct Disturbance {
  std::optional<size_t> gateway{};
  bool is_planned = false;
  bool cuts_off = false;  // no gateway reaches a coordinator
  TimePoint from{};
  TimePoint until{};
};

// Probe asks one gateway whether one version's own route is in force.
struct Probe {
  size_t gateway = 0;
  uint64_t incarnation = 0;  // of the gateway's process
  uint64_t version = 0;
  bool in_force = false;
  TimePoint sent_at{};
  TimePoint answered_at{};
};

// ZoneOrder is an evacuation order of an operator, or its withdrawal.
struct ZoneOrder {
  ZoneId zone{};
  bool evacuate = true;
  TimePoint sent_at{};
  TimePoint ended_at{};
  int status = 0;           // of the last answer; 0: none yet
  bool is_unclear = false;  // a try had no answer, and may be carried out late
};

// ColdRequest is a request that a cold target received.
struct ColdRequest {
  TimePoint at{};
  // The target was cold from the start of its run; otherwise it turned cold
  // some time ago, and gateways had to be told.
  bool from_start = false;
};

// Ledger is what was seen.
struct Ledger {
  std::unordered_map<RequestId, RequestRecord> requests{};
  std::vector<std::string> oddities{};  // broken at once, as they were seen
  std::vector<Disturbance> disturbances{};
  std::vector<Probe> probes{};
  std::map<uint64_t, std::string> tables_sent{};  // by version
  std::map<uint64_t, TimePoint> tables_sent_at{};
  std::map<uint64_t, TimePoint> tables_accepted{};
  std::optional<std::string> table_read_back{};
  std::vector<ZoneOrder> zone_orders{};  // as they were sent
  std::optional<std::set<ZoneId>> zones_read_back{};
  // Since when a coordinator has acknowledged that a target leaves.
  std::map<TargetId, TimePoint> leaving_since{};
  std::map<TargetId, std::vector<ColdRequest>> cold_requests{};
  TimePoint quiet_since{};  // the last fault has ended
};

// Bounds are the stated limits of the promises.
struct Bounds {
  Duration in_force = std::chrono::milliseconds(3000);
  Duration never_back = std::chrono::milliseconds(250);
  // A gateway, or the control group, is undisturbed after so long.
  Duration settles = std::chrono::milliseconds(4000);
  Duration drain = std::chrono::milliseconds(3000);
  Duration recovery = std::chrono::seconds(12);
  double least_served_after = 0.25;
  Duration repeat_window = std::chrono::seconds(10);
  double repeat_ratio = 0.2;
  double repeat_allowance = 20;
  // From the acknowledgement of an evacuation.
  Duration evacuation = std::chrono::milliseconds(5000);
  // A try of a zone order without an answer may still be carried out.
  Duration late_order = std::chrono::seconds(6);
  // That a cold target receives in any second.
  double cold_requests = 12.8;
};

// The Note functions take in what was seen.
void NoteSent(Ledger& ledger, const RequestId& id, SentRequest request,
              TimePoint now);
void NoteRun(Ledger& ledger, const RequestId& id, TargetRun run, TimePoint now);
void NoteAnswer(Ledger& ledger, const RequestId& id, CallerAnswer answer,
                TimePoint now);

// EventsOf returns how many events the stream has that a request began, and
// EventText one of them, as a software version writes it; PlainBody is the body
// of an answer that is not streamed.
uint64_t EventsOf(const RequestId& id);
std::string EventText(const RequestId& id, uint64_t number,
                      const directory::SoftwareVersion& software);
// SoftwareVersions returns the versions of all targets.
const std::vector<directory::SoftwareVersion>& SoftwareVersions();
std::string PlainBody(const RequestId& id);

// Cause says which disturbances count.
enum class Cause : uint8_t { kFault, kFaultOrPlan };

// Disturbed says whether a gateway was disturbed within a span; without a
// gateway, whether the control group was.
bool Disturbed(const Ledger& ledger, std::optional<size_t> gateway, Cause cause,
               TimePoint from, TimePoint until);

// Judge returns each promise that was broken, with the request or version that
// shows it.
std::vector<std::string> Judge(const Ledger& ledger, const Bounds& bounds);

}  // namespace samphirebank::soak

#endif  // SAMPHIREBANK_SOAK_INTERNAL_LEDGER_H_
