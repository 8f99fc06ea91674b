// File: caller.h
//
// Stand-in callers behind a stand-in balancer.
#ifndef SAMPHIREBANK_SOAK_INTERNAL_CALLER_H_
#define SAMPHIREBANK_SOAK_INTERNAL_CALLER_H_

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "samphirebank/soak/internal/fleet.h"
#include "samphirebank/soak/internal/world.h"

namespace samphirebank::soak {

// Balancer asks each gateway for its readiness and gives new connections to
// those that are ready; to all, if fewer than half are.
class Balancer {
 public:
  Balancer(World& shared, Fleet& under_test);

  size_t Choose();

 private:
  void AskAll();

  World& world;
  Fleet& fleet;
  std::vector<int> misses;  // in a row
};

// Caller sends one request after the other, on a connection that it keeps
// until the gateway ends it.
class Caller {
 public:
  Caller(World& shared, Fleet& under_test, Balancer& entry, size_t number);

 private:
  void Next();
  void Open();
  void Send();
  void Read();
  void OnEnd();
  void OnLimit(bool leaves);
  void Finish(CallerEnd end);
  void Drop();
  SentRequest MakeRequest();
  // NoteBreak notes that the stream of a request broke off, to take it up.
  void NoteBreak(const RequestId& id);

  World& world;
  Fleet& fleet;
  Balancer& balancer;
  size_t index = 0;
  uint64_t sent = 0;
  size_t gateway = 0;
  std::shared_ptr<web::Connection> connection;
  std::unique_ptr<web::AnswerReader> reader;
  std::optional<RequestId> waiting_for;
  // The stream to be taken up with the next request.
  std::optional<SentRequest> broken_stream;
  int take_ups_left = 0;
  CallerAnswer answer;
  bool head_taken = false;
  bool told_close = false;
  boost::asio::steady_timer limit;
};

// The routes that callers use, their services and organisations; a table of a
// seed has them all in every version. The seed chooses a route, and perhaps an
// organisation, that allow one region, and the service whose cold targets are
// limited.
std::vector<routes::Route> CallerRoutes(uint64_t seed);
std::vector<routes::Organisation> CallerOrganisations(uint64_t seed);
std::vector<routes::Service> CallerServices(uint64_t seed);
// Requests per second that a cold target bears, and for how long it is cold.
inline constexpr double kColdRate = 5.2;
inline constexpr std::chrono::milliseconds kColdStart(2000);
inline constexpr char kHost[] = "shop.example";

}  // namespace samphirebank::soak

#endif  // SAMPHIREBANK_SOAK_INTERNAL_CALLER_H_
