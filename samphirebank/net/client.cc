#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "samphirebank/net/internal/client_call.h"
#include "samphirebank/net/internal/header_fields.h"
#include "samphirebank/net/internal/loop_impl.h"
#include "samphirebank/net/internal/socket_address.h"

namespace samphirebank::net {
namespace {

constexpr size_t kReadBytes = 16'384;
// All that the kernel keeps of a connection. The loop closes one that was reset
// after the turn in which that shows.
constexpr int kMaxReadsPerTurn = 16;
// Of the fields that are passed on; a router's answer holds a few more.
constexpr size_t kMaxFieldBytes = 7 << 10;

bool IsInformational(int status) { return status < 200; }

bool IsForLater(int error) { return error == EAGAIN || error == EINTR; }

// HasLength returns whether a request states the length of its body.
bool HasLength(const ClientRequest& request) {
  return !request.body.empty() || request.method == "POST" ||
         request.method == "PUT" || request.method == "PATCH";
}

void AppendField(std::string_view name, std::string_view value,
                 std::string* head) {
  head->append(name).append(": ").append(value).append("\r\n");
}

std::string HeadOf(const ClientRequest& request) {
  std::string head = request.method + ' ' + request.path + " HTTP/1.1\r\n";
  AppendField("host", request.to.ToText(), &head);
  AppendField("connection", "close", &head);
  for (const Header& header : request.headers) {
    AppendField(header.name, header.value, &head);
  }
  if (HasLength(request)) {
    AppendField("content-length", std::to_string(request.body.size()), &head);
  }
  return head + "\r\n";
}

std::unique_ptr<http::AnswerReader> ReaderFor(const ClientRequest& request) {
  return std::make_unique<http::AnswerReader>(request.method == "HEAD");
}

size_t BytesOf(const std::vector<Header>& headers) {
  constexpr size_t kMarks = 4;  // ": " and the line's end
  size_t bytes = 0;
  for (const Header& header : headers) {
    bytes += header.name.size() + header.value.size() + kMarks;
  }
  return bytes;
}

// BeginConnecting returns a socket that connects to an address, or -1.
int BeginConnecting(const SocketAddress& to) {
  const int descriptor =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) return -1;
  SetSilenceLimits(descriptor, kSilenceLimit);
  BoundBuffer(descriptor, SO_RCVBUF);
  const sockaddr_in kernel = internal::ToKernel(to);
  const int failed = connect(
      descriptor, reinterpret_cast<const sockaddr*>(&kernel), sizeof(kernel));
  if (failed == 0 || errno == EINPROGRESS) return descriptor;
  close(descriptor);
  return -1;
}

}  // namespace

ClientCallImpl::ClientCallImpl(LoopState& owner, ClientRequest client_request)
    : impl(owner),
      request(std::move(client_request)),
      reader(ReaderFor(this->request)) {}

ClientCallImpl::~ClientCallImpl() { this->StopTimer(); }

void ClientCallImpl::Start() {
  this->descriptor = BeginConnecting(this->request.to);
  if (this->descriptor < 0) return this->ReportFailure("cannot connect");
  this->wsi = AdoptDescriptor(this->impl, this->descriptor, this);
  if (this->wsi == nullptr) return this->ReportFailure("cannot connect");
  this->SetTimer(this->request.connect_timeout, "connecting timed out");
  lws_callback_on_writable(this->wsi);
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
  this->paused = true;
  lws_rx_flow_control(this->wsi, 0);
  this->StopTimer();  // the silence is ours
}

void ClientCallImpl::ResumeReading() {
  if (this->wsi == nullptr) return;
  this->paused = false;
  lws_rx_flow_control(this->wsi, 1);
  this->SetTimer(this->request.idle_timeout, "the answer stopped");
}

bool ClientCallImpl::OnWritable() {
  if (!this->connected && !this->FinishConnecting()) return false;
  return this->SendSome();
}

bool ClientCallImpl::FinishConnecting() {
  int error = 0;
  socklen_t size = sizeof(error);
  getsockopt(this->descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0) return this->Fail("cannot connect");
  this->connected = true;
  this->output = HeadOf(this->request);
  this->output += std::exchange(this->request.body, {});
  this->SetTimer(this->request.first_byte_timeout, "no answer began in time");
  return true;
}

// A failed write ends nothing: an answer may have come before. The read that
// follows finds it, or the end of the connection.
bool ClientCallImpl::SendSome() {
  while (this->output_sent < this->output.size()) {
    const std::string_view rest =
        std::string_view(this->output).substr(this->output_sent);
    const ssize_t size = send(this->descriptor, rest.data(), rest.size(),
                              MSG_DONTWAIT | MSG_NOSIGNAL);
    if (size < 0) {
      if (IsForLater(errno)) lws_callback_on_writable(this->wsi);
      return true;
    }
    this->send_state = SendState::kSent;
    this->output_sent += static_cast<size_t>(size);
  }
  return true;
}

bool ClientCallImpl::OnReadable() {
  if (!this->connected && !this->FinishConnecting()) return false;
  std::array<char, kReadBytes> buffer;  // NOLINT: recv fills it
  for (int i = 0; i < kMaxReadsPerTurn && !this->paused; ++i) {
    const ssize_t size =
        recv(this->descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (size < 0 && IsForLater(errno)) return true;
    // An answer without a length could be cut off here and look complete.
    if (size <= 0) {
      return this->Fail("the connection closed before the answer was whole");
    }
    this->input.append(buffer.data(), static_cast<size_t>(size));
    if (!this->TakeAnswer()) return false;
  }
  return true;
}

bool ClientCallImpl::TakeAnswer() {
  http::ReadState state = this->reader->Feed(&this->input);
  while (state == http::ReadState::kWhole &&
         IsInformational(this->reader->status())) {
    this->reader = ReaderFor(this->request);
    state = this->reader->Feed(&this->input);
  }
  const bool is_sound =
      state == http::ReadState::kMore || state == http::ReadState::kWhole;
  if (!is_sound) return this->Fail("the answer is malformed");
  if (!this->TakeHead() || !this->TakeBody()) return false;
  return state == http::ReadState::kMore || this->Complete();
}

bool ClientCallImpl::TakeHead() {
  if (this->head_taken || !this->reader->head_done()) return true;
  this->head_taken = true;
  const std::vector<Header> headers =
      internal::KeepKnown(this->reader->TakeHeaders());
  if (BytesOf(headers) > kMaxFieldBytes) {
    return this->Fail("the answer is malformed");
  }
  this->SetTimer(this->request.idle_timeout, "the answer stopped");
  if (this->request.on_head) {
    this->request.on_head(this->reader->status(), headers);
  }
  return !this->ended;
}

bool ClientCallImpl::TakeBody() {
  const std::string piece = this->reader->TakeBody();
  if (piece.empty()) return true;
  this->SetTimer(this->request.idle_timeout, "the answer stopped");
  if (this->request.on_data) this->request.on_data(piece);
  return !this->ended;
}

bool ClientCallImpl::Complete() {
  const auto handler = std::move(this->request.on_end);
  this->CloseConnection();
  this->End();
  if (handler) handler();
  return false;
}

bool ClientCallImpl::Fail(std::string_view detail) {
  this->CloseConnection();
  this->ReportFailure(detail);
  return false;
}

void ClientCallImpl::OnClosed() {
  this->wsi = nullptr;
  // The loop's own end needs no report.
  if (this->impl.stopping) return this->StopTimer();
  this->ReportFailure("the connection closed before the answer was whole");
}

void ClientCallImpl::ReportFailure(std::string_view detail) {
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

std::shared_ptr<ClientCall> Loop::Call(ClientRequest request) {
  auto call = std::make_shared<ClientCallImpl>(*this->impl, std::move(request));
  this->impl->calls.emplace(call.get(), call);
  call->Start();
  return call;
}

}  // namespace samphirebank::net
