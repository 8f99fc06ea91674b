#include "samphirebank/process/process.h"

#include <sodium.h>

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <chrono>
#include <csignal>
#include <ctime>
#include <exception>
#include <iostream>
#include <memory>
#include <stdexcept>
#include <utility>

#include "samphirebank/events/events.h"

namespace samphirebank::process {
namespace {

using boost::system::error_code;

void WatchReload(boost::asio::signal_set& reload) {
  reload.async_wait([&reload](const error_code& stopped, int) {
    if (stopped) return;
    events::Log({.number = events::Number::kSettingsReloaded});
    WatchReload(reload);
  });
}

// WatchStop runs `action` on the next SIGTERM or SIGINT, and nothing on later
// ones. A set is waiting for as long as the loop lives: Asio restores the
// default action, which ends the process, when the last set is destroyed.
void WatchStop(const std::shared_ptr<boost::asio::signal_set>& signals,
               std::function<void()> action) {
  signals->async_wait(
      [signals, action = std::move(action)](const error_code& stopped, int) {
        if (stopped) return;
        WatchStop(signals, [] {});
        action();
      });
}

// BlockStops keeps the stop signals pending from here on. The loop's end
// restores their default action, which would change the exit code.
void BlockStops() {
  sigset_t stops;
  sigemptyset(&stops);
  sigaddset(&stops, SIGTERM);
  sigaddset(&stops, SIGINT);
  pthread_sigmask(SIG_BLOCK, &stops, nullptr);
}

int Serve(const std::function<int(boost::asio::io_context&)>& serve) {
  boost::asio::io_context loop(1);
  boost::asio::signal_set reload(loop, SIGHUP);
  WatchReload(reload);
  const int code = serve(loop);
  events::Log({.number = events::Number::kProcessStopped,
               .reason = code == 0 ? "signal" : "failed"});
  events::Close();
  BlockStops();
  return code;
}

// PollReady runs handlers until none is ready.
void PollReady(boost::asio::io_context& loop,
               const std::function<void()>& read_peers) {
  TimePoint read_at = Now();
  while (loop.poll_one() > 0) {
    if (Now() - read_at < kPeerReadInterval) continue;
    read_peers();
    read_at = Now();
  }
}

}  // namespace

TimePoint Now() { return std::chrono::steady_clock::now(); }

SuspendAwareTime SuspendAwareNow() {
  timespec reading{};
  clock_gettime(CLOCK_BOOTTIME, &reading);
  return SuspendAwareTime(std::chrono::seconds(reading.tv_sec) +
                          std::chrono::nanoseconds(reading.tv_nsec));
}

BootId NewBoot() {
  uint64_t number = 0;
  while (number == 0) randombytes_buf(&number, sizeof(number));
  return BootId(number);
}

wire::FleetKey FleetKeyOf(const settings::Secret& secret) {
  const auto key = wire::ParseFleetKey(secret.value);
  if (!key) throw std::runtime_error("the fleet key is not 64 hex digits");
  return *key;
}

void OnStop(boost::asio::io_context& loop, std::function<void()> action) {
  WatchStop(std::make_shared<boost::asio::signal_set>(loop, SIGTERM, SIGINT),
            std::move(action));
}

Duration BusyTime(const BusyClock& clock, TimePoint now) {
  return clock.busy_since ? now - *clock.busy_since : Duration::zero();
}

Duration TickDelay(const BusyClock& clock, TimePoint due, TimePoint now) {
  return std::max(BusyTime(clock, now),
                  std::min<Duration>(now - due, kMaxTickDelay));
}

void RunToEnd(boost::asio::io_context& loop, BusyClock& clock,
              const std::function<void()>& read_peers) {
  while (!loop.stopped()) {
    PollReady(loop, read_peers);
    clock.busy_since.reset();
    loop.run_one();
    clock.busy_since = Now();
  }
}

bool Contain(const std::function<void()>& action) {
  try {
    action();
    return true;
  } catch (const std::exception& error) {
    events::Log(
        {.number = events::Number::kInternalError, .detail = error.what()});
    return false;
  }
}

int Run(const std::string& name,
        const std::function<int(boost::asio::io_context&)>& serve) {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGXFSZ, SIG_IGN);
  try {
    return Serve(serve);
  } catch (const std::exception& error) {
    events::Log(
        {.number = events::Number::kInternalError, .detail = error.what()});
    std::cerr << "samphirebank " << name << ": " << error.what() << '\n';
    return 1;
  }
}

}  // namespace samphirebank::process
