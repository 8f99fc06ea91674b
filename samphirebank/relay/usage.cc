#include "samphirebank/relay/internal/usage.h"

#include <nlohmann/json.hpp>
#include <optional>

#include "samphirebank/json/json.h"

namespace samphirebank::relay::internal {
namespace {

using Json = nlohmann::json;

const Json* Lookup(const Json& value, const char* name) {
  if (!value.is_object()) return nullptr;
  const auto found = value.find(name);
  return found == value.end() ? nullptr : &*found;
}

std::optional<Tokens> TokenCount(const Json& usage, const char* name) {
  const Json* count = Lookup(usage, name);
  if (count == nullptr || !count->is_number_integer()) return std::nullopt;
  const auto value = count->get<int64_t>();
  if (value < 0) return std::nullopt;
  return Tokens(value);
}

bool HasGeneratedText(const Json& choice) {
  const Json* text = Lookup(choice, "text");
  if (const Json* delta = Lookup(choice, "delta")) {
    text = Lookup(*delta, "content");
  }
  return text != nullptr && text->is_string() &&
         !text->get_ref<const std::string&>().empty();
}

void AddUsage(const Json& usage, Progress& progress) {
  if (const auto count = TokenCount(usage, "prompt_tokens")) {
    progress.prompt_tokens = count;
  }
  if (const auto count = TokenCount(usage, "completion_tokens")) {
    progress.generated_tokens = count;
  }
}

void AddChoice(const Json& choice, Progress& progress) {
  if (HasGeneratedText(choice)) progress.streamed_tokens += Tokens(1);
  const Json* reason = Lookup(choice, "finish_reason");
  if (reason != nullptr && reason->is_string()) progress.finish_reason = true;
}

}  // namespace

bool UpdateProgress(std::string_view text, Progress& progress) {
  const Json value = json::Parse(text);
  if (!value.is_object()) return true;
  if (const Json* usage = Lookup(value, "usage")) AddUsage(*usage, progress);
  const Json* choices = Lookup(value, "choices");
  if (choices != nullptr && choices->is_array()) {
    for (const Json& choice : *choices) AddChoice(choice, progress);
  }
  const Json* error = Lookup(value, "error");
  return error == nullptr || error->is_null();
}

}  // namespace samphirebank::relay::internal
