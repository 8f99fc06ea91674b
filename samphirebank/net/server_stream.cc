#include "samphirebank/net/internal/server_stream.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdio>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "samphirebank/net/internal/hangup_watch.h"

namespace samphirebank::net {
namespace {

constexpr size_t kMaxHeadBytes = 8'192;
constexpr size_t kMaxPieceBytes = 32'768;
constexpr size_t kMaxFrameBytes = 32;  // a chunk's size line and its end

const unsigned char* AsBytes(const std::string& text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

bool AddHeader(lws* wsi, const Header& header, unsigned char** at,
               unsigned char* end) {
  const std::string name = header.name + ":";
  return lws_add_http_header_by_name(wsi, AsBytes(name), AsBytes(header.value),
                                     static_cast<int>(header.value.size()), at,
                                     end) == 0;
}

// WriteBytes hands `bytes` to the connection; the library keeps what the
// socket does not take at once.
bool WriteBytes(lws* wsi, std::string_view bytes, lws_write_protocol kind) {
  std::vector<unsigned char> buffer(LWS_PRE + bytes.size());
  std::copy(bytes.begin(), bytes.end(), buffer.begin() + LWS_PRE);
  return lws_write(wsi, buffer.data() + LWS_PRE, bytes.size(), kind) >= 0;
}

// SocketError returns and clears the error that the system noted.
int SocketError(int descriptor) {
  int error = 0;
  socklen_t size = sizeof(error);
  getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
  return error;
}

std::string ChunkOf(std::string_view piece) {
  std::array<char, kMaxFrameBytes> size_line{};
  std::snprintf(size_line.data(), size_line.size(), "%zx\r\n", piece.size());
  std::string chunk(size_line.data());
  chunk += piece;
  chunk += "\r\n";
  return chunk;
}

}  // namespace

std::string_view ToText(CloseReason reason) {
  switch (reason) {
    case CloseReason::kHungUp:
      return "hung-up";
    case CloseReason::kLost:
      return "lost";
    case CloseReason::kSlowHead:
      return "slow-head";
    case CloseReason::kSlowBody:
      return "slow-body";
    case CloseReason::kSlowReader:
      return "slow-reader";
  }
  return "hung-up";
}

ServerStreamImpl::ServerStreamImpl(LoopState& owner, ServerVhost& vhost,
                                   lws* connection, RequestHead request)
    : impl(owner),
      server(vhost),
      wsi(connection),
      request_head(std::move(request)) {
  this->body_ended =
      this->request_head.content_length.value_or(Bytes(0)) == Bytes(0);
  if (this->body_ended) this->WatchCaller();
  if (this->body_ended) return;
  this->read_until = Loop::Now() + this->server.options.request_timeout;
  this->StartReadTimer();
}

ServerStreamImpl::~ServerStreamImpl() {
  this->StopTimer(this->read_timer);
  this->StopTimer(this->write_timer);
}

void ServerStreamImpl::WatchCaller() {
  const int descriptor = lws_get_socket_fd(this->wsi);
  this->impl.hangups->Watch(descriptor, [this, descriptor] {
    this->Cut(this->ReasonOfHangup(SocketError(descriptor)));
  });
}

CloseReason ServerStreamImpl::ReasonOfHangup(int error) const {
  if (error != ETIMEDOUT) return CloseReason::kHungUp;
  // The kernel gives up a caller that takes nothing, too, and counts from
  // when the caller's buffer was full: that may be before the write timer.
  const bool output_waits = this->write_timer != TimerId();
  return output_waits ? CloseReason::kSlowReader : CloseReason::kLost;
}

void ServerStreamImpl::StartReadTimer() {
  this->StopTimer(this->read_timer);
  const Duration left = this->read_until - Loop::Now();
  this->read_timer =
      this->impl.loop->After(std::min(left, this->server.options.body_pause),
                             [this] { this->OnSlowBody(); });
}

void ServerStreamImpl::OnSlowBody() {
  this->read_timer = TimerId();
  const bool answered = this->pending_head || this->head_sent;
  if (answered) {
    this->Cut(CloseReason::kSlowBody);
    return;
  }
  const std::function<void(CloseReason)> handler = std::move(this->on_closed);
  this->on_closed = nullptr;
  this->RefuseAndClose(408, "the request did not arrive in time");
  if (handler) handler(CloseReason::kSlowBody);
}

void ServerStreamImpl::StopTimer(TimerId& timer) {
  if (timer != TimerId()) this->impl.loop->Cancel(timer);
  timer = TimerId();
}

void ServerStreamImpl::Cut(CloseReason reason) {
  if (this->wsi == nullptr) return;
  this->close_reason = reason;
  lws_set_timeout(this->wsi, PENDING_TIMEOUT_USER_REASON_BASE,
                  LWS_TO_KILL_ASYNC);
}

void ServerStreamImpl::WantWrite() {
  if (this->wsi == nullptr) return;
  if (this->write_timer == TimerId()) this->StartWriteTimer();
  lws_callback_on_writable(this->wsi);
}

void ServerStreamImpl::StartWriteTimer() {
  this->StopTimer(this->write_timer);
  this->write_timer =
      this->impl.loop->After(this->server.options.write_timeout,
                             [this] { this->Cut(CloseReason::kSlowReader); });
}

void ServerStreamImpl::SendHead(int status, std::vector<Header> headers,
                                std::optional<Bytes> length) {
  if (this->wsi == nullptr || this->head_sent || this->pending_head) return;
  this->pending_head = PendingHead{
      .status = status, .headers = std::move(headers), .length = length};
  this->chunked = !length.has_value();
  this->WantWrite();
}

void ServerStreamImpl::Send(std::string_view piece) {
  if (this->wsi == nullptr || this->finished || piece.empty()) return;
  for (size_t at = 0; at < piece.size(); at += kMaxPieceBytes) {
    this->output.emplace_back(piece.substr(at, kMaxPieceBytes));
  }
  this->queued_bytes += Bytes(static_cast<int64_t>(piece.size()));
  this->WantWrite();
}

void ServerStreamImpl::Finish() {
  this->finished = true;
  this->WantWrite();
}

void ServerStreamImpl::Abort() {
  this->aborted = true;
  this->WantWrite();
}

void ServerStreamImpl::Reply(Response response) {
  std::vector<Header> headers = std::move(response.headers);
  if (!response.content_type.empty()) {
    headers.push_back({.name = "content-type", .value = response.content_type});
  }
  this->SendHead(response.status, std::move(headers),
                 Bytes(static_cast<int64_t>(response.body.size())));
  if (this->request_head.method != "HEAD") this->Send(response.body);
  this->Finish();
}

void ServerStreamImpl::RefuseAndClose(int status, std::string_view title) {
  this->close_after = true;
  const std::string body = "{\"status\":" + std::to_string(status) +
                           ",\"title\":\"" + std::string(title) +
                           "\",\"outcome\":\"not-run\"}\n";
  this->Reply({.status = status,
               .content_type = "application/problem+json",
               .body = body,
               .headers = {{.name = "connection", .value = "close"}}});
}

void ServerStreamImpl::OnBody(std::string_view piece) {
  if (this->body_ended || this->finished) return;
  this->body_read += Bytes(static_cast<int64_t>(piece.size()));
  this->StartReadTimer();
  if (this->on_body) this->on_body(piece);
}

void ServerStreamImpl::OnBodyEnd() {
  if (this->body_ended) return;
  this->body_ended = true;
  this->StopTimer(this->read_timer);
  if (this->wsi != nullptr) {
    lws_set_timeout(this->wsi, NO_PENDING_TIMEOUT, 0);
    this->WatchCaller();
  }
  if (this->finished) this->WantWrite();
  if (!this->finished && this->on_body_end) this->on_body_end();
}

bool ServerStreamImpl::OnWritable() {
  if (this->pending_head) return this->WriteHead();
  if (!this->output.empty()) return this->WritePiece();
  this->StopTimer(this->write_timer);
  if (this->aborted) return false;
  if (this->finished) return this->WriteEnd();
  if (this->on_drained) this->on_drained();
  return true;
}

bool ServerStreamImpl::WriteHead() {
  const PendingHead pending = std::move(*this->pending_head);
  this->pending_head.reset();
  std::vector<unsigned char> buffer(LWS_PRE + kMaxHeadBytes);
  unsigned char* const start = buffer.data() + LWS_PRE;
  unsigned char* const end = buffer.data() + buffer.size() - 1;
  unsigned char* at = start;
  const auto status = static_cast<unsigned int>(pending.status);
  if (lws_add_http_header_status(this->wsi, status, &at, end) != 0) {
    return false;
  }
  for (const Header& header : pending.headers) {
    if (!AddHeader(this->wsi, header, &at, end)) return false;
  }
  const Header framing =
      this->chunked ? Header{.name = "transfer-encoding", .value = "chunked"}
                    : Header{.name = "content-length",
                             .value = std::to_string(pending.length->value)};
  if (!AddHeader(this->wsi, framing, &at, end)) return false;
  if (lws_finalize_write_http_header(this->wsi, start, &at, end) != 0) {
    return false;
  }
  this->head_sent = true;
  this->StartWriteTimer();
  lws_callback_on_writable(this->wsi);
  return true;
}

bool ServerStreamImpl::WritePiece() {
  const std::string piece = std::move(this->output.front());
  this->output.pop_front();
  this->queued_bytes -= Bytes(static_cast<int64_t>(piece.size()));
  const std::string bytes = this->chunked ? ChunkOf(piece) : piece;
  if (!WriteBytes(this->wsi, bytes, LWS_WRITE_HTTP)) return false;
  this->StartWriteTimer();
  lws_callback_on_writable(this->wsi);
  return true;
}

bool ServerStreamImpl::WriteEnd() {
  if (!this->response_out) {
    this->response_out = true;
    const bool ok = !this->chunked ||
                    WriteBytes(this->wsi, "0\r\n\r\n", LWS_WRITE_HTTP_FINAL);
    if (!ok || this->close_after) return false;
  }
  // The rest of the request's body is read and dropped before the connection
  // can serve another request.
  if (!this->body_ended) return true;
  return this->CompleteTransaction();
}

bool ServerStreamImpl::CompleteTransaction() {
  lws* const connection = this->wsi;
  const std::shared_ptr<ServerStreamImpl> keep =
      this->impl.streams.at(connection);
  this->impl.streams.erase(connection);
  this->Detach();
  AwaitHead(this->impl, connection, kKeepaliveTimeout, nullptr);
  return lws_http_transaction_completed(connection) == 0;
}

void ServerStreamImpl::Detach() {
  if (this->wsi == nullptr) return;
  this->impl.hangups->Unwatch(lws_get_socket_fd(this->wsi));
  this->wsi = nullptr;
  this->StopTimer(this->read_timer);
  this->StopTimer(this->write_timer);
  this->output.clear();
  this->queued_bytes = Bytes(0);
  const auto closed_handler = std::move(this->on_closed);
  this->on_closed = nullptr;
  const bool tells = !this->response_out && !this->aborted;
  if (tells && closed_handler) closed_handler(this->close_reason);
  // Handlers often hold this stream; dropping them breaks the cycle.
  this->on_body = nullptr;
  this->on_body_end = nullptr;
  this->on_drained = nullptr;
}

}  // namespace samphirebank::net
