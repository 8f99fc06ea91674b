#include "samphirebank/soak/internal/fleet.h"

#include <unistd.h>

#include <csignal>
#include <filesystem>

#include "samphirebank/events/events.h"

namespace samphirebank::soak {
namespace {

constexpr uint32_t kRepeatAllowance = 20;

// IpOf returns a loopback address that no other run on this machine uses.
std::string IpOf(size_t number) {
  const auto run = static_cast<uint32_t>(getpid());
  return "127." + std::to_string(1 + run / 256 % 250) + "." +
         std::to_string(run % 256) + "." + std::to_string(number + 1);
}

Node MakeNode(const std::string& name, size_t number) {
  return {.name = name, .ip = IpOf(number)};
}

Node MakeCoordinator(size_t index, size_t number) {
  Node node = MakeNode("c" + std::to_string(index), number);
  node.serves = {.ip = node.ip, .port = testing::FreePort()};
  return node;
}

}  // namespace

Fleet::Fleet(World& shared) : world(shared) {
  const Options& options = this->world.options;
  std::filesystem::remove_all(options.folder);  // of an earlier run
  std::filesystem::create_directories(options.folder);
  for (size_t i = 0; i < options.coordinators; ++i) {
    this->coordinators.push_back(MakeCoordinator(i, i));
  }
  for (size_t i = 0; i < options.gateways; ++i) {
    Node node = MakeNode("g" + std::to_string(i), options.coordinators + i);
    node.serves = {.ip = "127.0.0.1", .port = testing::FreePort()};
    node.ready = {.ip = "127.0.0.1", .port = testing::FreePort()};
    node.relay = std::make_unique<testing::Relay>(node.serves.port);
    this->gateways.push_back(std::move(node));
  }
  for (size_t i = 0; i < this->coordinators.size(); ++i) {
    this->StartCoordinator(i, true);
  }
  for (size_t i = 0; i < this->gateways.size(); ++i) this->StartGateway(i);
}

std::string Fleet::FolderOf(const Node& node) const {
  return this->world.options.folder + "/" + node.name;
}

std::string Fleet::LogOf(const Node& node) const {
  return this->FolderOf(node) + ".log";
}

std::vector<std::string> Fleet::CommonWords(const std::string& role,
                                            const Node& node) const {
  std::vector<std::string> words = {
      this->world.options.binary,
      role,
      "--instance=" + node.name,
      "--region=" + FleetZones().front().region.value,
      "--availability-zone=" + FleetZones().front().zone.value,
      "--address=" + node.ip,
      "--peer-port=" + std::to_string(this->peer_port),
      "--metrics-port=" + std::to_string(this->metrics_port),
      "--log-file=" + this->LogOf(node)};
  for (const ZonePlace& place : FleetZones()) {
    words.push_back("--zone-region=" + place.zone.value + "=" +
                    place.region.value);
  }
  for (const Node& seed : this->coordinators) {
    words.push_back("--seed=" + seed.serves.ToText());
  }
  return words;
}

void Fleet::StartGateway(size_t index) {
  Node& node = this->gateways[index];
  std::vector<std::string> words = this->CommonWords("gateway", node);
  words.push_back("--caller-address=" + node.serves.ToText());
  words.push_back("--ready-address=" + node.ready.ToText());
  words.push_back("--repeat-allowance=" + std::to_string(kRepeatAllowance));
  node.process = std::make_unique<testing::Process>(
      words, std::vector<std::string>{"SAMPHIREBANK_FLEET_KEY=" +
                                      std::string(64, 'a')});
  ++node.incarnation;
  node.is_expected_up = true;
  node.is_stopping = false;
}

void Fleet::StartCoordinator(size_t index, bool first_start) {
  Node& node = this->coordinators[index];
  std::filesystem::create_directories(this->FolderOf(node));
  std::vector<std::string> words = this->CommonWords("coordinator", node);
  words.push_back("--control-address=" + node.serves.ToText());
  words.push_back("--data-folder=" + this->FolderOf(node));
  words.push_back(std::string("--first-start=") +
                  (first_start ? "true" : "false"));
  words.push_back("--cold-overrun=" +
                  std::to_string(this->world.options.cold_overrun));
  words.push_back("--cold-slack=" +
                  std::to_string(this->world.options.cold_slack));
  words.push_back("--losses-tolerated=" +
                  std::to_string((this->coordinators.size() - 1) / 2));
  node.process = std::make_unique<testing::Process>(
      words, std::vector<std::string>{"SAMPHIREBANK_FLEET_KEY=" +
                                      std::string(64, 'a')});
  ++node.incarnation;
  node.is_expected_up = true;
}

size_t Fleet::AddCoordinator() {
  const size_t index = this->coordinators.size();
  this->coordinators.push_back(
      MakeCoordinator(index, index + this->gateways.size()));
  this->StartCoordinator(index, false);
  return index;
}

void Fleet::Kill(Node& node) {
  node.is_expected_up = false;
  node.is_frozen = false;
  node.process->Signal(SIGKILL);
  node.process->Wait();
}

void Fleet::Freeze(Node& node) {
  node.is_frozen = true;
  node.process->Signal(SIGSTOP);
}

void Fleet::Thaw(Node& node) {
  node.is_frozen = false;
  node.process->Signal(SIGCONT);
}

void Fleet::WipeCoordinator(size_t index) const {
  std::filesystem::remove_all(this->FolderOf(this->coordinators[index]));
}

void Fleet::NoteEnds() {
  for (size_t i = 0; i < this->gateways.size(); ++i) {
    Node& node = this->gateways[i];
    if (!node.is_expected_up || !node.process->Ended()) continue;
    if (node.is_stopping) {
      this->StartGateway(i);
      continue;
    }
    node.is_expected_up = false;
    this->world.ledger.oddities.push_back(node.name + " ended by itself");
  }
  for (Node& node : this->coordinators) {
    if (!node.is_expected_up || !node.process->Ended()) continue;
    node.is_expected_up = false;
    this->world.ledger.oddities.push_back(node.name + " ended by itself");
  }
}

std::vector<net::SocketAddress> Fleet::control() const {
  std::vector<net::SocketAddress> addresses;
  addresses.reserve(this->coordinators.size());
  for (const Node& node : this->coordinators) {
    addresses.push_back(node.serves);
  }
  return addresses;
}

}  // namespace samphirebank::soak
