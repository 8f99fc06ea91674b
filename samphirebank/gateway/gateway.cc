#include "samphirebank/gateway/gateway.h"

#include <malloc.h>

#include "samphirebank/gateway/internal/server.h"
#include "samphirebank/process/process.h"

namespace samphirebank::gateway {

int RunGateway(const settings::GatewaySettings& settings,
               const dialect::Dialect& dialect) {
  // Large buffers are mapped one by one and go back to the system when they are
  // freed. By default the allocator keeps what it has once freed.
  constexpr int kLargeBuffer = 256 << 10;
  if (settings.memory_mb > 0) mallopt(M_MMAP_THRESHOLD, kLargeBuffer);
  return process::Run("gateway", [&](boost::asio::io_context& loop) {
    Server server(loop, settings, dialect);
    process::OnStop(loop,
                    [&] { server.BeginShutdown([&loop] { loop.stop(); }); });
    process::RunToEnd(loop, server.busy_clock(),
                      [&server] { server.ReadPeers(); });
    return 0;
  });
}

}  // namespace samphirebank::gateway
