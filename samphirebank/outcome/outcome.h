// File: outcome.h
//
// The state machine of one caller's request. It alone decides whether to retry,
// to resume a stream, to refuse the request or to report its outcome as
// unknown. Step takes one event and returns a list of actions. The caller of
// Step (the router) performs the actions in order and makes no decisions.
//
// Guarantees:
// - kNotRun is reported only if no byte of the request can have reached a
//   target, or if every target that it reached stated that it refused the
//   request before running it. If the request has an Idempotency-Key, kNotRun
//   covers this arrival only, not other requests with the same key.
// - A request that is not idempotent is sent at most once; if it has a key, it
//   is sent only under a granted claim.
// - A caller receives either a complete response or one that it can detect as
//   incomplete.
// - Each grant is returned by exactly one Settle; each granted claim is ended
//   by exactly one RecordClaimEnd.
//
// Example:
//
//   Request request = Start({.organisation = organisation, ...});
//   for (const Action& action :
//        Step(request, GrantReceived{.grant = grant}, budgets, now)) {
//     Perform(action);
//   }
#ifndef SAMPHIREBANK_OUTCOME_OUTCOME_H_
#define SAMPHIREBANK_OUTCOME_OUTCOME_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "samphirebank/base/base.h"
#include "samphirebank/claims/claims.h"
#include "samphirebank/net/net.h"
#include "samphirebank/retry/retry.h"

namespace samphirebank::outcome {

// kMaxBufferedBody is how many bytes of a response that is not an event stream
// are buffered before forwarding starts. Until then, a failed attempt can be
// replaced by another one.
inline constexpr Bytes kMaxBufferedBody = Bytes(256 << 10);

// Phase is the state of a request's processing.
enum class Phase : uint8_t {
  kQueued,         // waits for a grant, or for the retry delay before it
  kAwaitingClaim,  // has a grant, waits for the decision on its claim
  kSent,           // dispatched to a target; no response head received yet
  kResponding,     // the response head was received
  kEnded,          // final; a late grant is returned, all else ignored
};

// Outcome is what is known about the execution of a request for which the
// caller gets no complete response.
enum class Outcome : uint8_t {
  kNotRun,   // it did not run and will not run
  kUnknown,  // it may have run, or may still run
  kRan,      // it ran
};

// ToText returns "not-run", "unknown" or "ran".
std::string_view ToText(Outcome outcome);

// Problem describes a refusal of a request to its caller. The refusal is final
// and is sent at once.
struct Problem {
  int status = 503;
  Outcome outcome = Outcome::kUnknown;
  std::optional<Duration> retry_after;
  std::string title;
  std::string detail;
};

// Options holds the properties of a request that are fixed on its arrival.
struct Options {
  OrganisationId organisation;
  ServiceId service;
  bool idempotent = false;  // by the service's declaration and the contract
  bool has_key = false;     // it has an Idempotency-Key
  TimePoint deadline;       // for the first response byte to the caller
  uint64_t seed = 0;        // for the retry delay; differs between requests
};

// Grant is the permission to send a target one request.
struct Grant {
  TargetId target;
  net::SocketAddress address;
  Epoch epoch;
  TimePoint expires;
  bool can_resume = false;  // the target can resume an interrupted stream
};

// Request is the state of one request. Only Step changes it; others may read
// it.
struct Request {
  Options options;
  Phase phase = Phase::kQueued;
  std::optional<Grant> grant;
  uint32_t attempt = 0;          // number of the latest attempt; 0: none yet
  bool claim_requested = false;  // a claim is pending or granted
  bool claim_granted = false;
  TimePoint claim_requested_at;
  bool may_have_run = false;  // some attempt may have run at its target
  bool event_stream = false;  // the latest attempt's response is one
  bool forwarded = false;     // part of the response was sent to the caller
  bool resuming = false;  // the latest attempt resumes an interrupted stream
  bool detached = false;  // caller refused or gone: no more output to it
  bool lease_lost = false;
  Bytes buffered;  // received from the target and not yet forwarded
  uint64_t events_forwarded = 0;  // complete events sent to the caller
  Tokens tokens;                  // generated so far under this grant
};

// Events.

// GrantReceived: the queue assigned a grant to the request.
struct GrantReceived {
  Grant grant;
};

// ClaimDecided: control replied to the claim with its decision.
struct ClaimDecided {
  claims::Decision decision = claims::Decision::kUnknown;
  claims::RecordedResponse answer;
};

// ClaimUnavailable: control did not reply to the claim in time.
struct ClaimUnavailable {};

// AttemptFailed: the attempt failed before a complete response head was
// received. After that it has the effect of a ResponseFailed with can_resume
// set.
struct AttemptFailed {
  uint32_t attempt = 0;
  net::SendState sent = net::SendState::kSent;
  bool timed_out = false;
};

// HeadReceived: the head of the target's response was received.
struct HeadReceived {
  uint32_t attempt = 0;
  int status = 0;
  bool event_stream = false;
  bool states_not_run = false;  // says that the request did not run
  std::optional<Duration> retry_after;
};

// BodyReceived: a part of the response's body was received. The counts are of
// this part alone.
struct BodyReceived {
  uint32_t attempt = 0;
  Bytes bytes;
  uint64_t events = 0;  // complete events in it
  Tokens tokens;
};

// ResponseCompleted: the response ended and relay found it complete. The body
// in `record` may be truncated to one byte above the contract's limit; control
// then keeps no response.
struct ResponseCompleted {
  uint32_t attempt = 0;
  Tokens tokens;  // of the complete response
  // The response to record under the claim, for a request with a key.
  claims::RecordedResponse record;
};

// ResponseFailed: the response was interrupted or stalled, or relay found a
// fault in its head or body. The attempt is then cancelled.
struct ResponseFailed {
  uint32_t attempt = 0;
  std::string detail;
  bool can_resume = true;  // false if the received bytes cannot be trusted
};

// CallerDisconnected: the caller's connection was closed.
struct CallerDisconnected {};

// DeadlinePassed: Options::deadline was reached.
struct DeadlinePassed {};

// LeaseLost: this router lost its lease and may send no new requests to
// targets.
struct LeaseLost {};

// ShutdownTimedOut: the time limit of a graceful shutdown was reached. (There
// is no event for its start: waiting and running requests continue.)
struct ShutdownTimedOut {};

using Event =
    std::variant<GrantReceived, ClaimDecided, ClaimUnavailable, AttemptFailed,
                 HeadReceived, BodyReceived, ResponseCompleted, ResponseFailed,
                 CallerDisconnected, DeadlinePassed, LeaseLost,
                 ShutdownTimedOut>;

// Actions.

// MakeClaim: request a claim on the request's key (claims::BeginClaim).
struct MakeClaim {};

// Dispatch: after `delay`, send the request to the grant's target.
struct Dispatch {
  uint32_t attempt = 0;
  Grant grant;
  Duration delay{};
  // If set, the target resumes an interrupted stream after that many events.
  std::optional<uint64_t> resume_after;
};

// Requeue: put the request back at the head of its queue after `delay`. It
// needs a new grant, preferably for a target other than `avoid`.
struct Requeue {
  Duration delay{};
  std::optional<TargetId> avoid;
};

// Settle: return the grant to its scheduler and report the tokens used.
struct Settle {
  Grant grant;
  bool sent = false;  // false: the grant was not used
  Tokens tokens;
};

// ForwardBuffered: send the caller the buffered part of the latest response,
// preceded by its head if that was not yet sent.
struct ForwardBuffered {};

// FinishResponse: end the response to the caller as complete. It follows a
// ForwardBuffered.
struct FinishResponse {};

// DiscardBuffered: discard the buffered part of the latest response.
struct DiscardBuffered {};

// Refuse: send the caller a problem document.
struct Refuse {
  Problem problem;
};

// ReplayRecorded: send the caller the response recorded for an earlier request
// under the same key.
struct ReplayRecorded {
  claims::RecordedResponse answer;
};

// AbortResponse: end a response that was partly sent so that the caller detects
// it as incomplete: an error event if it is an event stream, then an abort of
// the connection, never a regular end.
struct AbortResponse {
  std::string detail;
};

// CancelAttempt: cancel the request at the attempt's target, or the attempt's
// delayed dispatch.
struct CancelAttempt {
  uint32_t attempt = 0;
};

// RecordClaimEnd: send control the end of the claim (claims::EndClaim).
struct RecordClaimEnd {
  claims::End end;
};

using Action =
    std::variant<MakeClaim, Dispatch, Requeue, Settle, ForwardBuffered,
                 FinishResponse, DiscardBuffered, Refuse, ReplayRecorded,
                 AbortResponse, CancelAttempt, RecordClaimEnd>;

// Start returns a new request in kQueued. The caller adds it to its queue.
Request Start(Options options);

// Step applies an event to the request and returns the actions to perform, in
// order. It returns none for events of attempts other than the latest one and
// for events after kEnded, except that a GrantReceived outside kQueued always
// returns a Settle, which gives the grant back unused.
std::vector<Action> Step(Request& request, const Event& event,
                         retry::Budgets& budgets, TimePoint now);

// MayDispatch returns whether a Dispatch, delayed or not, may still be
// performed at `now`: `attempt` is the latest attempt and has no response yet,
// the router has its lease, the grant has not expired (an attempt that resumes
// a stream is exempt) and a granted claim is within claims::kSendWindow. If it
// returns false, the caller must raise AttemptFailed with SendState::kNotSent.
bool MayDispatch(const Request& request, uint32_t attempt, TimePoint now);

}  // namespace samphirebank::outcome

#endif  // SAMPHIREBANK_OUTCOME_OUTCOME_H_
