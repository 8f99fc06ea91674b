// Routers and whole fleets killed at chosen points of a call that may run
// once, which is then sent again elsewhere; the targets count what they run.
#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <csignal>
#include <functional>
#include <string>
#include <vector>

#include "samphirebank/outcomes_test/internal/fleet.h"

namespace samphirebank::outcomes_test {
namespace {

using testing::Reply;
using testing::WaitUntil;

constexpr char kBody[] = R"({"amount":12})";

// DeafPort listens, but its queue of connections is full: whoever connects
// waits and can send no byte.
class DeafPort {
 public:
  DeafPort() {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    this->sockets.push_back(socket(AF_INET, SOCK_STREAM, 0));
    REQUIRE(bind(this->sockets[0], generic, size) == 0);
    REQUIRE(listen(this->sockets[0], 0) == 0);
    getsockname(this->sockets[0], generic, &size);
    this->number = ntohs(address.sin_port);
    for (int i = 0; i < 4; ++i) {
      this->sockets.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
      connect(this->sockets.back(), generic, size);
    }
  }
  ~DeafPort() {
    for (const int descriptor : this->sockets) close(descriptor);
  }
  DeafPort(const DeafPort&) = delete;
  DeafPort& operator=(const DeafPort&) = delete;

  uint16_t port() const { return this->number; }

 private:
  std::vector<int> sockets;
  uint16_t number = 0;
};

// BeginUntil sends a key through a router until its call came to `point`, and
// returns that call's connection. The first calls may be refused, as long as
// no target is shared out.
int BeginUntil(const Fleet& fleet, size_t router, const std::string& key,
               const std::function<bool()>& point) {
  const std::string name = "r" + std::to_string(router + 1);
  int connection = -1;
  REQUIRE(WaitUntil([&] {
    const int refused = fleet.Events(name, {"request-refused"});
    connection = testing::Begin(fleet.entries[router].caller,
                                Fleet::PayCall(key, kBody));
    WaitUntil([&] {
      return point() || fleet.Events(name, {"request-refused"}) > refused;
    });
    if (!point()) close(connection);
    return point();
  }));
  return connection;
}

// ResendUntilUnknown sends a key again until its lost run is known as such; no
// other answer may come on the way than that it may run or was not taken.
void ResendUntilUnknown(const Fleet& fleet, size_t router,
                        const std::string& key) {
  CHECK(WaitUntil([&] {
    const Reply reply = fleet.Pay(router, key, kBody);
    INFO(reply.head, reply.body);
    // 0: the router does not listen yet.
    REQUIRE((reply.status == 0 || IsUnknown(reply) || IsNotRun(reply)));
    return Has(reply, R"("title":"Outcome unknown")");
  }));
}

// Kill returns when the process takes no more connections.
void Kill(const ProcessPointer& process) {
  process->Signal(SIGKILL);
  process->Wait();
}

// PayUntilAnswered sends a key until it is answered; the last reply tells why
// it was not.
void PayUntilAnswered(const Fleet& fleet, size_t router,
                      const std::string& key) {
  Reply reply;
  const bool answered = WaitUntil([&] {
    reply = fleet.Pay(router, key, kBody);
    return reply.status == 200;
  });
  INFO(reply.head, reply.body);
  CHECK(answered);
}

TEST_CASE("a router killed between claim and send: never run elsewhere") {
  Fleet fleet({.controls = 3, .routers = 2});
  const DeafPort deaf;
  const Announcer announcer(fleet.entries[0], "deaf", deaf.port());
  const int connection = BeginUntil(fleet, 0, "first", [&] {
    return fleet.Events("r1", {"request-dispatched", "\"deaf\""}) > 0;
  });
  Kill(fleet.entries[0].process);
  CHECK(testing::End(connection).status == 0);
  const ProcessPointer target = fleet.StartTarget("healthy", {});
  PayUntilAnswered(fleet, 1, "other");
  ResendUntilUnknown(fleet, 1, "first");
  CHECK(fleet.Runs("first") == 0);
  CHECK(fleet.Runs("other") == 1);
}

TEST_CASE("a router killed between send and answer: never a second run") {
  Fleet fleet({.controls = 3, .routers = 2});
  const ProcessPointer holding = fleet.StartTarget("holding", {"--fault=hang"});
  const int connection =
      BeginUntil(fleet, 0, "first", [&] { return fleet.Runs("first") > 0; });
  Kill(fleet.entries[0].process);
  CHECK(testing::End(connection).status == 0);
  Kill(holding);
  const ProcessPointer target = fleet.StartTarget("healthy", {});
  PayUntilAnswered(fleet, 1, "other");
  ResendUntilUnknown(fleet, 1, "first");
  CHECK(fleet.Runs("first") == 1);
  CHECK(fleet.Runs("other") == 1);
}

TEST_CASE("after a restart of all a key gets its answer or unknown") {
  Fleet fleet({.controls = 3, .routers = 2});
  const ProcessPointer healthy = fleet.StartTarget("healthy", {});
  Reply first;
  REQUIRE(WaitUntil([&] {
    first = fleet.Pay(0, "answered", kBody);
    return first.status == 200;
  }));
  Kill(healthy);
  const ProcessPointer holding = fleet.StartTarget("holding", {"--fault=hang"});
  const int connection =
      BeginUntil(fleet, 1, "held", [&] { return fleet.Runs("held") > 0; });
  fleet.KillAll();
  close(connection);
  Kill(holding);
  fleet.StartAll();
  const ProcessPointer again = fleet.StartTarget("again", {});
  PayUntilAnswered(fleet, 1, "other");
  for (size_t router = 0; router < 2; ++router) {
    Reply reply;
    CHECK(WaitUntil([&] {
      reply = fleet.Pay(router, "answered", kBody);
      return reply.status != 0 && !IsNotRun(reply);
    }));
    CHECK(reply.status == 200);
    CHECK(reply.body == first.body);
    ResendUntilUnknown(fleet, router, "held");
  }
  CHECK(fleet.Runs("answered") == 1);
  CHECK(fleet.Runs("held") == 1);
}

TEST_CASE("a key with another body is refused at each router") {
  Fleet fleet({.controls = 1, .routers = 2});
  const ProcessPointer healthy = fleet.StartTarget("healthy", {});
  REQUIRE(WaitUntil([&] { return fleet.Pay(0, "key", kBody).status == 200; }));
  for (size_t router = 0; router < 2; ++router) {
    Reply reply;
    CHECK(WaitUntil([&] {
      reply = fleet.Pay(router, "key", R"({"amount":13})");
      return reply.status != 503;
    }));
    CHECK(reply.status == 422);
    CHECK(IsNotRun(reply));
    CHECK(fleet.Pay(router, "key", kBody).status == 200);
  }
  CHECK(fleet.Runs("key") == 1);
}

}  // namespace
}  // namespace samphirebank::outcomes_test
