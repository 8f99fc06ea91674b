#include "samphirebank/web/web.h"

#include <doctest/doctest.h>
#include <sys/resource.h>
#include <unistd.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace samphirebank::web {
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

// Guards against a caller that goes on sending while its request is handled.
TEST_CASE("a server reads little ahead of a request that is being handled") {
  constexpr size_t kFlood = 64 << 20;
  constexpr size_t kMaxTaken = 32 << 20;  // most of it by the kernel
  asio::io_context loop{1};
  const net::SocketAddress address{.ip = "127.0.0.1", .port = 11191};
  bool is_handled = false;
  const Server server(
      loop, ServerOptions{.address = address,
                          .on_request = [&](const Request&, const Reply&) {
                            is_handled = true;
                          }});
  std::shared_ptr<Connection> caller;
  Connect(loop, address, std::chrono::seconds(5),
          [&](std::shared_ptr<Connection> connected, ConnectEnd) {
            caller = std::move(connected);
            caller->Start([] {}, [](End) {});
            caller->Send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
          });
  const auto run = [&] { loop.run_for(std::chrono::milliseconds(300)); };
  run();
  REQUIRE(is_handled);
  caller->Send(std::string(kFlood, 'x'));
  run();
  run();
  CHECK(kFlood - caller->queued() < kMaxTaken);
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
      const std::string head = "HTTP/1.1 200 OK\r\n" + before + line +
                               "\r\nContent-Length: 1\r\n\r\na";
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

TEST_CASE("what is encoded can be read") {
  std::string input = EncodeAnswer(
      {.status = 503, .headers = {{"retry-after", "0.5"}}, .body = "no\n"},
      true);
  AnswerReader reader;
  REQUIRE(reader.Feed(&input) == ReadState::kWhole);
  CHECK(reader.status() == 503);
  CHECK(reader.TakeBody() == "no\n");

  input = EncodeChunkedHead(200, {}, false) + EncodeChunk("hello") +
          EncodeChunk(std::string(300, 'x')) + std::string(kLastChunk);
  AnswerReader chunked;
  REQUIRE(chunked.Feed(&input) == ReadState::kWhole);
  CHECK(chunked.TakeBody() == "hello" + std::string(300, 'x'));
}

// Ending is what the other side does with a connection that it does not read.
enum class Ending { kReset, kCloseThenReset };

// EndOfWriting returns how a connection ends that has much to send when the
// other side sends `part` and ends it. `input` gets what was read.
End EndOfWriting(const std::string& part, Ending ending, std::string* input) {
  constexpr size_t kMuch = 16 << 20;
  asio::io_context loop{1};
  tcp::acceptor acceptor(loop, {asio::ip::make_address_v4("127.0.0.1"), 0});
  tcp::socket here(loop);
  here.connect(acceptor.local_endpoint());
  tcp::socket there = acceptor.accept();
  const auto writing = std::make_shared<Connection>(std::move(here));
  std::optional<End> end;
  writing->Start([&] { *input = writing->input(); },
                 [&](End how) { end = how; });
  writing->Send(std::string(kMuch, 'x'));
  REQUIRE(writing->queued() > 0);
  there.send(asio::buffer(part));
  if (ending == Ending::kCloseThenReset) {
    there.shutdown(tcp::socket::shutdown_send);
  }
  there.set_option(asio::socket_base::linger(true, 0));
  there.close();
  loop.run_for(std::chrono::seconds(5));
  REQUIRE(end);
  return *end;
}

// Guards against a reset that a write takes from the socket, so that the read
// after it finds an orderly end.
TEST_CASE("a connection that is reset while it writes is broken") {
  std::string input;
  CHECK(EndOfWriting("part", Ending::kReset, &input) == End::kBroken);
  CHECK(input == "part");
}

TEST_CASE("a connection that was closed before it was reset is closed") {
  std::string input;
  CHECK(EndOfWriting("all", Ending::kCloseThenReset, &input) == End::kClosed);
  CHECK(input == "all");
}

// DescriptorLimit lowers the number of descriptors that this process may open,
// until it goes out of scope.
class DescriptorLimit {
 public:
  explicit DescriptorLimit(rlim_t most) {
    getrlimit(RLIMIT_NOFILE, &this->before);
    const rlimit lowered{.rlim_cur = most, .rlim_max = this->before.rlim_max};
    setrlimit(RLIMIT_NOFILE, &lowered);
  }
  ~DescriptorLimit() { setrlimit(RLIMIT_NOFILE, &this->before); }
  DescriptorLimit(const DescriptorLimit&) = delete;
  DescriptorLimit& operator=(const DescriptorLimit&) = delete;

 private:
  rlimit before{};
};

TEST_CASE(
    "connections that wait for a descriptor are seen, and accepted later") {
  asio::io_context loop{1};
  const net::SocketAddress address{.ip = "127.0.0.1", .port = 11190};
  std::vector<std::shared_ptr<Connection>> accepted;
  Listener listener(loop, address, [&](std::shared_ptr<Connection> connection) {
    accepted.push_back(std::move(connection));
  });
  const auto run = [&] { loop.run_for(std::chrono::milliseconds(200)); };
  const tcp::endpoint endpoint(asio::ip::make_address_v4(address.ip),
                               address.port);
  tcp::socket first(loop);
  tcp::socket second(loop);
  first.open(tcp::v4());
  second.open(tcp::v4());
  // The lowest free descriptor is the first one above the limit.
  const int lowest_free = dup(first.native_handle());
  close(lowest_free);
  std::optional<TimePoint> stalled_at;
  {
    const DescriptorLimit limit(static_cast<rlim_t>(lowest_free));
    first.connect(endpoint);
    second.connect(endpoint);
    run();
    CHECK(accepted.empty());
    stalled_at = listener.stalled_since();
    CHECK(stalled_at);
  }
  {
    // One descriptor more: the other connection waits since the beginning.
    const DescriptorLimit limit(static_cast<rlim_t>(lowest_free) + 1);
    run();
    CHECK(accepted.size() == 1);
    CHECK(listener.stalled_since() == stalled_at);
  }
  run();
  CHECK(accepted.size() == 2);
  CHECK_FALSE(listener.stalled_since());
}

}  // namespace
}  // namespace samphirebank::web
