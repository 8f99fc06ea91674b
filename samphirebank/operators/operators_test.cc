#include "samphirebank/operators/operators.h"

#include <doctest/doctest.h>

#include "samphirebank/operators/internal/client.h"

namespace samphirebank::operators {
namespace {

using settings::OperatorVerb;

TEST_CASE("a change names its id, the revision and the wait") {
  const ApiRequest put = RequestOf({.verb = OperatorVerb::kContractPut,
                                    .change_id = ChangeId("c1"),
                                    .author = "ana",
                                    .if_match = Revision(4),
                                    .wait_in_force = true},
                                   R"({"organisation": "dune"})");
  CHECK(put.method == "PUT");
  CHECK(put.path == "/operator/v1/contracts/dune?wait=in-force");
  CHECK(net::FindHeader(put.headers, "change-id") == "c1");
  CHECK(net::FindHeader(put.headers, "if-match") == "4");
  CHECK(net::FindHeader(put.headers, "operator") == "ana");
  const ApiRequest stop =
      RequestOf({.verb = OperatorVerb::kTargetStop, .subject = "t1"}, "");
  CHECK(stop.path == "/operator/v1/targets/t1");
  CHECK(stop.body == R"({"intent": "stopped"})");
}

TEST_CASE("the leader that a follower names is asked next") {
  const net::SocketAddress first{.ip = "127.0.0.1", .port = 1};
  const net::SocketAddress second{.ip = "127.0.0.1", .port = 2};
  Plan plan{.servers = {first, second}};
  CHECK(NextServer(plan) == first);
  CHECK(!TakeReply(plan, {.status = 421, .body = R"({"leader": null})"}));
  CHECK(NextServer(plan) == second);
  CHECK(!TakeReply(plan,
                   {.status = 421, .body = R"({"leader": "127.0.0.1:9"})"}));
  CHECK(NextServer(plan).port == 9);
  CHECK(!TakeReply(plan, {.status = 503}));
  CHECK(NextServer(plan) == first);
  CHECK(TakeReply(plan, {.status = 409}));
}

TEST_CASE("a silent leader is passed over while followers still name it") {
  const net::SocketAddress first{.ip = "127.0.0.1", .port = 1};
  const net::SocketAddress second{.ip = "127.0.0.1", .port = 2};
  const ApiReply names_first{.status = 421,
                             .body = R"({"leader": "127.0.0.1:1"})"};
  Plan plan{.servers = {first, second}};
  CHECK(NextServer(plan) == first);
  NoteSilent(plan, first);
  for (int i = 0; i < 4; ++i) {
    CHECK(NextServer(plan) == second);
    CHECK(!TakeReply(plan, names_first));
  }
  // In the end it is asked again: the silence may have been of one connection.
  bool asked_again = false;
  for (int i = 0; i < 8 && !asked_again; ++i) {
    asked_again = NextServer(plan) == first;
    CHECK(!TakeReply(plan, names_first));
  }
  CHECK(asked_again);
}

TEST_CASE("a refusal lists all findings, a table its rows") {
  const std::string text = ProblemText(
      {.status = 422,
       .body = R"({"title": "invalid change", "detail": "d", "findings": [
           {"place": "/weight", "value": "-1", "allowed": "a number"},
           {"place": "If-Match", "value": "", "allowed": "a revision"}]})"});
  CHECK(text.find("/weight: -1: a number") != std::string::npos);
  CHECK(text.find("If-Match: : a revision") != std::string::npos);
  CHECK(TableOf(R"({"revision": 3, "contracts": [
      {"revision": 2, "contract": {"organisation": "dune", "weight": 1}}]})") ==
        "revision  3\n\ncontracts:\nrevision  organisation  weight\n"
        "2         dune          1\n");
}

TEST_CASE("status merges what each control instance hears") {
  const std::string merged =
      MergeStatus({{.address = {.ip = "127.0.0.1", .port = 1},
                    .body = R"({"instance": "c1", "revision": 4, "leader": "c2",
          "instances": [{"instance": "r1", "heard_ms_ago": 900, "lag": 1}]})"},
                   {.address = {.ip = "127.0.0.1", .port = 2}},
                   {.address = {.ip = "127.0.0.1", .port = 3},
                    .body = R"({"instance": "c3", "revision": 5, "leader": "c3",
          "instances": [{"instance": "r1", "heard_ms_ago": 100, "lag": 0},
                        {"instance": "r2", "heard_ms_ago": 5, "lag": 0}]})"}});
  CHECK(RevisionOf(merged) == Revision(5));
  CHECK(merged.find(R"("leader":"c3","revision":5)") != std::string::npos);
  CHECK(merged.find(R"("answers":false)") != std::string::npos);
  CHECK(merged.find("900") == std::string::npos);
  CHECK(merged.find(R"("instance":"r2")") != std::string::npos);
}

TEST_CASE("a revision and an organisation are read from JSON only") {
  CHECK(RevisionOf(R"({"revision": 7})") == Revision(7));
  CHECK(!RevisionOf(R"({"revision": "7"})"));
  CHECK(!OrganisationOf("[]"));
}

}  // namespace
}  // namespace samphirebank::operators
