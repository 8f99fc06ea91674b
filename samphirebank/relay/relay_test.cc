#include "samphirebank/relay/relay.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

namespace samphirebank::relay {
namespace {

using Headers = std::vector<net::Header>;

const Headers kEventStream = {{"content-type", "text/event-stream"}};

std::string Delta(const std::string& text) {
  return R"(data: {"choices":[{"delta":{"content":")" + text +
         R"("},"finish_reason":null}]})" + "\n\n";
}

const std::string kUsage =
    R"(data: {"choices":[{"delta":{},"finish_reason":"stop"}],)"
    R"("usage":{"prompt_tokens":5,"completion_tokens":9}})"
    "\n\n";
const std::string kDone = "data: [DONE]\n\n";

Response ModelResponse() {
  return BeginResponse({.request = RequestId("r1"), .model_stream = true}, 200,
                       kEventStream);
}

// WithBreaks replaces each LF by another line break.
std::string WithBreaks(const std::string& text, const std::string& line_break) {
  std::string changed;
  for (const char c : text) {
    if (c == '\n') {
      changed += line_break;
    } else {
      changed += c;
    }
  }
  return changed;
}

TEST_CASE("a stream cut anywhere reads the same") {
  CHECK(rc::check("split streams", [] {
    const std::string line_break =
        *rc::gen::element<std::string>("\n", "\r\n", "\r");
    const std::string text =
        WithBreaks(Delta("one") + ": note\n\n" + Delta("two") + kUsage + kDone,
                   line_break);
    Response answer = ModelResponse();
    std::string passed;
    size_t position = 0;
    while (position < text.size()) {
      const auto length = *rc::gen::inRange<size_t>(1, 40);
      passed += Feed(answer, text.substr(position, length)).bytes;
      position += length;
    }
    RC_ASSERT(EndResponse(answer));
    // What follows the CR of the newest event may still be held.
    RC_ASSERT(passed + answer.held == text);
    RC_ASSERT(answer.progress.streamed_tokens == Tokens(2));
    RC_ASSERT(answer.progress.events == 5u);
    RC_ASSERT(answer.progress.prompt == Tokens(5));
    RC_ASSERT(GeneratedTokens(answer.progress) == Tokens(9));
    RC_ASSERT(answer.progress.finish_reason);
  }));
}

TEST_CASE("every proper prefix of a model's stream is not whole") {
  const std::string text = Delta("one") + kUsage + kDone;
  for (size_t length = 0; length < text.size(); ++length) {
    Response answer = ModelResponse();
    const FeedResult passed = Feed(answer, text.substr(0, length));
    CHECK(!EndResponse(answer));
    // Only whole events are passed on.
    const std::string& bytes = passed.bytes;
    CHECK((bytes.empty() || bytes.ends_with("\n\n")));
    CHECK(text.starts_with(bytes));
  }
}

TEST_CASE("bytes after the end, and errors within a stream, are faults") {
  Response answer = ModelResponse();
  const FeedResult passed = Feed(answer, kDone + Delta("late"));
  CHECK(passed.bytes == kDone);
  CHECK(passed.fault == Fault::kExcessBytes);
  CHECK(!EndResponse(answer));
  CHECK(Feed(answer, kDone).bytes.empty());
  Response failed = ModelResponse();
  CHECK(Feed(failed, "data: {\"error\":{\"message\":\"x\"}}\n\n").fault ==
        Fault::kErrorReported);
}

TEST_CASE("too few and too many bytes are not whole") {
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

TEST_CASE("an answer to another request passes nothing") {
  const ResponseOptions echoes = {.request = RequestId("r1"),
                                  .target_echoes_id = true};
  const Headers own = {{std::string(kRequestIdHeader), "r1"}};
  const Headers other = {{std::string(kRequestIdHeader), "r2"},
                         {std::string(kNotRunHeader), "true"}};
  CHECK(!BeginResponse(echoes, 200, own).fault);
  CHECK(BeginResponse(echoes, 200, {}).fault == Fault::kWrongRequest);
  Response crossed = BeginResponse(
      {.request = RequestId("r1"), .target_states_not_run = true}, 503, other);
  CHECK(crossed.fault == Fault::kWrongRequest);
  CHECK(!crossed.states_not_run);
  CHECK(Feed(crossed, "x").bytes.empty());
}

TEST_CASE("a refusal before running is read with its time to come back") {
  const Headers headers = {{std::string(kNotRunHeader), "true"},
                           {"retry-after", "7"}};
  const ResponseOptions believed = {.target_states_not_run = true};
  const Response refused = BeginResponse(believed, 503, headers);
  CHECK(refused.states_not_run);
  CHECK(!BeginResponse({}, 503, headers).states_not_run);
  CHECK(refused.retry_after == std::chrono::seconds(7));
  CHECK(!BeginResponse(believed, 200, headers).states_not_run);
}

TEST_CASE("sizes are capped") {
  ResponseOptions options;
  options.limits = {.event = Bytes(10), .answer = Bytes(20)};
  Response event = BeginResponse(options, 200, kEventStream);
  CHECK(Feed(event, "data: 0123456789").fault == Fault::kTooLarge);
  Response body = BeginResponse(options, 200, {});
  CHECK(Feed(body, std::string(21, 'x')).fault == Fault::kTooLarge);
}

TEST_CASE("a JSON answer's usage is read at its end") {
  Response answer =
      BeginResponse({}, 200, {{"content-type", "application/json"}});
  Feed(answer, R"({"choices":[{"text":"a"}],"usage":{"comple)");
  Feed(answer, R"(tion_tokens":12}})");
  CHECK(EndResponse(answer));
  CHECK(GeneratedTokens(answer.progress) == Tokens(12));
}

TEST_CASE("hop-by-hop, internal and secret headers stay behind") {
  const Headers caller = {{"connection", "close, X-Hop"},
                          {"x-hop", "1"},
                          {"transfer-encoding", "chunked"},
                          {"content-length", "3"},
                          {"samphirebank-request-id", "forged"},
                          {"Samphirebank-Not-Run", "true"},
                          {"authorization", "Bearer secret"},
                          {"x-bent", "a\r\nsamphirebank-x: 1"},
                          {"idempotency-key", "k"},
                          {"content-type", "text/plain"}};
  const Headers passed = RequestHeaders(caller);
  REQUIRE(passed.size() == 2);
  CHECK(passed[0].name == "idempotency-key");
  CHECK(passed[1].name == "content-type");
  const Headers target = {{"samphirebank-not-run", "true"},
                          {"keep-alive", "timeout=5"},
                          {"content-type", "text/plain"}};
  const Headers answered = ResponseHeaders(target);
  REQUIRE(answered.size() == 1);
  CHECK(answered[0].value == "text/plain");
}

TEST_CASE("mutated streams, seed 20261204: no fault of ours, none too whole") {
  const std::string text = Delta("one") + kUsage + Delta("two") + kDone;
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
    Response answer = ModelResponse();
    std::string passed;
    for (size_t at = 0; at < mutated.size();) {
      const size_t length = 1 + next(64);
      passed += Feed(answer, mutated.substr(at, length)).bytes;
      at += length;
    }
    const bool whole = EndResponse(answer);
    REQUIRE(mutated.starts_with(passed));
    if (whole) REQUIRE(passed.find("[DONE]") != std::string::npos);
  }
}

}  // namespace
}  // namespace samphirebank::relay
