#include "samphirebank/regions_test/regions_fleet.h"

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "samphirebank/contracts/contracts.h"

namespace samphirebank::regions_test {
namespace {

using nlohmann::json;
using testing::Ask;
using testing::Call;
using testing::Reply;

constexpr std::array kRegionNames = {"aqaba", "amman", "maan"};
constexpr const char* kOperatorHeader =
    "authorization: Bearer operator-token-test";

std::string Flag(const std::string& name, const std::string& value) {
  return "--" + name + "=" + value;
}

std::string Flag(const std::string& name, uint64_t value) {
  return Flag(name, std::to_string(value));
}

std::string LoopbackAddress(uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

std::string RegionPrefix(const std::string& name) {
  return name.substr(0, name.find('-'));
}

std::unique_ptr<testing::Process> StartProgram(
    const std::vector<std::string>& flags) {
  std::vector<std::string> command_line = {SAMPHIREBANK_BINARY};
  command_line.insert(command_line.end(), flags.begin(), flags.end());
  return std::make_unique<testing::Process>(
      command_line, std::vector<std::string>{
                        "SAMPHIREBANK_FLEET_KEY=" + std::string(64, 'a'),
                        "SAMPHIREBANK_OPERATOR_TOKEN=operator-token-test",
                        "SAMPHIREBANK_TARGET_TOKEN=target-token-for-test"});
}

void Require(bool condition, const std::string& part) {
  if (!condition) throw std::runtime_error("the fleet does not start: " + part);
}

std::string RunsPath(const std::string& folder, const Region& region) {
  return folder + "/" + region.name + ".runs";
}

}  // namespace

std::string TargetRun::TargetRegion() const {
  return RegionPrefix(this->target);
}

std::string TargetRun::RouterRegion() const {
  return RegionPrefix(this->router);
}

std::vector<const Router*> RoutersOf(const Region& region) {
  return {&region.routers[0], &region.routers[1]};
}

Call ModelCall(const std::string& organisation, uint32_t tokens) {
  return {.method = "POST",
          .path = "/v1/chat/completions",
          .headers = {"authorization: Bearer key-of-" + organisation,
                      "content-type: application/json"},
          .body = R"({"model":"small","stream":true,"max_tokens":)" +
                  std::to_string(tokens) +
                  R"(,"messages":[{"role":"user","content":"nonce"}]})"};
}

Fleet::Fleet(const FleetOptions& fleet_options)
    : relay(fleet_options.links), options(fleet_options) {
  for (size_t i = 0; i < kNumRegions; ++i) {
    Region& region = this->regions[i];
    region.name = kRegionNames[i];
    region.control_relay_port =
        this->relay.Add(region.name, region.control_peer_port);
    for (size_t k = 0; k < kRoutersPerRegion; ++k) {
      Router& router = region.routers[k];
      router.name = region.name + "-r" + std::to_string(k + 1);
      router.relay_port = this->relay.Add(region.name, router.peer_port);
    }
  }
  for (Region& region : this->regions) this->StartControl(region);
  for (size_t i = 0; i < kNumRegions; ++i) {
    Region& region = this->regions[i];
    for (Router& router : region.routers) this->StartRouter(region, router);
    this->StartTargets(region, this->options.slots[i]);
  }
  for (const char* organisation : kOrganisations) {
    Require(testing::WaitUntil(
                [&] { return this->PutContract(organisation) == 200; }),
            organisation);
  }
  for (const Region& region : this->regions) {
    for (const Router& router : region.routers) {
      for (const char* organisation : kOrganisations) {
        Require(testing::WaitUntil([&] {
                  return Ask(router.caller_port, ModelCall(organisation, 1))
                             .status == 200;
                }),
                router.name);
      }
    }
  }
}

std::string Fleet::LogFileFlag(const std::string& name) const {
  return Flag("log-file", this->folder.path() + "/" + name + ".log");
}

void Fleet::StartControl(Region& region) const {
  const std::string name = region.name + "-c";
  std::vector<std::string> flags = {
      "control",
      Flag("instance", name),
      Flag("region", region.name),
      Flag("availability-zone", region.name),
      Flag("peer-port", region.control_peer_port),
      Flag("operator-port", region.control_operator_port),
      Flag("data-folder", this->folder.path() + "/" + name),
      "--bootstrap",
      this->LogFileFlag(name)};
  for (const Region& member : this->regions) {
    flags.push_back(
        Flag("member",
             member.name + "-c=" + LoopbackAddress(member.control_relay_port)));
  }
  region.control = StartProgram(flags);
}

void Fleet::StartRouter(Region& region, Router& router) const {
  std::vector<std::string> flags = {
      "router",
      Flag("instance", router.name),
      Flag("region", region.name),
      Flag("availability-zone", region.name),
      Flag("caller-port", router.caller_port),
      Flag("admin-port", router.admin_port),
      Flag("peer-port", router.peer_port),
      Flag("peer-address", LoopbackAddress(router.relay_port)),
      this->LogFileFlag(router.name)};
  for (const Region& member : this->regions) {
    flags.push_back(
        Flag("control", LoopbackAddress(member.control_relay_port)));
  }
  router.process = StartProgram(flags);
}

void Fleet::StartTargets(Region& region, uint32_t slots) const {
  if (slots == 0) return;
  std::vector<std::string> flags = {
      "emulator",
      Flag("id-prefix", region.name),
      Flag("region", region.name),
      Flag("availability-zone", region.name),
      Flag("slots", slots),
      Flag("tokens-per-second", this->options.tokens_per_second),
      Flag("model", "small"),
      Flag("runs-file", RunsPath(this->folder.path(), region))};
  for (const Router& router : region.routers) {
    flags.push_back(Flag("router", LoopbackAddress(router.admin_port)));
  }
  region.targets = StartProgram(flags);
}

Reply Fleet::SendOperatorCall(const Call& call) const {
  Reply reply;
  for (const Region& region : this->regions) {
    reply = Ask(region.control_operator_port, call);
    if (reply.status == 200) return reply;
  }
  return reply;
}

int Fleet::PutContract(const std::string& organisation) const {
  const std::string hash = contracts::KeyHash("key-of-" + organisation);
  return this
      ->SendOperatorCall(
          {.method = "PUT",
           .path = "/operator/v1/contracts/" + organisation,
           .headers = {kOperatorHeader, "change-id: put-" + organisation,
                       "if-match: 0", "content-type: application/json"},
           .body = R"({"key_hashes":[")" + hash + R"("]})"})
      .status;
}

int Fleet::DeclareTarget(const std::string& target,
                         const std::string& intent) const {
  return this
      ->SendOperatorCall(
          {.method = "PUT",
           .path = "/operator/v1/targets/" + target + "?wait=in-force",
           .headers = {kOperatorHeader, "change-id: " + intent + target,
                       "content-type: application/json"},
           .body = R"({"intent":")" + intent + "\"}"})
      .status;
}

LoadGenerator Fleet::StartLoad(
    LoadGenerator load, const std::vector<const Router*>& routers) const {
  const std::string path = this->folder.path() + "/" + load.organisation + "-" +
                           std::to_string(load.seed) + ".json";
  std::ofstream(path) << json{{"organisations",
                               {{{"organisation", load.organisation},
                                 {"key", "key-of-" + load.organisation},
                                 {"service", "small"},
                                 {"concurrency", load.concurrency},
                                 {"max_tokens", load.max_tokens}}}}};
  std::string command = std::string(SAMPHIREBANK_BINARY) + " load --json";
  command += " " + Flag("organisations-file", path);
  command += " " + Flag("requests", uint64_t{1'000'000});
  command +=
      " " + Flag("length-ms", static_cast<uint64_t>(load.duration.count()));
  command += " " + Flag("seed", load.seed);
  for (const Router* router : routers) {
    command += " " + Flag("router", LoopbackAddress(router->caller_port));
  }
  load.output = popen(command.c_str(), "r");
  return load;
}

LoadResult Fleet::FinishLoad(const LoadGenerator& load) {
  LoadResult result;
  std::array<char, 4096> piece{};
  while (fgets(piece.data(), piece.size(), load.output) != nullptr) {
    result.text += piece.data();
  }
  pclose(load.output);
  const json report = json::parse(result.text).at("organisations").at(0);
  result.sent = report.at("sent");
  result.answered = report.at("answered");
  result.tokens = report.at("tokens");
  for (const auto& count : report.at("refused")) {
    result.refused += count.get<uint64_t>();
  }
  result.lost = report.at("lost");
  result.first_byte_ms_p95 = report.at("first_byte_ms_p95");
  return result;
}

std::vector<TargetRun> Fleet::ReadRuns(const Region& region) const {
  std::vector<TargetRun> runs;
  std::ifstream file(RunsPath(this->folder.path(), region));
  for (std::string line; std::getline(file, line);) {
    const json entry = json::parse(line, nullptr, false);
    if (!entry.is_object()) continue;
    const std::string request = entry.at("request");
    const size_t end = request.find('-', request.find('-') + 1);
    runs.push_back({.target = entry.at("target"),
                    .router = request.substr(0, end),
                    .nonce = entry.at("nonce"),
                    .state = entry.at("state")});
  }
  return runs;
}

size_t Fleet::CountStarted(const Region& region, const Region& callers) const {
  const std::vector<TargetRun> runs = this->ReadRuns(region);
  return static_cast<size_t>(
      std::ranges::count_if(runs, [&](const TargetRun& run) {
        return run.state == "started" && run.RouterRegion() == callers.name;
      }));
}

size_t Fleet::CountRunning(const Region& region) const {
  size_t started = 0;
  size_t ended = 0;
  for (const TargetRun& run : this->ReadRuns(region)) {
    ++(run.state == "started" ? started : ended);
  }
  return started - ended;
}

Router* Fleet::FindScheduler(Region& region) const {
  for (Router& router : region.routers) {
    const Reply reply = Ask(router.admin_port,
                            {.path = "/status", .headers = {kOperatorHeader}});
    const json status = json::parse(reply.body, nullptr, false);
    if (!status.is_object()) continue;
    for (const json& pool : status.at("schedules")) {
      if (pool.at("region") == region.name) return &router;
    }
  }
  return nullptr;
}

}  // namespace samphirebank::regions_test
