#include "samphirebank/control/internal/operator_api.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace samphirebank::control {
namespace {

OperatorCall Call(const std::string& method, const std::string& path,
                  std::vector<net::Header> headers = {},
                  const std::string& body = "{}",
                  const std::string& token = "secret") {
  headers.push_back({"authorization", "Bearer " + token});
  return ReadOperatorCall(
      {.method = method, .path = "/operator/v1/" + path, .headers = headers},
      body, "secret");
}

TEST_CASE("only the operator token opens the interface") {
  CHECK(Call("GET", "status").kind == CallKind::kStatus);
  CHECK(Call("GET", "status", {}, "", "secres").rejection.status == 401);
  CHECK(Call("GET", "status", {}, "", "").rejection.status == 401);
  CHECK(
      ReadOperatorCall({.method = "GET", .path = "/operator/v1/status"}, "", "")
          .rejection.status == 401);
}

TEST_CASE("a write needs a change id and the revision it expects") {
  const OperatorCall call =
      Call("PUT", "contracts/a%20b", {{"if-match", "x"}}, "{\"weight\": 0}");
  REQUIRE(call.rejection.status == 422);
  const auto document = nlohmann::json::parse(call.rejection.body);
  CHECK(document["findings"].size() == 4);
  const OperatorCall good =
      Call("PUT", "contracts/org-1",
           {{"if-match", "\"7\""}, {"change-id", "c1"}, {"operator", "ana"}});
  REQUIRE(good.kind == CallKind::kWrite);
  CHECK(good.command.expected == Revision(7));
  CHECK(good.command.author == "ana");
}

TEST_CASE("a target's declaration needs no revision") {
  const std::vector<net::Header> change = {{"change-id", "c1"}};
  const OperatorCall call =
      Call("PUT", "targets/t1", change, R"({"intent": "leaving"})");
  REQUIRE(call.kind == CallKind::kWrite);
  CHECK(!call.command.expected);
  CHECK(Call("PUT", "targets/t1", change, R"({"intent": "gone"})")
            .rejection.status == 422);
  CHECK(Call("DELETE", "targets/t1").rejection.status == 405);
  CHECK(Call("GET", "nothing").rejection.status == 404);
}

TEST_CASE("whoever loses a race is told who won and what stands") {
  contracts::Machine machine;
  contracts::Command first =
      Call("PUT", "contracts/o",
           {{"if-match", "0"}, {"change-id", "c1"}, {"operator", "ana"}},
           "{\"weight\": 5}")
          .command;
  contracts::Command second = first;
  second.change = ChangeId("c2");
  contracts::Apply(machine, first);
  const net::Response reply =
      WriteReply(contracts::Apply(machine, second), second,
                 machine.history.configuration, false, Duration(0));
  CHECK(reply.status == 409);
  const auto document = nlohmann::json::parse(reply.body);
  CHECK(document["winner"]["operator"] == "ana");
  CHECK(document["standing"]["contract"]["weight"] == 5);
}

}  // namespace
}  // namespace samphirebank::control
