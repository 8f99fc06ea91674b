// File: relay.h
//
// Validates a target's response on its way to the caller: which headers are
// forwarded, whether the response belongs to its request, how many tokens it
// used, and whether it is complete. Server-sent events are forwarded only as
// whole events, so that an interrupted stream ends between two of them.
//
// Example:
//
//   Response response = BeginResponse({.request = id, .target_echoes_id = true,
//       .model_stream = true}, status, headers);
//   if (response.fault) ...                      // not for the caller
//   FeedResult result = Feed(response, piece);   // for each piece of the body
//   stream->Send(result.bytes);
//   if (result.fault) ...                        // nothing more is forwarded
//   bool complete = EndResponse(response);       // at the end of the body
#ifndef SAMPHIREBANK_RELAY_RELAY_H_
#define SAMPHIREBANK_RELAY_RELAY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "samphirebank/base/base.h"
#include "samphirebank/net/net.h"

namespace samphirebank::relay {

// kRequestIdHeader carries the id of the attempt to the target. A target that
// announced that it echoes the id must return it in its response. From other
// targets a response without the header is accepted; a different id is rejected
// in either case.
inline constexpr std::string_view kRequestIdHeader = "samphirebank-request-id";
// kNotRunHeader, with the value "true" in a response, states that the target
// refused the request before running any of it.
inline constexpr std::string_view kNotRunHeader = "samphirebank-not-run";
// kResumeHeader asks a target to resume a stream after the given number of
// events.
inline constexpr std::string_view kResumeHeader = "samphirebank-resume-after";
// kFenceHeader carries the fencing number of a request, and kFenceScopeHeader
// the pool within which these numbers are compared, as "REGION/SERVICE". A
// target that checks fencing refuses, with kNotRunHeader, a request whose
// number is lower than the highest that it has received in the same scope.
inline constexpr std::string_view kFenceHeader = "samphirebank-fence";
inline constexpr std::string_view kFenceScopeHeader =
    "samphirebank-fence-scope";
// kInternalPrefix is the prefix of all headers that only this system may set.
inline constexpr std::string_view kInternalPrefix = "samphirebank-";

// RequestHeaders returns the caller's headers that are forwarded to a target.
// It drops hop-by-hop and framing headers, headers that the caller's Connection
// header names, headers with kInternalPrefix, credentials, and headers whose
// name or value contains CR, LF or NUL. Names must be in lower case.
std::vector<net::Header> RequestHeaders(
    const std::vector<net::Header>& from_caller);

// ResponseHeaders returns the target's headers that are forwarded to the
// caller, by the same rules except that credentials are not dropped.
std::vector<net::Header> ResponseHeaders(
    const std::vector<net::Header>& from_target);

// Fault is the reason why a response cannot be forwarded as complete.
enum class Fault : uint8_t {
  kWrongRequest,   // the response belongs to another request
  kExcessBytes,    // bytes beyond Content-Length or after "data: [DONE]"
  kTooLarge,       // exceeds one of Limits
  kMalformed,      // Content-Length is malformed or contradictory
  kErrorReported,  // the target reported an error within the stream
};

// ToText returns a short English sentence that describes a fault.
std::string_view ToText(Fault fault);

// Limits bounds the size of a response.
struct Limits {
  Bytes max_event = Bytes(1 << 20);  // one server-sent event, while buffered
  Bytes max_body = Bytes(64 << 20);  // the whole body
};

// ResponseOptions describes the request and the target that runs it.
struct ResponseOptions {
  RequestId request;                   // as sent in kRequestIdHeader
  bool target_echoes_id = false;       // announced by the target
  bool target_states_not_run = false;  // kNotRunHeader is trusted
  bool model_stream = false;           // a stream must end with "data: [DONE]"
  Limits limits;
};

// Progress accumulates what a body contained so far.
struct Progress {
  Bytes body;              // received so far
  uint64_t events = 0;     // whole events forwarded
  Tokens streamed_tokens;  // events with a non-empty piece of generated text
  std::optional<Tokens> prompt_tokens;     // from the target's usage object
  std::optional<Tokens> generated_tokens;  // from the target's usage object
  bool finish_reason = false;              // a choice contained a finish reason
  bool done_received = false;              // "data: [DONE]" was received
};

// Response is the state of one response. Callers may read the fields before
// `buffer`; the others are internal.
struct Response {
  ResponseOptions options;
  int status = 0;
  bool event_stream = false;
  bool states_not_run = false;          // the target refused before running
  std::optional<Duration> retry_after;  // from the target's Retry-After
  std::optional<Bytes> size;            // of the body, from Content-Length
  std::optional<Fault> fault;           // once set, nothing more is forwarded
  Progress progress;

  std::string buffer;         // an incomplete event, or a JSON body so far
  bool is_line_empty = true;  // no bytes since the last line break
  bool after_cr = false;      // an LF now completes the line break CR LF
};

// BeginResponse checks the status and headers of a response. `fault` is set in
// the result if the response must not be forwarded.
Response BeginResponse(ResponseOptions options, int status,
                       const std::vector<net::Header>& headers);

// FeedResult is the result of feeding one piece of a body.
struct FeedResult {
  std::string bytes;  // to be forwarded, even if there is a fault
  std::optional<Fault> fault;
};

// Feed processes the next piece of the body, which may end at any byte.
FeedResult Feed(Response& response, std::string_view piece);

// EndResponse returns whether the response is complete. Call it when the
// target has ended the body as its framing requires.
bool EndResponse(Response& response);

// GeneratedTokens returns the number of generated tokens that the target
// reported, or else the number counted in the stream.
Tokens GeneratedTokens(const Progress& progress);

// ErrorEvent returns the server-sent event that informs a caller that the
// stream was interrupted. The stream must not be ended normally after it.
std::string ErrorEvent(std::string_view detail);

}  // namespace samphirebank::relay

#endif  // SAMPHIREBANK_RELAY_RELAY_H_
