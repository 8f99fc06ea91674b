#include <algorithm>
#include <chrono>
#include <vector>

#include "samphirebank/targets/targets.h"

namespace samphirebank::targets {
namespace {

Record* Find(Registry& registry, const TargetId& target) {
  const auto found = registry.records.find(target);
  return found == registry.records.end() ? nullptr : &found->second;
}

bool IsDue(const Registry& registry, const Record& record, TimePoint now) {
  if (record.news) return true;
  const bool heard_since = record.heard_at > record.forwarded_at;
  const Duration quiet = now - record.forwarded_at;
  return heard_since && quiet >= registry.options.forward_interval;
}

bool IsLost(const Registry& registry, const Record& record, TimePoint now) {
  const Duration limit =
      record.announcement.renew * registry.options.missed_renewals;
  return now - record.heard_at > limit;
}

// CurrentLoad is the last report, or none once the target renews without
// reporting.
Load CurrentLoad(const Registry& registry, const Record& record,
                 TimePoint now) {
  const Duration limit =
      record.announcement.renew * registry.options.missed_renewals;
  return now - record.load_at > limit ? Load{} : record.load;
}

sharing::TargetState StateOf(const Registry& registry, const Record& record,
                             const ServiceOffer& offer, TimePoint now) {
  const Announcement& announcement = record.announcement;
  const Load load = CurrentLoad(registry, record, now);
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
      now - record.heard_at);
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
  Record* const known = Find(registry, announcement.id);
  if (known != nullptr && known->announcement == announcement &&
      !known->leaving) {
    known->heard_at = now;
    return;
  }
  const uint64_t before = known == nullptr ? 0 : known->incarnation;
  registry.records[announcement.id] =
      Record{.announcement = announcement,
             .incarnation = std::max(before + 1, wall_ms),
             .load_at = now,
             .heard_at = now};
}

bool ReportLoad(Registry& registry, const TargetId& target, const Load& load,
                TimePoint now) {
  Record* const known = Find(registry, target);
  if (known == nullptr) return false;
  known->load = load;
  known->load_at = now;
  known->heard_at = now;
  return true;
}

bool MarkLeaving(Registry& registry, const TargetId& target, TimePoint now) {
  Record* const known = Find(registry, target);
  if (known == nullptr) return false;
  known->heard_at = now;
  known->leaving = true;
  known->news = true;
  return true;
}

std::vector<sharing::TargetState> TakeDueStates(Registry& registry,
                                                TimePoint now) {
  std::erase_if(registry.records, [&](const auto& item) {
    return IsLost(registry, item.second, now);
  });
  std::vector<sharing::TargetState> states;
  for (auto& [id, record] : registry.records) {
    if (!IsDue(registry, record, now)) continue;
    ++record.sequence;
    record.news = false;
    record.forwarded_at = now;
    for (const ServiceOffer& offer : record.announcement.services) {
      states.push_back(StateOf(registry, record, offer, now));
    }
  }
  return states;
}

}  // namespace samphirebank::targets
