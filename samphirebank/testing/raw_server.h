// File: raw_server.h
//
// For tests: a server on loopback whose answers a test writes byte by byte,
// sound or broken.
//
// Example:
//
//   testing::RawServer server("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
//   server.Break({.bytes = "HTTP/1.1 000 X\r\n\r\n"});  // once
//   Ask(server.port());
//   CHECK(server.num_requests() == 1);
#ifndef SAMPHIREBANK_TESTING_RAW_SERVER_H_
#define SAMPHIREBANK_TESTING_RAW_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace samphirebank::testing {

// Breakage is what one request gets instead of the sound answer.
struct Breakage {
  std::string bytes{};
  // The bytes come before the request's body is read, and a reset after them.
  bool resets = false;
};

// RawServer serves one connection after the other, each for one request. It
// sends each byte by itself.
class RawServer {
 public:
  // `answer` is the bytes of the sound answer.
  explicit RawServer(std::string answer);
  ~RawServer();
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  uint16_t port() const { return this->listening_port; }
  // Break sets what the next request gets.
  void Break(Breakage next);
  // SetAnswer changes the sound answer.
  void SetAnswer(std::string bytes);
  // is_sound is whether no breakage is left to be sent.
  bool is_sound() const;
  size_t num_requests() const;

 private:
  void Accept();
  void Serve(int connection);
  std::optional<Breakage> TakeBreakage();

  uint16_t listening_port;
  int listener;
  mutable std::mutex guard;
  std::string answer;
  std::optional<Breakage> breakage;
  size_t requests = 0;
  std::thread accepting;
};

}  // namespace samphirebank::testing

#endif  // SAMPHIREBANK_TESTING_RAW_SERVER_H_
