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
constexpr int64_t kDefaultCompletionTokens = 256;
constexpr int64_t kMaxCompletionTokens = 1'000'000;
constexpr size_t kMaxPrefixBytes = 1'024;

// PromptText returns the serialised JSON value of the prompt, which
// approximates the text that the target reads.
std::string PromptText(const Json& body) {
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
      limit.is_number_integer() && limit > 0 && limit <= kMaxCompletionTokens;
  if (!allowed) {
    findings.Add("max_tokens", limit.dump(), "a number from 1 to 1000000");
  }
}

uint64_t PrefixHash(std::string_view prompt) {
  const std::string_view prefix = prompt.substr(0, kMaxPrefixBytes);
  return std::max<uint64_t>(XXH3_64bits(prefix.data(), prefix.size()), 1);
}

}  // namespace

ParsedModelCall ParseModelCall(std::string_view body) {
  ParsedModelCall parsed;
  const Json document = json::Parse(body);
  if (!document.is_object()) {
    parsed.findings.Add("body", "", "a JSON object");
    return parsed;
  }
  CheckFields(document, parsed.findings);
  if (!parsed.findings.empty()) return parsed;
  const std::string prompt = PromptText(document);
  const int64_t completion_tokens =
      document.value("max_tokens", kDefaultCompletionTokens);
  const auto prompt_bytes = static_cast<int64_t>(prompt.size());
  parsed.call.model = ServiceId(document["model"].get<std::string>());
  parsed.call.stream = document.value("stream", false);
  parsed.call.estimate =
      Tokens(prompt_bytes / kBytesPerToken + completion_tokens);
  parsed.call.prefix_hash = PrefixHash(prompt);
  return parsed;
}

}  // namespace samphirebank::ingress
