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

struct Sender {
  State& state;
  uint64_t elapsed_ms = 0;

  ClaimReply Ask(const ClaimId& id, const ClaimKey& key,
                 const std::string& digest = "d") const {
    return Apply(
        this->state,
        ToCommand(
            {.id = id,
             .key = key,
             .action = Claim{.digest = Digest(digest),
                             .retention = {.max_age_s = 10, .max_bytes = 100}}},
            this->elapsed_ms));
  }
  ClaimReply Finish(const ClaimId& id, const ClaimKey& key, EndKind kind,
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

TEST_CASE("one arrival is granted and a resend gets what became of it") {
  State state;
  const Sender send{.state = state};
  const ClaimKey key = KeyOf("a", "k");
  CHECK(send.Ask(kFirst, key).decision == Decision::kGranted);
  CHECK(send.Ask(kFirst, key).decision == Decision::kGranted);
  CHECK(send.Ask(kResend, key).decision == Decision::kRunning);
  CHECK(send.Ask(kResend, key, "other").decision == Decision::kMismatch);
  CHECK(send.Ask(kResend, KeyOf("b", "k")).decision == Decision::kGranted);
  // Only the holder can end it.
  send.Finish(kResend, key, EndKind::kNotRun);
  CHECK(send.Ask(kResend, key).decision == Decision::kRunning);
  send.Finish(kFirst, key, EndKind::kResponse, "paid");
  const ClaimReply recorded = send.Ask(kResend, key);
  CHECK(recorded.decision == Decision::kRecorded);
  CHECK(recorded.response.body == "paid");
  // A late end changes nothing.
  send.Finish(kFirst, key, EndKind::kNotRun);
  CHECK(send.Ask(kResend, key).decision == Decision::kRecorded);
}

TEST_CASE("a lost owner's claim is unknown, outlives the contract's age") {
  State state;
  const Sender send{.state = state};
  const ClaimKey key = KeyOf("a", "k");
  send.Ask(kFirst, key);
  CHECK(RunningOwners(state) == std::vector<Owner>{OwnerOf(1)});
  Apply(state, {.elapsed_ms = 0, .action = OwnerDead{.owner = OwnerOf(1)}});
  CHECK(RunningOwners(state).empty());
  CHECK(send.Ask(kResend, key).decision == Decision::kUnknown);
  Apply(state, {.elapsed_ms = state.limits.min_uncertain_age_ms - 1,
                .action = Tick{}});
  CHECK(send.Ask(kResend, key).decision == Decision::kUnknown);
  // It was only isolated: it may still tell how its run ended.
  send.Finish(kFirst, key, EndKind::kResponse, "paid");
  CHECK(send.Ask(kResend, key).decision == Decision::kRecorded);
}

TEST_CASE("a running claim does not expire") {
  State state;
  const Sender send{.state = state};
  send.Ask(kFirst, KeyOf("a", "k"));
  Apply(state, {.elapsed_ms = uint64_t{1} << 50, .action = Tick{}});
  CHECK(send.Ask(kResend, KeyOf("a", "k")).decision == Decision::kRunning);
}

TEST_CASE("answers are kept within the contract's size and age") {
  State state;
  const Sender send{.state = state};
  const ClaimKey key = KeyOf("a", "k");
  send.Ask(kFirst, key);
  send.Finish(kFirst, key, EndKind::kResponse, std::string(101, 'x'));
  CHECK(send.Ask(kResend, key).decision == Decision::kRan);
  Apply(state, {.elapsed_ms = 10'000, .action = Tick{}});
  CHECK(send.Ask(kResend, key).decision == Decision::kGranted);
}

TEST_CASE("one organisation cannot take the room of another") {
  State state;
  state.limits.max_claims_per_organisation = 2;
  const Sender send{.state = state};
  CHECK(send.Ask(kFirst, KeyOf("a", "1")).decision == Decision::kGranted);
  CHECK(send.Ask(kFirst, KeyOf("a", "2")).decision == Decision::kGranted);
  CHECK(send.Ask(kFirst, KeyOf("a", "3")).decision == Decision::kFull);
  CHECK(send.Ask(kFirst, KeyOf("b", "1")).decision == Decision::kGranted);
  CHECK(send.Ask(kFirst, KeyOf("b", "")).decision == Decision::kInvalid);
  CHECK(send.Ask(kFirst, KeyOf("b", std::string(256, 'k'))).decision ==
        Decision::kInvalid);
}

TEST_CASE("digests differ where requests differ") {
  const Digest digest = RequestDigest("POST", "/pay", "text/plain", "ab");
  CHECK(digest == RequestDigest("POST", "/pay", "text/plain", "ab"));
  CHECK(digest != RequestDigest("POST", "/pay", "text/plaina", "b"));
  CHECK(digest != RequestDigest("POST", "/pay", "text/plain", "ac"));
  CHECK(digest.value.size() == 32);
}

// RandomCommand draws from few keys, owners and numbers, so that they meet.
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
                .retention = {.max_age_s = 5, .max_bytes = 10}}};
  if (kind >= 7) {
    request.action =
        End{.kind = static_cast<EndKind>(*rc::gen::inRange(0, 3)),
            .response = {.status = 200,
                         .content_type = "t",
                         .body = std::string(*rc::gen::inRange(0, 12), 'x')}};
  }
  return ToCommand(std::move(request), elapsed);
}

// NaiveClaim is what the naive history keeps of a grant that may still run.
struct NaiveClaim {
  ClaimId holder;
  uint64_t forget_ms = 0;  // 0: never
};

TEST_CASE("differential: no second grant while a first may still run") {
  CHECK(rc::check("claims against a naive history", [] {
    State state;
    state.limits.min_uncertain_age_ms = 30'000;
    std::map<ClaimKey, NaiveClaim> may_run;
    uint64_t clock_ms = 0;
    const int length = *rc::gen::inRange(1, 60);
    for (int i = 0; i < length; ++i) {
      const Command command = RandomCommand();
      clock_ms += command.elapsed_ms;
      std::erase_if(may_run, [&](const auto& item) {
        return item.second.forget_ms != 0 && item.second.forget_ms <= clock_ms;
      });
      const ClaimReply reply = Apply(state, command);
      if (const auto* dead = std::get_if<OwnerDead>(&command.action)) {
        for (auto& [key, claim] : may_run) {
          const bool running = claim.forget_ms == 0;
          if (claim.holder.owner == dead->owner && running) {
            claim.forget_ms = clock_ms + 30'000;
          }
        }
      }
      const auto* request = std::get_if<ClaimRequest>(&command.action);
      if (request == nullptr) continue;
      const auto found = may_run.find(request->key);
      const bool own =
          found != may_run.end() && found->second.holder == request->id;
      if (reply.decision == Decision::kGranted) {
        RC_ASSERT(found == may_run.end() || own);
        may_run[request->key] = {.holder = request->id, .forget_ms = 0};
      }
      const auto* end = std::get_if<End>(&request->action);
      if (end == nullptr || !own) continue;
      const auto entry = state.entries.find(request->key);
      if (end->kind == EndKind::kUnknown && found->second.forget_ms == 0) {
        found->second.forget_ms = clock_ms + 30'000;
      }
      const bool still_uncertain = entry != state.entries.end() &&
                                   entry->second.phase == Phase::kUnknown;
      if (end->kind != EndKind::kUnknown && !still_uncertain) {
        may_run.erase(found);
      }
    }
  }));
}

TEST_CASE("a snapshot carries everything, derived parts too") {
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

TEST_CASE("a client resends until answered and gives late grants back") {
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
  // The caller leaves before control answers: the end overtakes the claim.
  EndClaim(client, id, {.kind = EndKind::kNotRun, .response = {}}, start);
  const std::vector<ClaimRequest> end = TakeDueRequests(client, start);
  REQUIRE(end.size() == 1);
  OnReply(client, Apply(state, ToCommand(end[0], 0)), start);
  CHECK(client.pending.empty());
  const ClaimReply late = Apply(state, ToCommand(first[0], 0));
  CHECK(late.decision == Decision::kGranted);
  CHECK(!OnReply(client, late, start).has_value());
  const std::vector<ClaimRequest> given_back = TakeDueRequests(client, start);
  REQUIRE(given_back.size() == 1);
  Apply(state, ToCommand(given_back[0], 0));
  CHECK(state.entries.empty());
}

}  // namespace
}  // namespace samphirebank::claims
