// File: fleet.h
//
// The processes under test: gateways and coordinators on loopback addresses of
// their own, which are killed, frozen, asked to stop and started again.
#ifndef SAMPHIREBANK_SOAK_INTERNAL_FLEET_H_
#define SAMPHIREBANK_SOAK_INTERNAL_FLEET_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "samphirebank/net/net.h"
#include "samphirebank/soak/internal/world.h"
#include "samphirebank/testing/processes.h"
#include "samphirebank/testing/relay.h"

namespace samphirebank::soak {

// Node is one process with its addresses.
struct Node {
  std::string name{};
  std::string ip{};
  net::SocketAddress serves{};  // callers, or operators and targets
  net::SocketAddress ready{};   // of a gateway
  std::unique_ptr<testing::Process> process{};
  std::unique_ptr<testing::Relay> relay{};  // before a gateway
  uint64_t incarnation = 0;
  bool is_expected_up = false;
  bool is_stopping = false;  // was sent SIGTERM
  bool is_frozen = false;
};

// Fleet starts everything when it is made and ends it when it goes.
struct Fleet {
  explicit Fleet(World& shared);

  void StartGateway(size_t index);
  void StartCoordinator(size_t index, bool first_start);
  // AddCoordinator starts one more coordinator with an empty folder and returns
  // its index.
  size_t AddCoordinator();
  // Kill ends a process at once, also a frozen one.
  static void Kill(Node& node);
  static void Freeze(Node& node);
  static void Thaw(Node& node);
  void WipeCoordinator(size_t index) const;
  // NoteEnds notes processes that ended by themselves, and starts gateways
  // again that have ended as they were asked to.
  void NoteEnds();
  std::vector<net::SocketAddress> control() const;

  World& world;
  uint16_t peer_port = testing::FreePort();
  uint16_t metrics_port = testing::FreePort();
  std::vector<Node> gateways{};
  std::vector<Node> coordinators{};
  // LogOf is the file that a node's runs write their logs to.
  std::string LogOf(const Node& node) const;

 private:
  std::vector<std::string> CommonWords(const std::string& role,
                                       const Node& node) const;
  std::string FolderOf(const Node& node) const;
};

}  // namespace samphirebank::soak

#endif  // SAMPHIREBANK_SOAK_INTERNAL_FLEET_H_
