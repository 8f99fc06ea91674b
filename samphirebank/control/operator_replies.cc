#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "samphirebank/control/internal/operator_api.h"

namespace samphirebank::control {
namespace {

using Json = nlohmann::json;

int64_t Milliseconds(Duration span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

net::Response JsonReply(const Json& document, int status = 200) {
  return {.status = status, .body = document.dump() + "\n"};
}

net::Response ProblemReply(const Json& document) {
  return {.status = document["status"].get<int>(),
          .content_type = "application/problem+json",
          .body = document.dump() + "\n"};
}

Json ProblemDocument(int status, std::string_view title,
                     std::string_view detail) {
  return {{"type", "about:blank"},
          {"status", status},
          {"title", title},
          {"detail", detail}};
}

Json ContractDocument(const contracts::Versioned<contracts::Contract>& row) {
  return {{"revision", row.revision.value},
          {"contract", Json::parse(contracts::ToJson(row.value))}};
}

// Standing returns the record that a command names as it stands; null if it
// does not exist.
Json Standing(const contracts::Command& command,
              const contracts::Configuration& configuration) {
  OrganisationId organisation;
  if (const auto* put = std::get_if<contracts::PutContract>(&command.action)) {
    organisation = put->contract.organisation;
  } else if (const auto* withdraw =
                 std::get_if<contracts::WithdrawContract>(&command.action)) {
    organisation = withdraw->organisation;
  } else if (const auto* declare =
                 std::get_if<contracts::DeclareTarget>(&command.action)) {
    const auto found = configuration.targets.find(declare->target);
    if (found == configuration.targets.end()) return nullptr;
    return {{"revision", found->second.revision.value},
            {"intent", contracts::ToText(found->second.value)}};
  }
  const auto found = configuration.contracts.find(organisation);
  if (found == configuration.contracts.end()) return nullptr;
  return ContractDocument(found->second);
}

Json InstanceDocument(const lease::Registry::Entry& heard, Revision newest,
                      TimePoint now) {
  const uint64_t lag = newest > heard.revision
                           ? newest.value - heard.revision.value
                           : uint64_t{0};
  return {
      {"instance", heard.peer.instance.value},
      {"role", heard.peer.role == lease::Role::kRouter ? "router" : "control"},
      {"region", heard.peer.region.value},
      {"availability_zone", heard.peer.zone.value},
      {"peer_address", heard.peer.address.ToText()},
      {"draining", heard.peer.draining},
      {"revision", heard.revision.value},
      {"lag", lag},
      {"lease_left_ms", Milliseconds(heard.lease_left)},
      {"heard_ms_ago", Milliseconds(now - heard.last_seen)}};
}

Json PoolDocument(
    const PoolId& pool,
    const contracts::Versioned<contracts::SchedulerAssignment>& row) {
  return {{"region", pool.region.value},
          {"service", pool.service.value},
          {"holder", row.value.holder.value},
          {"epoch", row.value.epoch.value}};
}

}  // namespace

net::Response Problem(int status, std::string_view title,
                      std::string_view detail, const Findings& findings) {
  Json document = ProblemDocument(status, title, detail);
  for (const Finding& finding : findings.all()) {
    document["findings"].push_back({{"place", finding.place},
                                    {"value", finding.value},
                                    {"allowed", finding.allowed}});
  }
  return ProblemReply(document);
}

net::Response NotLeader(const std::optional<net::SocketAddress>& leader) {
  Json document = ProblemDocument(
      421, "not the leader",
      leader ? "ask the leader" : "no leader is known; try again shortly");
  document["leader"] = leader ? Json(leader->ToText()) : Json(nullptr);
  return ProblemReply(document);
}

net::Response WriteReply(const contracts::CommandResult& outcome,
                         const contracts::Command& command,
                         const contracts::Configuration& configuration,
                         bool in_force, Duration in_force_after) {
  switch (outcome.status) {
    case contracts::CommandStatus::kAccepted:
      return JsonReply({{"verdict", "accepted"},
                        {"revision", outcome.revision.value},
                        {"in_force", in_force},
                        {"in_force_after_ms", Milliseconds(in_force_after)}});
    case contracts::CommandStatus::kChangeReused:
      return Problem(422, "change id reused",
                     "this Change-Id belongs to another change");
    case contracts::CommandStatus::kConflict:
      break;
  }
  Json document = ProblemDocument(409, "conflict",
                                  "the record does not have that revision");
  document["revision"] = outcome.revision.value;
  document["winner"] = {{"change", outcome.winner.value},
                        {"operator", outcome.winner_author}};
  document["standing"] = Standing(command, configuration);
  return ProblemReply(document);
}

net::Response FailedWrite(ProposalResult result) {
  switch (result) {
    case ProposalResult::kDiskFull:
      return Problem(507, "disk full", "nothing was changed");
    case ProposalResult::kUnknown:
    case ProposalResult::kCommitted:  // committed, but the result is not kept
      return Problem(504, "outcome unknown",
                     "send the change again with the same Change-Id");
    default:
      return Problem(503, "not accepted",
                     "nothing was changed; try again shortly");
  }
}

net::Response ContractList(const contracts::Configuration& configuration) {
  Json rows = Json::array();
  for (const auto& [organisation, row] : configuration.contracts) {
    rows.push_back(ContractDocument(row));
  }
  return JsonReply(
      {{"revision", configuration.revision.value}, {"contracts", rows}});
}

net::Response ContractReply(const contracts::Configuration& configuration,
                            const OrganisationId& organisation) {
  const auto found = configuration.contracts.find(organisation);
  if (found == configuration.contracts.end()) {
    return Problem(404, "no contract", organisation.value);
  }
  return JsonReply(ContractDocument(found->second));
}

net::Response TargetList(const contracts::Configuration& configuration) {
  Json rows = Json::array();
  for (const auto& [target, row] : configuration.targets) {
    rows.push_back({{"target", target.value},
                    {"intent", contracts::ToText(row.value)},
                    {"revision", row.revision.value}});
  }
  return JsonReply(
      {{"revision", configuration.revision.value}, {"targets", rows}});
}

net::Response StatusReply(const StatusView& view,
                          const contracts::Configuration& configuration,
                          const lease::Registry& registry, TimePoint now) {
  Json voters = Json::array();
  for (const Voter& voter : view.voters) {
    voters.push_back({{"instance", voter.instance.value},
                      {"storage", std::to_string(voter.storage)}});
  }
  Json instances = Json::array();
  for (const auto& [instance, heard] : registry.entries) {
    instances.push_back(InstanceDocument(heard, configuration.revision, now));
  }
  Json pools = Json::array();
  for (const auto& [pool, row] : configuration.pools) {
    pools.push_back(PoolDocument(pool, row));
  }
  return JsonReply(
      {{"instance", view.self.value},
       {"leader", view.leader ? Json(view.leader->value) : Json(nullptr)},
       {"term", view.term.value},
       {"log_index", view.log_index.value},
       {"revision", configuration.revision.value},
       {"lease_left_ms", Milliseconds(view.lease_left)},
       {"in_force_after_ms", Milliseconds(view.in_force_after)},
       {"voters", voters},
       {"instances", instances},
       {"pools", pools}});
}

}  // namespace samphirebank::control
