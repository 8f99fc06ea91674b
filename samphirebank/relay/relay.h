// File: relay.h
//
// A target's answer on its way to the caller: which headers pass, whether the
// answer belongs to its request, what it costs, and whether it is whole.
// Server-sent events are passed on only as whole events, so that a cut falls
// between two of them.
//
// Example:
//
//   Response answer = BeginResponse({.request = id, .target_echoes_id = true,
//       .model_stream = true}, status, headers);
//   if (answer.fault) ...                        // it is not for the caller
//   FeedResult passed = Feed(answer, piece);         // for each piece
//   stream->Send(passed.bytes);
//   if (passed.fault) ...                        // cut, nothing more passes
//   bool whole = EndResponse(answer);              // the target ended its body
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

// kRequestIdHeader carries the attempt's id to the target; a target whose
// announcement says so echoes it in its answer.
inline constexpr std::string_view kRequestIdHeader = "samphirebank-request-id";
// Without such an announcement a missing echo is taken, a different one never.
// kNotRunHeader, with the value "true" in an answer, is a target's statement
// that it refused the request before running any of it.
inline constexpr std::string_view kNotRunHeader = "samphirebank-not-run";
// kResumeHeader asks a target to go on after that many events of the answer.
inline constexpr std::string_view kResumeHeader = "samphirebank-resume-after";
// kFenceHeader carries an order's fencing number, kFenceScopeHeader the pool
// that it counts in, "REGION/SERVICE". A target that checks it refuses, with
// kNotRunHeader, what has a lower number than the highest of that scope.
inline constexpr std::string_view kFenceHeader = "samphirebank-fence";
inline constexpr std::string_view kFenceScopeHeader =
    "samphirebank-fence-scope";
// kInternalPrefix begins every header that only this system may set.
inline constexpr std::string_view kInternalPrefix = "samphirebank-";

// RequestHeaders returns what of a caller's headers goes to a target: no
// hop-by-hop header, none that the caller's Connection header names, none of
// ours, no credentials of the caller, no framing. Names must be in lower case.
std::vector<net::Header> RequestHeaders(
    const std::vector<net::Header>& from_caller);

// ResponseHeaders returns what of a target's headers goes to the caller, by
// the same rules.
std::vector<net::Header> ResponseHeaders(
    const std::vector<net::Header>& from_target);

// Fault says why an answer must not pass as a whole answer.
enum class Fault : uint8_t {
  kWrongRequest,   // it answers another request
  kExcessBytes,    // more bytes than announced, or bytes after its end
  kTooLarge,       // above a size cap
  kMalformed,      // not valid event framing
  kErrorReported,  // the target reported an error within the stream
};

// ToText returns a short English phrase for a fault.
std::string_view ToText(Fault fault);

// Limits caps what is held and passed.
struct Limits {
  Bytes event = Bytes(1 << 20);    // one server-sent event
  Bytes answer = Bytes(64 << 20);  // a whole body
};

// ResponseOptions says what is known of the request and its target.
struct ResponseOptions {
  RequestId request;                   // as sent in kRequestIdHeader
  bool target_echoes_id = false;       // by its announcement
  bool target_states_not_run = false;  // kNotRunHeader may be believed
  bool model_stream = false;           // a stream must end with "data: [DONE]"
  Limits limits;
};

// Progress counts what was read of a body.
struct Progress {
  Bytes body;
  uint64_t events = 0;     // whole events passed on
  Tokens streamed_tokens;  // events that carried a piece of generated text
  std::optional<Tokens> prompt;     // as the target's usage states it
  std::optional<Tokens> generated;  // as the target's usage states it
  bool finish_reason = false;       // a choice stated why it ended
  bool done = false;                // "data: [DONE]" came
};

// Response is the state of one answer. The fields before `held` may be read.
struct Response {
  ResponseOptions options;
  int status = 0;
  bool event_stream = false;
  bool states_not_run = false;          // the target refused before running
  std::optional<Duration> retry_after;  // as the target's header states it
  std::optional<Bytes> length;
  std::optional<Fault> fault;  // once set, nothing more passes
  Progress progress;

  std::string held;        // the start of an event, or of a JSON body
  bool line_empty = true;  // nothing since the last line break
  bool after_cr = false;   // a line feed now belongs to the break before
};

// BeginResponse reads the head.
Response BeginResponse(ResponseOptions options, int status,
                       const std::vector<net::Header>& headers);

// FeedResult is what one piece yields.
struct FeedResult {
  std::string bytes;  // to be sent on; valid also when there is a fault
  std::optional<Fault> fault;
};

// Feed reads the next piece of the body, cut anywhere.
FeedResult Feed(Response& answer, std::string_view piece);

// EndResponse says, after the target ended its body by its framing, whether the
// answer is whole.
bool EndResponse(Response& answer);

// GeneratedTokens returns the target's own count, or else what was counted in
// the stream.
Tokens GeneratedTokens(const Progress& progress);

// ErrorEvent returns the server-sent event that tells a caller that the
// stream was cut; it is never followed by a clean end.
std::string ErrorEvent(std::string_view detail);

}  // namespace samphirebank::relay

#endif  // SAMPHIREBANK_RELAY_RELAY_H_
