#include "samphirebank/relay/relay.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "samphirebank/relay/internal/usage.h"

namespace samphirebank::relay {
namespace {

// kMaxJsonBytes is the longest JSON body that is read for its usage.
constexpr size_t kMaxJsonBytes = 1 << 20;
constexpr int64_t kMaxRetryAfterSeconds = 86'400;

std::optional<int64_t> ParseNumber(std::string_view text) {
  int64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || stop != end || number < 0) return std::nullopt;
  return number;
}

std::optional<Duration> ParseRetryAfter(
    const std::vector<net::Header>& headers) {
  const auto value = net::FindHeader(headers, "retry-after");
  if (!value) return std::nullopt;
  const std::optional<int64_t> number = ParseNumber(*value);
  if (!number) return std::nullopt;
  return std::chrono::seconds(std::min(*number, kMaxRetryAfterSeconds));
}

// ParseLength reads Content-Length; two that differ, or one that is no number,
// are a fault.
std::optional<Bytes> ParseLength(const std::vector<net::Header>& headers,
                                 std::optional<Fault>& fault) {
  std::optional<Bytes> length;
  for (const net::Header& header : headers) {
    if (header.name != "content-length") continue;
    const std::optional<int64_t> number = ParseNumber(header.value);
    const bool differs = number && length && length->value != *number;
    if (!number || differs) {
      fault = Fault::kMalformed;
      return std::nullopt;
    }
    length = Bytes(*number);
  }
  return length;
}

bool IsEventStream(const std::vector<net::Header>& headers) {
  const auto type = net::FindHeader(headers, "content-type");
  return type && type->starts_with("text/event-stream");
}

bool BelongsTo(const ResponseOptions& options,
               const std::vector<net::Header>& headers) {
  const auto echoed = net::FindHeader(headers, kRequestIdHeader);
  if (!echoed) return !options.target_echoes_id;
  return *echoed == options.request.value;
}

// DataOf joins the data lines of one event, as the event stream format says.
std::string DataOf(std::string_view event) {
  constexpr std::string_view kField = "data:";
  std::string data;
  bool first = true;
  while (!event.empty()) {
    const size_t end = std::min(event.find_first_of("\r\n"), event.size());
    std::string_view line = event.substr(0, end);
    event.remove_prefix(std::min(end + 1, event.size()));
    if (!line.starts_with(kField)) continue;
    line.remove_prefix(kField.size());
    if (line.starts_with(' ')) line.remove_prefix(1);
    if (!first) data += '\n';
    data += line;
    first = false;
  }
  return data;
}

// TakeEvent reads a whole event, held in `answer`, and passes it on.
void TakeEvent(Response& answer, FeedResult& passed) {
  const std::string event = std::exchange(answer.held, {});
  const std::string data = DataOf(event);
  const bool blank = event.find_first_not_of("\r\n") == std::string::npos;
  if (answer.progress.done && !blank) {
    answer.fault = Fault::kExcessBytes;
    return;
  }
  if (data == "[DONE]") {
    answer.progress.done = true;
  } else if (!data.empty() && !internal::ReadJson(data, answer.progress)) {
    answer.fault = Fault::kErrorReported;
    return;
  }
  passed.bytes += event;
  if (!blank) answer.progress.events += 1;
}

// FeedByte takes the next byte of an event stream. An event ends with an
// empty line; lines end with CR LF, LF or CR. The LF of a CR LF that ends an
// event is passed on in front of the next event.
void FeedByte(Response& answer, char byte, FeedResult& passed) {
  if (byte == '\n' && answer.after_cr) {
    answer.after_cr = false;
    answer.held += byte;
    return;
  }
  answer.after_cr = byte == '\r';
  answer.held += byte;
  if (byte != '\n' && byte != '\r') {
    answer.line_empty = false;
    return;
  }
  const bool event_ends = answer.line_empty;
  answer.line_empty = true;
  if (event_ends) TakeEvent(answer, passed);
}

void FeedEvents(Response& answer, std::string_view piece, FeedResult& passed) {
  const auto limit = static_cast<size_t>(answer.options.limits.event.value);
  for (const char byte : piece) {
    FeedByte(answer, byte, passed);
    if (answer.fault) return;
    if (answer.held.size() > limit) {
      answer.fault = Fault::kTooLarge;
      return;
    }
  }
}

void FeedPlain(Response& answer, std::string_view piece, FeedResult& passed) {
  passed.bytes += piece;
  const size_t room = kMaxJsonBytes + 1 - answer.held.size();
  answer.held += piece.substr(0, room);
}

}  // namespace

std::string_view ToText(Fault fault) {
  switch (fault) {
    case Fault::kWrongRequest:
      return "The answer belongs to another request.";
    case Fault::kExcessBytes:
      return "The answer goes on after its end.";
    case Fault::kTooLarge:
      return "The answer is too large.";
    case Fault::kMalformed:
      return "The answer is malformed.";
    case Fault::kErrorReported:
      return "The target reported an error.";
  }
  return "The answer is malformed.";
}

Response BeginResponse(ResponseOptions options, int status,
                       const std::vector<net::Header>& headers) {
  Response answer;
  answer.status = status;
  answer.event_stream = IsEventStream(headers);
  answer.retry_after = ParseRetryAfter(headers);
  answer.length = ParseLength(headers, answer.fault);
  const auto not_run = net::FindHeader(headers, kNotRunHeader);
  const bool refusal = status >= 400 && not_run && *not_run == "true";
  answer.states_not_run = refusal && options.target_states_not_run;
  if (answer.length && *answer.length > options.limits.answer) {
    answer.fault = Fault::kTooLarge;
  }
  if (!BelongsTo(options, headers)) answer.fault = Fault::kWrongRequest;
  if (answer.fault) answer.states_not_run = false;
  answer.options = std::move(options);
  return answer;
}

FeedResult Feed(Response& answer, std::string_view piece) {
  FeedResult passed;
  if (!answer.fault) {
    Progress& progress = answer.progress;
    progress.body += Bytes(static_cast<int64_t>(piece.size()));
    if (answer.length && progress.body > *answer.length) {
      answer.fault = Fault::kExcessBytes;
    } else if (progress.body > answer.options.limits.answer) {
      answer.fault = Fault::kTooLarge;
    } else if (answer.event_stream) {
      FeedEvents(answer, piece, passed);
    } else {
      FeedPlain(answer, piece, passed);
    }
  }
  passed.fault = answer.fault;
  return passed;
}

bool EndResponse(Response& answer) {
  if (answer.fault) return false;
  if (answer.length && answer.progress.body != *answer.length) return false;
  if (!answer.event_stream) {
    if (answer.held.size() <= kMaxJsonBytes) {
      internal::ReadJson(answer.held, answer.progress);
    }
    return true;
  }
  const bool between_events =
      answer.held.find_first_not_of("\r\n") == std::string::npos;
  const bool ended = answer.progress.done || !answer.options.model_stream;
  return between_events && ended;
}

Tokens GeneratedTokens(const Progress& progress) {
  return progress.generated.value_or(progress.streamed_tokens);
}

std::string ErrorEvent(std::string_view detail) {
  const nlohmann::json error = {
      {"error", {{"type", "cut_stream"}, {"message", detail}}}};
  return "event: error\ndata: " +
         error.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace) +
         "\n\n";
}

}  // namespace samphirebank::relay
