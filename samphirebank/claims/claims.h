// File: claims.h
//
// Idempotency claims: which request under an Idempotency-Key may run. State
// is a replicated state machine that every control instance applies from the
// log; it is deterministic, and time enters only as spans in commands. Client
// is the router's side, which resends a request until it is answered.
//
// Example, on a control instance, for each committed entry in order:
//
//   std::string entry = EncodeCommand(ToCommand(request, elapsed));  // leader
//   leaf::result<Command> command = DecodeCommand(entry);
//   ClaimReply reply = Apply(state, *command);  // the leader sends it
//
// Example, on a router:
//
//   ClaimId id = BeginClaim(client, key, digest, keep, now);
//   for (ClaimRequest& request : TakeDueRequests(client, now)) Send(request);
//   std::optional<ClaimResult> answered = OnReply(client, reply, now);
//   EndClaim(client, id, End{.kind = EndKind::kNotRun}, now);
//
// Whoever takes a ClaimRequest from the wire must check that the owner in it
// is the packet's sender.
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

// Digest identifies the content of a request: 32 bytes, binary.
using Digest = StrongText<struct DigestTag>;
// LogTime is the replicated clock in milliseconds. It counts only spans that
// leaders measured, so it never runs ahead of true time.
using LogTime = StrongNumber<struct LogTimeTag, uint64_t>;

// RequestDigest returns the digest of a request's method, path with query,
// content type and body; different requests have different digests.
Digest RequestDigest(std::string_view method, std::string_view path,
                     std::string_view content_type, std::string_view body);

// kMaxKeyBytes is the longest Idempotency-Key.
inline constexpr size_t kMaxKeyBytes = 255;

// ClaimKey names one operation. Keys of two organisations never meet.
struct ClaimKey {
  OrganisationId organisation;
  ServiceId service;
  std::string key;  // as the caller gave it

  friend auto operator<=>(const ClaimKey&, const ClaimKey&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(organisation, service, key);
  }
};

// Owner is one run of a router.
struct Owner {
  InstanceId instance;
  BootId boot;

  friend auto operator<=>(const Owner&, const Owner&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(instance, boot);
  }
};

// ClaimId names one arrival of a request; the owner never reuses a number.
struct ClaimId {
  Owner owner;
  uint64_t number = 0;

  friend auto operator<=>(const ClaimId&, const ClaimId&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(owner, number);
  }
};

// RetentionLimits is what the contract allows a recorded answer.
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

// RecordedResponse is a target's whole answer.
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

// Claim asks for the right to run.
struct Claim {
  Digest digest;
  RetentionLimits retention;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(digest, retention);
  }
};

// EndKind says how a granted claim ended.
enum class EndKind : uint8_t {
  kResponse,  // the target answered; the answer is recorded
  kUnknown,   // it may have run
  kNotRun,    // it did not run and never will: the key is free again
};

// End ends a claim. Only the arrival that was granted can end it.
struct End {
  EndKind kind = EndKind::kUnknown;
  RecordedResponse response;  // for kResponse

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(kind, response);
  }
};

// OwnerDead states that an owner has ended or is taken for lost. What it had
// running becomes unknown; nothing of it is released.
struct OwnerDead {
  Owner owner;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(owner);
  }
};

// Tick only moves the clock.
struct Tick {
  template <typename Archive>
  void serialize(Archive&) {}  // NOLINT: the name cereal calls
};

// ClaimRequest goes from a router to any control instance. Sending it again
// has no further effect and gets the same kind of answer.
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

// Decision is the answer to a ClaimRequest.
enum class Decision : uint8_t {
  kGranted,   // this arrival, and no other, may run
  kRunning,   // another arrival was granted and has not ended
  kRecorded,  // the recorded answer is in the reply
  kRan,       // it ran; the answer was too large to be kept
  kUnknown,   // an earlier arrival may have run
  kMismatch,  // the key belongs to another request (422)
  kFull,      // no room for another claim: nothing was claimed
  kInvalid,   // the key is empty or too long: nothing was claimed
  kEnded,     // the answer to End: it is recorded, or was not to be
};

// ClaimReply answers a ClaimRequest; it is sent after its log entry is
// committed.
struct ClaimReply {
  static constexpr wire::Kind kKind = wire::Kind::kClaimReply;
  ClaimId id;
  ClaimKey key;
  Decision decision = Decision::kEnded;
  RecordedResponse response;  // for kRecorded

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(id, key, decision, response);
  }
};

// Command is one log entry.
struct Command {
  uint64_t elapsed_ms = 0;  // since the same leader's previous command
  std::variant<ClaimRequest, OwnerDead, Tick> action;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(elapsed_ms, action);
  }
};

// EncodeCommand and DecodeCommand turn a command into a log entry's bytes and
// back; decoding fails with wire::Error.
std::string EncodeCommand(const Command& command);
leaf::result<Command> DecodeCommand(std::string_view bytes);

// Phase is the state of one claim.
enum class Phase : uint8_t {
  kRunning,   // granted, its owner alive as far as is known
  kOrphaned,  // granted, its owner taken for lost: unknown to all others
  kRecorded,  // ended with an answer that is kept
  kRan,       // ended with an answer that is not kept
  kUnknown,   // ended by its owner as unknown
};

// Limits bounds the memory of claims. All control instances use the same.
struct Limits {
  uint32_t max_claims_per_organisation = 10'000;
  uint64_t max_response_bytes_per_organisation = 8 << 20;
  uint32_t max_claims = 200'000;
  uint64_t max_response_bytes = 48 << 20;
  // Shortest age at which an uncertain claim (kOrphaned, kUnknown) is
  // forgotten. It exceeds by far the time within which an owner may send
  // (kSendWindow) and a connection may hold a request.
  uint64_t min_uncertain_age_ms = 86'400'000;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(max_claims_per_organisation, max_response_bytes_per_organisation,
            max_claims, max_response_bytes, min_uncertain_age_ms);
  }
};

// kSendWindow is the longest time, on the owner's clock from asking for the
// claim, within which the first byte may leave for a target.
inline constexpr Duration kSendWindow = std::chrono::seconds(60);

// Entry is one claim.
struct Entry {
  ClaimId holder;
  Digest digest;
  RetentionLimits retention;
  Phase phase = Phase::kRunning;
  LogTime expires;  // for all phases but kRunning, which does not expire
  RecordedResponse response;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(holder, digest, retention, phase, expires, response);
  }
};

// Usage counts what an organisation, or all of them, take.
struct Usage {
  uint32_t claims = 0;
  uint64_t response_bytes = 0;

  friend bool operator==(const Usage&, const Usage&) = default;
};

// State is the replicated state. Change it only by Apply.
struct State {
  Limits limits;
  LogTime clock;
  std::map<ClaimKey, Entry> entries;
  // What follows is derived from the entries.
  std::map<Owner, std::set<ClaimKey>> running;
  std::set<std::pair<LogTime, ClaimKey>> expiry;
  std::map<OrganisationId, Usage> usage;
  Usage total;
};

// Apply takes the next log entry. The reply is meaningful for a ClaimRequest.
ClaimReply Apply(State& state, const Command& command);

// ToCommand makes the log entry for a request.
Command ToCommand(ClaimRequest request, uint64_t elapsed_ms);

// RunningOwners lists the owners of running claims; the leader watches them
// and proposes OwnerDead for one that it no longer hears.
std::vector<Owner> RunningOwners(const State& state);

// EncodeSnapshot and DecodeSnapshot carry the whole state; decoding fails with
// wire::Error.
std::string EncodeSnapshot(const State& state);
leaf::result<State> DecodeSnapshot(std::string_view bytes);

// ClientOptions says how a router resends.
struct ClientOptions {
  Owner owner;
  Duration resend_interval = std::chrono::milliseconds(250);
};

// PendingRequest is a request without an answer.
struct PendingRequest {
  ClaimRequest request;
  TimePoint next_send;
};

// Client is a router's side of its claims. It remembers a claim until control
// has recorded its end. Not thread-safe.
struct Client {
  ClientOptions options;
  uint64_t next_number = 1;
  std::map<uint64_t, PendingRequest> pending;  // by ClaimId::number
  std::map<uint64_t, ClaimKey> granted;        // to be ended by EndClaim
};

// ClaimResult tells the arrival `id` what was decided.
struct ClaimResult {
  ClaimId id;
  Decision decision = Decision::kUnknown;
  RecordedResponse response;
};

// BeginClaim files a claim that is due at once.
ClaimId BeginClaim(Client& client, const ClaimKey& key, const Digest& digest,
                   const RetentionLimits& retention, TimePoint now);

// EndClaim files the end of a claim, also of one that is not yet decided; the
// claim's own request is then no longer sent and no answer to it is reported.
// Does nothing for a claim that was decided otherwise than granted.
void EndClaim(Client& client, const ClaimId& id, End end, TimePoint now);

// OnReply takes a reply. It reports each claim's decision once. A grant that
// nobody waits for any more is given back as not run.
std::optional<ClaimResult> OnReply(Client& client, const ClaimReply& reply,
                                   TimePoint now);

// TakeDueRequests returns the requests to send now; each comes again until
// answered.
std::vector<ClaimRequest> TakeDueRequests(Client& client, TimePoint now);

}  // namespace samphirebank::claims

#endif  // SAMPHIREBANK_CLAIMS_CLAIMS_H_
