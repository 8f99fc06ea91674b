// File: ingress.h
//
// The first checks of a caller's request: routing by path, authentication by
// API key, parsing of model calls, checks against the contract, and the HTTP
// responses to refused requests. No I/O.
//
// Example:
//
//   Route route = FindRoute(stream->head());
//   auto organisation = FindOrganisation(index, authorization);
//   ParsedModelCall parsed = ParseModelCall(body);
//   if (!parsed.findings.empty()) {
//     stream->Reply(ToResponse(BadRequest(parsed.findings)));
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

// RouteKind is the kind of endpoint that a request's path and method select.
enum class RouteKind : uint8_t {
  kUnknown,      // no endpoint has this path
  kWrongMethod,  // the endpoint does not allow this method
  kModelCall,    // /v1/chat/completions, /v1/completions
  kModelList,    // /v1/models
  kService,      // /services/<name>/<path>
  kHealth,       // /healthz
  kReady,        // /readyz
};

// Route is the endpoint that a request is routed to.
struct Route {
  RouteKind kind = RouteKind::kUnknown;
  ServiceId service;        // set for kService
  std::string target_path;  // percent-encoded path and query for the target
};

// FindRoute returns the route for a request's method, path and query.
Route FindRoute(const net::RequestHead& head);

// IsRepeatable returns whether requests of this kind may run more than once:
// true for model calls and for the safe HTTP methods.
bool IsRepeatable(const Route& route, std::string_view method);

// KeyIndex maps API keys to organisations. It holds only the hashes of the keys
// (contracts::KeyHash).
struct KeyIndex {
  std::unordered_map<std::string, OrganisationId> organisations;  // by KeyHash
};

// IndexKeys returns the index of all API keys in a configuration.
KeyIndex IndexKeys(const contracts::Configuration& configuration);

// FindOrganisation returns the organisation whose API key an Authorization
// header ("Bearer <key>") contains, or nothing if the header is malformed or
// the key is unknown.
std::optional<OrganisationId> FindOrganisation(const KeyIndex& index,
                                               std::string_view authorization);

// BearerMatches returns whether the bearer token of an Authorization header
// equals `expected`. The comparison takes constant time. An empty `expected`
// matches no token.
bool BearerMatches(std::string_view authorization, std::string_view expected);

// ModelCall holds the fields of a model call's body that the router uses.
struct ModelCall {
  ServiceId model;
  bool stream = false;
  Tokens estimate;           // of prompt and response; approximate
  uint64_t prefix_hash = 0;  // of the start of the prompt; never 0 if valid
};

// ParsedModelCall is the result of parsing a model call. `call` is valid only
// if `findings` is empty.
struct ParsedModelCall {
  ModelCall call;
  Findings findings;
};

// ParseModelCall parses and validates the JSON body of a model call and reports
// all faults together. Unknown fields are ignored; the target interprets them.
ParsedModelCall ParseModelCall(std::string_view body);

// Refusal is a problem document and the faults that it lists.
struct Refusal {
  outcome::Problem problem;
  Findings findings;
};

// BadRequest returns the refusal of a malformed request: status 400, outcome
// not-run.
Refusal BadRequest(Findings findings);

// NotRun returns a refusal with outcome not-run: the request did not run and
// will not.
Refusal NotRun(int status, std::string title,
               std::optional<Duration> retry_after = std::nullopt);

// ToResponse returns a refusal as an HTTP response with an
// application/problem+json body (RFC 9457). If a retry delay is set, it adds
// Retry-After in whole seconds, rounded up and at least 1.
net::Response ToResponse(const Refusal& refusal);

// CheckContract returns a refusal if the organisation's contract does not
// include the service or the region.
std::optional<Refusal> CheckContract(const contracts::Contract& contract,
                                     const ServiceId& service,
                                     const RegionId& region);

}  // namespace samphirebank::ingress

#endif  // SAMPHIREBANK_INGRESS_INGRESS_H_
