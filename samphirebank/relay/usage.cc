#include "samphirebank/relay/internal/usage.h"

#include <nlohmann/json.hpp>
#include <optional>

#include "samphirebank/json/json.h"

namespace samphirebank::relay::internal {
namespace {

using Json = nlohmann::json;

const Json* Member(const Json& value, const char* name) {
  if (!value.is_object()) return nullptr;
  const auto found = value.find(name);
  return found == value.end() ? nullptr : &*found;
}

std::optional<Tokens> Count(const Json& usage, const char* name) {
  const Json* count = Member(usage, name);
  if (count == nullptr || !count->is_number_integer()) return std::nullopt;
  const auto value = count->get<int64_t>();
  if (value < 0) return std::nullopt;
  return Tokens(value);
}

bool HasText(const Json& choice) {
  const Json* text = Member(choice, "text");
  if (const Json* delta = Member(choice, "delta")) {
    text = Member(*delta, "content");
  }
  return text != nullptr && text->is_string() &&
         !text->get_ref<const std::string&>().empty();
}

void ReadUsage(const Json& usage, Progress& progress) {
  if (const auto count = Count(usage, "prompt_tokens")) {
    progress.prompt = count;
  }
  if (const auto count = Count(usage, "completion_tokens")) {
    progress.generated = count;
  }
}

void ReadChoice(const Json& choice, Progress& progress) {
  if (HasText(choice)) progress.streamed_tokens += Tokens(1);
  const Json* reason = Member(choice, "finish_reason");
  if (reason != nullptr && reason->is_string()) progress.finish_reason = true;
}

}  // namespace

bool ReadJson(std::string_view text, Progress& progress) {
  const Json value = json::Parse(text);
  if (!value.is_object()) return true;
  if (const Json* usage = Member(value, "usage")) ReadUsage(*usage, progress);
  const Json* choices = Member(value, "choices");
  if (choices != nullptr && choices->is_array()) {
    for (const Json& choice : *choices) ReadChoice(choice, progress);
  }
  const Json* error = Member(value, "error");
  return error == nullptr || error->is_null();
}

}  // namespace samphirebank::relay::internal
