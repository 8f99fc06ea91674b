// File: answer.h
//
// The texts that a stand-in target answers with, and their check by a caller.
// No I/O.
//
// Example:
//
//   const Answer answer = PlanAnswer(*ParseCompletion(path, body), seed);
//   for (uint32_t i = 0; i < EventCount(answer); ++i) Send(EventAt(answer, i));
#ifndef SAMPHIREBANK_EMULATOR_INTERNAL_ANSWER_H_
#define SAMPHIREBANK_EMULATOR_INTERNAL_ANSWER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "samphirebank/base/base.h"

namespace samphirebank::emulator {

// CompletionRequest is what matters of a completion's body.
struct CompletionRequest {
  std::string model;
  std::string nonce;  // the prompt
  bool chat = false;
  bool stream = false;
  std::optional<uint32_t> max_tokens;
};

// ParseCompletion reads the body of /v1/chat/completions or /v1/completions;
// nothing when it is malformed.
std::optional<CompletionRequest> ParseCompletion(std::string_view path,
                                                 std::string_view body);

// Answer is a planned completion.
struct Answer {
  CompletionRequest request;
  uint32_t tokens = 0;
};

// PlanAnswer chooses the length from the seed and the prompt.
Answer PlanAnswer(CompletionRequest request, uint64_t seed);

// EventCount is the number of server-sent events of the whole answer: one a
// token, one with the usage, and the end mark.
uint32_t EventCount(const Answer& answer);

// EventAt returns event `index` with its line ends.
std::string EventAt(const Answer& answer, uint32_t index);

// AnswerBody returns the answer in one JSON text.
std::string AnswerBody(const Answer& answer);

// Text returns the generated text.
std::string Text(const Answer& answer);

// Received is a completion as a caller read it.
struct Received {
  std::string text;
  uint32_t tokens = 0;  // by its usage
  bool ended = false;   // the end mark came, or it was one JSON text
};

// ReadAnswer reads a whole body, streamed or not; nothing when malformed.
std::optional<Received> ReadAnswer(std::string_view body, bool stream);

// IsWhole tells whether `received` is the whole answer to prompt `nonce`.
bool IsWhole(const Received& received, const std::string& nonce);

}  // namespace samphirebank::emulator

#endif  // SAMPHIREBANK_EMULATOR_INTERNAL_ANSWER_H_
