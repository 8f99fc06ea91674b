// Where requests were run: allowed regions, evacuated zones, cold targets.
#include <algorithm>
#include <string>

#include "samphirebank/soak/internal/judge.h"

namespace samphirebank::soak {
namespace {

bool Allows(const std::vector<RegionId>& regions, const RegionId& region) {
  return regions.empty() || std::ranges::find(regions, region) != regions.end();
}

void JudgeRegions(const RequestId& id, const RequestRecord& record,
                  Verdicts& verdicts) {
  for (const RequestRecord::Run& item : record.runs) {
    const bool allowed =
        Allows(record.sent.route_regions, item.run.region) &&
        Allows(record.sent.organisation_regions, item.run.region);
    if (allowed) continue;
    verdicts.Add("ran in the region " + item.run.region.value +
                 ", which is not allowed: " + id.value);
  }
}

// A try of an earlier order, or of one at the same time, that asked for the
// contrary and had no answer may be carried out after `order`.
bool MayBeUndone(const Ledger& ledger, const Bounds& bounds,
                 const ZoneOrder& order) {
  return std::ranges::any_of(ledger.zone_orders, [&](const ZoneOrder& other) {
    const bool is_contrary =
        other.zone == order.zone && other.evacuate != order.evacuate;
    const bool has_ended = other.ended_at != TimePoint();
    return is_contrary && other.is_unclear && other.sent_at <= order.ended_at &&
           (!has_ended || order.sent_at <= other.ended_at + bounds.late_order);
  });
}

TimePoint WithdrawnAt(const Ledger& ledger, const ZoneOrder& order) {
  TimePoint withdrawn = TimePoint::max();
  for (const ZoneOrder& other : ledger.zone_orders) {
    const bool ends = other.zone == order.zone && !other.evacuate &&
                      other.sent_at >= order.sent_at;
    if (ends) withdrawn = std::min(withdrawn, other.sent_at);
  }
  return withdrawn;
}

bool WasCutOff(const Ledger& ledger, size_t gateway, TimePoint from,
               TimePoint until) {
  if (Disturbed(ledger, gateway, Cause::kFault, from, until)) return true;
  return std::ranges::any_of(ledger.disturbances, [&](const Disturbance& item) {
    return item.cuts_off && item.from <= until && item.until >= from;
  });
}

void JudgeEvacuation(const Ledger& ledger, const Bounds& bounds,
                     const ZoneOrder& order, Verdicts& verdicts) {
  const bool counts = order.evacuate && order.status == 200 &&
                      !MayBeUndone(ledger, bounds, order);
  if (!counts) return;
  const TimePoint from = order.ended_at + bounds.evacuation;
  const TimePoint until = WithdrawnAt(ledger, order);
  for (const auto& [id, record] : ledger.requests) {
    for (const RequestRecord::Run& item : record.runs) {
      const bool broken = item.run.zone == order.zone && item.at > from &&
                          item.at < until &&
                          !WasCutOff(ledger, record.sent.gateway,
                                     item.at - bounds.settles, item.at);
      if (!broken) continue;
      verdicts.Add("reached the evacuated zone " + order.zone.value + ": " +
                   id.value);
    }
  }
}

void JudgeZonesReadBack(const Ledger& ledger, const Bounds& bounds,
                        Verdicts& verdicts) {
  if (ledger.zone_orders.empty()) return;
  if (!ledger.zones_read_back) {
    return verdicts.Add("the evacuated zones cannot be read at the end");
  }
  std::map<ZoneId, ZoneOrder> last;
  for (const ZoneOrder& order : ledger.zone_orders) {
    if (order.status == 200) last[order.zone] = order;
  }
  for (const auto& [zone, order] : last) {
    const bool listed = ledger.zones_read_back->contains(zone);
    const bool is_kept = listed == order.evacuate;
    if (is_kept || MayBeUndone(ledger, bounds, order)) continue;
    verdicts.Add("zone " + zone.value + " is " + (listed ? "" : "not ") +
                 "evacuated at the end, against the last order");
  }
  for (const ZoneId& zone : *ledger.zones_read_back) {
    const bool ordered =
        std::ranges::any_of(ledger.zone_orders, [&](const ZoneOrder& order) {
          return order.zone == zone && order.evacuate;
        });
    if (!ordered) verdicts.Add("zone " + zone.value + " was never evacuated");
  }
}

// A gateway that was disturbed may not have heard yet that a target turned
// cold during its run; it learns of a new run and that it is cold together.
bool MayNotKnow(const Ledger& ledger, const Bounds& bounds, TimePoint at) {
  return std::ranges::any_of(ledger.disturbances, [&](const Disturbance& item) {
    return item.from <= at && item.until >= at - bounds.settles;
  });
}

void JudgeColdTarget(const Ledger& ledger, const Bounds& bounds,
                     const TargetId& target,
                     const std::vector<ColdRequest>& received,
                     Verdicts& verdicts) {
  std::vector<TimePoint> times;
  for (const ColdRequest& request : received) {
    const bool counts =
        request.from_start || !MayNotKnow(ledger, bounds, request.at);
    if (counts) times.push_back(request.at);
  }
  auto first = times.begin();
  for (auto last = times.begin(); last != times.end(); ++last) {
    while (*last - *first >= std::chrono::seconds(1)) ++first;
    const auto count = last - first + 1;
    if (static_cast<double>(count) <= bounds.cold_requests) continue;
    return verdicts.Add("the cold target " + target.value + " received " +
                        std::to_string(count) + " requests within a second");
  }
}

}  // namespace

void JudgePlacement(const Ledger& ledger, const Bounds& bounds,
                    Verdicts& verdicts) {
  for (const auto& [id, record] : ledger.requests) {
    JudgeRegions(id, record, verdicts);
  }
  for (const ZoneOrder& order : ledger.zone_orders) {
    JudgeEvacuation(ledger, bounds, order, verdicts);
  }
  JudgeZonesReadBack(ledger, bounds, verdicts);
  for (const auto& [target, received] : ledger.cold_requests) {
    JudgeColdTarget(ledger, bounds, target, received, verdicts);
  }
}

}  // namespace samphirebank::soak
