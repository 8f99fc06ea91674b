// File: ingress.h
//
// The first filter of a caller's request: where it goes, whose it is, what it
// asks for, and how a refusal reads. No I/O.
//
// Example:
//
//   Route route = FindRoute(stream->head());
//   auto organisation = FindOrganisation(index, authorization);
//   ParsedModelCall call = ParseModelCall(body);
//   if (!call.findings.empty()) {
//     stream->Reply(ToResponse(BadRequest(call.findings)));
//   }
#ifndef SAMPHIREBANK_INGRESS_INGRESS_H_
#define SAMPHIREBANK_INGRESS_INGRESS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "samphirebank/base/base.h"
#include "samphirebank/contracts/contracts.h"
#include "samphirebank/net/net.h"
#include "samphirebank/outcome/outcome.h"

namespace samphirebank::ingress {

// RouteKind is what a caller's path asks for.
enum class RouteKind : uint8_t {
  kUnknown,
  kWrongMethod,
  kModelCall,  // /v1/chat/completions, /v1/completions
  kModelList,  // /v1/models
  kService,    // /services/<name>/<path>
  kHealth,     // /healthz
  kReady,      // /readyz
};

// Route says where a request goes.
struct Route {
  RouteKind kind = RouteKind::kUnknown;
  ServiceId service;        // for kService
  std::string target_path;  // path with query, as sent to the target
};

// FindRoute reads the method, path and query.
Route FindRoute(const net::RequestHead& head);

// IsRepeatable says whether a call may run more than once by its nature: model
// calls and the safe methods of HTTP.
bool IsRepeatable(const Route& route, std::string_view method);

// KeyIndex finds organisations by API key. It holds digests only.
struct KeyIndex {
  std::unordered_map<std::string, OrganisationId> organisations;  // by KeyHash
};

// IndexKeys builds the index of a configuration.
KeyIndex IndexKeys(const contracts::Configuration& configuration);

// FindOrganisation reads an Authorization header ("Bearer <key>"); nothing
// when it is malformed or the key is not known.
std::optional<OrganisationId> FindOrganisation(const KeyIndex& index,
                                               std::string_view authorization);

// BearerMatches compares a bearer token with `expected` in constant time; an
// empty `expected` matches nothing.
bool BearerMatches(std::string_view authorization, std::string_view expected);

// ModelCall is what the router needs to know of a model call's body.
struct ModelCall {
  ServiceId model;
  bool stream = false;
  Tokens estimate;           // prompt and answer; a hint
  uint64_t prefix_hash = 0;  // hash of the prompt's beginning; never 0
};

// ParsedModelCall is a model call or what is wrong with it.
struct ParsedModelCall {
  ModelCall call;
  Findings findings;
};

// ParseModelCall reads a JSON body. Fields that it does not know are left to
// the target.
ParsedModelCall ParseModelCall(std::string_view body);

// Refusal is a problem document with its findings.
struct Refusal {
  outcome::Problem problem;
  Findings findings;
};

// BadRequest refuses a malformed request: 400, not run.
Refusal BadRequest(Findings findings);

// NotRun refuses a request that did not run.
Refusal NotRun(int status, std::string title,
               std::optional<Duration> retry_after = std::nullopt);

// ToResponse writes a refusal as application/problem+json (RFC 9457) with
// Retry-After in whole seconds, rounded up.
net::Response ToResponse(const Refusal& refusal);

// CheckContract refuses what the organisation's contract does not allow.
std::optional<Refusal> CheckContract(const contracts::Contract& contract,
                                     const ServiceId& service,
                                     const RegionId& region);

}  // namespace samphirebank::ingress

#endif  // SAMPHIREBANK_INGRESS_INGRESS_H_
