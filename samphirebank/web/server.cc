#include <set>
#include <utility>

#include "samphirebank/web/web.h"

namespace samphirebank::web {
namespace {

using boost::system::error_code;

// What a caller may send ahead while its request is answered.
constexpr size_t kMaxAhead = 256 << 10;

// Session is one connection of the small server.
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(std::shared_ptr<Connection> connected, asio::io_context& loop,
          const ServerOptions& given, std::shared_ptr<size_t> unanswered)
      : connection(std::move(connected)),
        timer(loop),
        options(given),
        num_unanswered(std::move(unanswered)) {}

  void Start() {
    this->reader = std::make_unique<RequestReader>(this->options.limits);
    this->connection->Start(
        [self = this->shared_from_this()] { self->OnData(); },
        [self = this->shared_from_this()](End) { self->timer.cancel(); });
    this->RestartTimer();
  }

 private:
  void RestartTimer() {
    this->timer.expires_after(this->options.idle_limit);
    this->timer.async_wait(
        [self = this->shared_from_this()](const error_code& stopped) {
          if (!stopped && !self->answering) self->connection->Close();
        });
  }

  void OnData() {
    if (this->answering) return this->BoundAhead();
    const ReadState state = this->reader->Feed(&this->connection->input());
    if (state == ReadState::kMore) {
      if (!this->reader->wants_continue()) return;
      return this->connection->Send(kContinue);
    }
    if (state != ReadState::kWhole) return this->Refuse(state);
    Request request = this->reader->Take();
    request.sender_gone = this->connection->OtherSideClosed();
    this->Answer(request);
  }

  void BoundAhead() {
    if (this->connection->input().size() > kMaxAhead) this->connection->Pause();
  }

  void Refuse(ReadState state) {
    int status = 400;
    if (state == ReadState::kHeadTooLarge) status = 431;
    if (state == ReadState::kBodyTooLarge) status = 413;
    this->connection->Send(EncodeAnswer({.status = status}, false));
    this->connection->CloseAfterSending();
  }

  void Answer(const Request& request) {
    this->answering = true;
    ++*this->num_unanswered;
    const bool keep = request.keep_alive;
    this->options.on_request(request, [self = this->shared_from_this(),
                                       keep](const web::Answer& answer) {
      self->connection->Send(EncodeAnswer(answer, keep));
      --*self->num_unanswered;
      if (!keep) return self->connection->CloseAfterSending();
      self->NextRequest();
    });
  }

  void NextRequest() {
    this->answering = false;
    this->connection->Resume();
    this->reader = std::make_unique<RequestReader>(this->options.limits);
    this->RestartTimer();
    if (!this->connection->input().empty()) this->OnData();
  }

  std::shared_ptr<Connection> connection;
  asio::steady_timer timer;
  const ServerOptions& options;
  std::unique_ptr<RequestReader> reader;
  bool answering = false;
  std::shared_ptr<size_t> num_unanswered;  // of all sessions
};

}  // namespace

struct Server::Impl {
  Impl(asio::io_context& loop, ServerOptions given)
      : options(std::move(given)),
        listener(loop, this->options.address,
                 [this, &loop](std::shared_ptr<Connection> connection) {
                   std::make_shared<Session>(std::move(connection), loop,
                                             this->options,
                                             this->num_unanswered)
                       ->Start();
                 }) {}

  ServerOptions options;
  // Shared with the sessions, which outlive the server.
  std::shared_ptr<size_t> num_unanswered = std::make_shared<size_t>(0);
  Listener listener;
};

Server::Server(asio::io_context& loop, ServerOptions options)
    : impl(std::make_shared<Impl>(loop, std::move(options))) {}

Server::~Server() = default;

void Server::Stop() { this->impl->listener.Stop(); }

size_t Server::num_unanswered() const { return *this->impl->num_unanswered; }

}  // namespace samphirebank::web
