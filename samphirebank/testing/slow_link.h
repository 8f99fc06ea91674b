// File: slow_link.h
//
// A stretch of network between a caller and a server on loopback: it passes
// all bytes on, and can hold back what a caller sends.
//
// Example:
//
//   testing::SlowLink link(server_port);
//   link.Hold("x-late: 1\r\n");  // callers now connect to link.port()
//   testing::WaitUntil([&] { return link.holding(); });
//   link.Release();
#ifndef SAMPHIREBANK_TESTING_SLOW_LINK_H_
#define SAMPHIREBANK_TESTING_SLOW_LINK_H_

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace samphirebank::testing {

// SlowLink passes connections on to a port, a thread for each.
class SlowLink {
 public:
  explicit SlowLink(uint16_t server);
  ~SlowLink();
  SlowLink(const SlowLink&) = delete;
  SlowLink& operator=(const SlowLink&) = delete;

  uint16_t port() const { return this->listening_port; }

  // Hold stops connections on which a caller sends `text`, before it arrives.
  void Hold(const std::string& text);
  // holding tells whether something was stopped since Hold.
  bool holding() const { return this->stopped; }
  // Release passes on all that was stopped, and stops nothing more.
  void Release();

 private:
  void Accept();
  void Pass(int caller);
  void WaitIfHeld(const std::string& piece);

  uint16_t server;
  uint16_t listening_port;
  int listener;
  std::mutex guard;
  std::string held_text;  // empty: nothing is stopped
  std::atomic<bool> stopped = false;
  std::vector<std::thread> passing;
  std::thread accepting;
};

}  // namespace samphirebank::testing

#endif  // SAMPHIREBANK_TESTING_SLOW_LINK_H_
