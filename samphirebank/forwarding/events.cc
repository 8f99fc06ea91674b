#include <charconv>

#include "samphirebank/forwarding/forwarding.h"

namespace samphirebank::forwarding {
namespace {

using dialect::EventId;

constexpr std::string_view kIdField = "id:";

// EventEnd returns the position after the first event, or npos if that event is
// incomplete. An empty line ends an event.
size_t EventEnd(std::string_view text) {
  size_t line_start = 0;
  while (true) {
    const size_t line_end = text.find('\n', line_start);
    if (line_end == std::string_view::npos) return line_end;
    const size_t length = line_end - line_start;
    const bool empty = length == 0 || (length == 1 && text[line_start] == '\r');
    if (empty && line_start > 0) return line_end + 1;
    line_start = line_end + 1;
  }
}

std::optional<EventId> ParseEventId(std::string_view event) {
  size_t offset = 0;
  while (offset < event.size()) {
    const size_t end = std::min(event.find('\n', offset), event.size());
    std::string_view line = event.substr(offset, end - offset);
    offset = end + 1;
    if (!line.starts_with(kIdField)) continue;
    line.remove_prefix(kIdField.size());
    while (!line.empty() && line.front() == ' ') line.remove_prefix(1);
    uint64_t number = 0;
    const auto parsed =
        std::from_chars(line.data(), line.data() + line.size(), number);
    if (parsed.ec == std::errc()) return EventId(number);
  }
  return std::nullopt;
}

}  // namespace

std::string TakeEvents(EventStream& stream, std::string_view piece) {
  stream.buffer.append(piece);
  std::string complete;
  size_t offset = 0;
  while (true) {
    const std::string_view rest =
        std::string_view(stream.buffer).substr(offset);
    const size_t end = EventEnd(rest);
    if (end == std::string_view::npos) break;
    const std::string_view event = rest.substr(0, end);
    offset += end;
    const std::optional<EventId> id = ParseEventId(event);
    const bool repeated =
        id && stream.last_event_id && *id <= *stream.last_event_id;
    if (repeated) continue;
    if (id) stream.last_event_id = id;
    complete.append(event);
  }
  stream.buffer.erase(0, offset);
  return complete;
}

}  // namespace samphirebank::forwarding
