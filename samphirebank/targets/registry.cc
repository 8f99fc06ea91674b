#include <algorithm>
#include <chrono>
#include <vector>

#include "samphirebank/targets/targets.h"

namespace samphirebank::targets {
namespace {

TargetRecord* FindRecord(Registry& registry, const TargetId& target) {
  const auto found = registry.records.find(target);
  return found == registry.records.end() ? nullptr : &found->second;
}

bool IsDue(const Registry& registry, const TargetRecord& record,
           TimePoint now) {
  if (record.forward_now) return true;
  const bool seen_since = record.last_seen > record.forwarded_at;
  const Duration elapsed = now - record.forwarded_at;
  return seen_since && elapsed >= registry.options.forward_interval;
}

bool IsExpired(const Registry& registry, const TargetRecord& record,
               TimePoint now) {
  const Duration timeout =
      record.announcement.renew_interval * registry.options.max_missed_renewals;
  return now - record.last_seen > timeout;
}

// CurrentLoad returns the latest load report, or an empty load if that report
// has expired: a target may renew its announcement without reporting load.
Load CurrentLoad(const Registry& registry, const TargetRecord& record,
                 TimePoint now) {
  const Duration timeout =
      record.announcement.renew_interval * registry.options.max_missed_renewals;
  return now - record.load_reported_at > timeout ? Load{} : record.load;
}

sharing::TargetState MakeState(const Registry& registry,
                               const TargetRecord& record,
                               const ServiceOffer& offer, TimePoint now) {
  const Announcement& announcement = record.announcement;
  const Load load = CurrentLoad(registry, record, now);
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
      now - record.last_seen);
  return sharing::TargetState{
      .pool = {.region = announcement.region, .service = offer.name},
      .target = announcement.id,
      .address = announcement.address,
      .incarnation = record.incarnation,
      .sequence = record.sequence,
      .intent = record.leaving ? contracts::TargetIntent::kLeaving
                               : contracts::TargetIntent::kServing,
      .slots = announcement.slots,
      .running = load.running,
      .waiting = load.waiting,
      .age_ms = static_cast<uint32_t>(age.count()),
      .traits = announcement.traits};
}

}  // namespace

void Announce(Registry& registry, const Announcement& announcement,
              uint64_t wall_ms, TimePoint now) {
  TargetRecord* const record = FindRecord(registry, announcement.id);
  if (record != nullptr && record->announcement == announcement &&
      !record->leaving) {
    record->last_seen = now;
    return;
  }
  const uint64_t previous = record == nullptr ? 0 : record->incarnation;
  registry.records[announcement.id] =
      TargetRecord{.announcement = announcement,
                   .incarnation = std::max(previous + 1, wall_ms),
                   .load_reported_at = now,
                   .last_seen = now};
}

bool ReportLoad(Registry& registry, const TargetId& target, const Load& load,
                TimePoint now) {
  TargetRecord* const record = FindRecord(registry, target);
  if (record == nullptr) return false;
  record->load = load;
  record->load_reported_at = now;
  record->last_seen = now;
  return true;
}

bool MarkLeaving(Registry& registry, const TargetId& target, TimePoint now) {
  TargetRecord* const record = FindRecord(registry, target);
  if (record == nullptr) return false;
  record->last_seen = now;
  record->leaving = true;
  record->forward_now = true;
  return true;
}

std::vector<sharing::TargetState> TakeDueStates(Registry& registry,
                                                TimePoint now) {
  std::erase_if(registry.records, [&](const auto& item) {
    return IsExpired(registry, item.second, now);
  });
  std::vector<sharing::TargetState> states;
  for (auto& [id, record] : registry.records) {
    if (!IsDue(registry, record, now)) continue;
    ++record.sequence;
    record.forward_now = false;
    record.forwarded_at = now;
    for (const ServiceOffer& offer : record.announcement.services) {
      states.push_back(MakeState(registry, record, offer, now));
    }
  }
  return states;
}

}  // namespace samphirebank::targets
