#include "samphirebank/coordinator/coordinator.h"

#include "samphirebank/coordinator/internal/server.h"
#include "samphirebank/process/process.h"

namespace samphirebank::coordinator {

int RunCoordinator(const settings::CoordinatorSettings& settings,
                   const dialect::Dialect& dialect) {
  return process::Run("coordinator", [&](boost::asio::io_context& loop) {
    Server server(loop, settings, dialect);
    process::OnStop(loop, [&] { server.Stop([&loop] { loop.stop(); }); });
    process::BusyClock busy;
    process::RunToEnd(loop, busy, [&server] { server.ReadPeers(); });
    return server.failed() ? 1 : 0;
  });
}

}  // namespace samphirebank::coordinator
