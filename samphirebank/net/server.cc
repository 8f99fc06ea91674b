#include <sys/socket.h>

#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

#include "samphirebank/net/internal/hangup_watch.h"
#include "samphirebank/net/internal/header_fields.h"
#include "samphirebank/net/internal/loop_impl.h"
#include "samphirebank/net/internal/server_stream.h"

namespace samphirebank::net {
namespace {

constexpr int kHeaderTimeoutSeconds = 10;

ServerVhost* VhostOf(lws* wsi) {
  lws_vhost* const vhost = lws_get_vhost(wsi);
  return vhost == nullptr ? nullptr
                          : static_cast<ServerVhost*>(lws_vhost_user(vhost));
}

struct Refusal {
  int status;
  std::string_view title;
};

Refusal RefusalOf(internal::RequestFault fault) {
  switch (fault) {
    case internal::RequestFault::kTransferEncoding:
      return {.status = 411, .title = "a chunked request body is not taken"};
    case internal::RequestFault::kNoLength:
      return {.status = 411, .title = "content-length is required"};
    case internal::RequestFault::kConflictingLength:
      return {.status = 400, .title = "content-length is malformed or doubled"};
    default:
      return {.status = 400, .title = "the request is malformed"};
  }
}

std::shared_ptr<ServerStreamImpl> FindStream(lws* wsi) {
  LoopState& impl = OfContext(wsi);
  const auto found = impl.streams.find(wsi);
  return found == impl.streams.end() ? nullptr : found->second;
}

int OnRequest(lws* wsi) {
  LoopState& impl = OfContext(wsi);
  ServerVhost* const server = VhostOf(wsi);
  if (server == nullptr) return -1;
  StopAwaiting(impl, wsi);
  lws_set_timeout(wsi, NO_PENDING_TIMEOUT, 0);
  SetSilenceLimits(lws_get_socket_fd(wsi), kSilenceLimit);
  BoundBuffer(lws_get_socket_fd(wsi), SO_SNDBUF);
  RequestHead head;
  const internal::RequestFault fault = internal::ReadRequestHead(wsi, head);
  const Bytes length = head.content_length.value_or(Bytes(0));
  auto stream =
      std::make_shared<ServerStreamImpl>(impl, *server, wsi, std::move(head));
  impl.streams[wsi] = stream;
  if (fault != internal::RequestFault::kNone) {
    const Refusal refusal = RefusalOf(fault);
    stream->RefuseAndClose(refusal.status, refusal.title);
    return 0;
  }
  if (length > server->options.max_body) {
    stream->RefuseAndClose(413, "the request body is too large");
    return 0;
  }
  server->options.on_request(stream);
  const bool whole = length == Bytes(0);
  if (whole && stream->on_body_end && !stream->closed()) stream->on_body_end();
  return 0;
}

void OnClosed(lws* wsi) {
  const std::shared_ptr<ServerStreamImpl> stream = FindStream(wsi);
  if (stream == nullptr) return;
  OfContext(wsi).streams.erase(wsi);
  stream->Detach();
}

bool AdmitConnection(lws* wsi) {
  const ServerVhost* const server = VhostOf(wsi);
  return server == nullptr ||
         server->connections < server->options.max_connections;
}

void OnConnection(lws* wsi) {
  ServerVhost* const server = VhostOf(wsi);
  if (server == nullptr) return;
  server->connections += 1;
  AwaitHead(OfContext(wsi), wsi, server->options.head_timeout,
            server->options.on_slow_head);
}

void OnConnectionEnd(lws* wsi) {
  ServerVhost* const server = VhostOf(wsi);
  if (server == nullptr) return;
  server->connections -= 1;
  StopAwaiting(OfContext(wsi), wsi);
}

}  // namespace

void AwaitHead(LoopState& impl, lws* wsi, Duration limit,
               std::function<void()> on_lapse) {
  StopAwaiting(impl, wsi);
  impl.awaited_heads[wsi] =
      impl.loop->After(limit, [&impl, wsi, lapse = std::move(on_lapse)] {
        impl.awaited_heads.erase(wsi);
        lws_set_timeout(wsi, PENDING_TIMEOUT_USER_REASON_BASE,
                        LWS_TO_KILL_ASYNC);
        if (lapse) lapse();
      });
}

void StopAwaiting(LoopState& impl, lws* wsi) {
  const auto found = impl.awaited_heads.find(wsi);
  if (found == impl.awaited_heads.end()) return;
  impl.loop->Cancel(found->second);
  impl.awaited_heads.erase(found);
}

int ServerCallback(lws* wsi, lws_callback_reasons reason, void* /*user*/,
                   void* in, size_t length) {
  switch (reason) {
    case LWS_CALLBACK_FILTER_NETWORK_CONNECTION:
      return AdmitConnection(wsi) ? 0 : 1;
    case LWS_CALLBACK_SERVER_NEW_CLIENT_INSTANTIATED:
      OnConnection(wsi);
      return 0;
    case LWS_CALLBACK_WSI_DESTROY:
      OnConnectionEnd(wsi);
      return 0;
    case LWS_CALLBACK_HTTP:
      return OnRequest(wsi);
    case LWS_CALLBACK_HTTP_BODY:
      if (const auto stream = FindStream(wsi)) {
        stream->OnBody({static_cast<const char*>(in), length});
      }
      return 0;
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
      if (const auto stream = FindStream(wsi)) stream->OnBodyEnd();
      return 0;
    case LWS_CALLBACK_HTTP_WRITEABLE:
      if (const auto stream = FindStream(wsi)) {
        return stream->OnWritable() ? 0 : -1;
      }
      return 0;
    case LWS_CALLBACK_CLOSED_HTTP:
      OnClosed(wsi);
      return 0;
    default:
      return 0;
  }
}

uint16_t Loop::Listen(ServerOptions options) {
  if (this->impl->hangups == nullptr) {
    this->impl->hangups = std::make_shared<HangupWatch>(*this->impl);
  }
  auto server = std::make_unique<ServerVhost>();
  server->options = std::move(options);
  const std::string name =
      "server-" + std::to_string(this->impl->servers.size());
  lws_context_creation_info info{};
  info.port = server->options.port;
  info.iface = server->options.address.c_str();
  info.vhost_name = name.c_str();
  info.protocols = Protocols();
  info.user = server.get();
  info.keepalive_timeout = static_cast<int>(kKeepaliveTimeout.count());
  info.timeout_secs = kHeaderTimeoutSeconds;
  info.options = LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND;
  server->vhost = lws_create_vhost(this->impl->context, &info);
  if (server->vhost == nullptr) {
    throw std::runtime_error("cannot listen on " + server->options.address +
                             ":" + std::to_string(server->options.port));
  }
  const int port = lws_get_vhost_listen_port(server->vhost);
  this->impl->servers.push_back(std::move(server));
  return static_cast<uint16_t>(port);
}

void Loop::StopListening() {
  for (const auto& server : this->impl->servers) {
    server->options.max_connections = 0;
  }
}

}  // namespace samphirebank::net
