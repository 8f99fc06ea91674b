#include <nlohmann/json.hpp>

#include "samphirebank/operators/internal/client.h"

namespace samphirebank::operators {
namespace {

using settings::OperatorVerb;

constexpr std::string_view kRoot = "/operator/v1/";

bool IsChange(OperatorVerb verb) {
  switch (verb) {
    case OperatorVerb::kContractPut:
    case OperatorVerb::kContractWithdraw:
    case OperatorVerb::kTargetLeave:
    case OperatorVerb::kTargetStop:
    case OperatorVerb::kTargetJoin:
    case OperatorVerb::kControlReplace:
      return true;
    default:
      return false;
  }
}

std::string IntentBody(std::string_view intent) {
  return R"({"intent": ")" + std::string(intent) + R"("})";
}

// Verb fills the method, path and body.
ApiRequest BareRequest(const settings::OperatorSettings& settings,
                       const std::string& contract) {
  const std::string contracts = std::string(kRoot) + "contracts";
  const std::string target = std::string(kRoot) + "targets/" + settings.subject;
  switch (settings.verb) {
    case OperatorVerb::kContractPut:
      return {.method = "PUT",
              .path = contracts + "/" + OrganisationOf(contract).value_or(""),
              .body = contract};
    case OperatorVerb::kContractGet:
      return {.path = contracts + "/" + settings.subject};
    case OperatorVerb::kContractList:
      return {.path = contracts};
    case OperatorVerb::kContractWithdraw:
      return {.method = "DELETE", .path = contracts + "/" + settings.subject};
    case OperatorVerb::kTargetList:
      return {.path = std::string(kRoot) + "targets"};
    case OperatorVerb::kTargetLeave:
      return {.method = "PUT", .path = target, .body = IntentBody("leaving")};
    case OperatorVerb::kTargetStop:
      return {.method = "PUT", .path = target, .body = IntentBody("stopped")};
    case OperatorVerb::kTargetJoin:
      return {.method = "PUT", .path = target, .body = IntentBody("serving")};
    case OperatorVerb::kControlReplace:
      return {.method = "POST",
              .path = std::string(kRoot) + "members/replace",
              .body = nlohmann::json{{"member", settings.subject}}.dump()};
    case OperatorVerb::kStatus:
      break;
  }
  return {.path = std::string(kRoot) + "status"};
}

}  // namespace

ApiRequest RequestOf(const settings::OperatorSettings& settings,
                     const std::string& contract) {
  ApiRequest request = BareRequest(settings, contract);
  if (!IsChange(settings.verb)) return request;
  request.headers.push_back({"change-id", settings.change_id.value});
  if (!settings.author.empty()) {
    request.headers.push_back({"operator", settings.author});
  }
  if (settings.if_match) {
    request.headers.push_back(
        {"if-match", std::to_string(settings.if_match->value)});
  }
  const bool waits =
      settings.wait_in_force && settings.verb != OperatorVerb::kControlReplace;
  if (waits) request.path += "?wait=in-force";
  if (settings.verb == OperatorVerb::kControlReplace) {
    request.silence_limit = settings.timeout;  // it answers when all is done
  }
  return request;
}

bool NeedsRevision(const settings::OperatorSettings& settings) {
  const bool versioned = settings.verb == OperatorVerb::kContractPut ||
                         settings.verb == OperatorVerb::kContractWithdraw;
  return versioned && !settings.if_match;
}

std::optional<std::string> OrganisationOf(const std::string& contract) {
  const auto json = nlohmann::json::parse(contract, nullptr, false);
  const bool named = json.is_object() && json.contains("organisation") &&
                     json["organisation"].is_string();
  if (!named) return std::nullopt;
  return json["organisation"].get<std::string>();
}

std::optional<Revision> RevisionOf(const std::string& body) {
  const auto json = nlohmann::json::parse(body, nullptr, false);
  const bool stated = json.is_object() && json.contains("revision") &&
                      json["revision"].is_number_unsigned();
  if (!stated) return std::nullopt;
  return Revision(json["revision"].get<uint64_t>());
}

std::optional<Duration> WaitFor(const ApiReply& reply) {
  if (reply.status != 200) return std::nullopt;
  const auto json = nlohmann::json::parse(reply.body, nullptr, false);
  const bool stated = json.is_object() && json.contains("in_force_after_ms") &&
                      json["in_force_after_ms"].is_number_integer();
  if (!stated) return std::nullopt;
  return std::chrono::milliseconds(json["in_force_after_ms"].get<int64_t>());
}

}  // namespace samphirebank::operators
