#include "samphirebank/gateway/internal/session.h"

#include <utility>

#include "samphirebank/gateway/internal/exchange.h"
#include "samphirebank/gateway/internal/server.h"
#include "samphirebank/process/process.h"

namespace samphirebank::gateway {
namespace {

using boost::system::error_code;

// A request's body may take this long after its head.
constexpr Duration kBodyLimit = std::chrono::seconds(10);
// What a caller may send ahead while its request is answered.
constexpr size_t kMostAhead = 256 << 10;

}  // namespace

Session::Session(Server& owner, std::shared_ptr<web::Connection> accepted)
    : server(owner),
      connection(std::move(accepted)),
      account(owner.budget()),
      timer(owner.loop()) {}

void Session::Start() {
  this->connection->Start(
      [self = this->shared_from_this()] {
        self->Guard([&self] { self->OnData(); });
      },
      [self = this->shared_from_this()](web::End) {
        self->Guard([&self] { self->OnEnd(); });
      });
  this->NextRequest();
}

void Session::SetTimer(Duration limit) {
  this->timer.expires_after(limit);
  this->timer.async_wait(
      [weak = this->weak_from_this()](const error_code& stopped) {
        const auto self = weak.lock();
        if (stopped || self == nullptr || self->answering()) return;
        self->connection->Close();
        self->server.Forget(*self);
      });
}

void Session::NextRequest() {
  this->exchange.reset();
  this->account.Release();
  this->organisation = {};
  this->reading = false;
  const routes::CallerLimits limits = this->server.limits();
  this->reader = std::make_unique<web::RequestReader>(
      web::ReadLimits{.head_bytes = limits.max_header_bytes,
                      .body_bytes = limits.max_body_bytes});
  this->SetTimer(limits.idle_timeout);
  if (!this->connection->input().empty()) this->ReadRequest();
}

void Session::OnData() {
  if (!this->answering()) return this->ReadRequest();
  if (this->connection->input().size() > kMostAhead) this->connection->Pause();
}

void Session::OnEnd() {
  this->timer.cancel();
  if (const auto running = std::exchange(this->exchange, nullptr)) {
    running->CallerLeft();
  }
  this->server.Forget(*this);
}

void Session::Guard(const std::function<void()>& handler) {
  if (!process::Contain(handler)) this->Abandon();
}

void Session::Abandon() {
  this->OnEnd();
  this->connection->CloseAfterSending();
}

void Session::ReadRequest() {
  const bool had_head = this->reader->head_done();
  const web::ReadState state = this->reader->Feed(&this->connection->input());
  const bool goes_on =
      state == web::ReadState::kMore || state == web::ReadState::kWhole;
  if (goes_on && this->reader->head_done() && !this->HasMemory()) {
    return this->RefuseForMemory();
  }
  if (state == web::ReadState::kMore) {
    const bool begins = !std::exchange(this->reading, true);
    if (begins) this->SetTimer(this->server.limits().header_timeout);
    const bool has_head = this->reader->head_done();
    if (had_head || !has_head) return;
    this->SetTimer(kBodyLimit);
    if (this->reader->wants_continue()) this->connection->Send(web::kContinue);
    return;
  }
  this->timer.cancel();
  if (state != web::ReadState::kWhole) return this->RefuseRequest(state);
  // What waited for long may have been given up.
  if (this->server.IsLate(process::Now()) &&
      this->connection->OtherSideClosed()) {
    this->server.NoteGivenUpUnread();
    this->connection->Close();
    return this->server.Forget(*this);
  }
  web::Request request = this->reader->Take();
  this->keep_alive = request.keep_alive;
  this->exchange =
      std::make_shared<Exchange>(this->server, *this, std::move(request));
  // The exchange may end, and with it be replaced, inside Start.
  const std::shared_ptr<Exchange> started = this->exchange;
  started->Start();
}

bool Session::HasMemory() {
  const Bytes held(static_cast<int64_t>(this->reader->held()));
  const bool is_long = held > this->server.budget()->options.short_request;
  const bool is_unknown = this->organisation == OrganisationId();
  if (is_long && is_unknown && this->server.has_budget()) {
    this->organisation = this->server.OrganisationOf(this->reader->TakeHead());
  }
  return this->account.Resize(this->organisation, held, process::Now());
}

// The body is not read any more, so the connection cannot be kept.
void Session::RefuseForMemory() {
  this->timer.cancel();
  this->account.Release();
  this->keep_alive = false;
  this->exchange =
      std::make_shared<Exchange>(this->server, *this, this->reader->TakeHead());
  const std::shared_ptr<Exchange> started = this->exchange;
  started->RefuseForMemory();
}

void Session::RefuseRequest(web::ReadState state) {
  int status = 400;
  if (state == web::ReadState::kHeadTooLarge) status = 431;
  if (state == web::ReadState::kBodyTooLarge) status = 413;
  this->server.NoteUnreadable(status);
  this->connection->Send(web::EncodeAnswer({.status = status}, false));
  this->connection->CloseAfterSending();
  this->server.Forget(*this);
}

void Session::CloseIfIdle() {
  if (this->answering() || this->reading) return;
  this->connection->CloseAfterSending();
  this->server.Forget(*this);
}

void Session::OnQuarantine() {
  // It may end, and be replaced, inside the call.
  const std::shared_ptr<Exchange> running = this->exchange;
  if (running != nullptr) running->OnQuarantine();
}

void Session::ReportProgress(quarantine::Ages* ages) const {
  if (this->exchange != nullptr) this->exchange->ReportProgress(ages);
}

void Session::OnShutdown() {
  const std::shared_ptr<Exchange> running = this->exchange;
  if (running == nullptr) return this->CloseIfIdle();
  running->OnShutdown();
}

bool Session::KeepsAlive() {
  return this->keep_alive && this->server.KeepsCaller(process::Now());
}

void Session::OnDrained(std::function<void()> action) {
  this->connection->OnDrained(std::move(action));
}

void Session::Reply(const web::Answer& answer) {
  const bool keeps = this->KeepsAlive();
  this->connection->Send(web::EncodeAnswer(answer, keeps));
  this->told_close = !keeps;
  this->EndAnswer();
}

void Session::BeginChunks(int status, const web::Headers& headers) {
  const bool keeps = this->KeepsAlive();
  this->told_close = !keeps;
  this->connection->Send(web::EncodeChunkedHead(status, headers, keeps));
}

void Session::SendChunk(std::string_view piece) {
  if (!piece.empty()) this->connection->Send(web::EncodeChunk(piece));
}

void Session::EndChunks() {
  this->connection->Send(web::kLastChunk);
  this->EndAnswer();
}

void Session::EndAnswer() {
  this->connection->OnDrained({});
  if (this->told_close) {
    this->exchange.reset();
    this->connection->CloseAfterSending();
    return this->server.Forget(*this);
  }
  this->connection->Resume();
  this->NextRequest();
}

void Session::Cut() {
  this->exchange.reset();
  // An orderly close, so that the pieces that were sent arrive; without its
  // last chunk the answer does not look whole.
  this->connection->CloseAfterSending();
  this->server.Forget(*this);
}

}  // namespace samphirebank::gateway
