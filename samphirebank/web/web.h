// File: web.h
//
// HTTP/1.1 on Boost.Asio: connections that are told what to send and whose
// bytes go to the readers of http, and a small server for whole requests.
//
// Thread rules: everything belongs to the thread that runs the io_context.
//
// Example:
//
//   Server server(loop, {.address = {"127.0.0.1", 8080},
//       .on_request = [](const Request&, const Reply& reply) {
//         reply({.status = 200, .body = "hello\n"});
//       }});
#ifndef SAMPHIREBANK_WEB_WEB_H_
#define SAMPHIREBANK_WEB_WEB_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "samphirebank/base/base.h"
#include "samphirebank/http/http.h"
#include "samphirebank/net/net.h"

namespace samphirebank::web {

namespace asio = boost::asio;
using tcp = boost::asio::ip::tcp;

using http::AnswerReader;
using http::Headers;
using http::ReadLimits;
using http::ReadState;
using http::Request;
using http::RequestReader;

// Answer is a whole answer to send.
struct Answer {
  int status = 200;
  Headers headers{};
  std::string body{};
};

// EncodeAnswer returns the bytes of a whole answer.
std::string EncodeAnswer(const Answer& answer, bool keep_alive);
// EncodeChunkedHead returns the head of an answer whose body follows in
// chunks.
std::string EncodeChunkedHead(int status, const Headers& headers,
                              bool keep_alive);
// EncodeChunk returns one chunk; `piece` must not be empty.
std::string EncodeChunk(std::string_view piece);
// kLastChunk ends a chunked body.
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";
// kContinue tells the sender to go on with the body.
inline constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

// End says how a connection ended.
enum class End : uint8_t {
  kClosed,  // the other side closed it in an orderly way
  kBroken,  // it was reset, or its bytes were no longer acknowledged
};

// Connection is a TCP connection with what was read and what is to be sent.
// Handlers run from the loop, never inside a call of the owner. After Close no
// handler runs.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  explicit Connection(tcp::socket connected);
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Start begins to read, or goes on with other handlers. `on_data` runs when
  // bytes were added to input().
  void Start(std::function<void()> on_data, std::function<void(End)> on_end);
  std::string& input() { return this->received; }

  // Send writes as much as the connection takes now, and the rest later.
  void Send(std::string_view bytes);
  // SendShared sends `bytes` without a copy, after all that was sent before.
  void SendShared(std::shared_ptr<const std::string> bytes);
  // queued is how many bytes wait to be written.
  size_t queued() const {
    return this->outgoing.size() +
           (this->shared == nullptr ? 0
                                    : this->shared->size() - this->shared_sent);
  }
  // OnDrained sets what runs each time all that had to wait is out.
  void OnDrained(std::function<void()> action);

  // ReadWaiting reads what has arrived, without waiting for the loop; handlers
  // run inside the call. Must not be called by a handler.
  void ReadWaiting();

  // OtherSideClosed looks ahead of what was read: whether the other side has
  // closed the connection and sent nothing before that.
  bool OtherSideClosed();

  // Pause holds back the sender by not reading; Resume goes on.
  void Pause();
  void Resume();
  // CloseAfterSending sends what is queued, closes this side and drops what
  // still comes, so that the other side gets to read the end.
  void CloseAfterSending();
  // Close ends it at once.
  void Close();
  bool closed() const { return !this->socket.is_open(); }

 private:
  void WaitToRead();
  void OnReadable();
  void WaitToWrite();
  void WriteSome();
  void WritePending(boost::system::error_code& error);
  void Fail(End end);
  void BeginLinger();

  tcp::socket socket;
  asio::steady_timer linger_timer;
  std::string received;
  std::string outgoing;
  std::shared_ptr<const std::string> shared;  // goes out after `outgoing`
  size_t shared_sent = 0;                     // bytes of it
  std::function<void()> data_handler;
  std::function<void(End)> end_handler;
  std::function<void()> drained_handler;
  bool reading = false;
  bool paused = false;
  bool writing = false;
  bool write_broken = false;  // a write found that it was reset
  bool closing = false;       // once all is sent
  bool lingering = false;
};

// ConnectEnd says how an attempt to connect ended.
enum class ConnectEnd : uint8_t {
  kConnected,
  kUnreachable,  // refused, or not answered in time
  kExhausted,    // this process has no descriptor or port left
};

// Connect opens a connection. `done` gets null unless it is kConnected.
void Connect(asio::io_context& loop, const net::SocketAddress& to,
             Duration limit,
             std::function<void(std::shared_ptr<Connection>, ConnectEnd)> done);

// Listener accepts connections, all that wait at a time. Throws
// std::runtime_error if the address cannot be bound.
class Listener {
 public:
  using OnConnection = std::function<void(std::shared_ptr<Connection>)>;
  Listener(asio::io_context& loop, const net::SocketAddress& address,
           OnConnection handler);
  // Stop accepts no more.
  void Stop();
  // AcceptWaiting accepts the connections that wait, without waiting for the
  // loop; the handler runs inside the call. Must not be called by the handler.
  void AcceptWaiting();
  // stalled_since is when connections began to wait because this process has no
  // descriptor left for them; empty if none waits.
  std::optional<TimePoint> stalled_since() const { return this->stalled; }

 private:
  void WaitToAccept();
  void AcceptLater();

  tcp::acceptor acceptor;
  asio::steady_timer retry_timer;
  OnConnection on_connection;
  bool waiting = false;  // the loop tells when connections wait
  std::optional<TimePoint> stalled;
};

// Reply sends the answer to one request; call it once.
using Reply = std::function<void(const Answer&)>;

// ServerOptions says where to serve whole requests.
struct ServerOptions {
  net::SocketAddress address{};
  ReadLimits limits{};
  Duration idle_limit = std::chrono::seconds(30);
  std::function<void(const Request&, const Reply&)> on_request{};
};

// Server serves whole requests, one after the other on each connection.
class Server {
 public:
  Server(asio::io_context& loop, ServerOptions options);
  ~Server();
  // Stop accepts no more connections.
  void Stop();
  // num_unanswered is how many requests have not got their answer yet.
  size_t num_unanswered() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

// ReasonOf returns the standard phrase of a status.
std::string ReasonOf(int status);

}  // namespace samphirebank::web

#endif  // SAMPHIREBANK_WEB_WEB_H_
