#include "samphirebank/link/link.h"

#include <doctest/doctest.h>
#include <sodium.h>
#include <unistd.h>

#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "samphirebank/base/base.h"
#include "samphirebank/events/events.h"
#include "samphirebank/process/process.h"
#include "samphirebank/testing/processes.h"
#include "samphirebank/web/web.h"

namespace samphirebank::link {
namespace {

// Text is a message of any size.
struct Text {
  static constexpr wire::Kind kKind = wire::Kind::kConsensus;
  std::string text{};

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(text);
  }
};

const wire::FleetKey kKey{.bytes = std::string(32, 'k')};

TEST_CASE("messages of any size arrive, forged ones do not") {
  REQUIRE(sodium_init() >= 0);
  boost::asio::io_context loop;
  const net::SocketAddress to{"127.0.0.1", testing::FreePort()};
  std::vector<size_t> sizes;
  Link receiver(loop, {.address = to,
                       .key = kKey,
                       .self = InstanceId("b"),
                       .on_packet = [&](const wire::Opened& opened) {
                         CHECK(opened.from == InstanceId("a"));
                         sizes.push_back(opened.packet.payload.size());
                         if (sizes.size() == 2) loop.stop();
                       }});
  Link forger(loop, {.address = {"127.0.0.1", testing::FreePort()},
                     .key = {.bytes = std::string(32, 'x')},
                     .self = InstanceId("a"),
                     .on_packet = [](const wire::Opened&) {}});
  Link sender(loop, {.address = {"127.0.0.1", testing::FreePort()},
                     .key = kKey,
                     .self = InstanceId("a"),
                     .on_packet = [](const wire::Opened&) {}});
  forger.Send(to, wire::Encode(Text{.text = "forged"}));
  sender.Send(to, wire::Encode(Text{.text = "short"}));
  sender.Send(to, wire::Encode(Text{.text = std::string(300'000, 'l')}));
  loop.run_for(std::chrono::seconds(10));
  REQUIRE(sizes.size() == 2);
  CHECK(sizes[0] < 100);
  CHECK(sizes[1] > 300'000);
}

// SendBytewise connects to `to` and sends `bytes` in pieces of one, then closes
// or resets the connection.
void SendBytewise(const net::SocketAddress& to, const std::string& bytes,
                  bool resets) {
  using boost::asio::ip::tcp;
  boost::asio::io_context own;
  tcp::socket socket(own);
  socket.connect({boost::asio::ip::make_address_v4(to.ip), to.port});
  socket.set_option(tcp::no_delay(true));
  for (const char byte : bytes) {
    socket.send(boost::asio::buffer(&byte, sizeof(byte)));
  }
  if (resets) socket.set_option(boost::asio::socket_base::linger(true, 0));
}

// Guards against a message of a peer that broke off, or that was followed by
// other bytes, and that is taken for a whole one.
TEST_CASE("a message that breaks off or goes on is none") {
  REQUIRE(sodium_init() >= 0);
  boost::asio::io_context loop;
  const net::SocketAddress to{"127.0.0.1", testing::FreePort()};
  size_t num_received = 0;
  const Link receiver(
      loop, {.address = to,
             .key = kKey,
             .self = InstanceId("b"),
             .on_packet = [&](const wire::Opened&) { ++num_received; }});
  wire::Sealer sealer(kKey, InstanceId("a"), BootId(1));
  const std::string sound = sealer.Seal(
      wire::Encode(Text{.text = std::string(2'000, 't')}),
      {.receiver = to.ToText(), .transport = wire::Transport::kConnection});
  const auto run = [&] { loop.run_for(std::chrono::milliseconds(50)); };
  for (const size_t size :
       {size_t{0}, size_t{1}, size_t{20}, sound.size() / 2, sound.size() - 1}) {
    CAPTURE(size);
    SendBytewise(to, sound.substr(0, size), false);
    SendBytewise(to, sound.substr(0, size), true);
    run();
    CHECK(num_received == 0);
  }
  SendBytewise(to, sound + "x", false);
  run();
  CHECK(num_received == 0);
  SendBytewise(to, sound, false);
  for (int i = 0; i < 100 && num_received == 0; ++i) run();
  CHECK(num_received == 1);
}

// Mailbox collects what is sent to an address, a message each, unopened.
class Mailbox {
 public:
  Mailbox(boost::asio::io_context& loop, const net::SocketAddress& address)
      : listener(loop, address, [this](const auto& connection) {
          const std::weak_ptr<web::Connection> weak = connection;
          connection->Start([] {},
                            [this, weak](web::End) {
                              const auto open = weak.lock();
                              if (open) this->messages.push_back(open->input());
                            });
        }) {}

  std::vector<std::string> messages;

 private:
  web::Listener listener;
};

// Guards against route tables that are refused as replayed, since a coordinator
// sent many messages to other gateways while one was on its way.
TEST_CASE(
    "a message overtaken by another is taken, whatever others were sent") {
  REQUIRE(sodium_init() >= 0);
  boost::asio::io_context loop;
  const net::SocketAddress to{"127.0.0.1", testing::FreePort()};
  const net::SocketAddress other{"127.0.0.1", testing::FreePort()};
  Mailbox mailbox(loop, to);
  Link sender(loop, {.address = {"127.0.0.1", testing::FreePort()},
                     .key = kKey,
                     .self = InstanceId("a"),
                     .on_packet = [](const wire::Opened&) {}});
  const auto send_to = [&](const net::SocketAddress& receiver) {
    sender.Send(receiver, wire::Encode(Text{.text = std::string(9000, 'l')}));
  };
  const auto run_until = [&](size_t count) {
    for (int i = 0; i < 500 && mailbox.messages.size() < count; ++i) {
      loop.run_for(std::chrono::milliseconds(10));
    }
    REQUIRE(mailbox.messages.size() == count);
  };
  send_to(to);
  run_until(1);
  for (uint64_t i = 0; i < 2 * wire::kReplayWindow; ++i) send_to(other);
  send_to(to);
  run_until(2);
  wire::Opener opener(kKey);
  CHECK(opener.Open(mailbox.messages[1]));
  CHECK(opener.Open(mailbox.messages[0]));
}

// Guards against route tables that are dropped since as many load sums are on
// their way to the same gateway.
TEST_CASE("messages of one kind do not take the place of another kind") {
  REQUIRE(sodium_init() >= 0);
  boost::asio::io_context loop;
  const net::SocketAddress to{"127.0.0.1", testing::FreePort()};
  Mailbox mailbox(loop, to);
  Link sender(loop, {.address = {"127.0.0.1", testing::FreePort()},
                     .key = kKey,
                     .self = InstanceId("a"),
                     .on_packet = [](const wire::Opened&) {}});
  wire::Packet load = wire::Encode(Text{.text = std::string(9000, 'l')});
  load.kind = wire::Kind::kLoadSum;
  for (int i = 0; i < 20; ++i) sender.Send(to, load);
  wire::Packet table = wire::Encode(Text{.text = std::string(9000, 't')});
  table.kind = wire::Kind::kTableUpdate;
  sender.Send(to, table);
  wire::Opener opener(kKey);
  size_t num_tables = 0;
  for (int i = 0; i < 500 && num_tables == 0; ++i) {
    loop.run_for(std::chrono::milliseconds(10));
    for (const std::string& message : std::exchange(mailbox.messages, {})) {
      const auto opened = opener.Open(message);
      REQUIRE(opened);
      if (opened->packet.kind == wire::Kind::kTableUpdate) ++num_tables;
    }
  }
  CHECK(num_tables == 1);
}

// BusyHandlers keeps a loop busy: `count` handlers, each of which takes a
// millisecond and is ready again at once.
class BusyHandlers {
 public:
  BusyHandlers(boost::asio::io_context& busy_loop, size_t count)
      : loop(busy_loop) {
    for (size_t i = 0; i < count; ++i) this->Post();
  }

  std::atomic<size_t> num_run = 0;

 private:
  void Post() {
    boost::asio::post(this->loop, [this] {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
      ++this->num_run;
      this->Post();
    });
  }

  boost::asio::io_context& loop;
};

// Guards against route tables that an overloaded instance reads late.
TEST_CASE("a busy loop reads a message before a turn of its other events") {
  REQUIRE(sodium_init() >= 0);
  constexpr size_t kEventsPerTurn = 300;
  boost::asio::io_context loop;
  const net::SocketAddress to{"127.0.0.1", testing::FreePort()};
  BusyHandlers callers(loop, kEventsPerTurn);
  size_t read_at = 0;
  Link receiver(loop, {.address = to,
                       .key = kKey,
                       .self = InstanceId("b"),
                       .on_packet = [&](const wire::Opened&) {
                         read_at = callers.num_run;
                         loop.stop();
                       }});
  wire::Sealer sealer(kKey, InstanceId("a"), BootId(1));
  const std::string table = sealer.Seal(
      wire::Encode(Text{.text = std::string(100'000, 't')}),
      {.receiver = to.ToText(), .transport = wire::Transport::kConnection});
  std::atomic<size_t> sent_at = 0;
  std::thread sender([&] {
    while (callers.num_run < kEventsPerTurn) std::this_thread::yield();
    boost::asio::io_context own;
    boost::asio::ip::tcp::socket socket(own);
    socket.connect({boost::asio::ip::make_address_v4(to.ip), to.port});
    boost::asio::write(socket, boost::asio::buffer(table));
    socket.close();
    sent_at = callers.num_run.load();
  });
  process::BusyClock busy;
  process::RunToEnd(loop, busy, [&] { receiver.ReadWaiting(); });
  sender.join();
  REQUIRE(sent_at > 0);
  CHECK(read_at < sent_at + kEventsPerTurn);
}

TEST_CASE("a refused packet is logged with its reason and sender") {
  REQUIRE(sodium_init() >= 0);
  const std::string path = "link_test." + std::to_string(getpid()) + ".log";
  events::Open({.instance = InstanceId("b"), .role = "gateway", .file = path});
  boost::asio::io_context loop;
  const net::SocketAddress to{"127.0.0.1", testing::FreePort()};
  const Link receiver(loop, {.address = to,
                             .key = kKey,
                             .self = InstanceId("b"),
                             .on_packet = [](const wire::Opened&) {}});
  const net::SocketAddress from{"127.0.0.1", testing::FreePort()};
  Link forger(loop, {.address = from,
                     .key = {.bytes = std::string(32, 'x')},
                     .self = InstanceId("a"),
                     .on_packet = [](const wire::Opened&) {}});
  forger.Send(to, wire::Encode(Text{.text = "forged"}));
  std::string log;
  for (int i = 0; i < 500 && log.empty(); ++i) {
    loop.run_for(std::chrono::milliseconds(10));
    std::ifstream file(path);
    log.assign(std::istreambuf_iterator<char>(file), {});
  }
  events::Close();
  std::remove(path.c_str());
  CHECK(log.find(R"("reason":"forged")") != std::string::npos);
  const std::string sender = "\"address\":\"" + from.ToText() + "\"";
  CHECK(log.find(sender) != std::string::npos);
}

}  // namespace
}  // namespace samphirebank::link
