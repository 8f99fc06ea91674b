// File: dialect.h
//
// What the routers and control instances of a deployment are told and asked,
// free of the names and formats that one platform uses for it. A platform's
// adapter fills a Dialect with functions that decode its messages into the
// types below and encode answers; it decides nothing.
//
// Example:
//
//   const Dialect dialect = platform::MakeDialect();
//   DecodedCall decoded = dialect.decode_call(head);
//   if (!decoded.findings.empty()) return Refuse(400, decoded.findings);
//   Forward(decoded.call);
#ifndef SAMPHIREBANK_DIALECT_DIALECT_H_
#define SAMPHIREBANK_DIALECT_DIALECT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "samphirebank/base/base.h"
#include "samphirebank/directory/directory.h"
#include "samphirebank/net/net.h"
#include "samphirebank/routes/routes.h"

namespace samphirebank::dialect {

// Headers are HTTP header fields; names are in lower case.
using Headers = std::vector<net::Header>;

// EventId is the number of one event of a streamed answer.
using EventId = StrongNumber<struct EventIdTag, uint64_t>;

// RequestHead is a request as it was read, without its body.
struct RequestHead {
  std::string method{};
  std::string target{};  // path and query
  Headers headers{};
};

// PromptPart is one part of a prompt that other requests may share.
struct PromptPart {
  uint64_t id = 0;
  Tokens tokens{};
};

// Prompt is what a caller says of a model engine's work.
struct Prompt {
  std::string model{};
  std::vector<PromptPart> parts{};  // in order; the last one is its own
  Tokens tokens_in{};
  Tokens most_tokens_out{};
  std::optional<Tokens> expected_tokens_out{};  // the caller's guess
};

// Call is one caller's request.
struct Call {
  RequestId id{};
  std::string method{};
  std::string target{};                // path and query
  std::string host{};                  // without a port
  std::string api_key{};               // empty: none given
  std::optional<Duration> patience{};  // how long the caller waits
  std::optional<EventId> after{};      // continue a stream after this event
  // The request whose answer brought the stream's first event.
  std::optional<RequestId> begun_by{};
  Prompt prompt{};
  Headers passed_on{};  // what the target gets as the caller sent it
};

// Path returns the call's target without its query.
std::string_view Path(const Call& call);

// DecodedCall is a call, or what is wrong with it.
struct DecodedCall {
  Call call{};
  Findings findings{};
};

// SendOrder is what a router adds to a call that it sends to a target.
struct SendOrder {
  TargetId target{};  // another target refuses it
  net::SocketAddress address{};
  OrganisationId organisation{};  // empty: the route is open
  Duration time_left{};
  std::optional<EventId> after{};
  uint64_t body_bytes = 0;
};

// TargetLoad is a target's own count of its requests.
struct TargetLoad {
  uint32_t running = 0;
  uint32_t waiting = 0;
  uint32_t slots = 0;
  // How long work takes on the target's machine now, relative to the usual
  // time; 1 if the target does not say.
  double slowdown = 1.0;
};

// AnswerHead is what a router needs to know of a target's answer.
struct AnswerHead {
  RequestId request{};  // whose answer it is; empty: unstated
  bool signed_by_target = false;
  bool not_run = false;  // the target states that it did not run it
  bool encoded = false;  // the body is not as the target made it
  bool closes = false;   // no further request on this connection
  bool leaving = false;  // the target takes no new work from now on
  // For how long a target that refused the request wants no other one.
  std::optional<Duration> retry_after{};
  // What the target takes from all routers together, while it says so.
  std::optional<double> requests_per_second{};
  std::optional<Duration> idle_limit{};  // how long the connection is kept
  std::optional<TargetLoad> load{};
  Headers passed_on{};  // what the caller gets
};

// Orders and questions that control instances take.

// PutTable carries a whole route table.
struct PutTable {
  routes::RouteTable table{};
};
// GetTable asks for the newest table as it was sent.
struct GetTable {};
// Heartbeat is a target's sign of life.
struct Heartbeat {
  directory::Announcement announcement{};
};
// SignOff ends a target's announcements.
struct SignOff {
  TargetId target{};
};
// ZoneOrder evacuates an availability zone or withdraws its evacuation.
struct ZoneOrder {
  ZoneId zone{};
  bool evacuate = true;  // false: withdraw
};
// ListEvacuations asks for the evacuated zones.
struct ListEvacuations {};
// UnknownOrder is anything else.
struct UnknownOrder {};

using ControlOrder = std::variant<UnknownOrder, PutTable, GetTable, Heartbeat,
                                  SignOff, ZoneOrder, ListEvacuations>;

// DecodedOrder is an order, or what is wrong with it.
struct DecodedOrder {
  ControlOrder order{};
  Findings findings{};
};

// ControlRequest is an order as it was read.
struct ControlRequest {
  std::string method{};
  std::string path{};
  std::string body{};
};

// Dialect holds an adapter's functions. None of them is null.
struct Dialect {
  std::function<DecodedCall(const RequestHead&)> decode_call{};
  // encode_send returns the head of a call for a target, up to and with the
  // empty line.
  std::function<std::string(const Call&, const SendOrder&)> encode_send{};
  std::function<AnswerHead(const Headers&)> decode_answer{};
  // own_headers returns what a router's own answer to a call carries.
  std::function<Headers(const Call&)> own_headers{};
  std::function<DecodedOrder(const ControlRequest&)> decode_order{};
  std::string readiness_path{};
  std::string table_path{};        // where a route table is put
  std::string evacuations_path{};  // a zone's name follows after '/'
};

}  // namespace samphirebank::dialect

#endif  // SAMPHIREBANK_DIALECT_DIALECT_H_
