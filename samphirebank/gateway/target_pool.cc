#include "samphirebank/gateway/internal/target_pool.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace samphirebank::gateway {
namespace {

using std::chrono::milliseconds;

// Without a stated limit a target is taken to close after this time.
constexpr Duration kDefaultIdle = milliseconds(4000);
// Kept away from the stated limit, for the way there and slow timers.
constexpr Duration kIdleMargin = milliseconds(700);
// Kept for one target; more than that are left over from a burst, and each
// takes a descriptor that callers may need.
constexpr size_t kMaxIdlePerTarget = 16;

}  // namespace

std::shared_ptr<web::Connection> TargetPool::Take(
    const net::SocketAddress& target, Duration most_idle, TimePoint now) {
  const auto found = this->idle.find(target);
  if (found == this->idle.end()) return nullptr;
  std::vector<Idle>& all = found->second;
  while (!all.empty()) {
    Idle newest = std::move(all.back());
    all.pop_back();
    if (newest.connection->closed()) continue;
    if (now < newest.until && now - newest.since < most_idle) {
      return std::move(newest.connection);
    }
    newest.connection->Close();
  }
  return nullptr;
}

void TargetPool::Give(const net::SocketAddress& target,
                      std::shared_ptr<web::Connection> connection,
                      std::optional<Duration> idle_limit, TimePoint now) {
  const Duration limit = idle_limit.value_or(kDefaultIdle) - kIdleMargin;
  if (limit <= Duration::zero()) return connection->Close();
  const std::weak_ptr<web::Connection> weak = connection;
  connection->Start(
      [weak] {
        if (const auto open = weak.lock()) open->Close();
      },
      [](web::End) {});
  std::vector<Idle>& kept = this->idle[target];
  if (kept.size() >= kMaxIdlePerTarget) {
    kept.front().connection->Close();
    kept.erase(kept.begin());
  }
  kept.push_back({.connection = std::move(connection),
                  .since = now,
                  .until = now + limit});
}

void TargetPool::Sweep(TimePoint now) {
  for (auto& [target, all] : this->idle) {
    std::erase_if(all, [&](const Idle& item) {
      if (now >= item.until) item.connection->Close();
      return item.connection->closed();
    });
  }
  std::erase_if(this->idle,
                [](const auto& item) { return item.second.empty(); });
}

void TargetPool::CloseAll(const net::SocketAddress& target) {
  const auto found = this->idle.find(target);
  if (found == this->idle.end()) return;
  for (const Idle& item : found->second) item.connection->Close();
  this->idle.erase(found);
}

void TargetPool::CloseAll() {
  for (const auto& [target, all] : this->idle) {
    for (const Idle& item : all) item.connection->Close();
  }
  this->idle.clear();
}

size_t TargetPool::size() const {
  size_t total = 0;
  for (const auto& [target, all] : this->idle) total += all.size();
  return total;
}

}  // namespace samphirebank::gateway
