#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/resource.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <stdexcept>
#include <utility>

#include "samphirebank/net/internal/loop_impl.h"

namespace samphirebank::net {
namespace {

constexpr rlim_t kMaxDescriptors = 16'384;
constexpr int kMaxHeaderBytes = 8'192;
constexpr int kMaxHeaderTables = 8'192;
constexpr int kHeaderTimeoutSeconds = 10;
constexpr int kBufferBytes = 131'072;
constexpr int kKeepaliveIdleSeconds = 5;
constexpr int kKeepaliveProbes = 3;
constexpr int kKeepaliveIntervalSeconds = 2;

const std::array<lws_protocols, 3> kProtocols = {{
    {"http-server", ServerCallback, 0, 0, 0, nullptr, 0},
    {"raw", RawCallback, 0, 0, 0, nullptr, 0},
    {nullptr, nullptr, 0, 0, 0, nullptr, 0},
}};

// The library sizes its tables by the descriptor limit.
void CapDescriptors() {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = std::min(limit.rlim_max, kMaxDescriptors);
  setrlimit(RLIMIT_NOFILE, &limit);
}

lws_usec_t ToMicroseconds(Duration duration) {
  const auto us =
      std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
  return std::max<lws_usec_t>(us, 1);
}

void OnTimer(lws_sorted_usec_list_t* sul) {
  auto* timer = reinterpret_cast<Timer*>(sul);
  LoopState& impl = *timer->owner;
  const TimerId id = timer->id;
  if (timer->period > Duration::zero()) {
    lws_sul_schedule(impl.context, 0, &timer->sul, OnTimer,
                     ToMicroseconds(timer->period));
    const std::function<void()> action = timer->action;
    action();
    return;
  }
  const std::function<void()> action = std::move(timer->action);
  impl.timers.erase(id);
  action();
}

TimerId AddTimer(LoopState& impl, Duration delay, Duration period,
                 std::function<void()> action) {
  auto timer = std::make_unique<Timer>();
  timer->owner = &impl;
  timer->id = TimerId(impl.next_timer++);
  timer->period = period;
  timer->action = std::move(action);
  lws_sul_schedule(impl.context, 0, &timer->sul, OnTimer,
                   ToMicroseconds(delay));
  const TimerId id = timer->id;
  impl.timers.emplace(id, std::move(timer));
  return id;
}

// SignalReader hands signals from a signalfd to their actions.
class SignalReader : public RawHandler {
 public:
  explicit SignalReader(LoopState& owner) : impl(owner) {
    sigemptyset(&this->mask);
    this->descriptor = signalfd(-1, &this->mask, SFD_NONBLOCK | SFD_CLOEXEC);
    AdoptDescriptor(this->impl, this->descriptor, this);
  }

  void Watch(int signal) {
    sigaddset(&this->mask, signal);
    sigprocmask(SIG_BLOCK, &this->mask, nullptr);
    signalfd(this->descriptor, &this->mask, SFD_NONBLOCK | SFD_CLOEXEC);
  }

  bool OnReadable() override {
    signalfd_siginfo info{};
    while (read(this->descriptor, &info, sizeof(info)) == sizeof(info)) {
      const auto found =
          this->impl.signal_actions.find(static_cast<int>(info.ssi_signo));
      if (found != this->impl.signal_actions.end()) found->second();
    }
    return true;
  }
  bool OnWritable() override { return true; }
  void OnClosed() override {}

 private:
  LoopState& impl;
  sigset_t mask{};
  int descriptor = -1;
};

}  // namespace

const lws_protocols* Protocols() { return kProtocols.data(); }

LoopState& OfContext(lws* wsi) {
  return *static_cast<LoopState*>(lws_context_user(lws_get_context(wsi)));
}

void SetSilenceLimits(int socket, Duration limit) {
  const int on = 1;
  const auto ms = static_cast<unsigned int>(
      std::chrono::duration_cast<std::chrono::milliseconds>(limit).count());
  setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &kKeepaliveIdleSeconds,
             sizeof(kKeepaliveIdleSeconds));
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &kKeepaliveIntervalSeconds,
             sizeof(kKeepaliveIntervalSeconds));
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &kKeepaliveProbes,
             sizeof(kKeepaliveProbes));
}

void BoundBuffer(int socket, int direction) {
  setsockopt(socket, SOL_SOCKET, direction, &kBufferBytes,
             sizeof(kBufferBytes));
}

lws* AdoptDescriptor(LoopState& impl, int descriptor, RawHandler* handler) {
  lws_sock_file_fd_type file{};
  file.filefd = descriptor;
  lws* wsi = lws_adopt_descriptor_vhost(
      impl.client_vhost, LWS_ADOPT_RAW_FILE_DESC, file, "raw", nullptr);
  if (wsi == nullptr) {
    close(descriptor);
    return nullptr;
  }
  lws_set_opaque_user_data(wsi, handler);
  return wsi;
}

int RawCallback(lws* wsi, lws_callback_reasons reason, void* /*user*/,
                void* /*in*/, size_t /*length*/) {
  auto* handler = static_cast<RawHandler*>(lws_get_opaque_user_data(wsi));
  if (handler == nullptr) return 0;
  switch (reason) {
    case LWS_CALLBACK_RAW_RX_FILE:
      return handler->OnReadable() ? 0 : -1;
    case LWS_CALLBACK_RAW_WRITEABLE_FILE:
      return handler->OnWritable() ? 0 : -1;
    case LWS_CALLBACK_RAW_CLOSE_FILE:
      lws_set_opaque_user_data(wsi, nullptr);
      handler->OnClosed();
      return 0;
    default:
      return 0;
  }
}

Loop::Loop() : impl(std::make_unique<LoopState>()) {
  CapDescriptors();
  lws_set_log_level(0, nullptr);
  lws_context_creation_info info{};
  info.port = CONTEXT_PORT_NO_LISTEN;
  info.protocols = kProtocols.data();
  info.user = this->impl.get();
  info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS;
  info.max_http_header_data = kMaxHeaderBytes;
  info.max_http_header_pool = kMaxHeaderTables;
  info.timeout_secs = kHeaderTimeoutSeconds;
  this->impl->loop = this;
  this->impl->context = lws_create_context(&info);
  if (this->impl->context == nullptr) {
    throw std::runtime_error("cannot create the event loop");
  }
  info.vhost_name = "client";
  info.user = nullptr;  // only virtual hosts that listen have options
  this->impl->client_vhost = lws_create_vhost(this->impl->context, &info);
  if (this->impl->client_vhost == nullptr) {
    throw std::runtime_error("cannot create the client side of the loop");
  }
}

Loop::~Loop() {
  for (auto& [id, timer] : this->impl->timers) {
    lws_sul_schedule(this->impl->context, 0, &timer->sul, nullptr,
                     LWS_SET_TIMER_USEC_CANCEL);
  }
  this->impl->stopping = true;
  lws_context_destroy(this->impl->context);
}

TimePoint Loop::Now() { return std::chrono::steady_clock::now(); }

TimerId Loop::After(Duration delay, std::function<void()> action) {
  return AddTimer(*this->impl, delay, Duration::zero(), std::move(action));
}

TimerId Loop::Every(Duration period, std::function<void()> action) {
  return AddTimer(*this->impl, period, period, std::move(action));
}

void Loop::Cancel(TimerId timer) {
  const auto found = this->impl->timers.find(timer);
  if (found == this->impl->timers.end()) return;
  lws_sul_schedule(this->impl->context, 0, &found->second->sul, nullptr,
                   LWS_SET_TIMER_USEC_CANCEL);
  this->impl->timers.erase(found);
}

void Loop::Run() {
  while (!this->impl->stopping) {
    if (lws_service(this->impl->context, 0) < 0) return;
  }
}

void Loop::Stop() {
  this->impl->stopping = true;
  lws_cancel_service(this->impl->context);
}

void Loop::OnSignal(int signal, std::function<void()> action) {
  this->impl->signal_actions[signal] = std::move(action);
  if (this->impl->signal_reader == nullptr) {
    this->impl->signal_reader = std::make_unique<SignalReader>(*this->impl);
  }
  static_cast<SignalReader&>(*this->impl->signal_reader).Watch(signal);
}

}  // namespace samphirebank::net
