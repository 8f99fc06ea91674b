#include "samphirebank/ingress/ingress.h"

#include <doctest/doctest.h>

#include <string>

namespace samphirebank::ingress {
namespace {

net::RequestHead Head(std::string method, std::string path,
                      std::string query = "") {
  return {.method = std::move(method),
          .path = std::move(path),
          .query = std::move(query)};
}

TEST_CASE("paths are routed to models, services and probes") {
  CHECK(FindRoute(Head("POST", "/v1/completions")).kind ==
        RouteKind::kModelCall);
  CHECK(FindRoute(Head("GET", "/v1/completions")).kind ==
        RouteKind::kWrongMethod);
  CHECK(FindRoute(Head("GET", "/v1/models")).kind == RouteKind::kModelList);
  CHECK(FindRoute(Head("GET", "/x")).kind == RouteKind::kUnknown);
  CHECK(FindRoute(Head("GET", "/services/")).kind == RouteKind::kUnknown);
  const Route route =
      FindRoute(Head("PUT", "/services/booking/a b\r\nx: y", "q=1"));
  CHECK(route.kind == RouteKind::kService);
  CHECK(route.service == ServiceId("booking"));
  CHECK(route.target_path == "/a%20b%0D%0Ax:%20y?q=1");
}

TEST_CASE("only a known API key identifies an organisation") {
  contracts::Configuration configuration;
  contracts::Contract contract{.organisation = OrganisationId("guides")};
  contract.key_hashes = {contracts::KeyHash("secret")};
  configuration.contracts[contract.organisation].value = contract;
  const KeyIndex index = IndexKeys(configuration);
  CHECK(FindOrganisation(index, "Bearer secret") == OrganisationId("guides"));
  CHECK(!FindOrganisation(index, "Bearer wrong").has_value());
  CHECK(!FindOrganisation(index, "Bearer ").has_value());
  CHECK(!FindOrganisation(index, "secret").has_value());
  CHECK(BearerMatches("Bearer t", "t"));
  CHECK(!BearerMatches("Bearer t", ""));
  CHECK(!BearerMatches("Bearer u", "t"));
}

TEST_CASE("all faults of a body are reported together") {
  const ParsedModelCall parsed =
      ParseModelCall(R"({"stream": 1, "max_tokens": -3, "messages": 4})");
  CHECK(parsed.findings.all().size() == 4);
  CHECK(ParseModelCall("[]").findings.all().size() == 1);
  CHECK(ParseModelCall("{\"model\"").findings.all().size() == 1);
}

TEST_CASE("a body that nests a million deep is malformed") {
  constexpr size_t kDepth = 1'000'000;
  const std::string deep =
      std::string(kDepth, '[') + std::string(kDepth, ']') + "}";
  for (const char* field : {"messages", "max_tokens", "stream"}) {
    const std::string start =
        R"({"model":"m","prompt":"p",")" + std::string(field) + R"(":)";
    CHECK(ParseModelCall(start + deep).findings.all().size() == 1);
  }
}

TEST_CASE("a model call is estimated from its prompt and limit") {
  const ParsedModelCall parsed = ParseModelCall(
      R"({"model":"m","prompt":"0123456789","max_tokens":100,"stream":true})");
  CHECK(parsed.findings.empty());
  CHECK(parsed.call.model == ServiceId("m"));
  CHECK(parsed.call.stream);
  CHECK(parsed.call.estimate == Tokens(103));
  CHECK(parsed.call.prefix_hash != 0);
}

TEST_CASE("a refusal is a problem document with a Retry-After header") {
  const net::Response response =
      ToResponse(NotRun(503, "busy", std::chrono::milliseconds(1200)));
  CHECK(response.status == 503);
  CHECK(response.body.find("\"outcome\":\"not-run\"") != std::string::npos);
  CHECK(net::FindHeader(response.headers, "retry-after") == "2");
}

TEST_CASE("the contract limits services and regions") {
  contracts::Contract contract;
  contract.services = {ServiceId("a")};
  CHECK(!CheckContract(contract, ServiceId("a"), RegionId("r")).has_value());
  CHECK(CheckContract(contract, ServiceId("b"), RegionId("r")).has_value());
}

}  // namespace
}  // namespace samphirebank::ingress
