#include <doctest/doctest.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "samphirebank/lease/lease.h"

namespace samphirebank::lease {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const net::SocketAddress kLocalControl{"127.0.0.1", 1};
const net::SocketAddress kRemoteControl{"127.0.0.1", 2};

TimePoint At(Duration since_start) { return TimePoint(since_start); }

HolderOptions Options() {
  return {.self = {.instance = InstanceId("r1"),
                   .boot = BootId(1),
                   .region = RegionId("south"),
                   .zone = ZoneId("south-1")},
          .controls = {{kRemoteControl, RegionId("north"), ZoneId("north-1")},
                       {kLocalControl, RegionId("south"), ZoneId("south-1")}}};
}

void Accept(contracts::Machine& machine, int number) {
  contracts::Apply(machine, {.change = ChangeId("c" + std::to_string(number)),
                             .action = contracts::PutContract{
                                 {.organisation = OrganisationId(
                                      "org" + std::to_string(number % 900))}}});
}

contracts::Machine MachineWith(int changes) {
  contracts::Machine machine;
  for (int i = 0; i < changes; ++i) Accept(machine, i);
  return machine;
}

// Exchange sends the polls that are due at `now` and delivers their responses.
void Exchange(Holder& holder, const contracts::History& history, Proof proof,
              TimePoint now) {
  for (const OutgoingPoll& send : OnTimer(holder, now)) {
    OnUpdate(
        holder,
        MakeUpdate(history, proof, holder.options.parameters, send.poll, now),
        now);
  }
}

TEST_CASE("a lease starts at the time of the poll minus the age of the proof") {
  const contracts::Machine machine = MachineWith(3);
  Holder holder = MakeHolder(Options());
  const auto polls = OnTimer(holder, At(seconds(10)));
  REQUIRE(polls.size() == 1);
  CHECK(polls[0].to == kLocalControl);
  const ConfigUpdate update =
      MakeUpdate(machine.history, Proof{At(seconds(100)), Revision(3)},
                 holder.options.parameters, polls[0].poll, At(seconds(101)));
  CHECK(OnUpdate(holder, update, At(seconds(11))));
  CHECK(holder.history == machine.history);
  CHECK(MayAct(holder, At(milliseconds(11'990))));
  CHECK(!MayAct(holder, At(seconds(12))));
  CHECK(!OnUpdate(holder, update, At(seconds(11))));
}

TEST_CASE("a proof gives no lease before all its changes have arrived") {
  const contracts::Machine machine = MachineWith(3);
  Holder holder = MakeHolder(Options());
  const auto poll = OnTimer(holder, At(seconds(10))).at(0).poll;
  ConfigUpdate update =
      MakeUpdate(machine.history, Proof{At(seconds(10)), Revision(3)},
                 holder.options.parameters, poll, At(seconds(10)));
  update.changes.pop_back();
  OnUpdate(holder, update, At(seconds(10)));
  CHECK(!MayAct(holder, At(seconds(10))));
  Exchange(holder, machine.history, {At(seconds(9)), Revision(3)},
           At(seconds(11)));
  CHECK(MayAct(holder, At(seconds(11))));
}

// Guards against a lease that lapses for as long as changes come: each newer
// proof took the place of the one whose changes were about to arrive.
TEST_CASE("a holder that is always a change behind keeps its lease") {
  contracts::Machine machine = MachineWith(3);
  Holder holder = MakeHolder(Options());
  for (int i = 0; i < 60; ++i) {
    const TimePoint now = At(milliseconds(10'000 + 100 * i));
    Accept(machine, 3 + i);
    const Proof proof{now, machine.history.configuration.revision};
    for (const OutgoingPoll& send : OnTimer(holder, now)) {
      ConfigUpdate update = MakeUpdate(
          machine.history, proof, holder.options.parameters, send.poll, now);
      REQUIRE(!update.changes.empty());
      update.changes.pop_back();  // as where the changes exceed one update
      OnUpdate(holder, update, now);
    }
    CAPTURE(i);
    if (i > 0) CHECK(MayAct(holder, now));
  }
}

TEST_CASE("an instance that lacks changes of a proof does not relay it") {
  const contracts::Machine machine = MachineWith(3);
  const ConfigUpdate update =
      MakeUpdate(machine.history, Proof{At(seconds(1)), Revision(4)},
                 Parameters(), ConfigPoll(), At(seconds(1)));
  CHECK(!update.lease_age_ns);
}

TEST_CASE("a response to a poll of an earlier boot gives no lease") {
  HolderOptions options = Options();
  Holder earlier = MakeHolder(options);
  const contracts::Machine machine = MachineWith(1);
  const auto poll = OnTimer(earlier, At(seconds(1))).at(0).poll;
  const ConfigUpdate late =
      MakeUpdate(machine.history, Proof{At(seconds(1)), Revision(1)},
                 options.parameters, poll, At(seconds(1)));
  options.self.boot = BootId(2);
  Holder later = MakeHolder(options);
  OnTimer(later, At(seconds(60)));
  OnUpdate(later, late, At(seconds(60)));
  CHECK(!MayAct(later, At(seconds(60))));
}

TEST_CASE("a holder polls the next control instance after a timeout") {
  Holder holder = MakeHolder(Options());
  CHECK(OnTimer(holder, At(seconds(1))).at(0).to == kLocalControl);
  CHECK(OnTimer(holder, At(milliseconds(1'200))).empty());
  CHECK(OnTimer(holder, At(milliseconds(1'300))).at(0).to == kRemoteControl);
}

TEST_CASE("a holder polls more often when little of its lease is left") {
  Holder holder = MakeHolder(Options());
  const contracts::History history;
  Exchange(holder, history, {At(seconds(10)), Revision(0)}, At(seconds(10)));
  CHECK(OnTimer(holder, At(milliseconds(10'900))).empty());
  Exchange(holder, history, {At(seconds(9)), Revision(0)}, At(seconds(11)));
  CHECK(OnTimer(holder, At(milliseconds(11'900))).empty());
  Exchange(holder, history, {At(seconds(10)), Revision(0)}, At(seconds(12)));
  CHECK(OnTimer(holder, At(milliseconds(12'200))).empty());
  CHECK(OnTimer(holder, At(milliseconds(12'300))).size() == 1);
}

TEST_CASE(
    "a holder returns to control after a router that gave a short lease") {
  HolderOptions options = Options();
  options.controls.pop_back();
  Holder holder = MakeHolder(options);
  const net::SocketAddress peer{"127.0.0.1", 3};
  holder.peers = {peer};
  CHECK(OnTimer(holder, At(seconds(10))).at(0).to == kRemoteControl);
  const auto send = OnTimer(holder, At(milliseconds(10'300))).at(0);
  CHECK(send.to == peer);
  const TimePoint received_at = At(milliseconds(10'310));
  OnUpdate(holder,
           MakeUpdate(contracts::History(), Proof{At(seconds(8)), Revision(0)},
                      Parameters(), send.poll, received_at),
           received_at);
  CHECK(MayAct(holder, received_at));
  CHECK(OnTimer(holder, At(milliseconds(10'700))).at(0).to == kRemoteControl);
}

TEST_CASE("a snapshot is copied in pieces while changes are accepted") {
  contracts::Machine machine =
      MachineWith(static_cast<int>(contracts::kMaxRetainedChanges) + 1000);
  Holder holder = MakeHolder(Options());
  int pieces = 0;
  for (int i = 0; i < 100; ++i) {
    const TimePoint now = At(milliseconds(1000 + 25 * i));
    Exchange(holder, machine.history,
             {now, machine.history.configuration.revision}, now);
    if (holder.copy) ++pieces;
    if (i < 50) Accept(machine, 10'000 + i);
  }
  CHECK(pieces > 2);
  CHECK(!holder.copy);
  const TimePoint later = At(seconds(9));
  Exchange(holder, machine.history,
           {later, machine.history.configuration.revision}, later);
  CHECK(holder.history.configuration == machine.history.configuration);
  CHECK(MayAct(holder, later));
}

TEST_CASE(
    "a copy continues after a piece from a router without configuration") {
  const contracts::Machine machine =
      MachineWith(static_cast<int>(contracts::kMaxRetainedChanges) + 1000);
  const contracts::History empty;
  Holder holder = MakeHolder(Options());
  for (int i = 0; i < 40; ++i) {
    const TimePoint now = At(milliseconds(1000 + 25 * i));
    const bool cold = i % 2 == 1;
    for (const OutgoingPoll& send : OnTimer(holder, now)) {
      const std::optional<Proof> proof =
          cold ? std::optional<Proof>()
               : Proof{now, machine.history.configuration.revision};
      OnUpdate(holder,
               MakeUpdate(cold ? empty : machine.history, proof, Parameters(),
                          send.poll, now),
               now);
    }
  }
  CHECK(holder.history.configuration == machine.history.configuration);
}

TEST_CASE("snapshot pieces to many cold routers are rate limited") {
  const contracts::Machine machine =
      MachineWith(static_cast<int>(contracts::kMaxRetainedChanges) + 1000);
  const Revision newest = machine.history.configuration.revision;
  std::vector<Holder> holders(100, MakeHolder(Options()));
  PieceLimit limit;
  int64_t pieces = 0;
  constexpr int kMilliseconds = 2'000;
  for (int ms = 0; ms < kMilliseconds; ms += 10) {
    const TimePoint now = At(seconds(5) + milliseconds(ms));
    for (Holder& holder : holders) {
      for (OutgoingPoll& send : OnTimer(holder, now)) {
        ApplyPieceLimit(limit, machine.history, send.poll, now);
        const ConfigUpdate update = MakeUpdate(
            machine.history, Proof{now, newest}, Parameters(), send.poll, now);
        if (update.piece) ++pieces;
        OnUpdate(holder, update, now);
      }
    }
    CHECK(pieces <= (milliseconds(ms) + limit.burst) / limit.interval + 1);
  }
  for (const Holder& holder : holders) {
    CHECK(holder.history.configuration == machine.history.configuration);
    CHECK(MayAct(holder, At(seconds(7))));
  }
}

TEST_CASE("reports cover all instances in turn; peers are in the same region") {
  Registry registry;
  const TimePoint now = At(seconds(100));
  for (int i = 0; i < 7; ++i) {
    ConfigPoll poll;
    poll.requester = {.instance = InstanceId("r" + std::to_string(i)),
                      .region = RegionId(i < 4 ? "south" : "north"),
                      .zone = ZoneId("z" + std::to_string(i % 2)),
                      .address = {"127.0.0.1", static_cast<uint16_t>(i)}};
    RecordPoll(registry, poll, now);
  }
  std::map<InstanceId, int> reported;
  for (int i = 0; i < 7; ++i) {
    for (const auto& entry : ReportInstances(registry, 3, now)) {
      ++reported[entry.peer.instance];
    }
  }
  CHECK(reported.size() == 7);
  for (const auto& [instance, times] : reported) CHECK(times == 3);
  const auto peers =
      PeersFor(registry, registry.entries[InstanceId("r1")].peer, 2, now);
  REQUIRE(peers.size() == 2);
  CHECK(peers[0].port == 3);
  CHECK(peers[1].port == 0);
  EvictStaleEntries(registry, now + kEntryTtl);
  CHECK(registry.entries.size() == 7);
  EvictStaleEntries(registry, now + kEntryTtl + Duration(1));
  CHECK(registry.entries.empty());
}

}  // namespace
}  // namespace samphirebank::lease
