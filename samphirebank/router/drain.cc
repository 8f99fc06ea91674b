#include "samphirebank/router/internal/drain.h"

#include "samphirebank/events/events.h"
#include "samphirebank/router/internal/callers.h"

namespace samphirebank::router {
namespace {

// The platform's balancer needs this long to turn elsewhere once /readyz
// fails; requests that still come are served.
constexpr Duration kBalancerTurns = std::chrono::seconds(2);
// Schedulers that nobody took over are given up after this long.
constexpr Duration kHandOverLimit = std::chrono::seconds(5);

bool MayStop(const Router& router, TimePoint now) {
  if (!router.requests.empty()) return false;
  const Duration drained = now - router.drain_since;
  if (drained < kBalancerTurns) return false;
  return router.schedulers.empty() || drained >= kHandOverLimit;
}

}  // namespace

void BeginDrain(Router& router) {
  if (router.draining) return;
  const TimePoint now = net::Loop::Now();
  router.draining = true;
  router.drain_since = now;
  router.drain_until = now + router.settings.drain;
  events::Log({.number = events::Number::kShutdownStarted,
               .count = static_cast<int64_t>(router.requests.size())});
}

bool IsDrained(const Router& router) { return router.drained; }

void PumpDrain(Router& router, TimePoint now) {
  if (!router.draining || router.drained) return;
  if (MayStop(router, now)) {
    router.loop.Stop();
    return;
  }
  if (now < router.drain_until) return;
  if (!router.requests.empty()) {
    router.exit_code = 1;
    events::Log({.number = events::Number::kProcessStopped,
                 .count = static_cast<int64_t>(router.requests.size()),
                 .reason = "deadline"});
    RaiseAll(router, outcome::ShutdownTimedOut{});
  }
  // One more turn lets the last answers out.
  constexpr Duration kFlush = std::chrono::milliseconds(200);
  router.drained = true;
  router.loop.After(kFlush, [&router] { router.loop.Stop(); });
}

}  // namespace samphirebank::router
