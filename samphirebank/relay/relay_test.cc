#include "samphirebank/relay/relay.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

namespace samphirebank::relay {
namespace {

using Headers = std::vector<net::Header>;

const Headers kEventStream = {{"content-type", "text/event-stream"}};

std::string DeltaEvent(const std::string& text) {
  return R"(data: {"choices":[{"delta":{"content":")" + text +
         R"("},"finish_reason":null}]})" + "\n\n";
}

const std::string kUsageEvent =
    R"(data: {"choices":[{"delta":{},"finish_reason":"stop"}],)"
    R"("usage":{"prompt_tokens":5,"completion_tokens":9}})"
    "\n\n";
const std::string kDoneEvent = "data: [DONE]\n\n";

Response ModelResponse() {
  return BeginResponse({.request = RequestId("r1"), .model_stream = true}, 200,
                       kEventStream);
}

// WithLineBreaks replaces each LF by `line_break`.
std::string WithLineBreaks(const std::string& text,
                           const std::string& line_break) {
  std::string replaced;
  for (const char c : text) {
    if (c == '\n') {
      replaced += line_break;
    } else {
      replaced += c;
    }
  }
  return replaced;
}

TEST_CASE("the result does not depend on how a stream is split") {
  CHECK(rc::check("split streams", [] {
    const std::string line_break =
        *rc::gen::element<std::string>("\n", "\r\n", "\r");
    const std::string text =
        WithLineBreaks(DeltaEvent("one") + ": note\n\n" + DeltaEvent("two") +
                           kUsageEvent + kDoneEvent,
                       line_break);
    Response response = ModelResponse();
    std::string forwarded;
    size_t position = 0;
    while (position < text.size()) {
      const auto length = *rc::gen::inRange<size_t>(1, 40);
      forwarded += Feed(response, text.substr(position, length)).bytes;
      position += length;
    }
    RC_ASSERT(EndResponse(response));
    // The bytes after the CR that ended the latest event may still be buffered.
    RC_ASSERT(forwarded + response.buffer == text);
    RC_ASSERT(response.progress.streamed_tokens == Tokens(2));
    RC_ASSERT(response.progress.events == 5u);
    RC_ASSERT(response.progress.prompt_tokens == Tokens(5));
    RC_ASSERT(GeneratedTokens(response.progress) == Tokens(9));
    RC_ASSERT(response.progress.finish_reason);
  }));
}

TEST_CASE("no proper prefix of a model's stream is complete") {
  const std::string text = DeltaEvent("one") + kUsageEvent + kDoneEvent;
  for (size_t length = 0; length < text.size(); ++length) {
    Response response = ModelResponse();
    const FeedResult result = Feed(response, text.substr(0, length));
    CHECK(!EndResponse(response));
    // Only whole events are forwarded.
    const std::string& bytes = result.bytes;
    CHECK((bytes.empty() || bytes.ends_with("\n\n")));
    CHECK(text.starts_with(bytes));
  }
}

TEST_CASE("bytes after the end, and errors within a stream, are faults") {
  Response response = ModelResponse();
  const FeedResult result = Feed(response, kDoneEvent + DeltaEvent("late"));
  CHECK(result.bytes == kDoneEvent);
  CHECK(result.fault == Fault::kExcessBytes);
  CHECK(!EndResponse(response));
  CHECK(Feed(response, kDoneEvent).bytes.empty());
  Response failed = ModelResponse();
  CHECK(Feed(failed, "data: {\"error\":{\"message\":\"x\"}}\n\n").fault ==
        Fault::kErrorReported);
}

TEST_CASE("a body shorter or longer than Content-Length is not complete") {
  const Headers headers = {{"content-length", "4"}};
  Response shorter = BeginResponse({}, 200, headers);
  Feed(shorter, "abc");
  CHECK(!EndResponse(shorter));
  Response exact = BeginResponse({}, 200, headers);
  CHECK(Feed(exact, "abcd").bytes == "abcd");
  CHECK(EndResponse(exact));
  Response longer = BeginResponse({}, 200, headers);
  CHECK(Feed(longer, "abcde").fault == Fault::kExcessBytes);
  CHECK(!EndResponse(longer));
}

TEST_CASE("conflicting and malformed lengths are faults") {
  const auto fault = [](const Headers& headers) {
    return BeginResponse({}, 200, headers).fault;
  };
  CHECK(fault({{"content-length", "4"}, {"content-length", "5"}}) ==
        Fault::kMalformed);
  CHECK(fault({{"content-length", "4,4"}}) == Fault::kMalformed);
  CHECK(fault({{"content-length", "-1"}}) == Fault::kMalformed);
  CHECK(fault({{"content-length", "99999999999"}}) == Fault::kTooLarge);
  CHECK(!fault({{"content-length", "4"}, {"content-length", "4"}}));
}

TEST_CASE("nothing is forwarded of a response to another request") {
  const ResponseOptions echoes = {.request = RequestId("r1"),
                                  .target_echoes_id = true};
  const Headers matching = {{std::string(kRequestIdHeader), "r1"}};
  const Headers other = {{std::string(kRequestIdHeader), "r2"},
                         {std::string(kNotRunHeader), "true"}};
  CHECK(!BeginResponse(echoes, 200, matching).fault);
  CHECK(BeginResponse(echoes, 200, {}).fault == Fault::kWrongRequest);
  Response mismatched = BeginResponse(
      {.request = RequestId("r1"), .target_states_not_run = true}, 503, other);
  CHECK(mismatched.fault == Fault::kWrongRequest);
  CHECK(!mismatched.states_not_run);
  CHECK(Feed(mismatched, "x").bytes.empty());
}

TEST_CASE("a refusal before running is recognised, with its Retry-After") {
  const Headers headers = {{std::string(kNotRunHeader), "true"},
                           {"retry-after", "7"}};
  const ResponseOptions trusted = {.target_states_not_run = true};
  const Response refused = BeginResponse(trusted, 503, headers);
  CHECK(refused.states_not_run);
  CHECK(!BeginResponse({}, 503, headers).states_not_run);
  CHECK(refused.retry_after == std::chrono::seconds(7));
  CHECK(!BeginResponse(trusted, 200, headers).states_not_run);
}

TEST_CASE("event and body sizes are limited") {
  ResponseOptions options;
  options.limits = {.max_event = Bytes(10), .max_body = Bytes(20)};
  Response event = BeginResponse(options, 200, kEventStream);
  CHECK(Feed(event, "data: 0123456789").fault == Fault::kTooLarge);
  Response body = BeginResponse(options, 200, {});
  CHECK(Feed(body, std::string(21, 'x')).fault == Fault::kTooLarge);
}

TEST_CASE("the usage of a JSON response is read at its end") {
  Response response =
      BeginResponse({}, 200, {{"content-type", "application/json"}});
  Feed(response, R"({"choices":[{"text":"a"}],"usage":{"comple)");
  Feed(response, R"(tion_tokens":12}})");
  CHECK(EndResponse(response));
  CHECK(GeneratedTokens(response.progress) == Tokens(12));
}

TEST_CASE("hop-by-hop, internal and secret headers are not forwarded") {
  const Headers caller_headers = {{"connection", "close, X-Hop"},
                                  {"x-hop", "1"},
                                  {"transfer-encoding", "chunked"},
                                  {"content-length", "3"},
                                  {"samphirebank-request-id", "forged"},
                                  {"Samphirebank-Not-Run", "true"},
                                  {"authorization", "Bearer secret"},
                                  {"x-bent", "a\r\nsamphirebank-x: 1"},
                                  {"idempotency-key", "k"},
                                  {"content-type", "text/plain"}};
  const Headers to_target = RequestHeaders(caller_headers);
  REQUIRE(to_target.size() == 2);
  CHECK(to_target[0].name == "idempotency-key");
  CHECK(to_target[1].name == "content-type");
  const Headers target = {{"samphirebank-not-run", "true"},
                          {"keep-alive", "timeout=5"},
                          {"content-type", "text/plain"}};
  const Headers to_caller = ResponseHeaders(target);
  REQUIRE(to_caller.size() == 1);
  CHECK(to_caller[0].value == "text/plain");
}

TEST_CASE(
    "mutated streams, seed 20261204: complete only if [DONE] was forwarded") {
  const std::string text =
      DeltaEvent("one") + kUsageEvent + DeltaEvent("two") + kDoneEvent;
  uint64_t random = 20261204;
  const auto next = [&random](uint64_t limit) {
    random = random * 6364136223846793005 + 1442695040888963407;
    return (random >> 33) % limit;
  };
  constexpr int kStreams = 20'000;
  for (int i = 0; i < kStreams; ++i) {
    std::string mutated = text;
    const uint64_t changes = 1 + next(6);
    for (uint64_t change = 0; change < changes; ++change) {
      const size_t position = next(mutated.size());
      switch (next(4)) {
        case 0:
          mutated[position] = static_cast<char>(next(256));
          break;
        case 1:
          mutated.insert(position, 1, "\r\n[]{}\":,"[next(9)]);
          break;
        case 2:
          mutated.erase(position, 1 + next(8));
          break;
        default:
          mutated += mutated.substr(position, next(40));
      }
    }
    Response response = ModelResponse();
    std::string forwarded;
    for (size_t at = 0; at < mutated.size();) {
      const size_t length = 1 + next(64);
      forwarded += Feed(response, mutated.substr(at, length)).bytes;
      at += length;
    }
    const bool complete = EndResponse(response);
    REQUIRE(mutated.starts_with(forwarded));
    if (complete) REQUIRE(forwarded.find("[DONE]") != std::string::npos);
  }
}

}  // namespace
}  // namespace samphirebank::relay
