#include "samphirebank/net/internal/hangup_watch.h"

#include <sys/epoll.h>

#include <array>
#include <utility>

namespace samphirebank::net {
namespace {

constexpr int kEventsPerTurn = 64;

}  // namespace

HangupWatch::HangupWatch(LoopState& state)
    : epoll(epoll_create1(EPOLL_CLOEXEC)) {
  AdoptDescriptor(state, this->epoll, this);
}

void HangupWatch::Watch(int socket, std::function<void()> on_hangup) {
  this->Unwatch(socket);
  epoll_event event{};
  event.events = EPOLLRDHUP | EPOLLONESHOT;
  event.data.fd = socket;
  if (epoll_ctl(this->epoll, EPOLL_CTL_ADD, socket, &event) != 0) return;
  this->actions[socket] = std::move(on_hangup);
}

void HangupWatch::Unwatch(int socket) {
  if (this->actions.erase(socket) == 0) return;
  epoll_ctl(this->epoll, EPOLL_CTL_DEL, socket, nullptr);
}

bool HangupWatch::OnReadable() {
  std::array<epoll_event, kEventsPerTurn> events{};
  const int count = epoll_wait(this->epoll, events.data(), kEventsPerTurn, 0);
  for (int i = 0; i < count; ++i) {
    const int socket = events.at(i).data.fd;
    const auto found = this->actions.find(socket);
    if (found == this->actions.end()) continue;
    const std::function<void()> action = found->second;
    this->Unwatch(socket);
    action();
  }
  return true;
}

}  // namespace samphirebank::net
