#include "samphirebank/json/json.h"

namespace samphirebank::json {
namespace {

using Value = nlohmann::json;
using Event = Value::parse_event_t;

}  // namespace

Value Parse(std::string_view text) {
  bool too_deep = false;
  const auto within_depth = [&](int outer, Event event, const Value&) {
    const bool opens =
        event == Event::object_start || event == Event::array_start;
    if (opens && outer >= kMaxDepth) too_deep = true;
    return !too_deep;
  };
  Value document = Value::parse(text, within_depth, false);
  if (too_deep) return Value(Value::value_t::discarded);
  return document;
}

}  // namespace samphirebank::json
