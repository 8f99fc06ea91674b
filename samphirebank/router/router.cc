#include "samphirebank/router/router.h"

#include <sodium.h>

#include <csignal>
#include <exception>
#include <iostream>
#include <string>
#include <string_view>

#include "samphirebank/events/events.h"
#include "samphirebank/router/internal/admin.h"
#include "samphirebank/router/internal/callers.h"
#include "samphirebank/router/internal/configuration.h"
#include "samphirebank/router/internal/drain.h"
#include "samphirebank/router/internal/peers.h"
#include "samphirebank/router/internal/pools.h"
#include "samphirebank/router/internal/state.h"

namespace samphirebank::router {
namespace {

// Polls and expiries need the loop to turn at least this often.
constexpr Duration kTurnInterval = std::chrono::milliseconds(20);
constexpr Bytes kMaxAdminBody = Bytes(256 << 10);

BootId RandomBoot() {
  uint64_t boot = 0;
  randombytes_buf(&boot, sizeof(boot));
  return BootId(boot >> 1);
}

void OpenPeers(Router& router, const wire::FleetKey& key) {
  const settings::Identity& identity = router.settings.identity;
  router.sealer =
      std::make_unique<wire::Sealer>(key, identity.instance, router.boot);
  router.opener = std::make_unique<wire::Opener>(key);
  router.peers = router.loop.OpenPeerSocket(
      {.address = identity.address,
       .port = router.settings.peer_port,
       .on_message = [&router](const net::SocketAddress& from,
                               std::string_view bytes) {
         OnPacket(router, from, bytes);
       }});
  const net::SocketAddress bound{.ip = identity.address,
                                 .port = router.peers->port()};
  router.peer_address = router.settings.peer_address.value_or(bound);
}

void OpenServers(Router& router) {
  const std::string& address = router.settings.identity.address;
  router.caller_port = router.loop.Listen(
      {.address = address,
       .port = router.settings.caller_port,
       .on_slow_head =
           [] {
             LogLeft(RequestId(), OrganisationId(),
                     net::CloseReason::kSlowHead);
           },
       .on_request =
           [&router](const auto& stream) { OnCaller(router, stream); }});
  router.admin_port =
      router.loop.Listen({.address = address,
                          .port = router.settings.admin_port,
                          .max_body = kMaxAdminBody,
                          .on_request = [&router](const auto& stream) {
                            OnAdmin(router, stream);
                          }});
}

void Serve(Router& router) {
  const settings::Identity& identity = router.settings.identity;
  events::Open({.instance = identity.instance,
                .role = "router",
                .boot = router.boot,
                .file = router.settings.log_file});
  events::Log({.number = events::Number::kProcessStarted});
  const auto key = wire::ParseFleetKey(router.settings.fleet_key.value);
  OpenPeers(router, key.value());
  OpenServers(router);
  router.queues.options.reply_to = router.peer_address;
  router.claims.options.owner = {.instance = identity.instance,
                                 .boot = router.boot};
  StartLease(router);
  router.loop.OnSignal(SIGTERM, [&router] { BeginDrain(router); });
  router.loop.OnSignal(SIGINT, [&router] { BeginDrain(router); });
  router.loop.Every(kTurnInterval, [&router] { Pump(router); });
  settings::WritePortsFile(router.settings.ports_file,
                           {{.name = "caller", .port = router.caller_port},
                            {.name = "admin", .port = router.admin_port},
                            {.name = "peer", .port = router.peers->port()}});
  events::Log({.number = events::Number::kProcessReady});
  router.loop.Run();
}

}  // namespace

int RunRouter(const settings::RouterSettings& settings) {
  Router router;
  router.settings = settings;
  router.boot = RandomBoot();
  // Grants name records by number: those of an earlier run must fit none.
  constexpr uint64_t kFirstGenerations = 1 << 20;
  router.queues.last_assigned_generation =
      static_cast<uint32_t>(router.boot.value % kFirstGenerations);
  try {
    Serve(router);
  } catch (const std::exception& error) {
    events::Log(
        {.number = events::Number::kInternalError, .detail = error.what()});
    std::cerr << "samphirebank router: " << error.what() << "\n";
    return 1;
  }
  events::Log({.number = events::Number::kProcessStopped});
  return router.exit_code;
}

}  // namespace samphirebank::router
