#include "samphirebank/emulator/internal/answer.h"

#include <functional>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

namespace samphirebank::emulator {
namespace {

using Json = nlohmann::ordered_json;

constexpr uint32_t kMinTokens = 4;
constexpr uint32_t kMaxTokens = 40;
constexpr size_t kMaxNonce = 64;
constexpr std::string_view kEndMark = "[DONE]";
constexpr std::string_view kDataPrefix = "data: ";

std::string TokenText(const std::string& nonce, uint32_t index) {
  const std::string text = nonce + "-" + std::to_string(index);
  return index == 0 ? text : " " + text;
}

std::string TextOf(const std::string& nonce, uint32_t tokens) {
  std::string text;
  for (uint32_t i = 0; i < tokens; ++i) text += TokenText(nonce, i);
  return text;
}

Json Usage(const Answer& answer) {
  return {{"prompt_tokens", 1},
          {"completion_tokens", answer.tokens},
          {"total_tokens", answer.tokens + 1}};
}

Json Envelope(const Answer& answer, std::string_view chat_object) {
  return {{"id", "cmpl-" + answer.request.nonce},
          {"object", answer.request.chat ? chat_object : "text_completion"},
          {"model", answer.request.model}};
}

Json Choice(const Answer& answer, std::string_view chat_field,
            const std::string& text, const Json& finish_reason) {
  Json choice = {{"index", 0}};
  if (answer.request.chat) {
    choice[std::string(chat_field)] = {{"content", text}};
  } else {
    choice["text"] = text;
  }
  choice["finish_reason"] = finish_reason;
  return choice;
}

std::string EventOf(const std::string& data) {
  return std::string(kDataPrefix) + data + "\n\n";
}

std::string PromptOf(const Json& body, bool chat) {
  if (!chat) return body.at("prompt").get<std::string>();
  return body.at("messages").back().at("content").get<std::string>();
}

std::string ChoiceText(const Json& choice) {
  for (const char* field : {"message", "delta"}) {
    if (choice.contains(field)) return choice[field].value("content", "");
  }
  return choice.value("text", "");
}

void AddPart(const Json& part, Received* received) {
  for (const Json& choice : part.value("choices", Json::array())) {
    received->text += ChoiceText(choice);
  }
  if (part.contains("usage") && part["usage"].is_object()) {
    received->tokens = part["usage"].value("completion_tokens", 0U);
  }
}

}  // namespace

std::optional<CompletionRequest> ParseCompletion(std::string_view path,
                                                 std::string_view body) {
  const bool chat = path == "/v1/chat/completions";
  if (!chat && path != "/v1/completions") return std::nullopt;
  try {
    const Json json = Json::parse(body);
    CompletionRequest request{
        .model = json.at("model").get<std::string>(),
        .nonce = PromptOf(json, chat).substr(0, kMaxNonce),
        .chat = chat,
        .stream = json.value("stream", false)};
    if (json.contains("max_tokens")) {
      request.max_tokens = json["max_tokens"].get<uint32_t>();
    }
    return request;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

Answer PlanAnswer(CompletionRequest request, uint64_t seed) {
  std::mt19937_64 random(seed ^ std::hash<std::string>()(request.nonce));
  const uint32_t chosen =
      std::uniform_int_distribution<uint32_t>(kMinTokens, kMaxTokens)(random);
  const uint32_t tokens = request.max_tokens.value_or(chosen);
  return Answer{.request = std::move(request), .tokens = tokens};
}

uint32_t EventCount(const Answer& answer) { return answer.tokens + 2; }

std::string EventAt(const Answer& answer, uint32_t index) {
  if (index > answer.tokens) return EventOf(std::string(kEndMark));
  Json part = Envelope(answer, "chat.completion.chunk");
  if (index < answer.tokens) {
    const std::string text = TokenText(answer.request.nonce, index);
    part["choices"] = Json::array({Choice(answer, "delta", text, nullptr)});
  } else {
    part["choices"] = Json::array({Choice(answer, "delta", "", "stop")});
    part["usage"] = Usage(answer);
  }
  return EventOf(part.dump());
}

std::string AnswerBody(const Answer& answer) {
  Json body = Envelope(answer, "chat.completion");
  body["choices"] =
      Json::array({Choice(answer, "message", Text(answer), "stop")});
  body["usage"] = Usage(answer);
  return body.dump();
}

std::string Text(const Answer& answer) {
  return TextOf(answer.request.nonce, answer.tokens);
}

std::optional<Received> ReadAnswer(std::string_view body, bool stream) {
  Received received;
  try {
    if (!stream) {
      AddPart(Json::parse(body), &received);
      received.ended = true;
      return received;
    }
    while (!body.empty()) {
      const size_t end = body.find('\n');
      const std::string_view line = body.substr(0, end);
      body.remove_prefix(end == std::string_view::npos ? body.size() : end + 1);
      if (!line.starts_with(kDataPrefix)) continue;
      const std::string_view data = line.substr(kDataPrefix.size());
      received.ended = data == kEndMark;
      if (!received.ended) AddPart(Json::parse(data), &received);
    }
    return received;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

bool IsWhole(const Received& received, const std::string& nonce) {
  return received.ended && received.tokens > 0 &&
         received.text == TextOf(nonce, received.tokens);
}

}  // namespace samphirebank::emulator
