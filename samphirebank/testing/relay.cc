#include "samphirebank/testing/relay.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstddef>
#include <cstdio>
#include <string>
#include <vector>

namespace samphirebank::testing {
namespace {

constexpr int kTurnMs = 20;
constexpr size_t kPieceBytes = 16'384;

sockaddr_in Loopback(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

int Listen(uint16_t& port) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  sockaddr_in address = Loopback(0);
  socklen_t size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  bind(listener, generic, size);
  listen(listener, SOMAXCONN);
  getsockname(listener, generic, &size);
  port = ntohs(address.sin_port);
  return listener;
}

using Clock = std::chrono::steady_clock;

// Flow is one direction of a relayed connection.
struct Flow {
  int from = -1;
  int to = -1;
  std::string rest = {};       // not taken yet by `to`
  Clock::time_point due = {};  // when the rest may be passed on
};

// kNobody is what poll passes over.
constexpr int kNobody = -1;

pollfd Awaited(const Flow& flow) {
  if (flow.rest.empty()) return {flow.from, POLLIN, 0};
  if (Clock::now() < flow.due) return {kNobody, 0, 0};
  return {flow.to, POLLOUT, 0};
}

// Pass moves what it can; false when a side is gone.
bool Pass(Flow& flow, std::chrono::milliseconds delay) {
  if (flow.rest.empty()) {
    char piece[kPieceBytes];
    const ssize_t count = recv(flow.from, piece, sizeof(piece), MSG_DONTWAIT);
    if (count < 0) return errno == EAGAIN;
    if (count == 0) return false;
    flow.rest.assign(piece, static_cast<size_t>(count));
    flow.due = Clock::now() + delay;
  }
  if (Clock::now() < flow.due) return true;
  const ssize_t count = send(flow.to, flow.rest.data(), flow.rest.size(),
                             MSG_NOSIGNAL | MSG_DONTWAIT);
  if (count < 0) return errno == EAGAIN;
  flow.rest.erase(0, static_cast<size_t>(count));
  return true;
}

// Pair is one relayed connection.
struct Pair {
  Flow request;
  Flow answer;
  bool silent = false;
  bool answers_cut = false;
  bool closed = false;
};

// PassBoth moves what it can; false when a side is gone.
bool PassBoth(Pair& pair, std::chrono::milliseconds delay) {
  if (!Pass(pair.request, delay)) return false;
  return pair.answers_cut || Pass(pair.answer, delay);
}

void Close(Pair& pair) {
  close(pair.request.from);
  close(pair.request.to);
  pair.closed = true;
}

// Break closes both ends so that they see a reset.
void Break(Pair& pair) {
  const linger now{.l_onoff = 1, .l_linger = 0};
  setsockopt(pair.request.from, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  setsockopt(pair.request.to, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  Close(pair);
}

// EventPiece is a chunk of many whole events.
std::string EventPiece() {
  const std::string event =
      "data: {\"choices\":[{\"text\":\"" + std::string(200, 'x') + "\"}]}\n\n";
  std::string events;
  while (events.size() < kPieceBytes) events += event;
  char line[32];
  std::snprintf(line, sizeof(line), "%zx\r\n", events.size());
  return line + events + "\r\n";
}

// HeadFor answers a request head that names itself; empty until it is whole.
std::string HeadFor(const std::string& request) {
  if (request.find("\r\n\r\n") == std::string::npos) return {};
  std::string head =
      "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n"
      "content-type: text/event-stream\r\n";
  const size_t name = request.find("samphirebank-request-id:");
  if (name != std::string::npos) {
    head += request.substr(name, request.find("\r\n", name) + 2 - name);
  }
  return head + "\r\n";
}

// Stream is one connection of the endless server.
struct Stream {
  int descriptor = -1;
  std::string request;
  std::string rest;  // not taken yet by the other side
};

// Serve does what the connection is ready for; false when it is gone.
bool Serve(Stream& stream, const std::string& piece, int16_t events) {
  if ((events & (POLLIN | POLLHUP | POLLERR)) != 0) {
    char buffer[4096];
    const ssize_t count =
        recv(stream.descriptor, buffer, sizeof(buffer), MSG_DONTWAIT);
    if (count <= 0) return false;
    const bool had_head = !HeadFor(stream.request).empty();
    stream.request.append(buffer, static_cast<size_t>(count));
    if (!had_head) stream.rest = HeadFor(stream.request);
  }
  if ((events & POLLOUT) == 0 || HeadFor(stream.request).empty()) return true;
  if (stream.rest.empty()) stream.rest = piece;
  const ssize_t count = send(stream.descriptor, stream.rest.data(),
                             stream.rest.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  if (count > 0) stream.rest.erase(0, static_cast<size_t>(count));
  return true;
}

}  // namespace

Relay::Relay(uint16_t target_port)
    : to(target_port), listener(Listen(this->listen_port)) {
  this->thread = std::thread([this] { this->Run(); });
}

Relay::~Relay() {
  this->stopping = true;
  this->thread.join();
  close(this->listener);
}

void Relay::Silence() { this->Carry(Order::kSilence); }

void Relay::CutAnswers() { this->Carry(Order::kCutAnswers); }

void Relay::Reset() { this->Carry(Order::kReset); }

void Relay::Delay(std::chrono::milliseconds span) {
  this->delay_ms = span.count();
}

void Relay::Carry(Order given) {
  this->order = given;
  while (this->order != Order::kNone) std::this_thread::yield();
}

void Relay::Run() {
  std::vector<Pair> pairs;
  while (!this->stopping) {
    const Order given = this->order;
    for (Pair& pair : pairs) {
      if (pair.closed) continue;
      if (given == Order::kSilence) pair.silent = true;
      if (given == Order::kCutAnswers) pair.answers_cut = true;
      if (given == Order::kReset) Break(pair);
    }
    std::erase_if(pairs, [](const Pair& pair) { return pair.closed; });
    this->order = Order::kNone;
    const std::chrono::milliseconds delay(this->delay_ms);
    std::vector<pollfd> polled = {{this->listener, POLLIN, 0}};
    for (const Pair& pair : pairs) {
      if (pair.silent) continue;
      polled.push_back(Awaited(pair.request));
      if (!pair.answers_cut) polled.push_back(Awaited(pair.answer));
    }
    poll(polled.data(), polled.size(), kTurnMs);
    for (Pair& pair : pairs) {
      if (pair.silent || pair.closed) continue;
      if (!PassBoth(pair, delay)) Close(pair);
    }
    const int near = accept(this->listener, nullptr, nullptr);
    if (near < 0) continue;
    const int far = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = Loopback(this->to);
    connect(far, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    pairs.push_back({.request = {.from = near, .to = far},
                     .answer = {.from = far, .to = near}});
    ++this->accept_count;
  }
  for (Pair& pair : pairs) {
    if (!pair.closed) Close(pair);
  }
}

EndlessServer::EndlessServer() : listener(Listen(this->listen_port)) {
  this->thread = std::thread([this] { this->Run(); });
}

EndlessServer::~EndlessServer() {
  this->stopping = true;
  this->thread.join();
  close(this->listener);
}

void EndlessServer::Run() {
  const std::string piece = EventPiece();
  std::vector<Stream> streams;
  while (!this->stopping) {
    std::vector<pollfd> polled = {{this->listener, POLLIN, 0}};
    for (const Stream& stream : streams) {
      const bool writes = !HeadFor(stream.request).empty();
      const auto events = static_cast<int16_t>(POLLIN | (writes ? POLLOUT : 0));
      polled.push_back({stream.descriptor, events, 0});
    }
    poll(polled.data(), polled.size(), kTurnMs);
    for (size_t i = 0; i < streams.size(); ++i) {
      Stream& stream = streams[i];
      if (stream.descriptor < 0 || polled[i + 1].revents == 0) continue;
      if (Serve(stream, piece, polled[i + 1].revents)) continue;
      close(stream.descriptor);
      stream.descriptor = -1;
      --this->open_count;
    }
    const int accepted = accept(this->listener, nullptr, nullptr);
    if (accepted < 0) continue;
    streams.push_back({.descriptor = accepted, .request = {}, .rest = {}});
    ++this->open_count;
  }
  for (const Stream& stream : streams) {
    if (stream.descriptor >= 0) close(stream.descriptor);
  }
}

}  // namespace samphirebank::testing
