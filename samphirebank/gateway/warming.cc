// Which targets are cold or state a rate limit, and this gateway's tokens for
// them.
#include <algorithm>
#include <string>
#include <vector>

#include "samphirebank/events/events.h"
#include "samphirebank/gateway/internal/server.h"
#include "samphirebank/process/process.h"

namespace samphirebank::gateway {

using process::SuspendAwareNow;

// ColdRate returns the requests per second that a cold target of a service
// bears; 0 if there is no limit.
double Server::ColdRate(const ServiceId& service) const {
  if (this->table == nullptr) return 0.0;
  const routes::Service* found = routes::FindService(*this->table, service);
  return found == nullptr ? 0.0 : found->cold_requests_per_second;
}

bool Server::IsColdLimited(const directory::Announcement& target,
                           TimePoint now) const {
  return warmup::IsCold(this->cold_targets, target.id, now) &&
         this->ColdRate(target.service) > 0.0;
}

std::optional<warmup::LimitedTarget> Server::LimitOf(
    const directory::Announcement& target, TimePoint now) const {
  const auto stated = ratelimit::LimitOf(this->stated_limits, target.id);
  const bool is_cold = this->IsColdLimited(target, now);
  if (!stated && !is_cold) return std::nullopt;
  const double cold_rate = this->ColdRate(target.service);
  return warmup::LimitedTarget{
      .target = fleetload::HashId(target.id.value),
      .requests_per_second =
          is_cold ? std::min(cold_rate, stated.value_or(cold_rate)) : *stated,
      .kind = is_cold ? warmup::LimitKind::kCold : warmup::LimitKind::kStated};
}

bool Server::IsLimited(const directory::Announcement& target,
                       TimePoint now) const {
  return this->stated_limits.entries.contains(target.id) ||
         this->IsColdLimited(target, now);
}

bool Server::HasColdTarget(const ServiceId& service, const TargetFilter& filter,
                           TimePoint now) const {
  if (this->cold_targets.entries.empty()) return false;
  return std::ranges::any_of(
      this->ReadyTargets(service, filter),
      [&](const auto* target) { return this->IsColdLimited(*target, now); });
}

bool Server::HasRateLimitedTarget(const ServiceId& service,
                                  const TargetFilter& filter) const {
  if (this->stated_limits.entries.empty()) return false;
  return std::ranges::any_of(
      this->ReadyTargets(service, filter), [&](const auto* target) {
        return this->stated_limits.entries.contains(target->id);
      });
}

void Server::NoteStatedLimit(const TargetId& target, int64_t run_started_at_ms,
                             std::optional<double> requests_per_second) {
  const auto found = this->directory.entries.find(target);
  // One that leaves gets no more requests in any case.
  const bool is_current =
      found != this->directory.entries.end() &&
      found->second.announcement.started_at_ms == run_started_at_ms &&
      found->second.announcement.state == directory::State::kReady;
  if (!is_current) return;
  const ratelimit::Change change = ratelimit::RecordAnswer(
      this->stated_limits, target, run_started_at_ms, requests_per_second);
  if (change == ratelimit::Change::kNone) return;
  events::Log(
      {.number = change == ratelimit::Change::kBegan
                     ? events::Number::kTargetLimited
                     : events::Number::kTargetUnlimited,
       .target = target,
       .service = found->second.announcement.service,
       .detail = requests_per_second
                     ? std::to_string(*requests_per_second) + " a second"
                     : ""});
}

void Server::RemoveHeldBack(std::vector<const directory::Announcement*>* ready,
                            TimePoint now) const {
  if (!this->HasLimits()) return;
  const SuspendAwareTime suspend_aware_now = SuspendAwareNow();
  std::erase_if(*ready, [&](const auto* target) {
    return this->IsLimited(*target, now) &&
           !warmup::HasToken(this->allowance, target->id, suspend_aware_now);
  });
}

std::optional<warmup::Token> Server::TakeToken(const TargetId& target,
                                               TimePoint now) {
  const auto found = this->directory.entries.find(target);
  const bool is_limited = found != this->directory.entries.end() &&
                          this->IsLimited(found->second.announcement, now);
  if (!is_limited) return std::nullopt;
  return warmup::TakeToken(this->allowance, target, SuspendAwareNow());
}

bool Server::IsHeldBack(const TargetId& target,
                        const std::optional<warmup::Token>& token,
                        TimePoint now) const {
  const auto found = this->directory.entries.find(target);
  const bool is_limited = found != this->directory.entries.end() &&
                          this->IsLimited(found->second.announcement, now);
  const bool has_token = token && warmup::IsValid(*token, SuspendAwareNow());
  return is_limited && !has_token;
}

void Server::ReturnToken(const warmup::Token& token) {
  warmup::ReturnToken(this->allowance, token);
}

void Server::TakeColdReports(const follow::Update& update, TimePoint now) {
  for (const directory::Announcement& report : update.announcements) {
    const auto found = this->directory.entries.find(report.id);
    const bool is_newest = found != this->directory.entries.end() &&
                           found->second.announcement == report;
    if (!is_newest) continue;
    warmup::RecordReport(this->cold_targets, report.id, report.cold_remaining,
                         now);
  }
}

// The targets of a zone may have become cold while it was evacuated, and their
// reports of it may still be on their way.
void Server::ExpectCold(const std::vector<ZoneId>& restored, TimePoint now) {
  if (this->table == nullptr || restored.empty()) return;
  for (const auto& [id, entry] : this->directory.entries) {
    const directory::Announcement& target = entry.announcement;
    if (std::ranges::find(restored, target.zone) == restored.end()) continue;
    const routes::Service* service =
        routes::FindService(*this->table, target.service);
    if (service == nullptr) continue;
    warmup::RecordPossiblyCold(this->cold_targets, id, service->cold_start,
                               now);
  }
}

void Server::AskForTokens(const net::SocketAddress& coordinator,
                          TimePoint now) {
  const SuspendAwareTime suspend_aware_now = SuspendAwareNow();
  const uint64_t expired_before = this->allowance.num_expired;
  warmup::EvictWarm(this->cold_targets, now);
  warmup::EvictExpired(this->allowance, suspend_aware_now);
  this->metrics.warmup_tokens_expired.Add(this->allowance.num_expired -
                                          expired_before);
  if (!this->HasLimits()) return;
  std::vector<const directory::Announcement*> limited;
  const auto add = [&](const TargetId& id) {
    const auto found = this->directory.entries.find(id);
    const bool counts =
        found != this->directory.entries.end() &&
        found->second.announcement.state == directory::State::kReady &&
        this->IsLimited(found->second.announcement, now) &&
        !warmup::HasToken(this->allowance, id, suspend_aware_now);
    if (counts) limited.push_back(&found->second.announcement);
  };
  for (const auto& [id, stated] : this->stated_limits.entries) add(id);
  for (const auto& [id, cold] : this->cold_targets.entries) {
    if (!this->stated_limits.entries.contains(id)) add(id);
  }
  if (limited.empty()) return;
  std::ranges::stable_sort(limited, {}, [this](const auto* target) {
    return this->DistanceTo(target->zone);
  });
  std::vector<warmup::LimitedTarget> asked;
  asked.reserve(limited.size());
  for (const directory::Announcement* target : limited) {
    asked.push_back(*this->LimitOf(*target, now));
  }
  this->peers->Send(coordinator,
                    wire::Encode(warmup::BuildRequest(
                        this->allowance, std::move(asked), suspend_aware_now)));
}

void Server::TakeGrant(const warmup::WarmupGrant& grant) {
  this->metrics.warmup_tokens_received.Add(
      warmup::RecordGrant(this->allowance, grant, SuspendAwareNow()));
}

}  // namespace samphirebank::gateway
