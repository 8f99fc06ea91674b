// File: soak.h
//
// A randomized soak of real gateways and coordinators as separate processes on
// loopback. A seed draws a plan of overlapping faults that are injected from
// outside: signals, lost data folders, relays that delay, reset, cut or
// silence connections, targets that misbehave or turn cold, series of table
// changes, and zones that are evacuated. The seed also chooses which regions a
// route and an organisation allow, and whose cold targets are limited.
// Meanwhile callers, targets and an operator note what they see, and the run
// ends with the promises that were broken.
//
// The words on the wire come from a platform's adapter.
//
// Example:
//
//   Report report = Run({.seed = 7, .binary = "build/bin/samphirebank",
//                        .folder = "/tmp/soak-7"}, speech);
//   for (const std::string& finding : report.findings) Print(finding);
#ifndef SAMPHIREBANK_SOAK_SOAK_H_
#define SAMPHIREBANK_SOAK_SOAK_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "samphirebank/base/base.h"
#include "samphirebank/dialect/dialect.h"
#include "samphirebank/directory/directory.h"
#include "samphirebank/net/net.h"
#include "samphirebank/routes/routes.h"

namespace samphirebank::soak {

// CallerRequest is what a stand-in caller sends.
struct CallerRequest {
  RequestId id{};
  std::string host{};
  std::string target{};  // path and query
  std::string api_key{};
  Duration patience{};
  bool streamed = false;  // carries a prompt
  // Set if a stream is taken up: the request that began it, and the last event
  // that its caller has.
  std::optional<RequestId> begun_by{};
  uint64_t after = 0;
  std::string body{};
};

// TargetRequest is what a target reads of a request's head.
struct TargetRequest {
  RequestId id{};
  OrganisationId organisation{};
  TargetId expected{};              // the one that is to run it
  std::optional<uint64_t> after{};  // continue after this event
  std::optional<RequestId> begun_by{};
  bool carries_key = false;  // the caller's key was passed on
};

// ControlCall is a call to a coordinator.
struct ControlCall {
  std::string method{};
  std::string path{};
  std::string body{};
};

// Speech is a platform's side of the soak. No function is null.
struct Speech {
  // encode_request returns a request's bytes with its body.
  std::function<std::string(const CallerRequest&)> encode_request{};
  std::function<TargetRequest(const dialect::Headers&)> decode_request{};
  // answer_headers returns what a target's answer carries; `ran` is false in a
  // refusal that states that the request was not run.
  std::function<dialect::Headers(const RequestId&, bool ran)> answer_headers{};
  // is_sealed says whether a target vouches for an answer.
  std::function<bool(const dialect::Headers&)> is_sealed{};
  std::function<ControlCall(const directory::Announcement&)> heartbeat{};
  std::function<std::string(const routes::RouteTable&)> encode_table{};
  std::string table_path{};
  std::string evacuations_path{};  // a zone's name follows after '/'
  std::string readiness_path{};
};

// Options of one run.
struct Options {
  uint64_t seed = 1;
  std::string binary{};
  std::string folder{};  // logs and data folders; made if missing
  Duration fault_time = std::chrono::seconds(15);
  // After the last fault requests are served again within this time.
  Duration recovery = std::chrono::seconds(12);
  size_t gateways = 4;
  size_t coordinators = 3;
  size_t engines = 3;
  size_t plain_targets = 3;
  size_t callers = 16;
  // What the coordinators are told of the limit of cold targets.
  double cold_overrun = 1.5;
  double cold_slack = 5;
};

// Report is what a run found.
struct Report {
  std::vector<std::string> findings{};
  std::vector<std::string> faults{};  // the plan, in print
  uint64_t requests = 0;
  uint64_t served = 0;
  uint64_t refused = 0;
  uint64_t unanswered = 0;  // unknown, cut, or the caller left
  uint64_t tables_accepted = 0;
  uint64_t zone_orders = 0;    // acknowledged
  uint64_t cold_requests = 0;  // that cold targets received
};

// Run plays one seed. It ends only processes that it started. Throws
// std::runtime_error if the fleet cannot be started.
Report Run(const Options& options, const Speech& speech);

}  // namespace samphirebank::soak

#endif  // SAMPHIREBANK_SOAK_SOAK_H_
