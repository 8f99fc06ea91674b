#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "samphirebank/contracts/contracts.h"
#include "samphirebank/testing/control_group.h"

// Full disks, frozen routers, stale and isolated control instances, with real
// processes on loopback; SAMPHIREBANK_BINARY names the program.
namespace samphirebank::control {
namespace {

using std::chrono::milliseconds;
using testing::ControlGroup;
using testing::ControlInstance;
using testing::PutContract;
using testing::Reply;

// IsLogged looks for an event of a change in the instances' log files.
bool IsLogged(const ControlGroup& group, const std::string& change) {
  for (const ControlInstance& instance : group.instances) {
    std::ifstream file(group.folder() + "/" + instance.name + ".log");
    const std::string text(std::istreambuf_iterator<char>(file), {});
    if (text.find('"' + change + '"') != std::string::npos) return true;
  }
  return false;
}

// Deafen fills the peer socket of a frozen instance, so that nothing sent to
// it meanwhile arrives.
void Deafen(const ControlInstance& instance) {
  const int socket = ::socket(AF_INET, SOCK_DGRAM, 0);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(instance.peer_port);
  to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  for (const size_t size : {1000, 10, 1}) {
    const std::string junk(size, 'x');
    for (int i = 0; i < 2000; ++i) {
      sendto(socket, junk.data(), junk.size(), 0,
             reinterpret_cast<const sockaddr*>(&to), sizeof(to));
    }
  }
  close(socket);
}

// EntryRouter is one router process.
struct EntryRouter {
  uint16_t caller = testing::FreePort();
  uint16_t admin = testing::FreePort();
  std::unique_ptr<testing::Process> process;

  // Asks the control instances in the order given.
  EntryRouter(const ControlGroup& group, const std::string& name,
              const std::vector<ControlInstance*>& controls) {
    std::vector<std::string> words = {
        SAMPHIREBANK_BINARY,
        "router",
        "--instance=" + name,
        "--region=south",
        "--availability-zone=south-1",
        "--caller-port=" + std::to_string(this->caller),
        "--admin-port=" + std::to_string(this->admin),
        "--peer-port=" + std::to_string(testing::FreePort()),
        "--log-file=" + group.folder() + "/" + name + ".log"};
    for (const ControlInstance* control : controls) {
      words.push_back("--control=127.0.0.1:" +
                      std::to_string(control->peer_port));
    }
    this->process =
        std::make_unique<testing::Process>(words, ControlGroup::Environment());
  }

  bool Ready() const {
    return testing::Ask(this->admin, {.path = "/readyz"}).status == 200;
  }

  // Call is a model call of one token.
  int Begin() const {
    return testing::Begin(
        this->caller,
        {.method = "POST",
         .path = "/v1/chat/completions",
         .headers = {"authorization: Bearer key-of-guides",
                     "content-type: application/json"},
         .body = R"({"model":"small","max_tokens":1,)"
                 R"("messages":[{"role":"user","content":"hello"}]})"});
  }
  Reply Call() const { return testing::End(this->Begin()); }
};

std::unique_ptr<testing::Process> StartTarget(const EntryRouter& router) {
  return std::make_unique<testing::Process>(
      std::vector<std::string>{
          SAMPHIREBANK_BINARY, "emulator", "--region=south",
          "--availability-zone=south-1", "--count=1", "--slots=8",
          "--tokens-per-second=100", "--model=small",
          "--router=127.0.0.1:" + std::to_string(router.admin)},
      ControlGroup::Environment());
}

testing::OperatorRequest PutGuides() {
  testing::OperatorRequest put = PutContract(1, "guides");
  put.body =
      R"({"key_hashes":[")" + contracts::KeyHash("key-of-guides") + "\"]}";
  return put;
}

// WithdrawGuides returns once the withdrawal is in force everywhere.
void WithdrawGuides(const ControlGroup& group, const Reply& put) {
  const Reply withdrawn =
      group.Ask({.method = "DELETE",
                 .path = "contracts/guides?wait=in-force",
                 .change = "withdraw-guides",
                 .expected = std::to_string(
                     testing::JsonOf(put)["revision"].get<uint64_t>())});
  REQUIRE(withdrawn.status == 200);
}

std::vector<ControlInstance*> All(ControlGroup& group) {
  std::vector<ControlInstance*> all;
  for (ControlInstance& instance : group.instances) all.push_back(&instance);
  return all;
}

TEST_CASE("full disks refuse changes; leases go on; then nothing is lost") {
  ControlGroup group(SAMPHIREBANK_BINARY);
  const Reply put = group.Ask(PutGuides());
  REQUIRE(put.status == 200);
  const EntryRouter router(group, "r1", All(group));
  REQUIRE(testing::WaitUntil([&] { return router.Ready(); }));
  for (const ControlInstance& one : group.instances) one.process->FillDisk();

  // The first ones may already be in the log when the disk refuses them.
  std::vector<int> unknown;
  int refused = 0;
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
  for (int i = 2; std::chrono::steady_clock::now() < end; ++i) {
    const Reply reply =
        group.Leader().Ask(PutContract(i, "org" + std::to_string(i)));
    const bool told = reply.status == 507 || reply.status == 504;
    CHECK_MESSAGE(told, reply.status, reply.body);
    if (reply.status == 507) ++refused;
    if (reply.status == 504) unknown.push_back(i);
    CHECK(router.Ready());
    std::this_thread::sleep_for(milliseconds(100));
  }
  CHECK(refused > 0);
  const Reply metrics =
      testing::Ask(group.Leader().operator_port, {.path = "/metrics"});
  CHECK(metrics.body.find("samphirebank_control_disk_full 1\n") !=
        std::string::npos);
  group.CheckContracts(1);

  for (const ControlInstance& one : group.instances) one.process->FreeDisk();
  const auto accepted = static_cast<size_t>(unknown.size()) + 2;
  for (const int i : unknown) {
    CHECK(group.Ask(PutContract(i, "org" + std::to_string(i))).status == 200);
  }
  REQUIRE(testing::WaitUntil([&] {
    return group.Leader().Ask(PutContract(0, "org0")).status == 200;
  }));
  group.CheckContracts(accepted);
  CHECK(IsLogged(group, "change-0"));
  for (ControlInstance& one : group.instances) ControlGroup::Kill(one);
  for (ControlInstance& one : group.instances) group.Start(one);
  group.CheckContracts(accepted);
}

// Guards against a group that refuses every change while a quorum has room: a
// leader whose disk was full kept the lead.
TEST_CASE("full disks one after another: changes go on") {
  ControlGroup group(SAMPHIREBANK_BINARY);
  constexpr int kRounds = 6;
  for (int i = 0; i < kRounds; ++i) {
    ControlInstance& full = group.Leader();
    full.process->FillDisk();
    const testing::OperatorRequest put =
        PutContract(i, "org" + std::to_string(i));
    const auto begin = std::chrono::steady_clock::now();
    REQUIRE(group.Ask(put).status == 200);
    CHECK(std::chrono::steady_clock::now() - begin < std::chrono::seconds(5));
    full.process->FreeDisk();
  }
  group.CheckContracts(kRounds);
}

// Guards against an instance that ends since its disk is full when it starts.
TEST_CASE("an instance that starts on an empty full disk joins later") {
  ControlGroup group(SAMPHIREBANK_BINARY);
  ControlInstance& other = *group.Others(group.Leader()).front();
  ControlGroup::Kill(other);
  std::filesystem::remove_all(group.DataFolder(other));
  {
    const testing::FullDiskAtStart full;
    group.Start(other);
  }
  std::this_thread::sleep_for(milliseconds(1500));
  REQUIRE_FALSE(other.process->Ended());
  CHECK(group.Ask(PutContract(1, "guides")).status == 200);
  other.process->FreeDisk();
  REQUIRE(testing::WaitUntil([&] {
    return group
               .Ask({.method = "POST",
                     .path = "members/replace",
                     .body = R"({"member":")" + other.name + "\"}"})
               .status == 200;
  }));
  group.CheckContracts(1);
}

TEST_CASE("a router frozen beyond its lease serves no withdrawn contract") {
  ControlGroup group(SAMPHIREBANK_BINARY);
  const Reply put = group.Ask(PutGuides());
  const EntryRouter router(group, "r1", All(group));
  const auto target = StartTarget(router);
  REQUIRE(testing::WaitUntil([&] { return router.Call().status == 200; }));

  router.process->Signal(SIGSTOP);
  WithdrawGuides(group, put);
  // Without control it cannot learn of the withdrawal either.
  for (ControlInstance* one : All(group)) ControlGroup::Freeze(*one);
  std::vector<int> calls;  // accepted by the kernel; read first after SIGCONT
  calls.reserve(16);
  for (int i = 0; i < 8; ++i) calls.push_back(router.Begin());
  router.process->Signal(SIGCONT);
  for (int i = 0; i < 8; ++i) calls.push_back(router.Begin());
  for (const int call : calls) {
    const Reply reply = testing::End(call);
    CHECK_MESSAGE(reply.status == 503, reply.status, reply.body);
  }
  for (ControlInstance* one : All(group)) ControlGroup::Thaw(*one);
  REQUIRE(testing::WaitUntil([&] { return router.Ready(); }));
  CHECK(router.Call().status == 401);
}

TEST_CASE("a cold router that asks a stale instance first serves nothing old") {
  ControlGroup group(SAMPHIREBANK_BINARY);
  const Reply put = group.Ask(PutGuides());
  ControlInstance& leader = group.Leader();
  ControlInstance& stale = *group.Others(leader).front();
  REQUIRE(testing::WaitUntil([&] {
    return testing::JsonOf(stale.Ask({.path = "status"}))["revision"] == 1;
  }));
  ControlGroup::Freeze(stale);
  Deafen(stale);
  WithdrawGuides(group, put);
  for (ControlInstance* other : group.Others(stale)) {
    ControlGroup::Freeze(*other);
  }
  ControlGroup::Thaw(stale);

  std::vector<ControlInstance*> controls = group.Others(stale);
  controls.insert(controls.begin(), &stale);
  const EntryRouter router(group, "r1", controls);
  const auto target = StartTarget(router);
  REQUIRE(testing::WaitUntil([&] { return router.Call().status != 0; }));
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(4);
  bool knew = false;
  while (std::chrono::steady_clock::now() < end) {
    const Reply reply = router.Call();
    const bool refused = reply.status == 503 || reply.status == 401;
    CHECK_MESSAGE(refused, reply.status, reply.body);
    knew = knew || reply.status == 503;
    CHECK_FALSE(router.Ready());
    std::this_thread::sleep_for(milliseconds(50));
  }
  CHECK(knew);  // it had the old contract, without a lease for it

  for (ControlInstance* other : group.Others(stale)) {
    ControlGroup::Thaw(*other);
  }
  REQUIRE(testing::WaitUntil([&] {
    CHECK(router.Call().status != 200);
    return router.Ready();
  }));
  CHECK(router.Call().status == 401);
}

TEST_CASE("a follower isolated over many changes catches up for two losses") {
  ControlGroup group(SAMPHIREBANK_BINARY);
  ControlInstance& first = group.Leader();
  ControlInstance& isolated = *group.Others(first).front();
  ControlInstance& third = *group.Others(first).back();
  ControlGroup::Freeze(isolated);
  Deafen(isolated);
  constexpr int kChanges = 300;
  for (int i = 0; i < kChanges; ++i) {
    const auto put = PutContract(i, "org" + std::to_string(i));
    REQUIRE(group.Ask(put).status == 200);
  }
  ControlGroup::Thaw(isolated);
  ControlGroup::Kill(first);
  CHECK(group.Ask(PutContract(kChanges, "last")).status == 200);
  group.CheckContracts(kChanges + 1);
  group.Start(first);
  ControlGroup::Kill(third);
  CHECK(group.Ask(PutContract(kChanges + 1, "after")).status == 200);
  group.CheckContracts(kChanges + 2);
}

TEST_CASE("the operator's command gets past a frozen leader") {
  ControlGroup group(SAMPHIREBANK_BINARY);
  ControlInstance& leader = group.Leader();
  const std::string file = group.folder() + "/guides.json";
  std::ofstream(file) << R"({"organisation":"guides"})";
  std::vector<std::string> words = {
      SAMPHIREBANK_BINARY, "contract",     "put",   file,
      "--change-id=put-1", "--if-match=0", "--wait"};
  std::vector<ControlInstance*> order = group.Others(leader);
  order.insert(order.begin(), &leader);
  for (const ControlInstance* one : order) {
    words.push_back("--server=127.0.0.1:" + std::to_string(one->operator_port));
  }
  ControlGroup::Freeze(leader);
  testing::Process command(words, ControlGroup::Environment());
  CHECK(command.Wait() == 0);
  ControlGroup::Thaw(leader);
  group.CheckContracts(1);
}

}  // namespace
}  // namespace samphirebank::control
