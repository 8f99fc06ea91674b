// File: target_pool.h
//
// Idle connections to targets. One that its target may already have closed is
// not handed out; what a target sends on an idle connection ends it.
#ifndef SAMPHIREBANK_GATEWAY_INTERNAL_TARGET_POOL_H_
#define SAMPHIREBANK_GATEWAY_INTERNAL_TARGET_POOL_H_

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "samphirebank/base/base.h"
#include "samphirebank/net/net.h"
#include "samphirebank/web/web.h"

namespace samphirebank::gateway {

// TargetPool keeps the idle connections of one gateway.
class TargetPool {
 public:
  // Take returns a connection that has been idle for less than `most_idle`,
  // the most recent one first; null if there is none.
  std::shared_ptr<web::Connection> Take(const net::SocketAddress& target,
                                        Duration most_idle, TimePoint now);
  // Give keeps a connection for the time that the target stated.
  void Give(const net::SocketAddress& target,
            std::shared_ptr<web::Connection> connection,
            std::optional<Duration> idle_limit, TimePoint now);
  // Sweep closes what was idle for too long.
  void Sweep(TimePoint now);
  // CloseAll closes the idle connections to one target, or to all of them.
  void CloseAll(const net::SocketAddress& target);
  void CloseAll();
  size_t size() const;

 private:
  struct Idle {
    std::shared_ptr<web::Connection> connection{};
    TimePoint since{};
    TimePoint until{};
  };
  std::map<net::SocketAddress, std::vector<Idle>> idle;
};

}  // namespace samphirebank::gateway

#endif  // SAMPHIREBANK_GATEWAY_INTERNAL_TARGET_POOL_H_
