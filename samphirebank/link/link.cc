#include "samphirebank/link/link.h"

#include <sodium.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <map>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "samphirebank/events/events.h"
#include "samphirebank/web/web.h"

namespace samphirebank::link {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

constexpr size_t kDatagramBytes = 64 << 10;
constexpr Duration kConnectLimit = std::chrono::seconds(1);
// Larger messages of one kind on their way to one peer; more are dropped.
constexpr uint32_t kMostTransfers = 4;
constexpr int kDatagramsPerTurn = 64;

BootId RandomBoot() {
  uint64_t number = 0;
  randombytes_buf(&number, sizeof(number));
  return BootId(number);
}

}  // namespace

struct Link::Impl {
  Impl(asio::io_context& event_loop, Options given)
      : loop(event_loop),
        options(std::move(given)),
        datagrams(event_loop),
        sealer(this->options.key, this->options.self, RandomBoot()),
        opener(this->options.key),
        listener(event_loop, this->options.address,
                 [this](const std::shared_ptr<web::Connection>& connection) {
                   this->Receive(connection);
                 }) {
    error_code error;
    const udp::endpoint endpoint(
        asio::ip::make_address_v4(this->options.address.ip),
        this->options.address.port);
    this->datagrams.open(endpoint.protocol(), error);
    if (!error) this->datagrams.bind(endpoint, error);
    if (error) {
      throw std::runtime_error("cannot bind UDP " +
                               this->options.address.ToText() + ": " +
                               error.message());
    }
    this->datagrams.non_blocking(true);
    this->WaitForDatagrams();
  }

  void WaitForDatagrams() {
    this->datagrams.async_wait(udp::socket::wait_read,
                               [this](const error_code& error) {
                                 if (error) return;
                                 this->ReadDatagrams();
                                 this->WaitForDatagrams();
                               });
  }

  void ReadDatagrams() {
    static std::array<char, kDatagramBytes> buffer;
    for (int i = 0; i < kDatagramsPerTurn; ++i) {
      udp::endpoint from;
      error_code error;
      const size_t count =
          this->datagrams.receive_from(asio::buffer(buffer), from, 0, error);
      if (error) return;
      const net::SocketAddress sender{.ip = from.address().to_string(),
                                      .port = from.port()};
      this->Deliver({buffer.data(), count}, sender.ToText());
    }
  }

  void ReadWaiting() {
    this->ReadDatagrams();
    this->listener.AcceptWaiting();
    const auto open = this->incoming;  // reading may end some
    for (const std::weak_ptr<web::Connection>& weak : open) {
      if (const auto connection = weak.lock()) connection->ReadWaiting();
    }
  }

  void Receive(const std::shared_ptr<web::Connection>& connection) {
    const std::weak_ptr<web::Connection> weak = connection;
    std::erase_if(this->incoming, [](const auto& item) {
      const auto known = item.lock();
      return known == nullptr || known->closed();
    });
    this->incoming.push_back(weak);
    connection->Start(
        [weak] {
          const auto open = weak.lock();
          if (open && open->input().size() > net::kMaxPeerMessage) {
            open->Close();
          }
        },
        [this, weak](web::End end) {
          const auto open = weak.lock();
          if (open && end == web::End::kClosed) {
            this->Deliver(open->input(), "");
          }
        });
  }

  // Deliver opens what came from `from`, which is empty for a connection.
  void Deliver(std::string_view bytes, const std::string& from) {
    const auto refuse = [&from](std::string_view reason) {
      events::Log({.number = events::Number::kPacketRefused,
                   .address = from,
                   .reason = std::string(reason)});
    };
    wire::leaf::try_handle_all(
        [&]() -> wire::leaf::result<void> {
          BOOST_LEAF_AUTO(opened, this->opener.Open(bytes));
          events::Observe({.wall_ms = opened.packet.clock_ms,
                           .logical = opened.packet.clock_logical});
          this->options.on_packet(opened);
          return {};
        },
        [&](const wire::Error& error) { refuse(wire::ReasonOf(error.kind)); },
        [&] { refuse("unknown"); });
  }

  // NoteDropped logs that `size` bytes were not sent.
  static void NoteDropped(const net::SocketAddress& to, size_t size,
                          std::string_view reason) {
    events::Log({.number = events::Number::kMessageDropped,
                 .bytes = Bytes(static_cast<int64_t>(size)),
                 .address = to.ToText(),
                 .reason = std::string(reason)});
  }

  void Transfer(const net::SocketAddress& to, const wire::Packet& packet) {
    const std::pair slot(to, packet.kind);
    if (this->transfers[slot] >= kMostTransfers) {
      return NoteDropped(to, packet.payload.size(), "busy");
    }
    ++this->transfers[slot];
    std::string bytes = this->sealer.Seal(
        packet,
        {.receiver = to.ToText(), .transport = wire::Transport::kConnection});
    web::Connect(this->loop, to, kConnectLimit,
                 [this, slot, bytes = std::move(bytes)](
                     const std::shared_ptr<web::Connection>& connection,
                     web::ConnectEnd) {
                   if (--this->transfers[slot] == 0) {
                     this->transfers.erase(slot);
                   }
                   if (connection == nullptr) {
                     return NoteDropped(slot.first, bytes.size(),
                                        "unreachable");
                   }
                   connection->Send(bytes);
                   connection->CloseAfterSending();
                 });
  }

  asio::io_context& loop;
  Options options;
  udp::socket datagrams;
  wire::Sealer sealer;
  wire::Opener opener;
  web::Listener listener;
  std::vector<std::weak_ptr<web::Connection>> incoming;  // some have ended
  // Being connected, by receiver and kind: many of one kind do not hold up
  // those of another.
  std::map<std::pair<net::SocketAddress, wire::Kind>, uint32_t> transfers;
};

Link::Link(asio::io_context& loop, Options options)
    : impl(std::make_unique<Impl>(loop, std::move(options))) {}

Link::~Link() = default;

void Link::ReadWaiting() { this->impl->ReadWaiting(); }

void Link::Send(const net::SocketAddress& to, wire::Packet packet) {
  const events::Stamp stamp = events::CurrentStamp();
  packet.clock_ms = stamp.wall_ms;
  packet.clock_logical = stamp.logical;
  if (packet.payload.size() > net::kMaxDatagramPayload) {
    return this->impl->Transfer(to, packet);
  }
  const std::string bytes =
      this->impl->sealer.Seal(packet, {.receiver = to.ToText()});
  const udp::endpoint endpoint(asio::ip::make_address_v4(to.ip), to.port);
  error_code error;
  this->impl->datagrams.send_to(asio::buffer(bytes), endpoint, 0, error);
  // A datagram that does not leave is lost like any other.
}

}  // namespace samphirebank::link
