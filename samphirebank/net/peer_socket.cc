#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <deque>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

#include "samphirebank/net/internal/loop_impl.h"
#include "samphirebank/net/internal/socket_address.h"
#include "samphirebank/net/net.h"

namespace samphirebank::net {
namespace {

constexpr size_t kLengthBytes = 4;
constexpr size_t kReadBytes = 65'536;
constexpr size_t kMaxQueuedBytes = 8 << 20;
constexpr int kDatagramsPerTurn = 256;
constexpr int kListenBacklog = 128;
constexpr int kDatagramBufferBytes = 1 << 20;

using internal::FromKernel;
using internal::ToKernel;

int BindSocket(int type, const SocketAddress& address) {
  const int descriptor =
      socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  if (type == SOCK_STREAM) {
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  } else {
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &kDatagramBufferBytes,
               sizeof(kDatagramBufferBytes));
  }
  const sockaddr_in kernel = ToKernel(address);
  if (bind(descriptor, reinterpret_cast<const sockaddr*>(&kernel),
           sizeof(kernel)) == 0) {
    return descriptor;
  }
  close(descriptor);
  return -1;
}

uint16_t PortOf(int descriptor) {
  sockaddr_in kernel{};
  socklen_t length = sizeof(kernel);
  getsockname(descriptor, reinterpret_cast<sockaddr*>(&kernel), &length);
  return ntohs(kernel.sin_port);
}

std::string LengthPrefix(size_t size) {
  const uint32_t network = htonl(static_cast<uint32_t>(size));
  std::string prefix(kLengthBytes, '\0');
  std::memcpy(prefix.data(), &network, kLengthBytes);
  return prefix;
}

using OnMessage = std::function<void(const SocketAddress&, std::string_view)>;

// DatagramSocket receives and sends UDP.
class DatagramSocket : public RawHandler {
 public:
  DatagramSocket(int socket_descriptor, OnMessage handler)
      : descriptor(socket_descriptor), on_message(std::move(handler)) {}

  bool OnReadable() override {
    std::array<char, kReadBytes> buffer;  // NOLINT: recvfrom fills it
    for (int i = 0; i < kDatagramsPerTurn; ++i) {
      sockaddr_in from{};
      socklen_t from_length = sizeof(from);
      const ssize_t size =
          recvfrom(this->descriptor, buffer.data(), buffer.size(), 0,
                   reinterpret_cast<sockaddr*>(&from), &from_length);
      if (size < 0) return true;
      this->on_message(FromKernel(from),
                       {buffer.data(), static_cast<size_t>(size)});
    }
    return true;
  }
  bool OnWritable() override { return true; }
  void OnClosed() override {}

  void Send(const SocketAddress& to, std::string_view message) const {
    const sockaddr_in kernel = ToKernel(to);
    sendto(this->descriptor, message.data(), message.size(), MSG_DONTWAIT,
           reinterpret_cast<const sockaddr*>(&kernel), sizeof(kernel));
  }

 private:
  int descriptor;
  OnMessage on_message;
};

// PeerConnection carries length-prefixed messages over one TCP connection.
class PeerConnection : public RawHandler {
 public:
  PeerConnection(int socket_descriptor, SocketAddress peer_address,
                 OnMessage handler, std::function<void()> closed_handler)
      : descriptor(socket_descriptor),
        peer(std::move(peer_address)),
        on_message(std::move(handler)),
        on_closed(std::move(closed_handler)) {
    SetSilenceLimits(this->descriptor, kSilenceLimit);
  }

  void Attach(lws* connection) { this->wsi = connection; }

  void Send(std::string_view message) {
    if (this->queued_bytes + message.size() > kMaxQueuedBytes) return;
    this->output += LengthPrefix(message.size());
    this->output += message;
    this->queued_bytes = this->output.size();
    lws_callback_on_writable(this->wsi);
  }

  bool OnReadable() override {
    std::array<char, kReadBytes> buffer;  // NOLINT: recv fills it
    const ssize_t size =
        recv(this->descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (size < 0) return errno == EAGAIN || errno == EINTR;
    if (size == 0) return false;
    this->input.append(buffer.data(), static_cast<size_t>(size));
    return this->TakeMessages();
  }

  bool OnWritable() override {
    if (this->output.empty()) return true;
    const ssize_t size = send(this->descriptor, this->output.data(),
                              this->output.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (size < 0 && errno != EAGAIN && errno != EINTR) return false;
    if (size > 0) this->output.erase(0, static_cast<size_t>(size));
    this->queued_bytes = this->output.size();
    if (!this->output.empty()) lws_callback_on_writable(this->wsi);
    return true;
  }

  void OnClosed() override {
    const std::function<void()> handler = std::move(this->on_closed);
    if (handler) handler();
  }

  // Close ends the connection from this side, with no further handler.
  void Close() {
    this->on_closed = nullptr;
    lws_set_opaque_user_data(this->wsi, nullptr);
    lws_set_timeout(this->wsi, PENDING_TIMEOUT_USER_REASON_BASE,
                    LWS_TO_KILL_ASYNC);
  }

 private:
  bool TakeMessages() {
    size_t at = 0;
    while (this->input.size() - at >= kLengthBytes) {
      uint32_t network = 0;
      std::memcpy(&network, this->input.data() + at, kLengthBytes);
      const size_t size = ntohl(network);
      if (size > kMaxPeerMessage) return false;
      if (this->input.size() - at - kLengthBytes < size) break;
      this->on_message(
          this->peer,
          std::string_view(this->input).substr(at + kLengthBytes, size));
      at += kLengthBytes + size;
    }
    this->input.erase(0, at);
    return true;
  }

  int descriptor;
  SocketAddress peer;
  OnMessage on_message;
  std::function<void()> on_closed;
  lws* wsi = nullptr;
  std::string input;
  std::string output;
  size_t queued_bytes = 0;
};

// Listener accepts peer connections.
class Listener : public RawHandler {
 public:
  Listener(int socket_descriptor,
           std::function<void(int, const SocketAddress&)> accept_handler)
      : descriptor(socket_descriptor), on_accept(std::move(accept_handler)) {}

  bool OnReadable() override {
    sockaddr_in from{};
    socklen_t length = sizeof(from);
    const int accepted =
        accept4(this->descriptor, reinterpret_cast<sockaddr*>(&from), &length,
                SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted >= 0) this->on_accept(accepted, FromKernel(from));
    return true;
  }
  bool OnWritable() override { return true; }
  void OnClosed() override {}

 private:
  int descriptor;
  std::function<void(int, const SocketAddress&)> on_accept;
};

// PeerSocketImpl joins the UDP socket, the TCP listener and the connections.
class PeerSocketImpl : public PeerSocket {
 public:
  PeerSocketImpl(LoopState& owner, PeerOptions peer_options)
      : impl(owner), options(std::move(peer_options)) {
    this->Bind();
  }

  ~PeerSocketImpl() override {
    for (auto& [peer, connection] : this->outgoing) connection->Close();
    for (auto& [key, connection] : this->incoming) connection->Close();
    lws_set_opaque_user_data(this->datagram_wsi, nullptr);
    lws_set_opaque_user_data(this->listener_wsi, nullptr);
  }

  uint16_t port() const override { return this->bound_port; }

  void Send(const SocketAddress& to, std::string_view message) override {
    if (message.size() <= kMaxDatagram) {
      this->datagrams->Send(to, message);
      return;
    }
    if (message.size() > kMaxPeerMessage) return;
    PeerConnection* const connection = this->ConnectionTo(to);
    if (connection != nullptr) connection->Send(message);
  }

 private:
  // Both sockets get the same port; where the kernel chooses it, a port taken
  // for UDP may be busy for TCP, and another is tried.
  void Bind() {
    constexpr int kAttempts = 20;
    for (int attempt = 0; attempt < kAttempts; ++attempt) {
      if (this->TryBind()) return;
      if (this->options.port != 0) break;
    }
    throw std::runtime_error("cannot bind the peer port on " +
                             this->options.address + ":" +
                             std::to_string(this->options.port));
  }

  bool TryBind() {
    SocketAddress address{.ip = this->options.address,
                          .port = this->options.port};
    const int datagram = BindSocket(SOCK_DGRAM, address);
    if (datagram < 0) return false;
    address.port = PortOf(datagram);
    const int listening = BindSocket(SOCK_STREAM, address);
    if (listening < 0 || listen(listening, kListenBacklog) != 0) {
      close(datagram);
      if (listening >= 0) close(listening);
      return false;
    }
    this->bound_port = address.port;
    this->datagrams =
        std::make_unique<DatagramSocket>(datagram, this->options.on_message);
    this->datagram_wsi =
        AdoptDescriptor(this->impl, datagram, this->datagrams.get());
    this->listener = std::make_unique<Listener>(
        listening, [this](int descriptor, const SocketAddress& from) {
          this->Accept(descriptor, from);
        });
    this->listener_wsi =
        AdoptDescriptor(this->impl, listening, this->listener.get());
    return true;
  }

  void Accept(int descriptor, const SocketAddress& from) {
    const uint64_t key = this->next_incoming++;
    auto connection = std::make_unique<PeerConnection>(
        descriptor, from, this->options.on_message,
        [this, key] { this->incoming.erase(key); });
    lws* const wsi = AdoptDescriptor(this->impl, descriptor, connection.get());
    if (wsi == nullptr) return;
    connection->Attach(wsi);
    this->incoming.emplace(key, std::move(connection));
  }

  PeerConnection* ConnectionTo(const SocketAddress& to) {
    const auto found = this->outgoing.find(to);
    if (found != this->outgoing.end()) return found->second.get();
    const int descriptor =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const sockaddr_in kernel = ToKernel(to);
    const int failed = connect(
        descriptor, reinterpret_cast<const sockaddr*>(&kernel), sizeof(kernel));
    if (failed != 0 && errno != EINPROGRESS) {
      close(descriptor);
      return nullptr;
    }
    auto connection = std::make_unique<PeerConnection>(
        descriptor, to, this->options.on_message,
        [this, to] { this->outgoing.erase(to); });
    lws* const wsi = AdoptDescriptor(this->impl, descriptor, connection.get());
    if (wsi == nullptr) return nullptr;
    connection->Attach(wsi);
    return this->outgoing.emplace(to, std::move(connection))
        .first->second.get();
  }

  LoopState& impl;
  PeerOptions options;
  uint16_t bound_port = 0;
  uint64_t next_incoming = 0;
  std::unique_ptr<DatagramSocket> datagrams;
  std::unique_ptr<Listener> listener;
  lws* datagram_wsi = nullptr;
  lws* listener_wsi = nullptr;
  std::map<SocketAddress, std::unique_ptr<PeerConnection>> outgoing;
  std::map<uint64_t, std::unique_ptr<PeerConnection>> incoming;
};

}  // namespace

std::unique_ptr<PeerSocket> Loop::OpenPeerSocket(PeerOptions options) {
  return std::make_unique<PeerSocketImpl>(*this->impl, std::move(options));
}

}  // namespace samphirebank::net
