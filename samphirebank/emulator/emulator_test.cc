#include "samphirebank/emulator/emulator.h"

#include <doctest/doctest.h>

#include "samphirebank/emulator/internal/answer.h"
#include "samphirebank/emulator/internal/load.h"
#include "samphirebank/relay/relay.h"

namespace samphirebank::emulator {
namespace {

constexpr char kChat[] = "/v1/chat/completions";

std::string ChatBody(const std::string& nonce, bool stream) {
  return R"({"model": "m", "stream": )" +
         std::string(stream ? "true" : "false") +
         R"(, "messages": [{"role": "user", "content": ")" + nonce + "\"}]}";
}

// Reply is what a caller saw of one call.
struct Reply {
  int status = 0;
  std::vector<net::Header> headers;
  std::string body;
  bool whole = false;
};

// CallTarget calls the first target; `done` takes what came of it.
void CallTarget(net::Loop& loop, const Emulator& emulator, bool stream,
                std::vector<net::Header> headers,
                const std::function<void(const Reply&)>& done) {
  auto reply = std::make_shared<Reply>();
  loop.Call(
      {.to = {.ip = "127.0.0.1", .port = emulator.ports()[0].port},
       .method = "POST",
       .path = kChat,
       .headers = std::move(headers),
       .body = ChatBody("q", stream),
       .first_byte_timeout = std::chrono::milliseconds(300),
       .idle_timeout = std::chrono::milliseconds(300),
       .on_head =
           [reply](int status, const std::vector<net::Header>& got) {
             reply->status = status;
             reply->headers = got;
           },
       .on_data = [reply](std::string_view piece) { reply->body += piece; },
       .on_end =
           [reply, done] {
             reply->whole = true;
             done(*reply);
           },
       .on_error = [reply, done](const auto&) { done(*reply); }});
}

settings::EmulatorSettings Quick(settings::EmulatorSettings settings) {
  settings.services = {{.service = ServiceId("m")}};
  settings.tokens_per_second = 0;
  return settings;
}

// CallOnce calls an emulator with these settings.
Reply CallOnce(const settings::EmulatorSettings& settings, bool stream) {
  net::Loop loop;
  const Emulator emulator(loop, Quick(settings));
  Reply reply;
  CallTarget(loop, emulator, stream,
             {{std::string(relay::kRequestIdHeader), "r-7"}},
             [&](const Reply& got) {
               reply = got;
               loop.Stop();
             });
  loop.Run();
  return reply;
}

using Fences = std::vector<std::pair<std::string, int>>;  // scope and number

// CallWithFences returns the statuses of one order after the other.
std::vector<int> CallWithFences(const settings::EmulatorSettings& settings,
                                const Fences& fences) {
  net::Loop loop;
  const Emulator emulator(loop, Quick(settings));
  std::vector<int> statuses;
  std::function<void()> next = [&] {
    if (statuses.size() == fences.size()) {
      loop.Stop();
      return;
    }
    const auto& [scope, number] = fences[statuses.size()];
    CallTarget(loop, emulator, false,
               {{std::string(relay::kFenceScopeHeader), scope},
                {std::string(relay::kFenceHeader), std::to_string(number)}},
               [&](const Reply& reply) {
                 const bool not_run =
                     net::FindHeader(reply.headers, relay::kNotRunHeader) ==
                     "true";
                 CHECK(not_run == (reply.status == 409));
                 statuses.push_back(reply.status);
                 next();
               });
  };
  next();
  loop.Run();
  return statuses;
}

TEST_CASE("an answer is whole only for its own prompt") {
  for (const bool stream : {false, true}) {
    const auto request = ParseCompletion(kChat, ChatBody("q1", stream));
    REQUIRE(request);
    const Answer answer = PlanAnswer(*request, 5);
    std::string body;
    for (uint32_t i = 0; i < EventCount(answer); ++i) {
      body += EventAt(answer, i);
    }
    if (!stream) body = AnswerBody(answer);
    const auto received = ReadAnswer(body, stream);
    REQUIRE(received);
    CHECK(IsWhole(*received, "q1"));
    CHECK(!IsWhole(*received, "q2"));
    const auto cut = ReadAnswer(body.substr(0, body.size() / 2), stream);
    CHECK((!cut || !IsWhole(*cut, "q1")));
  }
  CHECK(!ParseCompletion(kChat, R"({"model": 3})"));
}

TEST_CASE("targets answer, streaming and not, and echo the request's id") {
  for (const bool stream : {false, true}) {
    const Reply reply = CallOnce({}, stream);
    REQUIRE(reply.whole);
    CHECK(reply.status == 200);
    CHECK(net::FindHeader(reply.headers, relay::kRequestIdHeader) == "r-7");
    const auto received = ReadAnswer(reply.body, stream);
    REQUIRE(received);
    CHECK(IsWhole(*received, "q"));
  }
}

TEST_CASE("targets fail as told") {
  using settings::Fault;
  const Reply refused = CallOnce({.fault = Fault::kRefuse}, false);
  CHECK(refused.status == 503);
  CHECK(net::FindHeader(refused.headers, relay::kNotRunHeader) == "true");
  const Reply cut = CallOnce({.fault = Fault::kCut, .fault_bytes = 50}, true);
  CHECK(!cut.whole);
  CHECK(cut.body.size() <= 50);
  CHECK(!CallOnce({.fault = Fault::kSilence, .fault_bytes = 50}, true).whole);
  CHECK(CallOnce({.fault = Fault::kHang}, false).status == 0);
  const Reply stray = CallOnce({.fault = Fault::kWrongId}, false);
  CHECK(net::FindHeader(stray.headers, relay::kRequestIdHeader) == "stray");
}

TEST_CASE("a target that checks fencing refuses what was overtaken") {
  const Fences orders = {{"a/m", 4}, {"a/m", 5}, {"b/m", 2},
                         {"a/m", 4}, {"a/m", 5}, {"b/m", 1}};
  CHECK(CallWithFences({.checks_fencing = true}, orders) ==
        std::vector<int>{200, 200, 200, 409, 200, 409});
  CHECK(CallWithFences({}, orders) == std::vector<int>(6, 200));
}

TEST_CASE("an organisations file reports all its faults") {
  Findings findings;
  ParseMixes(R"({"organisations": [{"organisation": 3, "streaming_share": 2},
                                   "x"]})",
             &findings);
  CHECK(findings.all().size() == 5);
  CHECK(Percentile({3, 1, 2}, 0.5) == 2);
  CHECK(Percentile({}, 0.5) == 0);
}

}  // namespace
}  // namespace samphirebank::emulator
