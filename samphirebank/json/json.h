// File: json.h
//
// Reading of JSON that comes from outside: from callers, targets and operators.
//
// Example:
//
//   const nlohmann::json document = json::Parse(body);
//   if (!document.is_object()) findings.Add("body", "", "a JSON object");
#ifndef SAMPHIREBANK_JSON_JSON_H_
#define SAMPHIREBANK_JSON_JSON_H_

#include <nlohmann/json.hpp>
#include <string_view>

namespace samphirebank::json {

// kMaxDepth is how deep arrays and objects may nest. It keeps recursion over a
// document, as in copying and writing it, within the stack.
inline constexpr int kMaxDepth = 64;

// Parse returns the document in `text`. The result is discarded
// (`is_discarded()`) when the text is malformed or nests deeper than
// kMaxDepth. Throws nothing; safe on any thread.
nlohmann::json Parse(std::string_view text);

}  // namespace samphirebank::json

#endif  // SAMPHIREBANK_JSON_JSON_H_
