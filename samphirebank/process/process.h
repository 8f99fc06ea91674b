// File: process.h
//
// What the processes on an Asio loop share: the clock, the run's identity, the
// fleet key, signals, and the way out.
//
// Example:
//
//   return process::Run("gateway", [&](boost::asio::io_context& loop) {
//     Server server(loop, settings);
//     process::OnStop(loop, [&] { loop.stop(); });
//     loop.run();
//     return 0;
//   });
#ifndef SAMPHIREBANK_PROCESS_PROCESS_H_
#define SAMPHIREBANK_PROCESS_PROCESS_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include "samphirebank/base/base.h"
#include "samphirebank/settings/settings.h"
#include "samphirebank/wire/wire.h"

namespace samphirebank::process {

// Now reads the monotonic clock.
TimePoint Now();

// SuspendAwareNow reads a monotonic clock that also counts the time for which
// the machine was suspended.
SuspendAwareTime SuspendAwareNow();

// NewBoot draws the identity of this run; never 0.
BootId NewBoot();

// FleetKeyOf reads a checked setting. Throws std::runtime_error if it is not
// 64 hexadecimal digits.
wire::FleetKey FleetKeyOf(const settings::Secret& secret);

// OnStop runs `action` once, on the first SIGTERM or SIGINT. Further ones
// change nothing for as long as `loop` lives. It must be running or run later,
// and is to be stopped, since it does not run out of work.
void OnStop(boost::asio::io_context& loop, std::function<void()> action);

// BusyClock tells for how long a loop has been busy without a break. What is
// handled now has waited unread for at most that time.
struct BusyClock {
  std::optional<TimePoint> busy_since{};  // empty while the loop waits
};

// BusyTime returns the time since the loop last waited for events.
Duration BusyTime(const BusyClock& clock, TimePoint now);

// TickDelay returns for how long events have waited unread at a tick of a timer
// that was due at `due`: the loop's busy time, or the delay of the tick itself
// if that is longer. Where turns of the loop take about as long as the timer's
// period, each tick comes at the beginning of a turn, when the busy time is
// short. A delay counts up to kMaxTickDelay, so that a single pause of the
// process is not taken for lasting load.
Duration TickDelay(const BusyClock& clock, TimePoint due, TimePoint now);
inline constexpr Duration kMaxTickDelay = std::chrono::milliseconds(150);

// RunToEnd runs `loop` until it is stopped and keeps `clock` up to date. While
// the loop is busy, `read_peers` is called between two handlers once in each
// kPeerReadInterval, so that messages of other instances do not wait behind
// the events of callers and targets.
void RunToEnd(boost::asio::io_context& loop, BusyClock& clock,
              const std::function<void()>& read_peers);
inline constexpr Duration kPeerReadInterval = std::chrono::milliseconds(10);

// Contain runs `action`, which serves one connection, and returns true. If it
// throws, the exception is logged and Contain returns false; the caller then
// has to end that connection, so that all others go on.
bool Contain(const std::function<void()>& action);

// Run gives `serve` a loop on which SIGHUP is logged (settings are read at the
// start only), and returns its exit code; 1 if it throws. SIGPIPE and SIGXFSZ
// are ignored, so that such writes fail like others. Logging ends with it.
int Run(const std::string& name,
        const std::function<int(boost::asio::io_context&)>& serve);

}  // namespace samphirebank::process

#endif  // SAMPHIREBANK_PROCESS_PROCESS_H_
