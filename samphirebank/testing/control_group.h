// File: control_group.h
//
// Three control processes on loopback for tests, with their data folders, and
// the operator requests that tests send to them.
//
// Example:
//
//   testing::ControlGroup group(SAMPHIREBANK_BINARY);
//   CHECK(group.Ask(testing::PutContract(1, "org")).status == 200);
//   group.Freeze(group.Leader());
#ifndef SAMPHIREBANK_TESTING_CONTROL_GROUP_H_
#define SAMPHIREBANK_TESTING_CONTROL_GROUP_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "samphirebank/testing/processes.h"

namespace samphirebank::testing {

// OperatorRequest is a call of the operator API.
struct OperatorRequest {
  std::string method = "GET";
  std::string path;  // below /operator/v1/
  std::string change = {};
  std::string expected = {};
  std::string body = {};
  std::string author = {};
};

// PutContract writes a new contract; the change's id follows from `number`.
OperatorRequest PutContract(int number, const std::string& organisation);

// JsonOf parses a reply's body.
nlohmann::json JsonOf(const Reply& reply);

// ControlInstance is one control process.
struct ControlInstance {
  std::string name;
  uint16_t peer_port = FreePort();
  uint16_t operator_port = FreePort();
  std::unique_ptr<Process> process = {};  // null while it does not run
  bool frozen = false;

  bool reachable() const { return this->process != nullptr && !this->frozen; }

  // Begin sends a request and returns its connection for End.
  int Begin(const OperatorRequest& request) const;
  Reply Ask(const OperatorRequest& request) const;
};

// ControlGroup is c1, c2 and c3. A test fails if they have no outcome in time.
class ControlGroup {
 public:
  // Starts all three from the program at `binary`.
  explicit ControlGroup(std::string binary);

  const std::string& folder() const { return this->files.path(); }
  std::string DataFolder(const ControlInstance& instance) const;
  // Environment is what control instances and routers need.
  static std::vector<std::string> Environment();

  void Start(ControlInstance& instance) const;
  static void Kill(ControlInstance& instance);
  // Freeze stops the process by SIGSTOP; it is not asked until Thaw.
  static void Freeze(ControlInstance& instance);
  static void Thaw(ControlInstance& instance);

  // Ask sends a request to whoever takes it until the outcome is known.
  Reply Ask(const OperatorRequest& request) const;
  // Leader returns the instance that leads.
  ControlInstance& Leader();
  // Others returns the two instances that are not `than`.
  std::vector<ControlInstance*> Others(const ControlInstance& than);
  // CheckContracts reads all contracts; each is one accepted change.
  void CheckContracts(size_t count) const;

  std::vector<ControlInstance> instances;

 private:
  std::string program;
  Folder files;
};

}  // namespace samphirebank::testing

#endif  // SAMPHIREBANK_TESTING_CONTROL_GROUP_H_
