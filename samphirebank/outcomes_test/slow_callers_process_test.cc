// Callers that send or read too slowly, or not at all: each is cut with a
// reason, memory stays bounded and others are served.
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "samphirebank/outcomes_test/internal/fleet.h"
#include "samphirebank/testing/relay.h"

namespace samphirebank::outcomes_test {
namespace {

using testing::Connect;
using testing::Reply;
using testing::WaitUntil;

constexpr int kCallers = 200;
// A router's share of a node's memory; the brief's target is 128 MB.
constexpr int kMostMib = 122;
constexpr std::chrono::seconds kLongest(60);
constexpr char kHead[] =
    "POST /v1/completions HTTP/1.1\r\nhost: x\r\n"
    "authorization: Bearer key-of-guides\r\n"
    "content-type: application/json\r\ncontent-length: ";

// Scene is a router with a target that answers, and callers that misbehave.
struct Scene {
  Fleet fleet = Fleet({.controls = 1, .routers = 1});
  ProcessPointer target = this->fleet.StartTarget("t", {"--slots=64"});
  std::vector<int> callers;
  int most_mib = 0;

  Scene() { this->fleet.Ready(); }
  ~Scene() {
    MESSAGE("the router's largest resident size in MiB: ", this->most_mib);
    for (const int caller : this->callers) close(caller);
  }

  const Entry& entry() const { return this->fleet.entries[0]; }

  void Add(const std::string& text) {
    this->callers.push_back(Connect(this->entry().caller, text));
  }

  // Step notes the router's memory and that others are served.
  void Step() {
    this->most_mib =
        std::max(this->most_mib, this->entry().process->resident_mib());
    const testing::Call call =
        Fleet::CompletionCall("other", 1, "small", "desks");
    CHECK(testing::Ask(this->entry().caller, call).status == 200);
  }

  int Left(const std::string& reason) const {
    return this->fleet.Events("r1",
                              {"caller-left", R"("reason":")" + reason + "\""});
  }

  // AwaitCuts goes on until every caller was cut for `reason`.
  void AwaitCuts(const std::string& reason) {
    CHECK(WaitUntil(
        [&] {
          this->Step();
          return this->Left(reason) >= kCallers;
        },
        kLongest));
    const std::string counts = this->fleet.EventCounts("r1");
    CAPTURE(counts);
    CHECK(this->Left(reason) == kCallers);
    CHECK(this->most_mib < kMostMib);
    CHECK(WaitUntil([&] { return this->fleet.Requests(0) == 0; }));
  }
};

TEST_CASE("heads that trickle in are cut, others are served") {
  Scene scene;
  for (int i = 0; i < kCallers; ++i) scene.Add("POST /v1/completions HT");
  CHECK(WaitUntil(
      [&] {
        for (const int caller : scene.callers) {
          send(caller, "x", 1, MSG_NOSIGNAL);
        }
        scene.Step();
        return scene.Left("slow-head") >= kCallers;
      },
      kLongest));
  scene.AwaitCuts("slow-head");
}

TEST_CASE("bodies that trickle in are refused as not run") {
  Scene scene;
  for (int i = 0; i < kCallers; ++i) {
    scene.Add(kHead + std::string("900\r\n\r\n{"));
  }
  CHECK(WaitUntil(
      [&] {
        for (const int caller : scene.callers) {
          send(caller, " ", 1, MSG_NOSIGNAL);
        }
        scene.Step();
        return scene.Left("slow-body") >= kCallers;
      },
      kLongest));
  scene.AwaitCuts("slow-body");
  for (const int caller : scene.callers) {
    const Reply reply = testing::End(caller);
    CHECK(reply.status == 408);
    CHECK(IsNotRun(reply));
  }
  scene.callers.clear();
}

TEST_CASE("large bodies that stop half-way do not fill the memory") {
  constexpr size_t kLength = 4 << 20;
  Scene scene;
  const std::string half(kLength / 2, ' ');
  for (int i = 0; i < kCallers; ++i) {
    scene.Add(kHead + std::to_string(kLength) + "\r\n\r\n");
    // What the router does not take is not waited for.
    send(scene.callers.back(), half.data(), half.size(),
         MSG_NOSIGNAL | MSG_DONTWAIT);
    scene.Step();
  }
  int refused = 0;
  for (const int caller : scene.callers) {
    const Reply reply = testing::End(caller);
    scene.Step();
    // 429: too much is held; 408: taken, but it did not arrive.
    CHECK((reply.status == 429 || reply.status == 408));
    CHECK(IsNotRun(reply));
    if (reply.status == 429) ++refused;
  }
  scene.callers.clear();
  CHECK(refused > 0);
  CHECK(refused < kCallers);
  CHECK(scene.most_mib < kMostMib);
}

TEST_CASE("callers that do not read hold back their targets' streams") {
  Scene scene;
  const testing::EndlessServer endless;
  const Announcer announcer(scene.entry(), "endless", endless.port(),
                            "endless");
  const testing::Call call = Fleet::CompletionCall("x", 1, "endless");
  CHECK(WaitUntil([&] {
    scene.callers.push_back(testing::Begin(scene.entry().caller, call));
    char byte = 0;
    const bool answers =
        recv(scene.callers.back(), &byte, 1, MSG_PEEK) == 1 &&
        scene.fleet.Events("r1", {"request-dispatched", "\"endless\""}) > 0;
    if (answers) return true;
    close(scene.callers.back());
    scene.callers.pop_back();
    return false;
  }));
  while (scene.callers.size() < kCallers) {
    scene.callers.push_back(testing::Begin(scene.entry().caller, call));
  }
  scene.AwaitCuts("slow-reader");
  CHECK(WaitUntil([&] { return endless.open() == 0; }));
}

}  // namespace
}  // namespace samphirebank::outcomes_test
