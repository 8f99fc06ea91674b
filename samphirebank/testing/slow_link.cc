#include "samphirebank/testing/slow_link.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <stdexcept>

#include "samphirebank/testing/processes.h"

namespace samphirebank::testing {
namespace {

int Socket() { return socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0); }

sockaddr_in Loopback(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// Read returns the next piece; empty at the end.
std::string Read(int from) {
  char piece[16384];
  const ssize_t count = recv(from, piece, sizeof(piece), 0);
  return {piece, static_cast<size_t>(std::max<ssize_t>(0, count))};
}

bool Write(int to, const std::string& piece) {
  return send(to, piece.data(), piece.size(), MSG_NOSIGNAL) ==
         static_cast<ssize_t>(piece.size());
}

}  // namespace

SlowLink::SlowLink(uint16_t server_port)
    : server(server_port), listening_port(FreePort()), listener(Socket()) {
  const sockaddr_in address = Loopback(this->listening_port);
  const auto* generic = reinterpret_cast<const sockaddr*>(&address);
  const bool listens = bind(this->listener, generic, sizeof(address)) == 0 &&
                       listen(this->listener, SOMAXCONN) == 0;
  if (!listens) throw std::runtime_error("the link cannot listen");
  this->accepting = std::thread([this] { this->Accept(); });
}

SlowLink::~SlowLink() {
  this->Release();
  shutdown(this->listener, SHUT_RDWR);
  this->accepting.join();
  for (std::thread& thread : this->passing) thread.join();
  close(this->listener);
}

void SlowLink::Hold(const std::string& text) {
  const std::lock_guard lock(this->guard);
  this->stopped = false;
  this->held_text = text;
}

void SlowLink::Release() {
  const std::lock_guard lock(this->guard);
  this->held_text.clear();
}

void SlowLink::Accept() {
  for (;;) {
    const int caller = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (caller < 0) return;
    this->passing.emplace_back([this, caller] { this->Pass(caller); });
  }
}

void SlowLink::WaitIfHeld(const std::string& piece) {
  WaitUntil([&] {
    const std::lock_guard lock(this->guard);
    const bool held = !this->held_text.empty() &&
                      piece.find(this->held_text) != std::string::npos;
    if (held) this->stopped = true;
    return !held;
  });
}

void SlowLink::Pass(int caller) {
  const int callee = Socket();
  const sockaddr_in address = Loopback(this->server);
  connect(callee, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  pollfd ends[] = {{.fd = caller, .events = POLLIN, .revents = 0},
                   {.fd = callee, .events = POLLIN, .revents = 0}};
  for (bool open = true; open;) {
    poll(ends, 2, -1);
    for (size_t i = 0; i < 2 && open; ++i) {
      if (ends[i].revents == 0) continue;
      const std::string piece = Read(ends[i].fd);
      if (i == 0) this->WaitIfHeld(piece);
      open = !piece.empty() && Write(ends[1 - i].fd, piece);
    }
  }
  close(caller);
  close(callee);
}

}  // namespace samphirebank::testing
