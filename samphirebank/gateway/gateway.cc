#include "samphirebank/gateway/gateway.h"

#include "samphirebank/gateway/internal/server.h"
#include "samphirebank/process/process.h"

namespace samphirebank::gateway {

int RunGateway(const settings::GatewaySettings& settings,
               const dialect::Dialect& dialect) {
  return process::Run("gateway", [&](boost::asio::io_context& loop) {
    Server server(loop, settings, dialect);
    process::OnStop(loop,
                    [&] { server.BeginShutdown([&loop] { loop.stop(); }); });
    process::RunToEnd(loop, server.busy_clock());
    return 0;
  });
}

}  // namespace samphirebank::gateway
