#include <array>
#include <boost/beast/http/status.hpp>
#include <charconv>

#include "samphirebank/web/web.h"

namespace samphirebank::web {
namespace {

constexpr std::string_view kLineEnd = "\r\n";

void AppendField(std::string_view name, std::string_view value,
                 std::string* head) {
  head->append(name).append(": ").append(value).append(kLineEnd);
}

std::string StatusLine(int status) {
  return "HTTP/1.1 " + std::to_string(status) + ' ' + ReasonOf(status) +
         std::string(kLineEnd);
}

// A status without a body has no length either.
bool HasBody(int status) {
  return status >= 200 && status != 204 && status != 304;
}

std::string HeadOf(int status, const Headers& headers, bool keep_alive) {
  std::string head = StatusLine(status);
  for (const net::Header& header : headers) {
    AppendField(header.name, header.value, &head);
  }
  if (!keep_alive) AppendField("connection", "close", &head);
  return head;
}

}  // namespace

std::string ReasonOf(int status) {
  const auto known =
      boost::beast::http::int_to_status(static_cast<unsigned>(status));
  return std::string(boost::beast::http::obsolete_reason(known));
}

std::string EncodeAnswer(const Answer& answer, bool keep_alive) {
  std::string bytes = HeadOf(answer.status, answer.headers, keep_alive);
  if (HasBody(answer.status)) {
    AppendField("content-length", std::to_string(answer.body.size()), &bytes);
  }
  bytes.append(kLineEnd);
  return bytes.append(answer.body);
}

std::string EncodeChunkedHead(int status, const Headers& headers,
                              bool keep_alive) {
  std::string bytes = HeadOf(status, headers, keep_alive);
  AppendField("transfer-encoding", "chunked", &bytes);
  return bytes.append(kLineEnd);
}

std::string EncodeChunk(std::string_view piece) {
  std::array<char, 16> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                 piece.size(), 16);
  std::string chunk(digits.data(), end.ptr);
  chunk.append(kLineEnd).append(piece).append(kLineEnd);
  return chunk;
}

}  // namespace samphirebank::web
