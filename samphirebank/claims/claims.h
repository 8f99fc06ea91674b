// File: claims.h
//
// Idempotency claims decide which of several requests with the same
// Idempotency-Key may run. State is a deterministic replicated state machine:
// every control instance applies the same log entries to it, and time advances
// only by the durations that the entries contain. Client is the router's side;
// it resends each request until it receives a reply.
//
// Example, on a control instance. The leader appends an entry to the log, and
// every instance applies the committed entries in log order:
//
//   std::string entry = EncodeCommand(ToCommand(request, elapsed));  // leader
//   leaf::result<Command> command = DecodeCommand(entry);
//   ClaimReply reply = Apply(state, *command);  // sent by the leader
//
// Example, on a router:
//
//   ClaimId id = BeginClaim(client, key, digest, retention, now);
//   for (ClaimRequest& request : TakeDueRequests(client, now)) Send(request);
//   std::optional<ClaimResult> result = OnReply(client, reply, now);
//   EndClaim(client, id, End{.kind = EndKind::kNotRun}, now);
//
// A control instance that receives a ClaimRequest must check that its owner is
// the sender of the packet.
#ifndef SAMPHIREBANK_CLAIMS_CLAIMS_H_
#define SAMPHIREBANK_CLAIMS_CLAIMS_H_

#include <boost/leaf/result.hpp>
#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "samphirebank/base/base.h"
#include "samphirebank/wire/wire.h"

namespace samphirebank::claims {

namespace leaf = boost::leaf;

// Digest is a hash of a request's content: 32 binary bytes.
using Digest = StrongText<struct DigestTag>;
// LogTime is the replicated clock in milliseconds. It is the sum of the
// durations that leaders measured between their own commands, so it never
// runs ahead of real time.
using LogTime = StrongNumber<struct LogTimeTag, uint64_t>;

// RequestDigest returns the digest of a request's method, path with query,
// content type and body. The hash is cryptographic, so requests that differ in
// any of them have different digests.
Digest RequestDigest(std::string_view method, std::string_view path,
                     std::string_view content_type, std::string_view body);

// kMaxKeyBytes is the maximum length of an Idempotency-Key, in bytes.
inline constexpr size_t kMaxKeyBytes = 255;

// ClaimKey identifies one operation. Equal Idempotency-Keys of different
// organisations or services are different operations.
struct ClaimKey {
  OrganisationId organisation;
  ServiceId service;
  std::string key;  // the Idempotency-Key, as received from the caller

  friend auto operator<=>(const ClaimKey&, const ClaimKey&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(organisation, service, key);
  }
};

// Owner identifies one boot of a router.
struct Owner {
  InstanceId instance;
  BootId boot;

  friend auto operator<=>(const Owner&, const Owner&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(instance, boot);
  }
};

// ClaimId identifies one arrival of a request at a router. An owner never
// reuses a number.
struct ClaimId {
  Owner owner;
  uint64_t number = 0;

  friend auto operator<=>(const ClaimId&, const ClaimId&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(owner, number);
  }
};

// RetentionLimits holds the contract's limits for a recorded response: its
// retention period in seconds and its size in bytes.
struct RetentionLimits {
  uint32_t max_age_s = 86'400;
  uint32_t max_bytes = 65'536;

  friend bool operator==(const RetentionLimits&,
                         const RetentionLimits&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(max_age_s, max_bytes);
  }
};

// RecordedResponse is a complete response of a target.
struct RecordedResponse {
  int32_t status = 0;
  std::string content_type;
  std::string body;

  friend bool operator==(const RecordedResponse&,
                         const RecordedResponse&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(status, content_type, body);
  }
};

// Claim requests permission to run the operation.
struct Claim {
  Digest digest;
  RetentionLimits limits;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(digest, limits);
  }
};

// EndKind is the way in which a granted claim ended.
enum class EndKind : uint8_t {
  kResponse,  // the target sent a complete response, to be recorded
  kUnknown,   // the operation may have run
  kNotRun,    // it did not run and never will: the key is released
};

// End ends a claim. Only the arrival that holds the grant can end it.
struct End {
  EndKind kind = EndKind::kUnknown;
  RecordedResponse response;  // set for kResponse

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(kind, response);
  }
};

// OwnerDead reports that an owner has stopped or is presumed dead. The outcome
// of its running claims becomes unknown; their keys are not released.
struct OwnerDead {
  Owner owner;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(owner);
  }
};

// Tick advances the clock and does nothing else.
struct Tick {
  template <typename Archive>
  void serialize(Archive&) {}  // NOLINT: the name cereal calls
};

// ClaimRequest is sent by a router to any control instance. It is idempotent:
// resending it has no further effect and yields the same kind of reply.
struct ClaimRequest {
  static constexpr wire::Kind kKind = wire::Kind::kClaimRequest;
  ClaimId id;
  ClaimKey key;
  std::variant<Claim, End> action;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(id, key, action);
  }
};

// Decision is the result of a ClaimRequest.
enum class Decision : uint8_t {
  kGranted,   // this arrival, and no other, may run the operation
  kRunning,   // another arrival was granted and has not ended
  kRecorded,  // the reply contains the recorded response
  kRan,       // it ran; the response exceeded a limit and was not retained
  kUnknown,   // an earlier arrival may have run
  kMismatch,  // the key belongs to another request (422)
  kFull,      // a limit on the number of claims is reached: nothing was claimed
  kInvalid,   // the key is empty or too long: nothing was claimed
  kEnded,  // reply to End: it was recorded, or the sender held no running claim
};

// ClaimReply is the reply to a ClaimRequest. It is sent once the log entry of
// the request is committed.
struct ClaimReply {
  static constexpr wire::Kind kKind = wire::Kind::kClaimReply;
  ClaimId id;
  ClaimKey key;
  Decision decision = Decision::kEnded;
  RecordedResponse response;  // set for kRecorded

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(id, key, decision, response);
  }
};

// Command is the content of one log entry.
struct Command {
  uint64_t elapsed_ms = 0;  // since the previous command of the same leader
  std::variant<ClaimRequest, OwnerDead, Tick> action;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(elapsed_ms, action);
  }
};

// EncodeCommand and DecodeCommand convert a command to the bytes of a log entry
// and back. DecodeCommand fails with wire::Error if the bytes are malformed.
std::string EncodeCommand(const Command& command);
leaf::result<Command> DecodeCommand(std::string_view bytes);

// Phase is the state of one claim.
enum class Phase : uint8_t {
  kRunning,   // granted; the owner is not known to be dead
  kOrphaned,  // granted; the owner is presumed dead, others receive kUnknown
  kRecorded,  // ended with a response that is retained
  kRan,       // ended with a response that is not retained
  kUnknown,   // ended by its owner with an unknown outcome
};

// Limits bounds the memory that claims use. All control instances must use the
// same limits, or their states would diverge.
struct Limits {
  uint32_t max_claims_per_organisation = 10'000;
  uint64_t max_response_bytes_per_organisation = 8 << 20;
  uint32_t max_claims = 200'000;
  uint64_t max_response_bytes = 48 << 20;
  // Minimum age at which a claim with an uncertain outcome (kOrphaned,
  // kUnknown) is evicted. It far exceeds the time during which the owner may
  // still send the request (kSendWindow) and a connection may delay it.
  uint64_t min_uncertain_age_ms = 86'400'000;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(max_claims_per_organisation, max_response_bytes_per_organisation,
            max_claims, max_response_bytes, min_uncertain_age_ms);
  }
};

// kSendWindow is the maximum time, on the owner's clock, between requesting a
// claim and sending the first byte of the request to a target.
inline constexpr Duration kSendWindow = std::chrono::seconds(60);

// Entry is the replicated record of one claim.
struct Entry {
  ClaimId holder;
  Digest digest;
  RetentionLimits limits;
  Phase phase = Phase::kRunning;
  LogTime expires;  // unused for kRunning, which does not expire
  RecordedResponse response;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(holder, digest, limits, phase, expires, response);
  }
};

// Usage is the number of claims and the total size of the retained responses
// of one organisation or of all.
struct Usage {
  uint32_t claims = 0;
  uint64_t response_bytes = 0;

  friend bool operator==(const Usage&, const Usage&) = default;
};

// State is the replicated state. It must be changed only through Apply.
struct State {
  Limits limits;
  LogTime clock;
  std::map<ClaimKey, Entry> entries;
  // Indexes and totals derived from `entries`:
  std::map<Owner, std::set<ClaimKey>> running;
  std::set<std::pair<LogTime, ClaimKey>> expiry;
  std::map<OrganisationId, Usage> usage;
  Usage total;
};

// Apply applies the next log entry, after evicting the claims that expired by
// then. The reply is meaningful only if the action is a ClaimRequest.
ClaimReply Apply(State& state, const Command& command);

// ToCommand returns the command that applies a request.
Command ToCommand(ClaimRequest request, uint64_t elapsed_ms);

// RunningOwners returns the owners of running claims. The leader monitors their
// heartbeats and proposes OwnerDead for an owner whose heartbeats stop.
std::vector<Owner> RunningOwners(const State& state);

// EncodeSnapshot and DecodeSnapshot convert the whole state to bytes and back.
// DecodeSnapshot fails with wire::Error if the bytes are malformed.
std::string EncodeSnapshot(const State& state);
leaf::result<State> DecodeSnapshot(std::string_view bytes);

// ClientOptions configures a Client.
struct ClientOptions {
  Owner owner;
  Duration resend_interval = std::chrono::milliseconds(250);
};

// PendingRequest is a request that has received no reply yet.
struct PendingRequest {
  ClaimRequest request;
  TimePoint next_send;
};

// Client tracks a router's own claims, each until control has recorded its end.
// Not thread-safe.
struct Client {
  ClientOptions options;
  uint64_t next_number = 1;
  std::map<uint64_t, PendingRequest> pending;  // by ClaimId::number
  std::map<uint64_t, ClaimKey> granted;        // until EndClaim
};

// ClaimResult is the decision on the claim `id`.
struct ClaimResult {
  ClaimId id;
  Decision decision = Decision::kUnknown;
  RecordedResponse response;
};

// BeginClaim queues a new claim, to be sent by the next TakeDueRequests, and
// returns its id.
ClaimId BeginClaim(Client& client, const ClaimKey& key, const Digest& digest,
                   const RetentionLimits& retention, TimePoint now);

// EndClaim queues the end of a claim that is granted or not yet decided. The
// end of an undecided claim replaces its pending request, and OnReply no longer
// reports a decision on it. Has no effect on a claim that was decided but not
// granted.
void EndClaim(Client& client, const ClaimId& id, End end, TimePoint now);

// OnReply processes a reply and returns each claim's decision at most once. A
// grant for a claim that has already ended is released by an End of kNotRun.
std::optional<ClaimResult> OnReply(Client& client, const ClaimReply& reply,
                                   TimePoint now);

// TakeDueRequests returns the requests to send now. Each is returned again
// after ClientOptions::resend_interval until its reply arrives.
std::vector<ClaimRequest> TakeDueRequests(Client& client, TimePoint now);

}  // namespace samphirebank::claims

#endif  // SAMPHIREBANK_CLAIMS_CLAIMS_H_
