#include <doctest/doctest.h>

#include <algorithm>
#include <string>

#include "samphirebank/contracts/contracts.h"

namespace samphirebank::contracts {
namespace {

TEST_CASE("a contract round-trips through JSON") {
  Contract contract{.organisation = OrganisationId("workshop-7"),
                    .weight = 3,
                    .requests_per_second = 40,
                    .tokens_per_minute = 90'000,
                    .services = {ServiceId("drafting")},
                    .regions = {RegionId("aqaba")},
                    .key_hashes = {KeyHash("secret")}};
  Findings findings;
  CHECK(ParseContract(contract.organisation, ToJson(contract), findings) ==
        contract);
  CHECK(findings.empty());
}

TEST_CASE("all faults of a contract are reported together") {
  Findings findings;
  const auto contract = ParseContract(
      OrganisationId("a b"),
      R"({"weight": 0, "wieght": 2, "services": ["x", 3], "queue_length": -1,
          "tokens_per_minute": 1.5, "key_hashes": ["zz"],
          "organisation": "c", "concurrency": 99999999999999999999})",
      findings);
  CHECK(!contract);
  CHECK(findings.all().size() == 9);
  for (const char* place : {"organisation", "/weight", "/wieght", "/services/1",
                            "/queue_length", "/tokens_per_minute",
                            "/key_hashes/0", "/organisation", "/concurrency"}) {
    const bool found = std::ranges::any_of(
        findings.all(), [&](const Finding& f) { return f.place == place; });
    CHECK_MESSAGE(found, place);
  }
}

TEST_CASE("a document that is not a JSON object is one fault") {
  constexpr size_t kDepth = 1'000'000;
  const std::string deep = std::string(kDepth, '[') + std::string(kDepth, ']');
  for (const std::string& text :
       {std::string(), std::string("{"), std::string("[]"), std::string("3"),
        std::string("null"), deep}) {
    Findings findings;
    CHECK(!ParseContract(OrganisationId("a"), text, findings));
    CHECK(findings.all().size() == 1);
  }
}

}  // namespace
}  // namespace samphirebank::contracts
