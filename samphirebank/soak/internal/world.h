// File: world.h
//
// What the stand-ins of one soak run share. Everything belongs to the thread
// that runs the loop.
#ifndef SAMPHIREBANK_SOAK_INTERNAL_WORLD_H_
#define SAMPHIREBANK_SOAK_INTERNAL_WORLD_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "samphirebank/net/net.h"
#include "samphirebank/process/process.h"
#include "samphirebank/soak/internal/ledger.h"
#include "samphirebank/soak/soak.h"
#include "samphirebank/web/web.h"

namespace samphirebank::soak {

// ZonePlace is an availability zone of every fleet with its region.
struct ZonePlace {
  ZoneId zone{};
  RegionId region{};
};

// FleetZones returns the zones: two in one region, one in another. Targets
// stand in them in turn; gateways and coordinators stand in the first.
const std::vector<ZonePlace>& FleetZones();
const RegionId& RegionOf(const ZoneId& zone);

// World is the loop, the ledger and the dice of one run.
struct World {
  boost::asio::io_context& loop;
  const Options& options;
  const Speech& speech;
  Ledger ledger{};
  std::mt19937_64 random{};
  bool ending = false;  // the stand-ins send nothing more

  // Below draws a whole number below `bound`.
  uint64_t Below(uint64_t bound) { return this->random() % bound; }
};

// After runs an action later on the loop.
void After(World& world, Duration delay, std::function<void()> action);

// CallResult is the answer to a call; status 0 without one.
struct CallResult {
  int status = 0;
  web::Headers headers{};
  std::string body{};
};

// Ask sends one call on a connection of its own. `done` runs once, at the
// latest when the limit is over.
void Ask(World& world, const net::SocketAddress& to, const ControlCall& call,
         Duration limit, std::function<void(const CallResult&)> done);

// AskWith is Ask with a request's bytes.
void AskWith(World& world, const net::SocketAddress& to, std::string bytes,
             Duration limit, std::function<void(const CallResult&)> done);

// AskControl asks coordinators one after the other, beginning with the one at
// `first`, and follows their redirections, until `accepts` takes an answer or
// so many have been asked.
struct ControlQuestion {
  std::vector<net::SocketAddress> coordinators{};
  size_t first = 0;
  ControlCall call{};
  size_t most_tries = 60;
  std::function<bool(const CallResult&)> accepts{};
  std::function<void(const CallResult&)> done{};  // with the last answer
};
void AskControl(World& world, ControlQuestion question);

}  // namespace samphirebank::soak

#endif  // SAMPHIREBANK_SOAK_INTERNAL_WORLD_H_
