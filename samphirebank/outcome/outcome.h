// File: outcome.h
//
// The state machine of one request: the one place that decides retry, resume,
// refusal and unknown. Typed events go in, typed actions come out; the shell
// carries the actions out in their order and decides nothing.
//
// Guarantees:
// - kNotRun is said only when no byte of the request can have reached a
//   target, or every target that it reached stated that it refused before
//   running. Under an Idempotency-Key it speaks of this arrival only.
// - A request that is not idempotent is sent at most once, and with a key only
//   under a granted claim.
// - A caller gets a whole answer or one that it cannot take for whole.
// - Each grant is given back by exactly one Settle; each granted claim is ended
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

// kMaxBufferedBody is how much of an answer that is not a stream is held back,
// so that a failed attempt can still be replaced by another.
inline constexpr Bytes kMaxBufferedBody = Bytes(256 << 10);

// Phase is how far a request is.
enum class Phase : uint8_t {
  kQueued,         // waits for a grant
  kAwaitingClaim,  // has a grant, waits for the claim or for a backoff to pass
  kSent,           // handed to a target, no answer yet
  kResponding,     // the target's answer has begun
  kEnded,          // answered, refused or given up; further events do nothing
};

// Ran says what is known of a request that got no whole answer.
enum class Outcome : uint8_t {
  kNotRun,   // it did not run and will not
  kUnknown,  // it may have run, or may still
  kRan,      // it ran
};

// ToText returns "not-run", "unknown" or "ran".
std::string_view ToText(Outcome outcome);

// Problem is a refusal, final and immediate.
struct Problem {
  int status = 503;
  Outcome outcome = Outcome::kUnknown;
  std::optional<Duration> retry_after;
  std::string title;
  std::string detail;
};

// Options is what is fixed when a request arrives.
struct Options {
  OrganisationId organisation;
  ServiceId service;
  bool idempotent = false;  // by the service's declaration and the contract
  bool has_key = false;     // an Idempotency-Key came with it
  TimePoint deadline;       // latest first byte to the caller
  uint64_t seed = 0;        // differs between requests
};

// Grant is the permission to use a target once.
struct Grant {
  TargetId target;
  net::SocketAddress address;
  Epoch epoch;
  TimePoint expires;
  bool can_resume = false;  // the target can go on with a cut stream
};

// Request is the state of one request. The shell may read it.
struct Request {
  Options options;
  Phase phase = Phase::kQueued;
  std::optional<Grant> grant;
  uint32_t attempt = 0;          // number of the newest attempt; 0: none yet
  bool claim_requested = false;  // a claim is under way or granted
  bool claim_granted = false;
  TimePoint claim_requested_at;
  bool may_have_run = false;  // some attempt can have run
  bool event_stream = false;  // the newest attempt's answer is one
  bool forwarded = false;     // the caller was sent a part of the answer
  bool resuming = false;      // the newest attempt continues a cut stream
  bool detached = false;      // the caller has its last word or is gone
  bool lease_lost = false;
  Bytes buffered;                 // read of the answer, not yet passed on
  uint64_t events_forwarded = 0;  // whole events that the caller was sent
  Tokens tokens;                  // generated so far under the grant
};

// Events.

// GrantReceived: the queue handed the request a grant.
struct GrantReceived {
  Grant grant;
};

// ClaimDecided: control decided the claim.
struct ClaimDecided {
  claims::Decision decision = claims::Decision::kUnknown;
  claims::RecordedResponse answer;
};

// ClaimUnavailable: control did not answer in time.
struct ClaimUnavailable {};

// AttemptFailed: the attempt ended before its answer began.
struct AttemptFailed {
  uint32_t attempt = 0;
  net::SendState sent = net::SendState::kSent;
  bool timed_out = false;
};

// HeadReceived: the target's answer began.
struct HeadReceived {
  uint32_t attempt = 0;
  int status = 0;
  bool event_stream = false;
  bool states_not_run = false;  // relay::Response::states_not_run
  std::optional<Duration> retry_after;
};

// BodyReceived: a piece of the answer came; counts are of this piece.
struct BodyReceived {
  uint32_t attempt = 0;
  Bytes bytes;
  uint64_t events = 0;  // whole events in it
  Tokens tokens;
};

// ResponseCompleted: the answer ended and relay found it whole. What is
// recorded may be cut at one byte above the contract's limit; control then
// keeps none.
struct ResponseCompleted {
  uint32_t attempt = 0;
  Tokens tokens;  // of the whole answer
  // For a request with a key: what to record.
  claims::RecordedResponse record;
};

// ResponseFailed: the answer was cut, stalled, or relay found a fault, at its
// head or later. The attempt is cancelled.
struct ResponseFailed {
  uint32_t attempt = 0;
  std::string detail;
  bool can_resume = true;  // false when what came is not to be trusted
};

// CallerDisconnected: the caller's connection ended.
struct CallerDisconnected {};

// DeadlinePassed: Options::deadline was reached.
struct DeadlinePassed {};

// LeaseLost: this router may start no work.
struct LeaseLost {};

// ShutdownTimedOut: a graceful shutdown's time is up. (Its begin is no event:
// what waits and runs goes on.)
struct ShutdownTimedOut {};

using Event =
    std::variant<GrantReceived, ClaimDecided, ClaimUnavailable, AttemptFailed,
                 HeadReceived, BodyReceived, ResponseCompleted, ResponseFailed,
                 CallerDisconnected, DeadlinePassed, LeaseLost,
                 ShutdownTimedOut>;

// Actions.

// MakeClaim: claim the request's key (claims::BeginClaim).
struct MakeClaim {};

// Dispatch: after `delay`, send the request to the grant's target.
struct Dispatch {
  uint32_t attempt = 0;
  Grant grant;
  Duration delay{};
  // Set when a cut stream is to go on after that many events.
  std::optional<uint64_t> resume_after;
};

// Requeue: put the request back at the head of its queue after `delay`; it
// needs another grant, not for `avoid` if there is a choice.
struct Requeue {
  Duration delay{};
  std::optional<TargetId> avoid;
};

// Settle: give the grant back to its scheduler with what it cost.
struct Settle {
  Grant grant;
  bool sent = false;  // false: the grant was not used
  Tokens tokens;
};

// ForwardBuffered: send the caller all of the newest answer that came and was
// held, its head first if that was not sent.
struct ForwardBuffered {};

// FinishResponse: end the caller's body cleanly, after ForwardBuffered.
struct FinishResponse {};

// DiscardBuffered: drop what is held of the newest answer.
struct DiscardBuffered {};

// Refuse: answer the caller with a problem document.
struct Refuse {
  Problem problem;
};

// ReplayRecorded: answer the caller with the recorded answer.
struct ReplayRecorded {
  claims::RecordedResponse answer;
};

// AbortResponse: tell a caller whose answer has begun that it is not whole: an
// error event on an event stream, then an abort, never a clean end.
struct AbortResponse {
  std::string detail;
};

// CancelAttempt: cancel the attempt at its target, or its delayed dispatch.
struct CancelAttempt {
  uint32_t attempt = 0;
};

// RecordClaimEnd: end the claim (claims::EndClaim).
struct RecordClaimEnd {
  claims::End end;
};

using Action =
    std::variant<MakeClaim, Dispatch, Requeue, Settle, ForwardBuffered,
                 FinishResponse, DiscardBuffered, Refuse, ReplayRecorded,
                 AbortResponse, CancelAttempt, RecordClaimEnd>;

// Start begins a request in kQueued; the shell queues it.
Request Start(Options options);

// Step takes an event and returns what to do, in order. Events of attempts
// other than the newest, and all events after kEnded, return nothing.
std::vector<Action> Step(Request& request, const Event& event,
                         retry::Budgets& budgets, TimePoint now);

// MayDispatch says, at the moment a delayed or immediate Dispatch is carried
// out, whether it still may: the request waits for that attempt, the grant is
// live and a claim is still within claims::kSendWindow. When it is false the
// shell reports AttemptFailed with SendState::kNotSent.
bool MayDispatch(const Request& request, uint32_t attempt, TimePoint now);

}  // namespace samphirebank::outcome

#endif  // SAMPHIREBANK_OUTCOME_OUTCOME_H_
