// File: announcer.h
//
// Keeps one stand-in target known to a router: announces it, renews by load
// reports, and goes to the next router when one does not answer.
//
// Example:
//
//   Announcer announcer(loop, settings, description, [&] { return load; });
//   announcer.Leave();
#ifndef SAMPHIREBANK_EMULATOR_INTERNAL_ANNOUNCER_H_
#define SAMPHIREBANK_EMULATOR_INTERNAL_ANNOUNCER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "samphirebank/base/base.h"
#include "samphirebank/net/net.h"
#include "samphirebank/settings/settings.h"

namespace samphirebank::emulator {

// Load is what a target reports of its work.
struct Load {
  uint32_t running = 0;
  uint32_t waiting = 0;
};

// Announcer speaks for one target while it lives.
class Announcer {
 public:
  // Announcer starts to announce `id` at `address`; `load` is asked for each
  // report. Does nothing if the settings name no router.
  Announcer(net::Loop& loop,
            std::shared_ptr<const settings::EmulatorSettings> settings,
            TargetId id, net::SocketAddress address,
            std::function<Load()> load);
  ~Announcer();
  Announcer(const Announcer&) = delete;
  Announcer& operator=(const Announcer&) = delete;

  // Leave tells the router that the target takes no new work.
  void Leave();

 private:
  void Renew();
  void Post(const std::string& path, std::string body,
            const std::function<void(bool ok)>& done);
  std::string Announcement() const;
  std::string Report() const;

  net::Loop& loop;
  std::shared_ptr<const settings::EmulatorSettings> settings;
  TargetId id;
  net::SocketAddress address;
  std::function<Load()> load;
  size_t router = 0;  // index of the router in use
  bool announced = false;
  bool leaving = false;
  net::TimerId timer;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace samphirebank::emulator

#endif  // SAMPHIREBANK_EMULATOR_INTERNAL_ANNOUNCER_H_
