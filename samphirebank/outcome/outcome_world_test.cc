// Property test: random requests pass through two routers that may crash. The
// network loses, duplicates and delays messages. A simulated target counts what
// it ran, so that the outcomes reported to callers can be checked.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <string>
#include <vector>

#include "samphirebank/outcome/outcome.h"

namespace samphirebank::outcome {
namespace {

// Call is one attempt on its way to the target and at it.
struct Call {
  size_t arrival = 0;
  uint32_t attempt = 0;
  bool open = true;  // the router still accepts its response
  bool at_target = false;
  bool head_sent = false;
  uint64_t run = 0;   // number of the execution; 0: refused before running
  uint64_t next = 0;  // next event of the response
};

constexpr uint64_t kNumEvents = 4;

// Arrival is one submission of a caller's request.
struct Arrival {
  size_t router = 0;
  std::string key;  // empty: none
  Request request;
  std::optional<claims::ClaimId> claim;
  uint64_t sends = 0;
  uint64_t runs = 0;
  int64_t grants = 0;    // received minus settled
  std::string buffered;  // received from the target, not yet forwarded
  std::string caller;    // sent to the caller
  std::optional<Outcome> reported;  // in the refusal
  bool response_finished = false;
  bool lost = false;  // its router crashed
};

struct Router {
  claims::Client client;
  retry::Budgets budgets;
};

// Pick draws a uniformly distributed number below `limit`. The fixed generator
// size keeps the distribution the same in all cases of a property.
size_t Pick(size_t limit) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<size_t>(0, limit));
}

std::string EventText(uint64_t run, uint64_t event) {
  return std::to_string(run) + "." + std::to_string(event) + " ";
}

// World simulates control, two routers, their callers, the target and the
// network between them.
struct World {
  claims::State control;
  std::vector<Router> routers = std::vector<Router>(2);
  std::vector<Arrival> arrivals;
  std::vector<Call> calls;
  std::vector<claims::ClaimRequest> to_control;
  std::vector<claims::ClaimReply> to_routers;
  std::vector<claims::Owner> dead_owners;
  std::map<std::string, uint64_t> runs_of_key;
  uint64_t runs = 0;
  uint64_t boots = 0;
  TimePoint now = TimePoint(std::chrono::seconds(1000));

  World() {
    for (size_t i = 0; i < this->routers.size(); ++i) this->Boot(i);
  }

  void Boot(size_t router) {
    this->routers[router] = Router{};
    this->routers[router].client.options.owner = {
        .instance = InstanceId(std::to_string(router)),
        .boot = BootId(++this->boots)};
  }

  void AddArrival() {
    const bool idempotent = *rc::gen::element(true, false, false);
    Arrival arrival;
    arrival.router = Pick(2);
    if (!idempotent) arrival.key = *rc::gen::element<std::string>("", "k", "k");
    arrival.request = Start({.organisation = OrganisationId("a"),
                             .service = ServiceId("s"),
                             .idempotent = idempotent,
                             .has_key = !arrival.key.empty(),
                             .deadline = this->now + std::chrono::minutes(9)});
    this->arrivals.push_back(std::move(arrival));
  }

  void Raise(size_t index, const Event& event) {
    Arrival& arrival = this->arrivals[index];
    if (arrival.lost) return;
    const std::vector<Action> actions =
        Step(arrival.request, event, this->routers[arrival.router].budgets,
             this->now);
    for (const Action& action : actions) this->Perform(index, action);
  }

  void Perform(size_t index, const Action& action) {
    Arrival& arrival = this->arrivals[index];
    claims::Client& client = this->routers[arrival.router].client;
    if (std::get_if<MakeClaim>(&action) != nullptr) {
      const claims::ClaimKey key{.organisation = OrganisationId("a"),
                                 .service = ServiceId("s"),
                                 .key = arrival.key};
      arrival.claim =
          BeginClaim(client, key, claims::Digest("d"), {}, this->now);
    } else if (const auto* record = std::get_if<RecordClaimEnd>(&action)) {
      EndClaim(client, *arrival.claim, record->end, this->now);
    } else if (const auto* dispatch = std::get_if<Dispatch>(&action)) {
      this->Send(index, *dispatch);
    } else if (std::get_if<Settle>(&action) != nullptr) {
      arrival.grants -= 1;
    } else if (std::get_if<ForwardBuffered>(&action) != nullptr) {
      arrival.caller += arrival.buffered;
      arrival.buffered.clear();
    } else if (std::get_if<DiscardBuffered>(&action) != nullptr) {
      arrival.buffered.clear();
    } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
      for (Call& call : this->calls) {
        if (call.arrival == index && call.attempt == cancel->attempt) {
          call.open = false;
        }
      }
    } else if (std::get_if<FinishResponse>(&action) != nullptr) {
      RC_ASSERT(!arrival.response_finished);
      arrival.response_finished = true;
    } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
      RC_ASSERT(!arrival.reported && arrival.caller.empty());
      arrival.reported = refuse->problem.outcome;
    }
  }

  void Send(size_t index, const Dispatch& dispatch) {
    Arrival& arrival = this->arrivals[index];
    const bool connects = Pick(5) > 0;
    if (!connects ||
        !MayDispatch(arrival.request, dispatch.attempt, this->now)) {
      this->Raise(index, AttemptFailed{.attempt = dispatch.attempt,
                                       .sent = net::SendState::kNotSent});
      return;
    }
    if (dispatch.resume_after) {
      this->Resume(index, dispatch);
      return;
    }
    arrival.sends += 1;
    this->calls.push_back({.arrival = index, .attempt = dispatch.attempt});
  }

  void Resume(size_t index, const Dispatch& dispatch) {
    uint64_t run = 0;
    for (const Call& call : this->calls) {
      if (call.arrival == index && call.run != 0) run = call.run;
    }
    this->calls.push_back({.arrival = index,
                           .attempt = dispatch.attempt,
                           .at_target = true,
                           .run = run,
                           .next = *dispatch.resume_after});
  }

  // DeliverToTarget delivers a sent request to the target, even if its router
  // has cancelled it since.
  void DeliverToTarget(Call& call) {
    if (call.at_target) return;
    call.at_target = true;
    if (Pick(6) == 0) return;
    call.run = ++this->runs;
    Arrival& arrival = this->arrivals[call.arrival];
    arrival.runs += 1;
    if (!arrival.key.empty()) this->runs_of_key[arrival.key] += 1;
  }

  // SendNextPart sends the next part of the target's response to the router.
  void SendNextPart(size_t position) {
    const Call call = this->calls[position];
    const bool stream = call.arrival % 2 == 0;
    if (!call.at_target || !call.open) return;
    if (!call.head_sent) {
      this->calls[position].head_sent = true;
      this->Raise(call.arrival,
                  HeadReceived{.attempt = call.attempt,
                               .status = call.run == 0 ? 503 : 200,
                               .event_stream = stream,
                               .states_not_run = call.run == 0});
      return;
    }
    if (call.next == kNumEvents) {
      this->calls[position].open = false;
      this->Raise(call.arrival, ResponseCompleted{.attempt = call.attempt});
      return;
    }
    this->calls[position].next += 1;
    this->arrivals[call.arrival].buffered += EventText(call.run, call.next);
    this->Raise(call.arrival, BodyReceived{.attempt = call.attempt,
                                           .bytes = Bytes(4),
                                           .events = stream ? 1u : 0u,
                                           .tokens = Tokens(1)});
  }

  // FailCall closes a call's connection, or makes the router detect a fault in
  // the response; a faulty call stays open until the router cancels it.
  void FailCall(size_t position) {
    const Call call = this->calls[position];
    if (!call.open) return;
    const bool faulty = call.at_target && Pick(2) == 0;
    if (faulty || call.head_sent) {
      this->calls[position].head_sent = true;
      this->calls[position].open = faulty;
      this->Raise(call.arrival, ResponseFailed{.attempt = call.attempt});
      return;
    }
    this->calls[position].open = false;
    this->Raise(call.arrival, AttemptFailed{.attempt = call.attempt});
  }

  void Crash(size_t router) {
    this->dead_owners.push_back(this->routers[router].client.options.owner);
    for (size_t i = 0; i < this->arrivals.size(); ++i) {
      if (this->arrivals[i].router != router) continue;
      this->arrivals[i].lost = true;
      for (Call& call : this->calls) call.open &= call.arrival != i;
    }
    this->Boot(router);
  }

  void CollectDueClaims() {
    for (Router& router : this->routers) {
      for (claims::ClaimRequest& request :
           TakeDueRequests(router.client, this->now)) {
        this->to_control.push_back(std::move(request));
      }
    }
  }

  // DeliverClaimMessages delivers one random message in flight to control and
  // one from it. A delivered message sometimes stays in flight and is delivered
  // again.
  void DeliverClaimMessages() {
    this->CollectDueClaims();
    if (!this->to_control.empty()) {
      const size_t i = Pick(this->to_control.size());
      this->to_routers.push_back(
          Apply(this->control, ToCommand(this->to_control[i], 1)));
      if (Pick(3) > 0) {
        this->to_control.erase(this->to_control.begin() + i);
      }
    }
    if (this->to_routers.empty()) return;
    const size_t i = Pick(this->to_routers.size());
    const claims::ClaimReply reply = this->to_routers[i];
    if (Pick(3) > 0) {
      this->to_routers.erase(this->to_routers.begin() + i);
    }
    for (Router& router : this->routers) {
      const auto answered = OnReply(router.client, reply, this->now);
      if (answered) this->ReportDecision(*answered);
    }
  }

  void ReportDecision(const claims::ClaimResult& answered) {
    for (size_t i = 0; i < this->arrivals.size(); ++i) {
      if (this->arrivals[i].claim != answered.id) continue;
      this->Raise(i, ClaimDecided{.decision = answered.decision,
                                  .answer = answered.response});
    }
  }

  void RandomStep() {
    const size_t kind = Pick(100);
    if (this->arrivals.empty()) return this->AddArrival();
    const size_t i = Pick(this->arrivals.size());
    if (kind < 4 && this->arrivals.size() < 6) return this->AddArrival();
    if (kind < 5) return this->Raise(i, CallerDisconnected{});
    if (kind < 6) return this->Raise(i, DeadlinePassed{});
    if (kind < 7) return this->Raise(i, LeaseLost{});
    if (kind < 8) return this->Raise(i, ShutdownTimedOut{});
    if (kind < 9) return this->Raise(i, ClaimUnavailable{});
    if (kind < 10) return this->Crash(this->arrivals[i].router);
    if (kind < 12) return this->DeclareOwnerDead();
    if (kind < 14) {
      this->now += std::chrono::seconds(*rc::gen::element(1, 20));
      return;
    }
    if (kind < 30) return this->DeliverClaimMessages();
    if (kind < 45) return this->DeliverGrant(i);
    if (this->calls.empty()) return;
    const size_t c = Pick(this->calls.size());
    if (kind < 60) return this->DeliverToTarget(this->calls[c]);
    if (kind < 95) return this->SendNextPart(c);
    this->FailCall(c);
  }

  void DeliverGrant(size_t i) {
    if (this->arrivals[i].lost) return;
    this->arrivals[i].grants += 1;
    const Grant grant{.target = TargetId("t"),
                      .address = {},
                      .epoch = Epoch(1),
                      .expires = this->now + std::chrono::seconds(5),
                      .can_resume = true};
    this->Raise(i, GrantReceived{.grant = grant});
  }

  void DeclareOwnerDead() {
    // A live router may be declared dead, too.
    claims::Owner owner = this->routers[0].client.options.owner;
    if (!this->dead_owners.empty() && Pick(3) > 0) {
      owner = this->dead_owners.back();
    }
    Apply(this->control,
          {.elapsed_ms = 1, .action = claims::OwnerDead{.owner = owner}});
  }

  void Check() {
    for (Call& call : this->calls) this->DeliverToTarget(call);
    for (const auto& [key, count] : this->runs_of_key) RC_ASSERT(count <= 1u);
    for (const Arrival& arrival : this->arrivals) {
      const bool idempotent = arrival.request.options.idempotent;
      if (!idempotent) RC_ASSERT(arrival.sends <= 1u);
      if (arrival.reported == Outcome::kNotRun) RC_ASSERT(arrival.runs == 0u);
      const bool ended = arrival.request.phase == Phase::kEnded;
      if (ended && !arrival.lost) RC_ASSERT(arrival.grants == 0);
      if (arrival.response_finished) this->CheckComplete(arrival.caller);
    }
  }

  // CheckComplete asserts that `text` is the complete response of one
  // execution.
  static void CheckComplete(const std::string& text) {
    const uint64_t run = std::stoull(text);
    std::string expected;
    for (uint64_t i = 0; i < kNumEvents; ++i) expected += EventText(run, i);
    RC_ASSERT(text == expected);
  }
};

TEST_CASE("no non-idempotent rerun, no false not-run, no false completion") {
  CHECK(rc::check("outcomes match what the target ran", [] {
    for (int round = 0; round < 20; ++round) {
      World world;
      for (int i = 0; i < 250; ++i) world.RandomStep();
      world.Check();
    }
  }));
}

}  // namespace
}  // namespace samphirebank::outcome
