#include "samphirebank/http/http.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <limits>
#include <string>
#include <utility>

namespace samphirebank::http {
namespace {

ReadState ReadAll(const std::string& text, Request* request = nullptr,
                  ReadLimits limits = {}) {
  RequestReader reader(limits);
  std::string input = text;
  const ReadState state = reader.Feed(&input);
  if (state == ReadState::kWhole && request != nullptr) {
    *request = reader.Take();
  }
  return state;
}

TEST_CASE("a request is read however its bytes arrive, and no further") {
  const std::string text =
      "POST /a?b=c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
  for (size_t step = 1; step <= text.size(); ++step) {
    RequestReader reader({});
    std::string input;
    ReadState state = ReadState::kMore;
    for (size_t at = 0; at < text.size(); at += step) {
      input += text.substr(at, step);
      state = reader.Feed(&input);
    }
    CAPTURE(step);
    REQUIRE(state == ReadState::kWhole);
    const Request request = reader.Take();
    CHECK(request.method == "POST");
    CHECK(request.target == "/a?b=c");
    CHECK(request.body == "abcde");
    CHECK(request.headers[0].name == "host");
  }
  RequestReader reader({});
  std::string two = "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n";
  REQUIRE(reader.Feed(&two) == ReadState::kWhole);
  CHECK(two == "GET /2 HTTP/1.1\r\n\r\n");
}

TEST_CASE("requests with doubtful framing are refused") {
  for (const char* text :
       {"GET / HTTP/1.1\nHost: x\n\n", "GET / HTTP/1.1\r\nHost : x\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: "
        "chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: "
        "3\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: "
        "4\r\n\r\nabcd",
        "POST / HTTP/1.1\r\nContent-Length: +3\r\n\r\nabc",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"}) {
    CAPTURE(text);
    CHECK(ReadAll(text) == ReadState::kMalformed);
  }
}

TEST_CASE("a request beyond the limits is told from a malformed one") {
  const ReadLimits limits{.head_bytes = 200, .body_bytes = 10};
  const std::string long_head =
      "GET / HTTP/1.1\r\nX: " + std::string(300, 'x') + "\r\n\r\n";
  CHECK(ReadAll(long_head, nullptr, limits) == ReadState::kHeadTooLarge);
  CHECK(ReadAll("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n", nullptr,
                limits) == ReadState::kBodyTooLarge);
}

// Guards against a request that has no end and is kept until memory runs out.
TEST_CASE("a request without end is refused before it takes much memory") {
  constexpr size_t kMaxHeld = 256 << 10;
  const std::string chunked =
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  // Endless is a beginning, and what follows it again and again.
  struct Endless {
    std::string beginning;
    std::string piece;
  };
  const std::vector<Endless> cases = {{"", "\r\n"},
                                      {"POST ", "x"},
                                      {"POST / HTTP/1.1\r\n", "X: y\r\n"},
                                      {chunked, "0"},
                                      {chunked + "5;", "x"},
                                      {chunked + "0\r\n", "X: y\r\n"},
                                      {chunked + "0\r\nX: ", "y"}};
  for (const Endless& item : cases) {
    CAPTURE(item.beginning);
    RequestReader reader({.head_bytes = 16 << 10, .body_bytes = 1 << 20});
    std::string input = item.beginning;
    ReadState state = ReadState::kMore;
    size_t fed = input.size();
    while (state == ReadState::kMore && fed < 2 * kMaxHeld) {
      for (int i = 0; i < 1000; ++i) input += item.piece;
      fed += 1000 * item.piece.size();
      state = reader.Feed(&input);
    }
    CHECK(state != ReadState::kMore);
    CHECK(state != ReadState::kWhole);
    CHECK(input.size() <= kMaxHeld);
  }
}

// Lengths that no machine has memory for.
constexpr uint64_t kAbsurdLengths[] = {
    uint64_t{1} << 40, uint64_t{1} << 53,
    std::numeric_limits<uint64_t>::max() - 1};

// Guards against an answer that states an absurd length and thereby ends the
// process: the length was reserved.
TEST_CASE("the length that an answer states takes no memory") {
  for (const uint64_t length : kAbsurdLengths) {
    CAPTURE(length);
    AnswerReader reader;
    CHECK_FALSE(reader.stated_length());
    std::string input =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(length) +
        "\r\n\r\nab";
    CHECK(reader.Feed(&input) == ReadState::kMore);
    CHECK(reader.stated_length() == length);
    CHECK(reader.TakeBody() == "ab");
    CHECK(reader.FeedEnd() == ReadState::kMalformed);
  }
}

// Guards against the same by a caller, where operators allow long bodies.
TEST_CASE("the length that a request states takes no memory") {
  constexpr uint64_t kLongestAllowed = 1'000'000'000'000'000;
  for (const uint64_t length : {uint64_t{1} << 40, kLongestAllowed}) {
    CAPTURE(length);
    RequestReader reader({.body_bytes = kLongestAllowed});
    std::string input =
        "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(length) +
        "\r\n\r\nab";
    CHECK(reader.Feed(&input) == ReadState::kMore);
    CHECK(reader.held() >= length);
  }
}

TEST_CASE("a body without a length takes at most twice what was received") {
  constexpr size_t kPiece = 1000;
  constexpr size_t kHeadBytes = 200;
  RequestReader reader({});
  std::string input = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (size_t received = kPiece; received <= 100 * kPiece; received += kPiece) {
    input += "3e8\r\n" + std::string(kPiece, 'x') + "\r\n";
    REQUIRE(reader.Feed(&input) == ReadState::kMore);
    CHECK(reader.held() >= received);
    CHECK(reader.held() <= 2 * received + kPiece + kHeadBytes);
  }
}

TEST_CASE("a body with a length takes at most that, and arrives unchanged") {
  constexpr size_t kLength = 100'000;
  const std::string head =
      "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(kLength) +
      "\r\n\r\n";
  std::string body;
  for (size_t i = 0; i < kLength; ++i) {
    body += static_cast<char>('a' + i % 26);
  }
  RequestReader reader({});
  std::string input = head;
  CHECK(reader.Feed(&input) == ReadState::kMore);
  ReadState state = ReadState::kMore;
  for (size_t at = 0; at < kLength; at += 7'000) {
    input += body.substr(at, 7'000);
    state = reader.Feed(&input);
    CHECK(reader.held() <= kLength + head.size());
  }
  REQUIRE(state == ReadState::kWhole);
  CHECK(reader.Take().body == body);
}

// Guards against a field that the parser cannot store and throws for, where
// operators allow long heads.
TEST_CASE("a field above 64 KiB is refused") {
  for (const size_t size : {size_t{65'534}, size_t{70'000}, size_t{200'000}}) {
    CAPTURE(size);
    const std::string value =
        "GET / HTTP/1.1\r\nX: " + std::string(size, 'x') + "\r\n\r\n";
    const std::string name =
        "GET / HTTP/1.1\r\n" + std::string(size, 'x') + ": y\r\n\r\n";
    const ReadLimits limits{.head_bytes = 1 << 20};
    CHECK(ReadAll(value, nullptr, limits) == ReadState::kHeadTooLarge);
    CHECK(ReadAll(name, nullptr, limits) == ReadState::kHeadTooLarge);
  }
}

TEST_CASE("a sender that waits for a 100 is noticed") {
  RequestReader reader({});
  std::string input =
      "POST / HTTP/1.1\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n";
  CHECK(reader.Feed(&input) == ReadState::kMore);
  CHECK(reader.wants_continue());
}

TEST_CASE("an answer is whole by its length, its chunks or its clean end") {
  std::string input =
      "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcHTTP/1.1 200 OK";
  AnswerReader sized;
  CHECK(sized.Feed(&input) == ReadState::kWhole);
  CHECK(sized.TakeBody() == "abc");
  CHECK(input == "HTTP/1.1 200 OK");

  input = "HTTP/1.1 200 OK\r\n\r\nab";
  AnswerReader unframed;
  CHECK(unframed.Feed(&input) == ReadState::kMore);
  CHECK(unframed.TakeBody() == "ab");
  CHECK(unframed.FeedEnd() == ReadState::kWhole);

  input = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n";
  AnswerReader cut;
  CHECK(cut.Feed(&input) == ReadState::kMore);
  CHECK(cut.head_done());
  CHECK(cut.TakeBody() == "ab");
  CHECK(cut.FeedEnd() == ReadState::kMalformed);

  AnswerReader silent;
  CHECK(silent.FeedEnd() == ReadState::kMalformed);
}

// Guards against an answer whose head breaks off and that is taken for a whole
// one with an empty or short body.
TEST_CASE("an answer whose head breaks off anywhere is not whole") {
  for (const std::string framing :
       {"Content-Length: 10\r\n", "Transfer-Encoding: chunked\r\n", ""}) {
    const std::string head = "HTTP/1.1 200 OK\r\nX-A: b\r\n" + framing + "\r\n";
    for (size_t size = 0; size < head.size(); ++size) {
      CAPTURE(size);
      AnswerReader reader;
      std::string input = head.substr(0, size);
      CHECK(reader.Feed(&input) == ReadState::kMore);
      CHECK_FALSE(reader.head_done());
      CHECK(reader.FeedEnd() == ReadState::kMalformed);
    }
  }
}

TEST_CASE("a status that HTTP does not have is malformed") {
  for (const std::string status : {"000", "099", "600", "999"}) {
    CAPTURE(status);
    AnswerReader reader;
    std::string input =
        "HTTP/1.1 " + status + " X\r\nContent-Length: 1\r\n\r\na";
    CHECK(reader.Feed(&input) == ReadState::kMalformed);
    CHECK(reader.FeedEnd() == ReadState::kMalformed);
  }
  for (const std::string status : {"100", "599"}) {
    CAPTURE(status);
    AnswerReader reader;
    std::string input =
        "HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\n";
    CHECK(reader.Feed(&input) == ReadState::kWhole);
  }
}

// Guards against a head that is read around a broken line, or with one joined
// to the line before.
TEST_CASE("a blank or control byte in a field's name is malformed") {
  for (const std::string line :
       {"X Bad: 1", "X-Bad : 1", " X-Bad: 1", "\tX-Bad: 1", "X\tBad: 1",
        "X\x01Z: 1", "X\x7fZ: 1", "X\rZ: 1", "X\nZ: 1", "Content-Length : 1"}) {
    for (const std::string before : {"", "X-A: b\r\n"}) {
      CAPTURE(line);
      CAPTURE(before);
      std::string head = "HTTP/1.1 200 OK\r\n";
      head.append(before).append(line);
      head.append("\r\nContent-Length: 1\r\n\r\na");
      AnswerReader at_once;
      std::string input = head;
      CHECK(at_once.Feed(&input) == ReadState::kMalformed);
      AnswerReader bytewise;
      ReadState state = ReadState::kMore;
      input.clear();
      for (size_t i = 0; i < head.size() && state == ReadState::kMore; ++i) {
        input += head[i];
        state = bytewise.Feed(&input);
      }
      CHECK(state == ReadState::kMalformed);
    }
  }
}

TEST_CASE("a transfer coding but chunks is malformed") {
  for (const std::string coding :
       {"gzip", "chunked, gzip", "gzip, chunked", "identity"}) {
    for (const std::string more : {"", "Content-Length: 2\r\n"}) {
      CAPTURE(coding);
      CAPTURE(more);
      std::string input = "HTTP/1.1 200 OK\r\nTransfer-Encoding: ";
      input.append(coding).append("\r\n").append(more).append("\r\nhi");
      AnswerReader reader;
      CHECK(reader.Feed(&input) == ReadState::kMalformed);
    }
  }
  std::string input =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n0\r\n\r\n";
  AnswerReader reader;
  CHECK(reader.Feed(&input) == ReadState::kWhole);
}

TEST_CASE("a body's lines may begin with a blank") {
  const std::string body = "x\r\n a\r\n\tb";
  const std::string all =
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
      "\r\n\r\n" + body;
  for (size_t size = 0; size < all.size(); ++size) {
    CAPTURE(size);
    AnswerReader reader;
    std::string input = all.substr(0, size);
    CHECK(reader.Feed(&input) == ReadState::kMore);
    input += all.substr(size);
    CHECK(reader.Feed(&input) == ReadState::kWhole);
    CHECK(reader.TakeBody() == body);
  }
}

TEST_CASE("pieces of a body come out as they come in") {
  AnswerReader reader;
  std::string input = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nab";
  CHECK(reader.Feed(&input) == ReadState::kMore);
  CHECK(reader.TakeBody() == "ab");
  input = "cd";
  CHECK(reader.Feed(&input) == ReadState::kMore);
  CHECK(reader.TakeBody() == "cd");
  input = "ef";
  CHECK(reader.Feed(&input) == ReadState::kWhole);
  CHECK(reader.TakeBody() == "ef");
}

}  // namespace
}  // namespace samphirebank::http
