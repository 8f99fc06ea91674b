// Connections that go silent for good while new ones work: between a router
// and its target, and between callers and a router.
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <string>
#include <vector>

#include "samphirebank/outcomes_test/internal/fleet.h"
#include "samphirebank/testing/relay.h"

namespace samphirebank::outcomes_test {
namespace {

using testing::Ask;
using testing::Begin;
using testing::End;
using testing::Reply;
using testing::WaitUntil;

constexpr char kBody[] = R"({"amount":12})";
constexpr int kConnections = 10;
// Sockets that come and go with announcements and the test's own questions.
constexpr int kOtherDescriptors = 4;
constexpr int kOtherMib = 16;
// Beyond the longest limit of a router: 30 s for an answer that a caller does
// not take.
constexpr std::chrono::seconds kLongest(60);

// AwaitFirstByte returns once an answer began.
void AwaitFirstByte(int connection) {
  char byte = 0;
  REQUIRE(recv(connection, &byte, 1, MSG_PEEK) == 1);
}

// Size is what a router occupies.
struct Size {
  int descriptors = 0;
  int mib = 0;
};

Size SizeOf(const Entry& entry) {
  return {.descriptors = entry.process->descriptors(),
          .mib = entry.process->resident_mib()};
}

void CheckGoesBack(const Fleet& fleet, size_t router, const Size& before) {
  const Entry& entry = fleet.entries[router];
  CHECK(WaitUntil([&] { return fleet.Requests(router) == 0; }, kLongest));
  CHECK(WaitUntil(
      [&] {
        return SizeOf(entry).descriptors <=
               before.descriptors + kOtherDescriptors;
      },
      kLongest));
  const int grown = SizeOf(entry).mib - before.mib;
  CHECK(grown <= kOtherMib);
}

TEST_CASE("connections to a target go silent: truthful ends, new ones work") {
  Fleet fleet({.controls = 1, .routers = 2});
  const ProcessPointer target =
      fleet.StartUnannounced("t", {"--tokens-per-second=20", "--slots=256"});
  testing::Relay relay(fleet.Port("t"));
  const Announcer announcer(fleet.entries[0], "t-1", relay.port());
  fleet.Ready();
  const Size before = SizeOf(fleet.entries[0]);
  const uint16_t port = fleet.entries[0].caller;

  std::vector<int> streams;
  streams.reserve(kConnections);
  for (int i = 0; i < kConnections; ++i) {
    streams.push_back(Begin(port, Fleet::CompletionCall("long", 2000)));
  }
  for (const int stream : streams) AwaitFirstByte(stream);
  // These go silent after they were sent and before they are answered.
  target->Signal(SIGSTOP);
  const int accepted = relay.accepted();
  std::vector<int> payments;
  for (int i = 0; i < kConnections; ++i) {
    const std::string key = "silent-" + std::to_string(i);
    payments.push_back(Begin(port, Fleet::PayCall(key, kBody)));
  }
  REQUIRE(
      WaitUntil([&] { return relay.accepted() == accepted + kConnections; }));
  relay.Silence();
  target->Signal(SIGCONT);

  for (int i = 0; i < kConnections; ++i) {
    // Each within the contract's deadline, over a connection of its own.
    CHECK(Ask(port, Fleet::CompletionCall("new", 1)).status == 200);
    CHECK(fleet.Pay(0, "new-" + std::to_string(i), kBody).status == 200);
  }
  CHECK(relay.accepted() == accepted + 3 * kConnections);
  for (const int payment : payments) {
    const Reply reply = End(payment);
    CHECK(reply.status == 504);
    CHECK(IsUnknown(reply));
  }
  for (const int stream : streams) {
    const Reply reply = End(stream);
    CHECK(reply.status == 200);
    CHECK(!reply.whole);
    CHECK(Has(reply, "event: error"));
    CHECK(!Has(reply, "data: [DONE]"));
  }
  for (int i = 0; i < kConnections; ++i) {
    const std::string key = "silent-" + std::to_string(i);
    CHECK(IsUnknown(fleet.Pay(1, key, kBody)));
    CHECK(fleet.Runs(key) <= 1);
  }
  CheckGoesBack(fleet, 0, before);
}

TEST_CASE("callers' connections go silent: cut with a reason, work cancelled") {
  Fleet fleet({.controls = 1, .routers = 1});
  const testing::EndlessServer target;
  const Announcer announcer(fleet.entries[0], "t-1", target.port(), "endless");
  testing::Relay relay(fleet.entries[0].caller);
  const testing::Call call = Fleet::CompletionCall("x", 1, "endless");
  const auto answers = [&] {
    const int connection = Begin(relay.port(), call);
    char start[13] = {};
    recv(connection, start, sizeof(start) - 1, MSG_WAITALL);
    close(connection);
    return std::string(start) == "HTTP/1.1 200";
  };
  REQUIRE(WaitUntil(answers));
  REQUIRE(WaitUntil([&] { return target.open() == 0; }));
  const Size before = SizeOf(fleet.entries[0]);

  const int received = fleet.Events("r1", {"request-received"});
  std::vector<int> connections;
  for (int i = 0; i < kConnections; ++i) {
    connections.push_back(Begin(relay.port(), call));
    AwaitFirstByte(connections.back());
    connections.push_back(
        testing::Connect(relay.port(),
                         "POST /v1/completions HTTP/1.1\r\nhost: x\r\n"
                         "authorization: Bearer key-of-guides\r\n"
                         "content-type: application/json\r\n"
                         "content-length: 5000\r\n\r\n{\"model\""));
  }
  REQUIRE(WaitUntil([&] {
    return fleet.Events("r1", {"request-received"}) ==
           received + 2 * kConnections;
  }));
  relay.Silence();
  CHECK(answers());
  // A target's work ends with its caller.
  CHECK(WaitUntil([&] { return target.open() == 0; }, kLongest));
  CheckGoesBack(fleet, 0, before);
  for (const char* reason : {"slow-reader", "slow-body"}) {
    const std::string field = std::string(R"("reason":")") + reason + "\"";
    INFO(field);
    CHECK(WaitUntil([&] {
      return fleet.Events("r1", {"caller-left", field}) == kConnections;
    }));
  }
  CHECK(answers());
  for (const int connection : connections) close(connection);
}

}  // namespace
}  // namespace samphirebank::outcomes_test
