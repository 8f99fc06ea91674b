// What a gateway knows of targets, and its part of the repeat budget.
#include <algorithm>
#include <chrono>
#include <iomanip>
#include <sstream>
#include <string>

#include "samphirebank/events/events.h"
#include "samphirebank/gateway/internal/server.h"
#include "samphirebank/process/process.h"

namespace samphirebank::gateway {
namespace {

using events::Number;
using process::Now;
using std::chrono::milliseconds;

// Other gateways may not be counted yet: only this part of the fleet's
// allowance is shared out.
constexpr double kAllowanceUsed = 0.8;
// Likewise of the ratio: requests that were counted here may have been counted
// by callers in another window.
constexpr double kRatioUsed = 0.9;

std::string FactorText(double factor) {
  std::ostringstream text;
  text << std::setprecision(2) << factor;
  return text.str();
}

}  // namespace

size_t Server::ReadyCount(const ServiceId& service) const {
  return directory::ReadyTargets(this->directory, service).size();
}

std::vector<const directory::Announcement*> Server::ReadyTargets(
    const ServiceId& service, const TargetFilter& filter) const {
  auto ready = directory::ReadyTargets(this->directory, service);
  if (this->AllowsAll(filter)) return ready;
  std::erase_if(ready, [&](const auto* target) {
    return !this->Allows(filter, *target);
  });
  return ready;
}

// TargetsWithWork returns the targets of a service to which requests may be
// sent.
std::vector<const directory::Announcement*> Server::TargetsWithWork(
    const ServiceId& service, const TargetFilter& filter, TimePoint now) const {
  auto ready = this->ReadyTargets(service, filter);
  this->RemoveHeldBack(&ready, now);
  if (this->targets_book.restricted.empty()) return ready;
  std::erase_if(ready, [&](const auto* target) {
    return !dispatch::TakesWork(this->targets_book, target->id, now);
  });
  return ready;
}

void Server::PruneRestricted(TimePoint now) {
  std::erase_if(this->targets_book.restricted, [&](const TargetId& target) {
    const auto found = this->directory.entries.find(target);
    const bool is_ready =
        found != this->directory.entries.end() &&
        found->second.announcement.state == directory::State::kReady;
    return !is_ready || dispatch::TakesWork(this->targets_book, target, now);
  });
}

std::optional<Duration> Server::PauseLeft(const ServiceId& service,
                                          const TargetFilter& filter,
                                          TimePoint now) const {
  std::optional<Duration> least;
  if (this->targets_book.restricted.empty()) return least;
  for (const auto* target : this->ReadyTargets(service, filter)) {
    const auto found = this->targets_book.targets.find(target->id);
    if (found == this->targets_book.targets.end()) return std::nullopt;
    if (found->second.leaving) continue;
    const Duration left = found->second.paused_until - now;
    if (left <= Duration::zero()) return std::nullopt;
    least = std::min(least.value_or(left), left);
  }
  return least;
}

bool Server::HasOtherTarget(const ServiceId& service,
                            const TargetFilter& filter,
                            const std::set<TargetId>& tried,
                            TimePoint now) const {
  const auto ready = this->TargetsWithWork(service, filter, now);
  return std::ranges::any_of(
      ready, [&](const auto* target) { return !tried.contains(target->id); });
}

bool Server::MaySend(const TargetId& target, int64_t run_started_at_ms,
                     const TargetFilter& filter, TimePoint now) const {
  if (!dispatch::TakesWork(this->targets_book, target, now)) return false;
  const auto found = this->directory.entries.find(target);
  if (found == this->directory.entries.end()) return this->AllowsAll(filter);
  const directory::Announcement& known = found->second.announcement;
  // A later run may have another software version.
  return known.started_at_ms == run_started_at_ms &&
         (this->AllowsAll(filter) || this->Allows(filter, known));
}

bool Server::AllowsAll(const TargetFilter& filter) const {
  return !filter.software && !filter.regions.regions &&
         this->follower.evacuations.zones.empty();
}

bool Server::Allows(const TargetFilter& filter,
                    const directory::Announcement& target) const {
  const bool is_of_version =
      !filter.software || *filter.software == origins::SoftwareOf(target);
  return is_of_version && this->MayUseZone(target.zone, filter.regions);
}

bool Server::MayUseZone(const ZoneId& zone,
                        const residency::AllowedRegions& allowed) const {
  return !evacuation::IsEvacuated(this->follower.evacuations, zone) &&
         residency::Allows(allowed, this->RegionOf(zone));
}

std::optional<ChosenTarget> Server::ChooseTarget(
    const ServiceId& service, const TargetFilter& filter,
    const dispatch::RequestProfile& work, TimePoint now) {
  const auto ready = this->TargetsWithWork(service, filter, now);
  std::vector<dispatch::Candidate> candidates;
  candidates.reserve(ready.size());
  for (const directory::Announcement* target : ready) {
    candidates.push_back({.id = target->id,
                          .distance = this->DistanceTo(target->zone),
                          .slots = target->slots});
  }
  const auto chosen =
      dispatch::Choose(this->targets_book, candidates, work, now);
  if (!chosen) return std::nullopt;
  const directory::Announcement& target = *ready[chosen->index];
  return ChosenTarget{.id = target.id,
                      .address = target.address,
                      .wait = chosen->wait,
                      .mean_wait = chosen->mean_wait,
                      .again = chosen->duplicate_prefill_time,
                      .at_home = chosen->at_home,
                      .reading = chosen->prefill_time,
                      .prediction = chosen->prediction,
                      .run_started_at_ms = target.started_at_ms,
                      .software = origins::SoftwareOf(target),
                      .in_other_region = candidates[chosen->index].distance ==
                                         dispatch::Distance::kOtherRegion};
}

std::optional<RegionId> Server::RegionOf(const ZoneId& zone) const {
  const auto found = this->regions.find(zone);
  if (found == this->regions.end()) return std::nullopt;
  return found->second;
}

dispatch::Distance Server::DistanceTo(const ZoneId& zone) const {
  if (zone == this->settings.identity.zone) {
    return dispatch::Distance::kSameZone;
  }
  const bool same_region =
      this->RegionOf(zone) == this->settings.identity.region;
  return same_region ? dispatch::Distance::kSameRegion
                     : dispatch::Distance::kOtherRegion;
}

std::string Server::LoadText(const TargetId& target, TimePoint now) const {
  const auto found = this->targets_book.targets.find(target);
  if (found == this->targets_book.targets.end()) return "first request";
  const dispatch::TargetState& record = found->second;
  std::string text = "own in flight " + std::to_string(record.in_flight);
  const auto waits = std::chrono::duration_cast<milliseconds>(
      record.prefill_backlog + record.peer_prefill_backlog);
  if (waits.count() > 0) {
    text += ", prompts waiting " + std::to_string(waits.count()) + " ms";
  }
  text += ", reading time factor " +
          FactorText(dispatch::ReadingTimeFactor(
              this->targets_book, this->ServiceOf(target), target, now));
  if (!record.load) return text;
  const auto age =
      std::chrono::duration_cast<milliseconds>(now - record.load_received_at);
  return text + ", target said " + std::to_string(record.load->running) +
         " running " + std::to_string(record.load->waiting) + " waiting " +
         std::to_string(age.count()) + " ms ago";
}

ServiceId Server::ServiceOf(const TargetId& target) const {
  const auto found = this->directory.entries.find(target);
  return found == this->directory.entries.end()
             ? ServiceId()
             : found->second.announcement.service;
}

void Server::NoteFirstEvent(const ServiceId& service, const TargetId& target,
                            const dispatch::Prediction& prediction,
                            Duration elapsed, TimePoint now) {
  dispatch::RecordFirstEvent(this->targets_book, target, service, prediction,
                             elapsed, now);
  this->metrics.reading_time_factor.Record(
      dispatch::ReadingTimeFactor(this->targets_book, service, target, now));
}

void Server::NoteSendEnd(const TargetId& target,
                         dispatch::HealthResult ending) {
  const TimePoint now = Now();
  const TimePoint before = this->targets_book.targets[target].ejected_until;
  dispatch::RecordCompletion(this->targets_book, target, ending, now);
  const dispatch::TargetState& record = this->targets_book.targets[target];
  if (record.ejected_until == before) return;
  this->metrics.passed_over.Add(1);
  events::Log({.number = Number::kTargetPassedOver,
               .target = target,
               .duration = record.ejected_until - now,
               .count = record.consecutive_failures,
               .reason = "failed"});
}

void Server::NoteLeaving(const TargetId& target, int64_t run_started_at_ms) {
  const bool is_news =
      dispatch::RecordLeaving(this->targets_book, target, run_started_at_ms);
  if (!is_news) return;
  events::Log({.number = Number::kTargetLeaving,
               .target = target,
               .reason = "said so in an answer"});
}

void Server::NoteUnreachable(const TargetId& target,
                             const net::SocketAddress& address) {
  const TimePoint now = Now();
  dispatch::RecordUnreachable(this->targets_book, target, now);
  quarantine::RecordEnded(this->quarantine, target,
                          this->quarantine.options.doubt_ttl, now);
  this->connections.CloseAll(address);
  this->metrics.unreachable.Add(1);
  const dispatch::TargetState& record = this->targets_book.targets[target];
  events::Log({.number = Number::kTargetPassedOver,
               .target = target,
               .duration = record.ejected_until - now,
               .count = record.consecutive_failures,
               .address = address.ToText(),
               .reason = "unreachable"});
}

forwarding::BudgetOptions Server::BudgetOptions() const {
  const double gateways = std::max<uint32_t>(this->follower.num_gateways, 1);
  return {
      .window = this->settings.repeat_window,
      .ratio = kRatioUsed * this->settings.repeat_ratio,
      .allowance = kAllowanceUsed * this->settings.repeat_allowance / gateways};
}

void Server::NoteServiceRequest(const ServiceId& service) {
  forwarding::RecordRequest(this->budgets[service], this->BudgetOptions(),
                            Now());
}

bool Server::MayRepeat(const ServiceId& service, TimePoint now) const {
  const auto found = this->budgets.find(service);
  return found != this->budgets.end() &&
         forwarding::MayRepeat(found->second, this->BudgetOptions(), now);
}

void Server::NoteRepeat(const ServiceId& service) {
  this->metrics.repeats.Add(1);
  forwarding::RecordRepeat(this->budgets[service], this->BudgetOptions(),
                           Now());
}

void Server::NoteUnreadable(int status) {
  this->metrics.unreadable.Add(1);
  events::Log({.number = Number::kRequestRefused,
               .status = status,
               .outcome = "not-run",
               .reason = "unreadable"});
}

void Server::NoteOutcome(Outcome outcome, Duration latency) {
  this->metrics.outcomes[static_cast<size_t>(outcome)]->Add(1);
  if (outcome == Outcome::kServed) this->metrics.first_answer.Record(latency);
}

web::Answer Server::MetricsText() {
  const auto number = [](auto value) { return static_cast<double>(value); };
  const std::chrono::duration<double> silence =
      follow::TimeSinceLastUpdate(this->follower, Now());
  this->metrics.sessions.Set(number(this->sessions.size()));
  this->metrics.idle_connections.Set(number(this->connections.size()));
  this->metrics.targets.Set(number(this->directory.entries.size()));
  this->metrics.table_version.Set(
      this->table == nullptr ? 0 : number(this->table->table.version.value));
  this->metrics.held_bytes.Set(number(this->held_budget->bytes));
  this->metrics.evacuated_zones.Set(
      number(this->follower.evacuations.zones.size()));
  this->metrics.cold_targets.Set(number(this->cold_targets.entries.size()));
  this->metrics.rate_limited_targets.Set(
      number(this->stated_limits.entries.size()));
  const std::chrono::duration<double> sum_age =
      Now() - this->others_told_at.value_or(this->started_at);
  this->metrics.load_sum_age.Set(sum_age.count());
  this->metrics.shed_fraction.Set(this->shedding.refused_fraction);
  this->metrics.control_silence.Set(silence.count());
  return {.status = 200,
          .headers = {{"content-type", "text/plain; version=0.0.4"}},
          .body = this->metrics.registry.ToText()};
}

}  // namespace samphirebank::gateway
