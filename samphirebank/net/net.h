// File: net.h
//
// The one event loop of a process: timers, an HTTP server, an HTTP client and
// the peer socket (UDP and TCP) on libwebsockets. It decides nothing.
//
// Thread rules: everything here belongs to the thread that calls Loop::Run;
// only Loop::Stop may be called from a signal handler.
//
// Example:
//
//   Loop loop;
//   uint16_t port = loop.Listen({.address = "127.0.0.1", .port = 0,
//       .on_request = [](const std::shared_ptr<ServerStream>& stream) {
//         stream->Reply({.content_type = "text/plain", .body = "hello\n"});
//       }});
//   loop.Run();
#ifndef SAMPHIREBANK_NET_NET_H_
#define SAMPHIREBANK_NET_NET_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "samphirebank/base/base.h"
#include "samphirebank/http/http.h"

namespace samphirebank::net {

using http::Header;

// FindHeader returns the first value of `name` (lower case), if it is there.
std::optional<std::string> FindHeader(const std::vector<Header>& headers,
                                      std::string_view name);

// RequestHead is a request as read by the server, before its body.
struct RequestHead {
  std::string method;  // "GET", "POST", ...
  std::string path;    // without the query; starts with '/'
  std::string query;   // without '?'; may be empty
  std::vector<Header> headers;
  std::optional<Bytes> content_length;
};

// SocketAddress is an IP number with a port; there are no host names.
struct SocketAddress {
  std::string ip;
  uint16_t port = 0;

  friend auto operator<=>(const SocketAddress&, const SocketAddress&) = default;

  // ToText returns "ip:port".
  std::string ToText() const { return this->ip + ":" + std::to_string(port); }

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(this->ip, this->port);
  }
};

// ParseSocketAddress reads "ip:port"; nothing if it is malformed.
std::optional<SocketAddress> ParseSocketAddress(std::string_view text);

// IsHostAddress returns whether a connection to the address can reach a single
// host: it has a port, and the number is neither 0.0.0.0 nor a multicast or
// broadcast number.
bool IsHostAddress(const SocketAddress& address);

// Response is a whole response.
struct Response {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
  std::vector<Header> headers;
};

// CloseReason says why a caller's connection ended before its answer was out.
enum class CloseReason : uint8_t {
  kHungUp,      // the caller closed it
  kLost,        // the caller's side stopped acknowledging
  kSlowHead,    // the request's head did not arrive in time
  kSlowBody,    // its body did not
  kSlowReader,  // the caller did not take its answer
};

// ToText returns the reason as one word, for logs.
std::string_view ToText(CloseReason reason);

// ServerStream is the server's side of one request. It stays valid while a
// shared pointer to it is held; once closed, all calls do nothing.
class ServerStream {
 public:
  virtual ~ServerStream() = default;

  // head is the request line and headers.
  virtual const RequestHead& head() const = 0;

  // Handlers; set them inside on_request. Each may be empty.
  std::function<void(std::string_view)> on_body;  // a piece of the body
  std::function<void()> on_body_end;              // the whole body was read
  std::function<void()> on_drained;               // all queued output is out
  // on_closed reports that the connection ended before Finish or Reply were
  // delivered, but not after Abort. A body that comes too slowly is answered
  // by the server itself, with 408.
  std::function<void(CloseReason)> on_closed;

  // SendHead starts a response. Without `length` the body is chunked.
  virtual void SendHead(int status, std::vector<Header> headers,
                        std::optional<Bytes> length) = 0;
  // Send queues a piece of the body.
  virtual void Send(std::string_view piece) = 0;
  // Finish ends the body cleanly once all output is out.
  virtual void Finish() = 0;
  // Abort sends what is queued, then drops the connection without a clean
  // end, so that the caller cannot take the body for a whole one.
  virtual void Abort() = 0;
  // Reply sends a whole response and ends the stream.
  virtual void Reply(Response response) = 0;
  // queued is the output that the connection has not taken yet.
  virtual Bytes queued() const = 0;
  virtual bool closed() const = 0;
};

// ServerOptions says where and how to serve HTTP.
struct ServerOptions {
  std::string address = "127.0.0.1";
  uint16_t port = 0;                // 0: the kernel chooses
  Bytes max_body = Bytes(4 << 20);  // a larger body gets 413
  // Longest time from a connection's start to its first request's whole head.
  Duration head_timeout = std::chrono::seconds(8);
  // Longest time to read a whole body, and between two pieces of it; a slower
  // request gets 408.
  Duration request_timeout = std::chrono::seconds(20);
  Duration body_pause = std::chrono::seconds(8);
  // Longest time without progress in sending a response.
  Duration write_timeout = std::chrono::seconds(8);
  uint32_t max_connections = 4096;
  // on_slow_head reports a connection that was cut at head_timeout.
  std::function<void()> on_slow_head;
  // on_request is called when the head has been read.
  std::function<void(const std::shared_ptr<ServerStream>&)> on_request;
};

// SendState says how much of a request can have reached the other end.
enum class SendState : uint8_t {
  kNotSent,  // no byte of the request was handed to a connection
  kSent,     // some or all of it was
};

// CallError says how a client call failed.
struct CallError {
  SendState sent = SendState::kNotSent;
  bool timed_out = false;
  std::string detail;
};

// ClientRequest is a call to make. Exactly one of on_end and on_error ends it,
// unless it is cancelled.
struct ClientRequest {
  SocketAddress to;
  std::string method = "GET";
  std::string path = "/";  // with the query, if there is one
  std::vector<Header> headers;
  std::string body;
  Duration connect_timeout = std::chrono::seconds(2);
  Duration first_byte_timeout = std::chrono::seconds(30);
  Duration idle_timeout = std::chrono::seconds(10);  // between two pieces
  std::function<void(int status, const std::vector<Header>&)> on_head;
  std::function<void(std::string_view)> on_data;
  // on_end reports that the response is whole by its framing.
  std::function<void()> on_end;
  std::function<void(const CallError&)> on_error;
};

// ClientCall is a running call.
class ClientCall {
 public:
  virtual ~ClientCall() = default;
  // Cancel closes the connection; no handler runs afterwards.
  virtual void Cancel() = 0;
  // PauseReading and ResumeReading hold back the sender by TCP's window.
  virtual void PauseReading() = 0;
  virtual void ResumeReading() = 0;
  // sent says whether a byte of the request can have left.
  virtual SendState sent() const = 0;
};

// PeerSocket carries opaque messages between the system's own processes.
// Delivery is not promised: a message may be lost, doubled or reordered.
class PeerSocket {
 public:
  virtual ~PeerSocket() = default;
  // Send uses UDP for at most kMaxDatagram bytes and a TCP connection that is
  // kept per peer for more.
  virtual void Send(const SocketAddress& to, std::string_view message) = 0;
  virtual uint16_t port() const = 0;
};

// kMaxDatagram keeps a message within one Ethernet frame.
inline constexpr size_t kMaxDatagram = 1350;
// kMaxDatagramPayload is what a sealed datagram can hold besides its seal and
// the names in it.
inline constexpr size_t kMaxDatagramPayload = kMaxDatagram - 128;
// kMaxPeerMessage caps a message over TCP.
inline constexpr size_t kMaxPeerMessage = 1 << 20;

// PeerOptions says where peers reach this process: one port for UDP and TCP.
struct PeerOptions {
  std::string address = "127.0.0.1";
  uint16_t port = 0;
  // on_message has the message and the UDP sender's address; for TCP the
  // address is the connection's and cannot be answered to.
  std::function<void(const SocketAddress& from, std::string_view message)>
      on_message;
};

// TimerId names a timer; 0 is none.
using TimerId = StrongNumber<struct TimerIdTag, uint64_t>;

// LoopState is the loop's inside.
struct LoopState;

// Loop is the process's event loop.
class Loop {
 public:
  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  // Now reads the monotonic clock.
  static TimePoint Now();

  // After runs `action` once, Every repeatedly; Cancel ends either.
  TimerId After(Duration delay, std::function<void()> action);
  TimerId Every(Duration period, std::function<void()> action);
  void Cancel(TimerId timer);

  // Listen serves HTTP; returns the port. Throws std::runtime_error when the
  // address cannot be bound.
  uint16_t Listen(ServerOptions options);

  // StopListening closes the listening sockets; running streams go on.
  void StopListening();

  // Call starts an HTTP request.
  std::shared_ptr<ClientCall> Call(ClientRequest request);

  // OpenPeerSocket binds the peer port. Throws std::runtime_error.
  std::unique_ptr<PeerSocket> OpenPeerSocket(PeerOptions options);

  // Run serves until Stop; Stop is safe in a signal handler.
  void Run();
  void Stop();

  // OnSignal runs `action` on the loop's thread when `signal` arrives.
  void OnSignal(int signal, std::function<void()> action);

 private:
  std::unique_ptr<LoopState> impl;
};

}  // namespace samphirebank::net

#endif  // SAMPHIREBANK_NET_NET_H_
