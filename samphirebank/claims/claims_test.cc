#include "samphirebank/claims/claims.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

namespace samphirebank::claims {
namespace {

using std::chrono::milliseconds;

Owner OwnerOf(int number) {
  return Owner{.instance = InstanceId("r" + std::to_string(number)),
               .boot = BootId(1)};
}

ClaimKey KeyOf(const std::string& organisation, const std::string& key) {
  return ClaimKey{.organisation = OrganisationId(organisation),
                  .service = ServiceId("payments"),
                  .key = key};
}

// Sender applies requests to a state as committed log entries.
struct Sender {
  State& state;
  uint64_t elapsed_ms = 0;

  ClaimReply RequestClaim(const ClaimId& id, const ClaimKey& key,
                          const std::string& digest = "d") const {
    return Apply(
        this->state,
        ToCommand(
            {.id = id,
             .key = key,
             .action = Claim{.digest = Digest(digest),
                             .limits = {.max_age_s = 10, .max_bytes = 100}}},
            this->elapsed_ms));
  }
  ClaimReply SendEnd(const ClaimId& id, const ClaimKey& key, EndKind kind,
                     const std::string& body = "") const {
    return Apply(
        this->state,
        ToCommand({.id = id,
                   .key = key,
                   .action = End{.kind = kind,
                                 .response = {.status = 200,
                                              .content_type = "text/plain",
                                              .body = body}}},
                  this->elapsed_ms));
  }
};

const ClaimId kFirst{.owner = OwnerOf(1), .number = 1};
const ClaimId kResend{.owner = OwnerOf(2), .number = 1};

TEST_CASE("only one arrival is granted and a resend receives its outcome") {
  State state;
  const Sender send{.state = state};
  const ClaimKey key = KeyOf("a", "k");
  CHECK(send.RequestClaim(kFirst, key).decision == Decision::kGranted);
  CHECK(send.RequestClaim(kFirst, key).decision == Decision::kGranted);
  CHECK(send.RequestClaim(kResend, key).decision == Decision::kRunning);
  CHECK(send.RequestClaim(kResend, key, "other").decision ==
        Decision::kMismatch);
  CHECK(send.RequestClaim(kResend, KeyOf("b", "k")).decision ==
        Decision::kGranted);
  // Only the holder can end the claim.
  send.SendEnd(kResend, key, EndKind::kNotRun);
  CHECK(send.RequestClaim(kResend, key).decision == Decision::kRunning);
  send.SendEnd(kFirst, key, EndKind::kResponse, "paid");
  const ClaimReply recorded = send.RequestClaim(kResend, key);
  CHECK(recorded.decision == Decision::kRecorded);
  CHECK(recorded.response.body == "paid");
  // A second end has no effect.
  send.SendEnd(kFirst, key, EndKind::kNotRun);
  CHECK(send.RequestClaim(kResend, key).decision == Decision::kRecorded);
}

TEST_CASE(
    "a dead owner's claim stays unknown beyond the contract's retention") {
  State state;
  const Sender send{.state = state};
  const ClaimKey key = KeyOf("a", "k");
  send.RequestClaim(kFirst, key);
  CHECK(RunningOwners(state) == std::vector<Owner>{OwnerOf(1)});
  Apply(state, {.elapsed_ms = 0, .action = OwnerDead{.owner = OwnerOf(1)}});
  CHECK(RunningOwners(state).empty());
  CHECK(send.RequestClaim(kResend, key).decision == Decision::kUnknown);
  Apply(state, {.elapsed_ms = state.limits.min_uncertain_age_ms - 1,
                .action = Tick{}});
  CHECK(send.RequestClaim(kResend, key).decision == Decision::kUnknown);
  // The owner was only partitioned and can still end its claim.
  send.SendEnd(kFirst, key, EndKind::kResponse, "paid");
  CHECK(send.RequestClaim(kResend, key).decision == Decision::kRecorded);
}

TEST_CASE("a running claim does not expire") {
  State state;
  const Sender send{.state = state};
  send.RequestClaim(kFirst, KeyOf("a", "k"));
  Apply(state, {.elapsed_ms = uint64_t{1} << 50, .action = Tick{}});
  CHECK(send.RequestClaim(kResend, KeyOf("a", "k")).decision ==
        Decision::kRunning);
}

TEST_CASE("responses are retained within the contract's size and age") {
  State state;
  const Sender send{.state = state};
  const ClaimKey key = KeyOf("a", "k");
  send.RequestClaim(kFirst, key);
  send.SendEnd(kFirst, key, EndKind::kResponse, std::string(101, 'x'));
  CHECK(send.RequestClaim(kResend, key).decision == Decision::kRan);
  Apply(state, {.elapsed_ms = 10'000, .action = Tick{}});
  CHECK(send.RequestClaim(kResend, key).decision == Decision::kGranted);
}

TEST_CASE("one organisation cannot use another's capacity") {
  State state;
  state.limits.max_claims_per_organisation = 2;
  const Sender send{.state = state};
  CHECK(send.RequestClaim(kFirst, KeyOf("a", "1")).decision ==
        Decision::kGranted);
  CHECK(send.RequestClaim(kFirst, KeyOf("a", "2")).decision ==
        Decision::kGranted);
  CHECK(send.RequestClaim(kFirst, KeyOf("a", "3")).decision == Decision::kFull);
  CHECK(send.RequestClaim(kFirst, KeyOf("b", "1")).decision ==
        Decision::kGranted);
  CHECK(send.RequestClaim(kFirst, KeyOf("b", "")).decision ==
        Decision::kInvalid);
  CHECK(send.RequestClaim(kFirst, KeyOf("b", std::string(256, 'k'))).decision ==
        Decision::kInvalid);
}

TEST_CASE("digests differ where requests differ") {
  const Digest digest = RequestDigest("POST", "/pay", "text/plain", "ab");
  CHECK(digest == RequestDigest("POST", "/pay", "text/plain", "ab"));
  CHECK(digest != RequestDigest("POST", "/pay", "text/plaina", "b"));
  CHECK(digest != RequestDigest("POST", "/pay", "text/plain", "ac"));
  CHECK(digest.value.size() == 32);
}

// RandomCommand draws from few keys, owners and numbers, so that commands often
// concern the same claim.
Command RandomCommand() {
  const int kind = *rc::gen::inRange(0, 10);
  const uint64_t elapsed = *rc::gen::element<uint64_t>(0, 1, 4000, 20'000);
  const Owner owner = OwnerOf(*rc::gen::inRange(0, 3));
  if (kind == 0) return {.elapsed_ms = elapsed, .action = Tick{}};
  if (kind == 1) return {.elapsed_ms = elapsed, .action = OwnerDead{owner}};
  ClaimRequest request{
      .id = {.owner = owner, .number = *rc::gen::inRange<uint64_t>(0, 3)},
      .key = KeyOf(*rc::gen::element<std::string>("a", "b"),
                   std::to_string(*rc::gen::inRange(0, 3))),
      .action =
          Claim{.digest = Digest(*rc::gen::element<std::string>("d", "e")),
                .limits = {.max_age_s = 5, .max_bytes = 10}}};
  if (kind >= 7) {
    request.action =
        End{.kind = static_cast<EndKind>(*rc::gen::inRange(0, 3)),
            .response = {.status = 200,
                         .content_type = "t",
                         .body = std::string(*rc::gen::inRange(0, 12), 'x')}};
  }
  return ToCommand(std::move(request), elapsed);
}

// NaiveClaim is the reference model of a grant whose operation may still run.
struct NaiveClaim {
  ClaimId holder;
  uint64_t evict_at_ms = 0;  // 0: never
};

TEST_CASE("differential: no second grant while a first may still run") {
  CHECK(rc::check("claims against a naive model", [] {
    State state;
    state.limits.min_uncertain_age_ms = 30'000;
    std::map<ClaimKey, NaiveClaim> may_run;
    uint64_t clock_ms = 0;
    const int length = *rc::gen::inRange(1, 60);
    for (int i = 0; i < length; ++i) {
      const Command command = RandomCommand();
      clock_ms += command.elapsed_ms;
      std::erase_if(may_run, [&](const auto& item) {
        return item.second.evict_at_ms != 0 &&
               item.second.evict_at_ms <= clock_ms;
      });
      const ClaimReply reply = Apply(state, command);
      if (const auto* dead = std::get_if<OwnerDead>(&command.action)) {
        for (auto& [key, claim] : may_run) {
          const bool running = claim.evict_at_ms == 0;
          if (claim.holder.owner == dead->owner && running) {
            claim.evict_at_ms = clock_ms + 30'000;
          }
        }
      }
      const auto* request = std::get_if<ClaimRequest>(&command.action);
      if (request == nullptr) continue;
      const auto found = may_run.find(request->key);
      const bool is_holder =
          found != may_run.end() && found->second.holder == request->id;
      if (reply.decision == Decision::kGranted) {
        RC_ASSERT(found == may_run.end() || is_holder);
        may_run[request->key] = {.holder = request->id, .evict_at_ms = 0};
      }
      const auto* end = std::get_if<End>(&request->action);
      if (end == nullptr || !is_holder) continue;
      const auto entry = state.entries.find(request->key);
      if (end->kind == EndKind::kUnknown && found->second.evict_at_ms == 0) {
        found->second.evict_at_ms = clock_ms + 30'000;
      }
      const bool still_uncertain = entry != state.entries.end() &&
                                   entry->second.phase == Phase::kUnknown;
      if (end->kind != EndKind::kUnknown && !still_uncertain) {
        may_run.erase(found);
      }
    }
  }));
}

TEST_CASE("a snapshot restores the whole state, including derived members") {
  CHECK(rc::check("snapshot round trip", [] {
    State state;
    state.limits.max_response_bytes_per_organisation = 15;
    const int length = *rc::gen::inRange(1, 60);
    for (int i = 0; i < length; ++i) {
      const Command command = RandomCommand();
      const leaf::result<Command> copy = DecodeCommand(EncodeCommand(command));
      RC_ASSERT(bool(copy));
      Apply(state, *copy);
    }
    const std::string bytes = EncodeSnapshot(state);
    const leaf::result<State> loaded = DecodeSnapshot(bytes);
    RC_ASSERT(bool(loaded));
    RC_ASSERT(EncodeSnapshot(*loaded) == bytes);
    RC_ASSERT(loaded->running == state.running);
    RC_ASSERT(loaded->expiry == state.expiry);
    RC_ASSERT(loaded->usage == state.usage);
    RC_ASSERT(loaded->total == state.total);
    RC_ASSERT(!DecodeSnapshot(bytes.substr(0, bytes.size() - 1)));
  }));
}

TEST_CASE("a client resends until a reply arrives and releases late grants") {
  State state;
  Client client;
  client.options.owner = OwnerOf(1);
  const TimePoint start{};
  const ClaimKey key = KeyOf("a", "k");
  const ClaimId id = BeginClaim(client, key, Digest("d"), {}, start);
  const std::vector<ClaimRequest> first = TakeDueRequests(client, start);
  REQUIRE(first.size() == 1);
  CHECK(TakeDueRequests(client, start).empty());
  CHECK(TakeDueRequests(client, start + milliseconds(250)).size() == 1);
  // The caller disconnects before control replies, and the end reaches control
  // before the claim does.
  EndClaim(client, id, {.kind = EndKind::kNotRun, .response = {}}, start);
  const std::vector<ClaimRequest> end = TakeDueRequests(client, start);
  REQUIRE(end.size() == 1);
  OnReply(client, Apply(state, ToCommand(end[0], 0)), start);
  CHECK(client.pending.empty());
  const ClaimReply late = Apply(state, ToCommand(first[0], 0));
  CHECK(late.decision == Decision::kGranted);
  CHECK(!OnReply(client, late, start).has_value());
  const std::vector<ClaimRequest> releases = TakeDueRequests(client, start);
  REQUIRE(releases.size() == 1);
  Apply(state, ToCommand(releases[0], 0));
  CHECK(state.entries.empty());
}

}  // namespace
}  // namespace samphirebank::claims
