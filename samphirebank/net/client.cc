#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "samphirebank/net/internal/client_call.h"
#include "samphirebank/net/internal/header_fields.h"
#include "samphirebank/net/internal/loop_impl.h"

namespace samphirebank::net {
namespace {

constexpr size_t kReadBytes = 16'384;
constexpr size_t kWriteBytes = 32'768;

bool AddHeader(lws* wsi, const Header& header, unsigned char** at,
               unsigned char* end) {
  const std::string name = header.name + ":";
  return lws_add_http_header_by_name(
             wsi, reinterpret_cast<const unsigned char*>(name.data()),
             reinterpret_cast<const unsigned char*>(header.value.data()),
             static_cast<int>(header.value.size()), at, end) == 0;
}

ClientCallImpl* CallOf(lws* wsi) {
  return static_cast<ClientCallImpl*>(lws_get_opaque_user_data(wsi));
}

// KeepAlive returns a pointer that outlives the callback, or null.
std::shared_ptr<ClientCallImpl> KeepAlive(lws* wsi) {
  ClientCallImpl* const call = CallOf(wsi);
  if (call == nullptr) return nullptr;
  const LoopState& impl = OfContext(wsi);
  const auto found = impl.calls.find(call);
  return found == impl.calls.end() ? nullptr : found->second;
}

}  // namespace

ClientCallImpl::ClientCallImpl(LoopState& owner, ClientRequest client_request)
    : impl(owner),
      request(std::move(client_request)),
      host(this->request.to.ToText()) {}

ClientCallImpl::~ClientCallImpl() { this->StopTimer(); }

void ClientCallImpl::Start() {
  lws_client_connect_info info{};
  info.context = this->impl.context;
  info.vhost = this->impl.client_vhost;
  info.address = this->request.to.ip.c_str();
  info.port = this->request.to.port;
  info.path = this->request.path.c_str();
  info.host = this->host.c_str();
  info.origin = this->host.c_str();
  info.method = this->request.method.c_str();
  info.local_protocol_name = "http-client";
  info.alpn = "http/1.1";
  info.ssl_connection = LCCSCF_HTTP_NO_FOLLOW_REDIRECT;
  info.opaque_user_data = this;
  info.pwsi = &this->wsi;
  this->SetTimer(this->request.connect_timeout, "connecting timed out");
  if (lws_client_connect_via_info(&info) == nullptr && !this->ended) {
    this->OnFailed("cannot connect");
  }
}

void ClientCallImpl::SetTimer(Duration limit, std::string_view detail) {
  this->StopTimer();
  this->timer = this->impl.loop->After(
      limit, [this, detail] { this->OnTimeout(detail); });
}

void ClientCallImpl::StopTimer() {
  if (this->timer != TimerId()) this->impl.loop->Cancel(this->timer);
  this->timer = TimerId();
}

void ClientCallImpl::OnTimeout(std::string_view detail) {
  this->timer = TimerId();
  if (this->ended) return;
  const auto handler = std::move(this->request.on_error);
  const CallError error{.sent = this->send_state,
                        .timed_out = true,
                        .detail = std::string(detail)};
  this->CloseConnection();
  this->End();
  if (handler) handler(error);
}

void ClientCallImpl::CloseConnection() {
  if (this->wsi == nullptr) return;
  lws_set_opaque_user_data(this->wsi, nullptr);
  lws_set_timeout(this->wsi, PENDING_TIMEOUT_USER_REASON_BASE,
                  LWS_TO_KILL_ASYNC);
  this->wsi = nullptr;
}

// The registry's pointer, and with it the handlers, go with the loop's next
// turn: End may be called from inside one of them.
void ClientCallImpl::End() {
  this->ended = true;
  this->StopTimer();
  LoopState& owner = this->impl;
  ClientCallImpl* const self = this;
  owner.loop->After(Duration::zero(),
                    [&owner, self] { owner.calls.erase(self); });
}

void ClientCallImpl::Cancel() {
  if (this->ended) return;
  this->CloseConnection();
  this->End();
}

void ClientCallImpl::PauseReading() {
  if (this->wsi == nullptr) return;
  lws_rx_flow_control(this->wsi, 0);
  this->StopTimer();  // the silence is ours
}

void ClientCallImpl::ResumeReading() {
  if (this->wsi == nullptr) return;
  lws_rx_flow_control(this->wsi, 1);
  this->SetTimer(this->request.idle_timeout, "the answer stopped");
}

bool ClientCallImpl::OnAppendHeaders(unsigned char** at, unsigned char* end) {
  this->send_state = SendState::kSent;
  SetSilenceLimits(lws_get_socket_fd(this->wsi), kSilenceLimit);
  BoundBuffer(lws_get_socket_fd(this->wsi), SO_RCVBUF);
  this->SetTimer(this->request.first_byte_timeout, "no answer began in time");
  for (const Header& header : this->request.headers) {
    if (!AddHeader(this->wsi, header, at, end)) return false;
  }
  if (this->request.body.empty()) return true;
  const Header length{.name = "content-length",
                      .value = std::to_string(this->request.body.size())};
  if (!AddHeader(this->wsi, length, at, end)) return false;
  lws_client_http_body_pending(this->wsi, 1);
  lws_callback_on_writable(this->wsi);
  return true;
}

bool ClientCallImpl::OnWritable() {
  const size_t rest = this->request.body.size() - this->body_sent;
  if (rest == 0) return true;
  const size_t size = std::min(rest, kWriteBytes);
  const bool last = size == rest;
  std::vector<unsigned char> buffer(LWS_PRE + size);
  std::copy_n(
      this->request.body.begin() + static_cast<std::ptrdiff_t>(this->body_sent),
      size, buffer.begin() + LWS_PRE);
  this->body_sent += size;
  if (last) lws_client_http_body_pending(this->wsi, 0);
  const lws_write_protocol kind = last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP;
  if (lws_write(this->wsi, buffer.data() + LWS_PRE, size, kind) < 0) {
    return false;
  }
  if (!last) lws_callback_on_writable(this->wsi);
  return true;
}

void ClientCallImpl::ReadFraming(int status) {
  const bool empty =
      this->request.method == "HEAD" || status == 204 || status == 304;
  if (empty) {
    this->framing = Framing::kLength;
    return;
  }
  if (lws_hdr_total_length(this->wsi, WSI_TOKEN_HTTP_TRANSFER_ENCODING) > 0) {
    this->framing = Framing::kChunked;
    return;
  }
  const auto length =
      FindHeader(internal::ReadHeaders(this->wsi), "content-length");
  if (!length) return;
  const char* const end = length->data() + length->size();
  const auto parsed =
      std::from_chars(length->data(), end, this->expected.value);
  if (parsed.ec == std::errc()) this->framing = Framing::kLength;
}

// The library reports completion also when the connection merely closed, so
// a chunked answer is whole only if completion came from bytes.
bool ClientCallImpl::WholeByFraming() const {
  switch (this->framing) {
    case Framing::kLength:
      return this->received == this->expected;
    case Framing::kChunked:
      return this->read_has_bytes;
    case Framing::kNone:
      return false;
  }
  return false;
}

bool ClientCallImpl::OnHead() {
  const int status = static_cast<int>(lws_http_client_http_response(this->wsi));
  this->ReadFraming(status);
  this->SetTimer(this->request.idle_timeout, "the answer stopped");
  if (this->request.on_head) {
    this->request.on_head(status, internal::ReadHeaders(this->wsi));
  }
  return !this->ended;
}

bool ClientCallImpl::OnReadable() {
  std::array<char, LWS_PRE + kReadBytes> buffer{};
  char* data = buffer.data() + LWS_PRE;
  int length = kReadBytes;
  char next = 0;
  const ssize_t peeked =
      recv(lws_get_socket_fd(this->wsi), &next, 1, MSG_PEEK | MSG_DONTWAIT);
  this->read_has_bytes = peeked > 0;
  const bool open = lws_http_client_read(this->wsi, &data, &length) >= 0;
  this->read_has_bytes = false;
  return open;
}

void ClientCallImpl::OnData(std::string_view piece) {
  if (this->ended) return;
  this->read_has_bytes = true;
  this->received += Bytes(static_cast<int64_t>(piece.size()));
  this->SetTimer(this->request.idle_timeout, "the answer stopped");
  if (this->request.on_data) this->request.on_data(piece);
}

void ClientCallImpl::OnCompleted() {
  if (this->ended) return;
  if (!this->WholeByFraming()) {
    this->CloseConnection();
    this->OnFailed("the connection closed before the answer was whole");
    return;
  }
  const auto handler = std::move(this->request.on_end);
  this->CloseConnection();
  this->End();
  if (handler) handler();
}

void ClientCallImpl::OnFailed(std::string_view detail) {
  if (this->ended) return;
  const auto handler = std::move(this->request.on_error);
  const CallError error{.sent = this->send_state,
                        .timed_out = false,
                        .detail = std::string(detail)};
  this->End();
  if (!handler) return;
  this->impl.loop->After(Duration::zero(),
                         [handler, error] { handler(error); });
}

int ClientCallback(lws* wsi, lws_callback_reasons reason, void* /*user*/,
                   void* in, size_t length) {
  const std::shared_ptr<ClientCallImpl> call = KeepAlive(wsi);
  if (call == nullptr) {
    const bool reads = reason == LWS_CALLBACK_RECEIVE_CLIENT_HTTP;
    return reads ? -1 : 0;
  }
  switch (reason) {
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER: {
      auto** at = static_cast<unsigned char**>(in);
      return call->OnAppendHeaders(at, *at + length) ? 0 : -1;
    }
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
      return call->OnWritable() ? 0 : -1;
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
      return call->OnHead() ? 0 : -1;
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
      return call->OnReadable() ? 0 : -1;
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
      call->OnData({static_cast<const char*>(in), length});
      return 0;
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
      call->OnCompleted();
      return -1;
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
      call->OnConnectionGone();
      call->OnFailed(in == nullptr
                         ? std::string_view("the connection failed")
                         : std::string_view(static_cast<const char*>(in)));
      return 0;
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
      call->OnConnectionGone();
      call->OnFailed("the connection closed before the answer was whole");
      return 0;
    case LWS_CALLBACK_WSI_DESTROY:
      call->OnConnectionGone();
      call->OnFailed("the connection ended");
      return 0;
    default:
      return 0;
  }
}

std::shared_ptr<ClientCall> Loop::Call(ClientRequest request) {
  auto call = std::make_shared<ClientCallImpl>(*this->impl, std::move(request));
  this->impl->calls.emplace(call.get(), call);
  call->Start();
  return call;
}

}  // namespace samphirebank::net
