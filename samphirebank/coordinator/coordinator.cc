#include "samphirebank/coordinator/coordinator.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <exception>
#include <iostream>

#include "samphirebank/coordinator/internal/server.h"
#include "samphirebank/events/events.h"

namespace samphirebank::coordinator {
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

int Serve(const settings::CoordinatorSettings& settings,
          const dialect::Dialect& dialect) {
  boost::asio::io_context loop(1);
  boost::asio::signal_set stop(loop, SIGTERM, SIGINT);
  boost::asio::signal_set reload(loop, SIGHUP);
  Server server(loop, settings, dialect);
  stop.async_wait([&loop](const error_code& stopped, int) {
    if (!stopped) loop.stop();
  });
  WatchReload(reload);
  loop.run();
  events::Log({.number = events::Number::kProcessStopped,
               .reason = server.failed() ? "failed" : "signal"});
  events::Close();
  return server.failed() ? 1 : 0;
}

}  // namespace

int RunCoordinator(const settings::CoordinatorSettings& settings,
                   const dialect::Dialect& dialect) {
  // A write beyond the limit on the size of files then fails like one on a
  // full disk, instead of ending the process.
  std::signal(SIGXFSZ, SIG_IGN);
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return Serve(settings, dialect);
  } catch (const std::exception& error) {
    events::Log(
        {.number = events::Number::kInternalError, .detail = error.what()});
    std::cerr << "samphirebank coordinator: " << error.what() << '\n';
    return 1;
  }
}

}  // namespace samphirebank::coordinator
