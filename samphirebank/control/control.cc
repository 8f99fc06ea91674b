#include "samphirebank/control/control.h"

#include <csignal>
#include <exception>
#include <iostream>

#include "samphirebank/control/internal/server.h"
#include "samphirebank/events/events.h"
#include "samphirebank/net/net.h"

namespace samphirebank::control {

int RunControl(const settings::ControlSettings& settings) {
  // A write beyond the limit on the size of files then fails like one on a
  // full disk, instead of ending the process.
  std::signal(SIGXFSZ, SIG_IGN);
  try {
    net::Loop loop;
    Server server(loop, settings);
    loop.OnSignal(SIGTERM, [&server] { server.Stop(); });
    loop.OnSignal(SIGINT, [&server] { server.Stop(); });
    loop.Run();
    events::Log({.number = events::Number::kProcessStopped});
    events::Close();
    return server.failed() ? 1 : 0;
  } catch (const std::exception& error) {
    events::Log(
        {.number = events::Number::kInternalError, .detail = error.what()});
    std::cerr << "samphirebank control: " << error.what() << '\n';
    return 1;
  }
}

}  // namespace samphirebank::control
