#include "samphirebank/gateway/gateway.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <exception>
#include <iostream>

#include "samphirebank/events/events.h"
#include "samphirebank/gateway/internal/server.h"

namespace samphirebank::gateway {
namespace {

using boost::system::error_code;

// WatchReload logs each SIGHUP: settings are read at start only.
void WatchReload(boost::asio::signal_set& reload) {
  reload.async_wait([&reload](const error_code& stopped, int) {
    if (stopped) return;
    events::Log({.number = events::Number::kSettingsReloaded});
    WatchReload(reload);
  });
}

int Serve(const settings::GatewaySettings& settings,
          const dialect::Dialect& dialect) {
  boost::asio::io_context loop(1);
  boost::asio::signal_set stop(loop, SIGTERM, SIGINT);
  boost::asio::signal_set reload(loop, SIGHUP);
  Server server(loop, settings, dialect);
  stop.async_wait([&](const error_code& stopped, int) {
    if (!stopped) server.BeginShutdown([&loop] { loop.stop(); });
  });
  WatchReload(reload);
  loop.run();
  events::Log({.number = events::Number::kProcessStopped, .reason = "signal"});
  events::Close();
  return 0;
}

}  // namespace

int RunGateway(const settings::GatewaySettings& settings,
               const dialect::Dialect& dialect) {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return Serve(settings, dialect);
  } catch (const std::exception& error) {
    events::Log(
        {.number = events::Number::kInternalError, .detail = error.what()});
    std::cerr << "samphirebank gateway: " << error.what() << '\n';
    return 1;
  }
}

}  // namespace samphirebank::gateway
