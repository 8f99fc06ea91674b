// File: fleet.h
//
// A fleet of real processes whose parts can be killed and started again one
// by one: control instances, routers and stand-in targets that record what
// they run.
//
// Example:
//
//   Fleet fleet({.controls = 3, .routers = 2});
//   auto target = fleet.StartTarget("t1", {"--fault=hang"});
//   Reply reply = fleet.Pay(0, "key-1", "{}");
//   CHECK(fleet.Runs("key-1") == 1);
#ifndef SAMPHIREBANK_OUTCOMES_TEST_INTERNAL_FLEET_H_
#define SAMPHIREBANK_OUTCOMES_TEST_INTERNAL_FLEET_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "samphirebank/testing/processes.h"

namespace samphirebank::outcomes_test {

using ProcessPointer = std::unique_ptr<testing::Process>;

// Member is one control instance.
struct Member {
  uint16_t peer = testing::FreePort();
  uint16_t operators = testing::FreePort();
  ProcessPointer process;
};

// Entry is one router.
struct Entry {
  uint16_t caller = testing::FreePort();
  uint16_t admin = testing::FreePort();
  uint16_t peer = testing::FreePort();
  ProcessPointer process;
};

// FleetOptions says how many processes start.
struct FleetOptions {
  size_t controls = 1;
  size_t routers = 2;
  // JSON fields of the contracts of "guides" and "desks".
  std::string contract = R"("deadline_ms":4000)";
};

// Fleet serves the model "small" and the service "pay", whose calls may run
// once, to two organisations. It starts no target.
struct Fleet {
  explicit Fleet(const FleetOptions& options);

  void StartControl(size_t index);
  void StartRouter(size_t index);
  // KillAll ends control and routers with SIGKILL; StartAll starts them.
  void KillAll();
  void StartAll();

  // StartTarget starts a target that announces itself.
  ProcessPointer StartTarget(const std::string& name,
                             const std::vector<std::string>& flags) const;
  // StartUnannounced starts one that the test has to announce; Port reads
  // where it listens.
  ProcessPointer StartUnannounced(const std::string& name,
                                  const std::vector<std::string>& flags) const;
  uint16_t Port(const std::string& name) const;
  // PayCall is a call that may run once, CompletionCall an event stream.
  static testing::Call PayCall(const std::string& key, const std::string& body);
  static testing::Call CompletionCall(
      const std::string& nonce, int tokens, const std::string& model = "small",
      const std::string& organisation = "guides");
  testing::Reply Pay(size_t router, const std::string& key,
                     const std::string& body) const;

  // Runs counts the runs that targets began under `key`.
  int Runs(const std::string& key) const;
  // Events counts the lines of a process's log with each of `parts`.
  int Events(const std::string& name,
             const std::vector<std::string>& parts) const;
  // EventCounts lists how often a process logged each event, by reason.
  std::string EventCounts(const std::string& name) const;
  // Requests counts the requests that a router holds.
  int Requests(size_t router) const;
  // Ready waits until each router answers a completion.
  void Ready() const;

  testing::Folder folder;
  std::vector<Member> members;
  std::vector<Entry> entries;
};

// Announcer renews a target's announcement at one router, in place of the
// target, which may then be reached through another port.
class Announcer {
 public:
  Announcer(const Entry& router, const std::string& name, uint16_t port,
            const std::string& model = "small");
  ~Announcer();
  Announcer(const Announcer&) = delete;
  Announcer& operator=(const Announcer&) = delete;

 private:
  std::atomic<bool> stopping = false;
  std::thread thread;
};

// Has says whether the answer's body contains `text`.
bool Has(const testing::Reply& reply, const std::string& text);

// IsUnknown and IsNotRun read a refusal.
bool IsUnknown(const testing::Reply& reply);
bool IsNotRun(const testing::Reply& reply);

}  // namespace samphirebank::outcomes_test

#endif  // SAMPHIREBANK_OUTCOMES_TEST_INTERNAL_FLEET_H_
