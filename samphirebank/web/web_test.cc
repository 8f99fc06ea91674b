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
