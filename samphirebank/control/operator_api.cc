#include "samphirebank/control/internal/operator_api.h"

#include <sodium.h>

#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "samphirebank/json/json.h"

namespace samphirebank::control {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kRoot = "/operator/v1/";
constexpr std::string_view kContracts = "contracts";
constexpr std::string_view kTargets = "targets";

bool SameSecret(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         sodium_memcmp(a.data(), b.data(), a.size()) == 0;
}

bool IsAuthorized(const net::RequestHead& head, std::string_view token) {
  constexpr std::string_view kScheme = "Bearer ";
  const auto given = net::FindHeader(head.headers, "authorization");
  if (token.empty() || !given || !given->starts_with(kScheme)) return false;
  return SameSecret(std::string_view(*given).substr(kScheme.size()), token);
}

OperatorCall Rejected(net::Response response) {
  OperatorCall call;
  call.rejection = std::move(response);
  return call;
}

std::optional<int> HexDigit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return std::nullopt;
}

// PercentDecoded returns the text that a path segment stands for.
std::string PercentDecoded(std::string_view text) {
  std::string out;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      const auto high = HexDigit(text[i + 1]);
      const auto low = HexDigit(text[i + 2]);
      if (high && low) {
        out += static_cast<char>(*high * 16 + *low);
        i += 2;
        continue;
      }
    }
    out += text[i];
  }
  return out;
}

// ReadRevision reads If-Match: a number, with or without quotes.
std::optional<Revision> ReadRevision(std::string_view text) {
  if (text.size() >= 2 && text.front() == '"' && text.back() == '"') {
    text = text.substr(1, text.size() - 2);
  }
  Revision revision;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), revision.value);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return revision;
}

// ReadChange reads the headers that each write has.
void ReadChange(const net::RequestHead& head, bool needs_revision,
                OperatorCall& call, Findings& findings) {
  const auto change = net::FindHeader(head.headers, "change-id");
  contracts::CheckName("Change-Id", change.value_or(""), findings);
  call.command.change = ChangeId(change.value_or(""));
  call.command.author =
      net::FindHeader(head.headers, "operator").value_or("").substr(0, 128);
  const auto match = net::FindHeader(head.headers, "if-match");
  if (match) {
    call.command.expected = ReadRevision(*match);
  }
  if ((match && !call.command.expected) || (!match && needs_revision)) {
    findings.Add("If-Match", match.value_or(""),
                 "the revision that the record has; 0 if it is new");
  }
  call.wait_in_force = head.query == "wait=in-force";
  if (!head.query.empty() && !call.wait_in_force) {
    findings.Add("query", head.query, "wait=in-force");
  }
}

OperatorCall Checked(OperatorCall call, const Findings& findings) {
  if (findings.empty()) return call;
  return Rejected(Problem(422, "invalid change",
                          "nothing was changed; all faults are listed",
                          findings));
}

OperatorCall ReadPutContract(const net::RequestHead& head,
                             const OrganisationId& organisation,
                             const std::string& body) {
  OperatorCall call{.kind = CallKind::kWrite};
  Findings findings;
  ReadChange(head, /*needs_revision=*/true, call, findings);
  const auto contract = contracts::ParseContract(organisation, body, findings);
  if (contract) call.command.action = contracts::PutContract{*contract};
  return Checked(std::move(call), findings);
}

OperatorCall ReadWithdraw(const net::RequestHead& head,
                          const OrganisationId& organisation) {
  OperatorCall call{.kind = CallKind::kWrite};
  Findings findings;
  ReadChange(head, /*needs_revision=*/true, call, findings);
  call.command.action = contracts::WithdrawContract{organisation};
  return Checked(std::move(call), findings);
}

OperatorCall ReadPutTarget(const net::RequestHead& head, const TargetId& target,
                           const std::string& body) {
  OperatorCall call{.kind = CallKind::kWrite};
  Findings findings;
  ReadChange(head, /*needs_revision=*/false, call, findings);
  contracts::CheckName("target", target.value, findings);
  const Json document = json::Parse(body);
  std::optional<contracts::TargetIntent> intent;
  if (document.is_object() && document.size() == 1 &&
      document.contains("intent") && document["intent"].is_string()) {
    intent =
        contracts::ParseTargetIntent(document["intent"].get<std::string>());
  }
  if (!intent) {
    findings.Add("/intent", body.substr(0, 128),
                 R"({"intent": "serving", "leaving" or "stopped"})");
  }
  call.command.action = contracts::DeclareTarget{
      target, intent.value_or(contracts::TargetIntent::kServing)};
  return Checked(std::move(call), findings);
}

OperatorCall ReadReplace(const std::string& body) {
  OperatorCall call{.kind = CallKind::kReplaceMember};
  Findings findings;
  const Json document = json::Parse(body);
  if (document.is_object() && document.contains("member") &&
      document["member"].is_string()) {
    call.member = InstanceId(document["member"].get<std::string>());
  } else {
    findings.Add("/member", body.substr(0, 128), "an instance of control");
  }
  return Checked(std::move(call), findings);
}

OperatorCall NoSuch(const net::RequestHead& head, bool wrong_method) {
  const int status = wrong_method ? 405 : 404;
  return Rejected(Problem(status,
                          wrong_method ? "method not allowed" : "not found",
                          head.method + " " + head.path));
}

OperatorCall ReadContractsCall(const net::RequestHead& head,
                               const std::string& name,
                               const std::string& body) {
  if (name.empty()) {
    if (head.method != "GET") return NoSuch(head, true);
    return {.kind = CallKind::kListContracts};
  }
  const OrganisationId organisation(name);
  if (head.method == "GET") {
    return {.kind = CallKind::kGetContract, .organisation = organisation};
  }
  if (head.method == "PUT") return ReadPutContract(head, organisation, body);
  if (head.method == "DELETE") return ReadWithdraw(head, organisation);
  return NoSuch(head, true);
}

OperatorCall ReadTargetsCall(const net::RequestHead& head,
                             const std::string& name, const std::string& body) {
  if (name.empty() && head.method == "GET") {
    return {.kind = CallKind::kListTargets};
  }
  if (!name.empty() && head.method == "PUT") {
    return ReadPutTarget(head, TargetId(name), body);
  }
  return NoSuch(head, true);
}

}  // namespace

OperatorCall ReadOperatorCall(const net::RequestHead& head,
                              const std::string& body,
                              std::string_view operator_token) {
  if (!IsAuthorized(head, operator_token)) {
    return Rejected(
        Problem(401, "unauthorized", "the operator token is missing or wrong"));
  }
  std::string_view path = head.path;
  if (!path.starts_with(kRoot)) return NoSuch(head, false);
  path.remove_prefix(kRoot.size());
  const size_t slash = path.find('/');
  const std::string_view kind = path.substr(0, slash);
  const std::string name = slash == std::string_view::npos
                               ? std::string()
                               : PercentDecoded(path.substr(slash + 1));
  if (kind == kContracts) return ReadContractsCall(head, name, body);
  if (kind == kTargets) return ReadTargetsCall(head, name, body);
  if (path == "status" && head.method == "GET") {
    return {.kind = CallKind::kStatus};
  }
  if (path == "members/replace" && head.method == "POST") {
    return ReadReplace(body);
  }
  return NoSuch(head, false);
}

}  // namespace samphirebank::control
