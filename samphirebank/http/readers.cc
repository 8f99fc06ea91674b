#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/version.hpp>
#include <cctype>
#include <limits>
#include <optional>
#include <stdexcept>
#include <string_view>
#include <utility>

#include "samphirebank/http/http.h"
#include "samphirebank/http/internal/received_body.h"

namespace samphirebank::http {
namespace {

namespace beast = boost::beast::http;
using boost::system::error_code;
using internal::ReceivedBody;

constexpr uint32_t kAnswerHeadBytes = 64 << 10;
// HTTP has no other statuses; the parser takes any three digits.
constexpr int kLowestStatus = 100;
constexpr int kHighestStatus = 599;

template <typename Fields>
Headers HeadersOf(const Fields& fields) {
  Headers headers;
  for (const auto& field : fields) {
    std::string name(field.name_string());
    std::ranges::transform(name, name.begin(), [](unsigned char letter) {
      return static_cast<char>(std::tolower(letter));
    });
    headers.push_back({std::move(name), std::string(field.value())});
  }
  return headers;
}

ReadState StateOf(const error_code& error) {
  if (error == beast::error::need_more) return ReadState::kMore;
  if (error == beast::error::header_limit) return ReadState::kHeadTooLarge;
  if (error == beast::error::body_limit) return ReadState::kBodyTooLarge;
  return ReadState::kMalformed;
}

// FeedBytes feeds `input` to a parser and removes what it took.
template <typename Parser>
ReadState FeedBytes(Parser& parser, std::string* input) {
  while (!parser.is_done()) {
    if (input->empty()) return ReadState::kMore;
    error_code error;
    const size_t taken = parser.put(boost::asio::buffer(*input), error);
    input->erase(0, taken);
    if (error) return StateOf(error);
    if (taken == 0) return ReadState::kMore;
  }
  return ReadState::kWhole;
}

// FeedParser does the same. The parser throws for a field above 64 KiB, which
// it cannot store.
template <typename Parser>
ReadState FeedParser(Parser& parser, std::string* input) {
  try {
    return FeedBytes(parser, input);
  } catch (const std::length_error&) {
    return ReadState::kHeadTooLarge;
  }
}

// HasFoldedLine returns whether a line of a head starts with a blank, which the
// parser joins to the value of the line before. `input` begins with what the
// parser has not taken: it takes a line when the next one has begun.
bool HasFoldedLine(std::string_view input) {
  const bool ends_head = input.starts_with("\r\n");
  if (ends_head) return false;
  const std::string_view head = input.substr(0, input.find("\r\n\r\n"));
  return head.find("\r\n ") != std::string_view::npos ||
         head.find("\r\n\t") != std::string_view::npos;
}

// BoundRest returns `state`, or kMalformed if the parser needs more than
// `max_rest` bytes to go on. It bounds a head, but neither the line before a
// chunk nor the trailer fields.
ReadState BoundRest(ReadState state, const std::string& rest,
                    uint64_t max_rest) {
  const bool is_endless = state == ReadState::kMore && rest.size() > max_rest;
  return is_endless ? ReadState::kMalformed : state;
}

// IsValidHead judges an answer's head by what the parser leaves open. No coding
// but chunks is asked for, and none can be undone.
template <typename Head>
bool IsValidHead(const Head& head) {
  const auto status = static_cast<int>(head.result_int());
  const auto coding = head.find(beast::field::transfer_encoding);
  const bool has_valid_coding =
      coding == head.end() || boost::beast::iequals(coding->value(), "chunked");
  return has_valid_coding && status >= kLowestStatus &&
         status <= kHighestStatus;
}

}  // namespace

struct RequestReader::Impl {
  beast::request_parser<ReceivedBody> parser;
  uint64_t max_rest = 0;
  uint64_t head_bytes = 0;
};

RequestReader::RequestReader(ReadLimits limits)
    : impl(std::make_unique<Impl>()) {
  this->impl->parser.eager(true);
  this->impl->parser.header_limit(static_cast<uint32_t>(std::min<uint64_t>(
      limits.head_bytes, std::numeric_limits<uint32_t>::max())));
  this->impl->parser.body_limit(limits.body_bytes);
  this->impl->max_rest = limits.head_bytes;
}

RequestReader::~RequestReader() = default;

ReadState RequestReader::Feed(std::string* input) {
  const size_t before = input->size();
  const bool had_head = this->head_done();
  const ReadState state = FeedParser(this->impl->parser, input);
  // The first bytes of the body may be among them, at most one read.
  if (!had_head) this->impl->head_bytes += before - input->size();
  return BoundRest(state, *input, this->impl->max_rest);
}

bool RequestReader::head_done() const {
  return this->impl->parser.is_header_done();
}

bool RequestReader::wants_continue() const {
  const auto& parser = this->impl->parser;
  if (!parser.is_header_done() || parser.is_done()) return false;
  const auto expect = parser.get().find(beast::field::expect);
  return expect != parser.get().end() &&
         boost::beast::iequals(expect->value(), "100-continue");
}

uint64_t RequestReader::held() const {
  const auto& parser = this->impl->parser;
  if (!parser.is_header_done()) return 0;
  const uint64_t stated = parser.content_length().value_or(0);
  return this->impl->head_bytes +
         std::max<uint64_t>(stated, parser.get().body().capacity());
}

Request RequestReader::TakeHead() {
  const auto& message = this->impl->parser.get();
  return {.method = std::string(message.method_string()),
          .target = std::string(message.target()),
          .headers = HeadersOf(message),
          .keep_alive = message.keep_alive()};
}

Request RequestReader::Take() {
  beast::request<ReceivedBody> message = this->impl->parser.release();
  return {.method = std::string(message.method_string()),
          .target = std::string(message.target()),
          .headers = HeadersOf(message),
          .body = std::move(message.body()),
          .keep_alive = message.keep_alive()};
}

struct AnswerReader::Impl {
  beast::response_parser<ReceivedBody> parser;
  std::optional<bool> is_valid_head;  // once it was read

  // HasValidHead returns whether nothing wrong was read of the head so far.
  bool HasValidHead() {
    if (!this->parser.is_header_done()) return true;
    if (!this->is_valid_head) {
      this->is_valid_head = IsValidHead(this->parser.get());
    }
    return *this->is_valid_head;
  }
};

AnswerReader::AnswerReader(bool to_head_request)
    : impl(std::make_unique<Impl>()) {
  this->impl->parser.eager(true);
  this->impl->parser.header_limit(kAnswerHeadBytes);
  this->impl->parser.body_limit(boost::none);
  this->impl->parser.skip(to_head_request);
}

AnswerReader::~AnswerReader() = default;

ReadState AnswerReader::Feed(std::string* input) {
  if (!this->head_done() && HasFoldedLine(*input)) return ReadState::kMalformed;
  const ReadState state = FeedParser(this->impl->parser, input);
  if (!this->impl->HasValidHead()) return ReadState::kMalformed;
  return BoundRest(state, *input, kAnswerHeadBytes);
}

ReadState AnswerReader::FeedEnd() {
  if (!this->impl->HasValidHead()) return ReadState::kMalformed;
  if (this->impl->parser.is_done()) return ReadState::kWhole;
  if (!this->impl->parser.got_some()) return ReadState::kMalformed;
  error_code error;
  this->impl->parser.put_eof(error);
  const bool whole = !error && this->impl->parser.is_done();
  return whole ? ReadState::kWhole : ReadState::kMalformed;
}

bool AnswerReader::head_done() const {
  return this->impl->parser.is_header_done();
}

int AnswerReader::status() const {
  return static_cast<int>(this->impl->parser.get().result_int());
}

std::optional<uint64_t> AnswerReader::stated_length() const {
  const auto length = this->impl->parser.content_length();
  if (!this->head_done() || !length) return std::nullopt;
  return *length;
}

Headers AnswerReader::TakeHeaders() {
  return HeadersOf(this->impl->parser.get());
}

std::string AnswerReader::TakeBody() {
  return std::exchange(this->impl->parser.get().body(), {});
}

}  // namespace samphirebank::http
