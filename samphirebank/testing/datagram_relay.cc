#include "samphirebank/testing/datagram_relay.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <stdexcept>

namespace samphirebank::testing {
namespace {

constexpr int kTurnMilliseconds = 2;
constexpr size_t kLargestDatagram = 65'536;

sockaddr_in Loopback(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

}  // namespace

DatagramRelay::DatagramRelay(const RelayOptions& relay_options)
    : options(relay_options), random(relay_options.seed) {
  this->thread = std::thread([this] { this->Run(); });
}

DatagramRelay::~DatagramRelay() {
  this->stopping = true;
  this->thread.join();
  for (const Front& front : this->fronts) close(front.descriptor);
}

uint16_t DatagramRelay::Add(const std::string& group, uint16_t bound_port) {
  const int descriptor = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0);
  sockaddr_in address = Loopback(0);
  socklen_t size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (bind(descriptor, generic, size) != 0) {
    throw std::runtime_error("cannot bind a relay port");
  }
  getsockname(descriptor, generic, &size);
  const std::lock_guard lock(this->mutex);
  this->groups[bound_port] = group;
  this->fronts.push_back(
      {.descriptor = descriptor, .bound_port = bound_port, .group = group});
  return ntohs(address.sin_port);
}

void DatagramRelay::Cut(const std::string& group, bool cut) {
  const std::lock_guard lock(this->mutex);
  if (cut) {
    this->cuts.insert(group);
  } else {
    this->cuts.erase(group);
  }
}

void DatagramRelay::Drop(double fraction) {
  const std::lock_guard lock(this->mutex);
  this->options.drop = fraction;
}

void DatagramRelay::Run() {
  while (!this->stopping) {
    std::vector<pollfd> waiting;
    {
      const std::lock_guard lock(this->mutex);
      for (const Front& front : this->fronts) {
        waiting.push_back({.fd = front.descriptor, .events = POLLIN});
      }
    }
    poll(waiting.data(), waiting.size(), kTurnMilliseconds);
    const std::lock_guard lock(this->mutex);
    for (size_t i = 0; i < waiting.size(); ++i) {
      if ((waiting[i].revents & POLLIN) != 0) this->Receive(i);
    }
    this->SendDue();
  }
}

void DatagramRelay::Receive(size_t front) {
  static thread_local std::array<char, kLargestDatagram> buffer;
  const Front& to = this->fronts[front];
  for (;;) {
    sockaddr_in source{};
    socklen_t size = sizeof(source);
    const ssize_t count =
        recvfrom(to.descriptor, buffer.data(), buffer.size(), 0,
                 reinterpret_cast<sockaddr*>(&source), &size);
    if (count < 0) return;
    const uint16_t port = ntohs(source.sin_port);
    const std::string& from = this->groups[port];
    if (this->Loses(from, port, to)) continue;
    const bool same = from == to.group;
    if (!same) this->between += static_cast<uint64_t>(count);
    const auto delay =
        same ? std::chrono::milliseconds(0) : this->options.delay;
    this->held.emplace(
        Clock::now() + delay,
        Held{.front = front,
             .bytes = {buffer.data(), static_cast<size_t>(count)}});
  }
}

bool DatagramRelay::Loses(const std::string& from, uint16_t port,
                          const Front& to) {
  if (this->cuts.contains(std::to_string(port))) return true;
  if (this->cuts.contains(std::to_string(to.bound_port))) return true;
  if (from == to.group) return false;
  if (this->cuts.contains(from) || this->cuts.contains(to.group)) return true;
  std::uniform_real_distribution<double> chance(0, 1);
  return chance(this->random) < this->options.drop;
}

void DatagramRelay::SendDue() {
  while (!this->held.empty() && this->held.begin()->first <= Clock::now()) {
    const Held& next = this->held.begin()->second;
    const Front& to = this->fronts[next.front];
    const sockaddr_in address = Loopback(to.bound_port);
    sendto(to.descriptor, next.bytes.data(), next.bytes.size(), 0,
           reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    this->held.erase(this->held.begin());
  }
}

}  // namespace samphirebank::testing
