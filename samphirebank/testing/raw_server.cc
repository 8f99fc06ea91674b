#include "samphirebank/testing/raw_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <stdexcept>
#include <string_view>
#include <utility>

#include "samphirebank/testing/processes.h"

namespace samphirebank::testing {
namespace {

// A connection on which nothing comes for so long is left for the next one.
constexpr timeval kSilence{.tv_sec = 2, .tv_usec = 0};

// ReadPiece appends what comes; false at the end.
bool ReadPiece(int from, std::string* received) {
  char piece[16384];
  const ssize_t count = recv(from, piece, sizeof(piece), 0);
  if (count <= 0) return false;
  received->append(piece, static_cast<size_t>(count));
  return true;
}

// BodyBytes returns the length that a request's head states.
size_t BodyBytes(std::string_view head) {
  constexpr std::string_view kField = "content-length: ";
  const size_t at = head.find(kField);
  if (at == std::string_view::npos) return 0;
  return std::stoul(std::string(head.substr(at + kField.size(), 16)));
}

// ReadHead reads to the end of a request's head. It returns where the body
// begins in `received`; 0 if the connection ended before.
size_t ReadHead(int from, std::string* received) {
  constexpr std::string_view kEnd = "\r\n\r\n";
  for (;;) {
    const size_t end = received->find(kEnd);
    if (end != std::string::npos) return end + kEnd.size();
    if (!ReadPiece(from, received)) return 0;
  }
}

bool ReadToEnd(int from, size_t body_begin, std::string* received) {
  const size_t size =
      body_begin + BodyBytes(std::string_view(*received).substr(0, body_begin));
  while (received->size() < size) {
    if (!ReadPiece(from, received)) return false;
  }
  return true;
}

void SendBytewise(int to, std::string_view bytes) {
  for (const char& byte : bytes) {
    if (send(to, &byte, 1, MSG_NOSIGNAL) != 1) return;
  }
}

void SetOptions(int connection) {
  const int on = 1;
  setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &kSilence, sizeof(kSilence));
}

void CloseByReset(int connection) {
  const linger at_once{.l_onoff = 1, .l_linger = 0};
  setsockopt(connection, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
  close(connection);
}

}  // namespace

RawServer::RawServer(std::string sound_answer)
    : listening_port(FreePort()),
      listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)),
      answer(std::move(sound_answer)) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(this->listening_port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const auto* generic = reinterpret_cast<const sockaddr*>(&address);
  const bool listens = bind(this->listener, generic, sizeof(address)) == 0 &&
                       listen(this->listener, SOMAXCONN) == 0;
  if (!listens) throw std::runtime_error("the raw server cannot listen");
  this->accepting = std::thread([this] { this->Accept(); });
}

RawServer::~RawServer() {
  shutdown(this->listener, SHUT_RDWR);
  this->accepting.join();
  close(this->listener);
}

void RawServer::Break(Breakage next) {
  const std::lock_guard lock(this->guard);
  this->breakage = std::move(next);
}

void RawServer::SetAnswer(std::string bytes) {
  const std::lock_guard lock(this->guard);
  this->answer = std::move(bytes);
}

bool RawServer::is_sound() const {
  const std::lock_guard lock(this->guard);
  return !this->breakage;
}

size_t RawServer::num_requests() const {
  const std::lock_guard lock(this->guard);
  return this->requests;
}

void RawServer::Accept() {
  for (;;) {
    const int connection =
        accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (connection < 0) return;
    SetOptions(connection);
    this->Serve(connection);
  }
}

// TakeBreakage counts a request and returns what it gets in place of the
// answer.
std::optional<Breakage> RawServer::TakeBreakage() {
  const std::lock_guard lock(this->guard);
  ++this->requests;
  return std::exchange(this->breakage, std::nullopt);
}

void RawServer::Serve(int connection) {
  std::string received;
  const size_t body_begin = ReadHead(connection, &received);
  if (body_begin == 0) {
    close(connection);
    return;
  }
  const std::optional<Breakage> broken = this->TakeBreakage();
  if (broken && broken->resets) {
    SendBytewise(connection, broken->bytes);
    return CloseByReset(connection);
  }
  if (ReadToEnd(connection, body_begin, &received)) {
    std::string bytes;
    {
      const std::lock_guard lock(this->guard);
      bytes = broken ? broken->bytes : this->answer;
    }
    SendBytewise(connection, bytes);
  }
  close(connection);
}

}  // namespace samphirebank::testing
