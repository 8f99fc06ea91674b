// File: target.h
//
// A stand-in target: it announces itself to the coordinators, runs requests,
// notes each run, and misbehaves when it is told to.
#ifndef SAMPHIREBANK_SOAK_INTERNAL_TARGET_H_
#define SAMPHIREBANK_SOAK_INTERNAL_TARGET_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "samphirebank/directory/directory.h"
#include "samphirebank/soak/internal/world.h"
#include "samphirebank/testing/relay.h"

namespace samphirebank::soak {

// Manner says what a target does with requests.
enum class Manner : uint8_t {
  kServes,
  kMute,     // runs and never answers
  kBreaks,   // runs, and breaks its answers off
  kRefuses,  // states that it runs nothing
};

// Target is one stand-in. Its runs reach it through a relay.
class Target {
 public:
  Target(World& shared, std::string given_name, ServiceId given_service,
         std::vector<net::SocketAddress> control,
         ZoneId given_zone = FleetZones().front().zone);

  Manner manner = Manner::kServes;
  testing::Relay& relay() { return *this->link; }

  // Crash ends the run without a word; Restart begins the next one, which has
  // a new id unless `same_id`.
  void Crash();
  void Restart(bool same_id);
  // Drain leaves as planned; it ends some time after the acknowledgement.
  void Drain();
  // MakeCold turns the target cold for a time, during its run.
  void MakeCold(Duration lasts);
  // While its link delays bytes, requests of more than a second may arrive
  // within one: they are not counted.
  bool link_is_delayed = false;

 private:
  struct Running;

  const directory::SoftwareVersion& NextSoftware() const;
  void Listen();
  void Serve(const std::shared_ptr<web::Connection>& connection);
  void Read(const std::shared_ptr<Running>& running);
  void Begin(const std::shared_ptr<Running>& running, web::Request request);
  void Answer(const std::shared_ptr<Running>& running);
  void StreamEvent(const std::shared_ptr<Running>& running, uint64_t number);
  void Beat();
  // OnLeavingHeard: a coordinator has acknowledged that this run leaves.
  void OnLeavingHeard(uint64_t run);
  void OnColdHeard();
  void CountIfCold();

  World& world;
  std::string name;
  ServiceId service;
  ZoneId zone;
  bool is_engine = false;
  bool is_limited = false;  // while it is cold
  std::vector<net::SocketAddress> coordinators;
  size_t beats_at = 0;  // the coordinator that hears the next heartbeat
  uint16_t port = 0;
  directory::Announcement announcement;
  uint64_t incarnation = 0;
  bool is_up = false;
  bool is_draining = false;
  TimePoint cold_until{};
  bool cold_from_start = false;
  std::optional<TimePoint> cold_heard_at{};  // a coordinator acknowledged it
  std::unique_ptr<web::Listener> listener;
  std::set<std::shared_ptr<web::Connection>> connections;
  std::unique_ptr<testing::Relay> link;
};

}  // namespace samphirebank::soak

#endif  // SAMPHIREBANK_SOAK_INTERNAL_TARGET_H_
