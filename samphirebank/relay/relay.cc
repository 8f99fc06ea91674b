#include "samphirebank/relay/relay.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "samphirebank/relay/internal/usage.h"

namespace samphirebank::relay {
namespace {

// A JSON body is parsed for its usage object only up to this size.
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

// ParseContentLength returns the value of Content-Length, if there is one.
// Different values, or a value that is not a number, are a fault.
std::optional<Bytes> ParseContentLength(const std::vector<net::Header>& headers,
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

bool MatchesRequest(const ResponseOptions& options,
                    const std::vector<net::Header>& headers) {
  const auto echoed = net::FindHeader(headers, kRequestIdHeader);
  if (!echoed) return !options.target_echoes_id;
  return *echoed == options.request.value;
}

// EventData returns the data lines of one event, joined by line feeds as the
// event stream format specifies.
std::string EventData(std::string_view event) {
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

// FinishEvent processes the complete event in the buffer and forwards it unless
// it is a fault.
void FinishEvent(Response& response, FeedResult& result) {
  const std::string event = std::exchange(response.buffer, {});
  const std::string data = EventData(event);
  const bool is_blank = event.find_first_not_of("\r\n") == std::string::npos;
  if (response.progress.done_received && !is_blank) {
    response.fault = Fault::kExcessBytes;
    return;
  }
  if (data == "[DONE]") {
    response.progress.done_received = true;
  } else if (!data.empty() &&
             !internal::UpdateProgress(data, response.progress)) {
    response.fault = Fault::kErrorReported;
    return;
  }
  result.bytes += event;
  if (!is_blank) response.progress.events += 1;
}

// FeedByte processes the next byte of an event stream. An event ends with an
// empty line; a line ends with CR LF, LF or CR. If the empty line ends with
// CR LF, the event ends at the CR, and the LF is forwarded at the start of the
// next event.
void FeedByte(Response& response, char byte, FeedResult& result) {
  if (byte == '\n' && response.after_cr) {
    response.after_cr = false;
    response.buffer += byte;
    return;
  }
  response.after_cr = byte == '\r';
  response.buffer += byte;
  if (byte != '\n' && byte != '\r') {
    response.is_line_empty = false;
    return;
  }
  const bool event_ends = response.is_line_empty;
  response.is_line_empty = true;
  if (event_ends) FinishEvent(response, result);
}

void FeedEvents(Response& response, std::string_view piece,
                FeedResult& result) {
  const auto limit =
      static_cast<size_t>(response.options.limits.max_event.value);
  for (const char byte : piece) {
    FeedByte(response, byte, result);
    if (response.fault) return;
    if (response.buffer.size() > limit) {
      response.fault = Fault::kTooLarge;
      return;
    }
  }
}

void FeedBody(Response& response, std::string_view piece, FeedResult& result) {
  result.bytes += piece;
  const size_t free_bytes = kMaxJsonBytes + 1 - response.buffer.size();
  response.buffer += piece.substr(0, free_bytes);
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
  Response response;
  response.status = status;
  response.event_stream = IsEventStream(headers);
  response.retry_after = ParseRetryAfter(headers);
  response.size = ParseContentLength(headers, response.fault);
  const auto not_run = net::FindHeader(headers, kNotRunHeader);
  const bool refusal = status >= 400 && not_run && *not_run == "true";
  response.states_not_run = refusal && options.target_states_not_run;
  if (response.size && *response.size > options.limits.max_body) {
    response.fault = Fault::kTooLarge;
  }
  if (!MatchesRequest(options, headers)) response.fault = Fault::kWrongRequest;
  if (response.fault) response.states_not_run = false;
  response.options = std::move(options);
  return response;
}

FeedResult Feed(Response& response, std::string_view piece) {
  FeedResult result;
  if (!response.fault) {
    Progress& progress = response.progress;
    progress.body += Bytes(static_cast<int64_t>(piece.size()));
    if (response.size && progress.body > *response.size) {
      response.fault = Fault::kExcessBytes;
    } else if (progress.body > response.options.limits.max_body) {
      response.fault = Fault::kTooLarge;
    } else if (response.event_stream) {
      FeedEvents(response, piece, result);
    } else {
      FeedBody(response, piece, result);
    }
  }
  result.fault = response.fault;
  return result;
}

bool EndResponse(Response& response) {
  if (response.fault) return false;
  if (response.size && response.progress.body != *response.size) return false;
  if (!response.event_stream) {
    if (response.buffer.size() <= kMaxJsonBytes) {
      internal::UpdateProgress(response.buffer, response.progress);
    }
    return true;
  }
  const bool between_events =
      response.buffer.find_first_not_of("\r\n") == std::string::npos;
  const bool ended_as_required =
      response.progress.done_received || !response.options.model_stream;
  return between_events && ended_as_required;
}

Tokens GeneratedTokens(const Progress& progress) {
  return progress.generated_tokens.value_or(progress.streamed_tokens);
}

std::string ErrorEvent(std::string_view detail) {
  const nlohmann::json error = {
      {"error", {{"type", "cut_stream"}, {"message", detail}}}};
  return "event: error\ndata: " +
         error.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace) +
         "\n\n";
}

}  // namespace samphirebank::relay
