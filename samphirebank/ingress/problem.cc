#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "samphirebank/ingress/ingress.h"

namespace samphirebank::ingress {
namespace {

using nlohmann::json;

json FindingsToJson(const Findings& findings) {
  json list = json::array();
  for (const Finding& finding : findings.all()) {
    list.push_back({{"place", finding.place},
                    {"value", finding.value},
                    {"allowed", finding.allowed}});
  }
  return list;
}

template <typename Id>
bool IsAllowed(const std::vector<Id>& allowed, const Id& id) {
  return allowed.empty() ||
         std::find(allowed.begin(), allowed.end(), id) != allowed.end();
}

}  // namespace

Refusal BadRequest(Findings findings) {
  Refusal refusal = NotRun(400, "the request is malformed");
  refusal.findings = std::move(findings);
  return refusal;
}

Refusal NotRun(int status, std::string title,
               std::optional<Duration> retry_after) {
  return Refusal{.problem = {.status = status,
                             .outcome = outcome::Outcome::kNotRun,
                             .retry_after = retry_after,
                             .title = std::move(title)}};
}

net::Response ToResponse(const Refusal& refusal) {
  const outcome::Problem& problem = refusal.problem;
  json body = {{"type", "about:blank"},
               {"title", problem.title},
               {"status", problem.status},
               {"outcome", outcome::ToText(problem.outcome)}};
  if (!problem.detail.empty()) body["detail"] = problem.detail;
  if (!refusal.findings.empty()) {
    body["findings"] = FindingsToJson(refusal.findings);
  }
  net::Response response{
      .status = problem.status,
      .content_type = "application/problem+json",
      .body = body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n"};
  if (problem.retry_after) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(*problem.retry_after).count();
    const std::string text = std::to_string(std::max<int64_t>(seconds, 1));
    response.headers.push_back({.name = "retry-after", .value = text});
  }
  return response;
}

std::optional<Refusal> CheckContract(const contracts::Contract& contract,
                                     const ServiceId& service,
                                     const RegionId& region) {
  if (!IsAllowed(contract.services, service)) {
    return NotRun(403, "the contract does not include this service");
  }
  if (!IsAllowed(contract.regions, region)) {
    return NotRun(403, "the contract does not include this region");
  }
  return std::nullopt;
}

}  // namespace samphirebank::ingress
