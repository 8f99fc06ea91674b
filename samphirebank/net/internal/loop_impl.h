// File: loop_impl.h
//
// What the parts of the loop share: the libwebsockets context and the
// registries that keep running streams, calls and sockets alive.
#ifndef SAMPHIREBANK_NET_INTERNAL_LOOP_IMPL_H_
#define SAMPHIREBANK_NET_INTERNAL_LOOP_IMPL_H_

#include <libwebsockets.h>

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "samphirebank/net/net.h"

namespace samphirebank::net {

// ServerVhost is one listening address with its options.
struct ServerVhost {
  ServerOptions options;
  lws_vhost* vhost = nullptr;
  uint32_t connections = 0;
};

class ServerStreamImpl;
class ClientCallImpl;
class HangupWatch;

// RawHandler serves a file descriptor of ours inside the loop.
class RawHandler {
 public:
  virtual ~RawHandler() = default;
  // OnReadable returns false to close the descriptor.
  virtual bool OnReadable() = 0;
  virtual bool OnWritable() = 0;
  // OnClosed is the last call; the descriptor is closed afterwards.
  virtual void OnClosed() = 0;
};

// Timer is one pending timer. `sul` stays first: its address is the timer's.
struct Timer {
  lws_sorted_usec_list_t sul{};
  LoopState* owner = nullptr;
  TimerId id;
  Duration period{};  // zero: once
  std::function<void()> action;
};

struct LoopState {
  Loop* loop = nullptr;
  lws_context* context = nullptr;
  lws_vhost* client_vhost = nullptr;
  bool stopping = false;
  uint64_t next_timer = 1;
  std::map<TimerId, std::unique_ptr<Timer>> timers;
  std::vector<std::unique_ptr<ServerVhost>> servers;
  std::unordered_map<lws*, std::shared_ptr<ServerStreamImpl>> streams;
  // Connections to a server whose next request's head is awaited.
  std::unordered_map<lws*, TimerId> awaited_heads;
  std::unordered_map<ClientCallImpl*, std::shared_ptr<ClientCallImpl>> calls;
  std::map<int, std::function<void()>> signal_actions;
  std::unique_ptr<RawHandler> signal_reader;
  std::shared_ptr<HangupWatch> hangups;
};

// OfContext returns the loop that `wsi` belongs to.
LoopState& OfContext(lws* wsi);

// AdoptDescriptor serves `descriptor` with `handler` until it closes; returns
// the connection, or null when the table is full (the descriptor is closed).
lws* AdoptDescriptor(LoopState& impl, int descriptor, RawHandler* handler);

// Protocols returns the protocol table that every virtual host shares.
const lws_protocols* Protocols();

// Callbacks of the protocols.
int ServerCallback(lws* wsi, lws_callback_reasons reason, void* user, void* in,
                   size_t length);
int RawCallback(lws* wsi, lws_callback_reasons reason, void* user, void* in,
                size_t length);

// SetSilenceLimits makes the kernel end a TCP connection whose other side
// stops acknowledging, within `limit`.
void SetSilenceLimits(int socket, Duration limit);

// BoundBuffer limits what the kernel keeps of a stream, so that a slow reader
// holds back the sender: `direction` is SO_SNDBUF or SO_RCVBUF.
void BoundBuffer(int socket, int direction);

// AwaitHead closes `wsi` unless a whole request head arrives within `limit`;
// `on_lapse` may be empty. StopAwaiting ends the wait.
void AwaitHead(LoopState& impl, lws* wsi, Duration limit,
               std::function<void()> on_lapse);
void StopAwaiting(LoopState& impl, lws* wsi);

// kKeepaliveTimeout is how long a connection may wait for its next request.
inline constexpr std::chrono::seconds kKeepaliveTimeout(30);

// kSilenceLimit bounds how long a dead TCP peer goes unnoticed.
inline constexpr Duration kSilenceLimit = std::chrono::seconds(10);

}  // namespace samphirebank::net

#endif  // SAMPHIREBANK_NET_INTERNAL_LOOP_IMPL_H_
