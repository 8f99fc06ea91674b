#include <netinet/tcp.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/socket_base.hpp>
#include <boost/system/errc.hpp>
#include <stdexcept>
#include <utility>

#include "samphirebank/web/web.h"

namespace samphirebank::web {
namespace {

using boost::system::error_code;
using std::chrono::milliseconds;

// Bytes that stay unacknowledged this long break the connection.
constexpr Duration kUnacknowledgedLimit = milliseconds(2000);
constexpr Duration kLinger = milliseconds(1000);
// After an accept that failed for want of descriptors.
constexpr Duration kAcceptRetry = milliseconds(20);
// Accepted in one turn, so that others get theirs.
constexpr int kMostAccepts = 64;
constexpr size_t kReadBytes = 64 << 10;

// Reads are short, so that all connections can share one buffer.
std::array<char, kReadBytes>& SharedBuffer() {
  static std::array<char, kReadBytes> buffer;
  return buffer;
}

using UserTimeout =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

void SetOptions(tcp::socket& socket) {
  error_code ignored;  // NOLINT: an option that is refused changes no promise
  socket.non_blocking(true, ignored);
  socket.set_option(tcp::no_delay(true), ignored);
  const auto limit =
      std::chrono::duration_cast<milliseconds>(kUnacknowledgedLimit);
  socket.set_option(UserTimeout(static_cast<int>(limit.count())), ignored);
}

bool IsExhaustion(const error_code& error) {
  return error == boost::system::errc::too_many_files_open ||
         error == boost::system::errc::too_many_files_open_in_system ||
         error == boost::system::errc::no_buffer_space ||
         error == boost::system::errc::address_not_available;
}

tcp::endpoint EndpointOf(const net::SocketAddress& address) {
  return {asio::ip::make_address_v4(address.ip), address.port};
}

}  // namespace

Connection::Connection(tcp::socket connected)
    : socket(std::move(connected)), linger_timer(this->socket.get_executor()) {
  SetOptions(this->socket);
}

void Connection::Start(std::function<void()> on_data,
                       std::function<void(End)> on_end) {
  this->data_handler = std::move(on_data);
  this->end_handler = std::move(on_end);
  this->WaitToRead();
}

void Connection::WaitToRead() {
  if (this->reading || this->paused || this->closed()) return;
  this->reading = true;
  this->socket.async_wait(
      tcp::socket::wait_read,
      [self = this->shared_from_this()](const error_code& error) {
        self->reading = false;
        if (!error) self->OnReadable();
      });
}

void Connection::OnReadable() {
  if (this->closed() || this->paused) return;
  error_code error;
  const size_t count =
      this->socket.read_some(asio::buffer(SharedBuffer()), error);
  if (error == asio::error::would_block) return this->WaitToRead();
  if (error) {
    const bool is_orderly = error == asio::error::eof && !this->write_broken;
    return this->Fail(is_orderly ? End::kClosed : End::kBroken);
  }
  if (!this->lingering) {
    this->received.append(SharedBuffer().data(), count);
    const auto handler = this->data_handler;
    if (handler) handler();
  }
  this->WaitToRead();
}

void Connection::ReadWaiting() {
  size_t before = 0;
  do {
    before = this->received.size();
    this->OnReadable();
  } while (!this->closed() && this->received.size() > before);
}

void Connection::Fail(End end) {
  const auto handler = std::exchange(this->end_handler, {});
  const bool tell = !this->lingering;
  this->Close();
  if (tell && handler) handler(end);
}

void Connection::Send(std::string_view bytes) {
  if (this->closed() || this->closing) return;
  if (const auto before = std::exchange(this->shared, nullptr)) {
    this->outgoing.append(*before, this->shared_sent);
  }
  this->outgoing.append(bytes);
  if (!this->writing) this->WriteSome();
}

void Connection::SendShared(std::shared_ptr<const std::string> bytes) {
  if (this->closed() || this->closing || bytes->empty()) return;
  if (this->shared != nullptr) return this->Send(*bytes);
  this->shared = std::move(bytes);
  this->shared_sent = 0;
  if (!this->writing) this->WriteSome();
}

void Connection::WritePending(error_code& error) {
  if (!this->outgoing.empty()) {
    const size_t count =
        this->socket.write_some(asio::buffer(this->outgoing), error);
    this->outgoing.erase(0, count);
    // A connection is kept for long; what it once queued must not be.
    const bool is_large = this->outgoing.capacity() > kReadBytes;
    if (this->outgoing.empty() && is_large) std::string().swap(this->outgoing);
  }
  if (error || !this->outgoing.empty() || this->shared == nullptr) return;
  this->shared_sent += this->socket.write_some(
      asio::buffer(*this->shared) + this->shared_sent, error);
  if (this->shared_sent == this->shared->size()) this->shared.reset();
}

void Connection::WriteSome() {
  error_code error;
  this->WritePending(error);
  // A broken connection shows when it is read, but the kernel reports a reset
  // only once: after a write that failed for it, a read finds an orderly end.
  // A pipe breaks when the other side had closed in an orderly way before.
  if (error && error != asio::error::would_block) {
    if (error != asio::error::broken_pipe) this->write_broken = true;
    return;
  }
  if (this->queued() > 0) return this->WaitToWrite();
  if (this->closing) this->BeginLinger();
}

void Connection::WaitToWrite() {
  this->writing = true;
  this->socket.async_wait(
      tcp::socket::wait_write,
      [self = this->shared_from_this()](const error_code& error) {
        self->writing = false;
        if (error || self->closed()) return;
        self->WriteSome();
        const auto handler = self->drained_handler;
        if (self->queued() == 0 && handler) handler();
      });
}

void Connection::OnDrained(std::function<void()> action) {
  this->drained_handler = std::move(action);
}

bool Connection::OtherSideClosed() {
  std::array<char, 1> next{};
  error_code error;
  this->socket.receive(asio::buffer(next), tcp::socket::message_peek, error);
  return error && error != asio::error::would_block;
}

void Connection::Pause() { this->paused = true; }

void Connection::Resume() {
  if (!std::exchange(this->paused, false)) return;
  this->WaitToRead();
}

void Connection::CloseAfterSending() {
  if (this->closed() || this->closing) return;
  this->closing = true;
  if (!this->writing) this->WriteSome();
}

void Connection::BeginLinger() {
  error_code error;
  this->socket.shutdown(tcp::socket::shutdown_send, error);
  if (error) return this->Close();
  this->lingering = true;
  this->data_handler = {};
  this->end_handler = {};
  this->drained_handler = {};
  this->received.clear();
  this->linger_timer.expires_after(kLinger);
  this->linger_timer.async_wait(
      [self = this->shared_from_this()](const error_code& stopped) {
        if (!stopped) self->Close();
      });
  this->Resume();
  this->WaitToRead();
}

void Connection::Close() {
  if (this->closed()) return;
  error_code ignored;  // NOLINT: the descriptor is released in any case
  this->socket.close(ignored);
  this->linger_timer.cancel();
  this->shared.reset();
  std::string().swap(this->outgoing);
  this->data_handler = {};
  this->end_handler = {};
  this->drained_handler = {};
}

void Connect(
    asio::io_context& loop, const net::SocketAddress& to, Duration limit,
    std::function<void(std::shared_ptr<Connection>, ConnectEnd)> done) {
  struct Attempt {
    tcp::socket socket;
    asio::steady_timer timer;
  };
  auto attempt = std::make_shared<Attempt>(
      Attempt{tcp::socket(loop), asio::steady_timer(loop)});
  attempt->timer.expires_after(limit);
  attempt->timer.async_wait([attempt](const error_code& stopped) {
    error_code ignored;  // NOLINT: the pending connect reports the end
    if (!stopped) attempt->socket.close(ignored);
  });
  attempt->socket.async_connect(
      EndpointOf(to),
      [attempt, done = std::move(done)](const error_code& error) {
        attempt->timer.cancel();
        if (IsExhaustion(error)) return done(nullptr, ConnectEnd::kExhausted);
        if (error || !attempt->socket.is_open()) {
          return done(nullptr, ConnectEnd::kUnreachable);
        }
        done(std::make_shared<Connection>(std::move(attempt->socket)),
             ConnectEnd::kConnected);
      });
}

Listener::Listener(asio::io_context& loop, const net::SocketAddress& address,
                   OnConnection handler)
    : acceptor(loop), retry_timer(loop), on_connection(std::move(handler)) {
  error_code error;
  const tcp::endpoint endpoint = EndpointOf(address);
  this->acceptor.open(endpoint.protocol(), error);
  if (!error) this->acceptor.set_option(tcp::acceptor::reuse_address(true));
  if (!error) this->acceptor.bind(endpoint, error);
  if (!error) {
    this->acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    throw std::runtime_error("cannot listen on " + address.ToText() + ": " +
                             error.message());
  }
  this->acceptor.non_blocking(true);
  this->WaitToAccept();
}

void Listener::WaitToAccept() {
  if (std::exchange(this->waiting, true)) return;
  this->acceptor.async_wait(tcp::acceptor::wait_read,
                            [this](const error_code& error) {
                              if (error) return;
                              this->waiting = false;
                              this->AcceptWaiting();
                            });
}

void Listener::AcceptWaiting() {
  for (int i = 0; i < kMostAccepts; ++i) {
    error_code error;
    tcp::socket accepted(this->acceptor.get_executor());
    this->acceptor.accept(accepted, error);
    if (IsExhaustion(error)) return this->AcceptLater();
    if (error == asio::error::would_block) {
      this->stalled.reset();
      break;
    }
    if (error) continue;
    this->on_connection(std::make_shared<Connection>(std::move(accepted)));
    if (!this->acceptor.is_open()) return;
  }
  this->WaitToAccept();
}

void Listener::AcceptLater() {
  if (!this->stalled) this->stalled = std::chrono::steady_clock::now();
  this->retry_timer.expires_after(kAcceptRetry);
  this->retry_timer.async_wait([this](const error_code& stopped) {
    if (!stopped) this->AcceptWaiting();
  });
}

void Listener::Stop() {
  error_code ignored;  // NOLINT: it accepts no more in any case
  this->acceptor.close(ignored);
  this->retry_timer.cancel();
}

}  // namespace samphirebank::web
