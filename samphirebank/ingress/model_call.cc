#include <xxhash.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "samphirebank/ingress/ingress.h"
#include "samphirebank/json/json.h"

namespace samphirebank::ingress {
namespace {

using Json = nlohmann::json;

constexpr int64_t kBytesPerToken = 4;
constexpr int64_t kUnstatedAnswerTokens = 256;
constexpr int64_t kMaxAnswerTokens = 1'000'000;
constexpr size_t kPrefixBytes = 1'024;

// PromptOf returns the text that the target will read, as it stands in the
// body.
std::string PromptOf(const Json& body) {
  if (body.contains("messages")) return body["messages"].dump();
  if (body.contains("prompt")) return body["prompt"].dump();
  return {};
}

void CheckFields(const Json& body, Findings& findings) {
  const bool has_model = body.contains("model") && body["model"].is_string() &&
                         !body["model"].get<std::string>().empty();
  if (!has_model) findings.Add("model", "", "a model's name");
  if (!body.contains("messages") && !body.contains("prompt")) {
    findings.Add("messages", "", "messages, or a prompt");
  }
  if (body.contains("messages") && !body["messages"].is_array()) {
    findings.Add("messages", "", "a list of messages");
  }
  if (body.contains("stream") && !body["stream"].is_boolean()) {
    findings.Add("stream", body["stream"].dump(), "true or false");
  }
  if (!body.contains("max_tokens")) return;
  const Json& limit = body["max_tokens"];
  const bool allowed =
      limit.is_number_integer() && limit > 0 && limit <= kMaxAnswerTokens;
  if (!allowed) {
    findings.Add("max_tokens", limit.dump(), "a number from 1 to 1000000");
  }
}

uint64_t PrefixHash(std::string_view prompt) {
  const std::string_view prefix = prompt.substr(0, kPrefixBytes);
  return std::max<uint64_t>(XXH3_64bits(prefix.data(), prefix.size()), 1);
}

}  // namespace

ParsedModelCall ParseModelCall(std::string_view body) {
  ParsedModelCall read;
  const Json parsed = json::Parse(body);
  if (!parsed.is_object()) {
    read.findings.Add("body", "", "a JSON object");
    return read;
  }
  CheckFields(parsed, read.findings);
  if (!read.findings.empty()) return read;
  const std::string prompt = PromptOf(parsed);
  const int64_t answer = parsed.value("max_tokens", kUnstatedAnswerTokens);
  const auto prompt_bytes = static_cast<int64_t>(prompt.size());
  read.call.model = ServiceId(parsed["model"].get<std::string>());
  read.call.stream = parsed.value("stream", false);
  read.call.estimate = Tokens(prompt_bytes / kBytesPerToken + answer);
  read.call.prefix_hash = PrefixHash(prompt);
  return read;
}

}  // namespace samphirebank::ingress
