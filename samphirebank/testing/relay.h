// File: relay.h
//
// TCP programs between and behind the processes under test: a relay whose
// connections can be delayed, reset, cut one way or silenced for good, and a
// server that streams without end.
//
// Example:
//
//   testing::Relay relay(target_port);  // callers use relay.port()
//   relay.Silence();                    // what is open now passes no byte
#ifndef SAMPHIREBANK_TESTING_RELAY_H_
#define SAMPHIREBANK_TESTING_RELAY_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <thread>

namespace samphirebank::testing {

// Relay passes bytes between those who connect to it and a port of this host.
class Relay {
 public:
  explicit Relay(uint16_t target_port);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  uint16_t port() const { return this->listen_port; }
  // Silence stops all bytes of the connections that are open now, in both
  // directions, without closing them. New connections pass.
  void Silence();
  // CutAnswers stops the bytes of the connections that are open now towards
  // those who connected, without closing them. The other direction passes.
  void CutAnswers();
  // Reset breaks all connections that are open now.
  void Reset();
  // Delay holds all bytes back for a time, on all connections.
  void Delay(std::chrono::milliseconds span);
  // accepted counts the connections so far.
  int accepted() const { return this->accept_count; }

 private:
  void Run();

  uint16_t to = 0;
  uint16_t listen_port = 0;
  int listener = -1;
  std::atomic<int> accept_count = 0;
  enum class Order : uint8_t { kNone, kSilence, kCutAnswers, kReset };
  // Carry waits until the relay's thread has carried an order out.
  void Carry(Order given);
  std::atomic<Order> order = Order::kNone;
  std::atomic<int64_t> delay_ms = 0;
  std::atomic<bool> stopping = false;
  std::thread thread;
};

// EndlessServer answers every connection with a chunked stream of server-sent
// events that never ends, as fast as the other side takes it.
class EndlessServer {
 public:
  EndlessServer();
  ~EndlessServer();
  EndlessServer(const EndlessServer&) = delete;
  EndlessServer& operator=(const EndlessServer&) = delete;

  uint16_t port() const { return this->listen_port; }
  // open counts the connections that the other side has not closed.
  int open() const { return this->open_count; }

 private:
  void Run();

  uint16_t listen_port = 0;
  int listener = -1;
  std::atomic<int> open_count = 0;
  std::atomic<bool> stopping = false;
  std::thread thread;
};

}  // namespace samphirebank::testing

#endif  // SAMPHIREBANK_TESTING_RELAY_H_
