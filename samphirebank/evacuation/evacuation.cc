#include "samphirebank/evacuation/evacuation.h"

#include <algorithm>
#include <iterator>

namespace samphirebank::evacuation {
namespace {

// LeavesNoZone returns whether all zones of the fleet would be evacuated.
bool LeavesNoZone(const Evacuations& evacuations, const Order& order) {
  return !order.fleet_zones.empty() &&
         std::ranges::all_of(order.fleet_zones, [&](const ZoneId& zone) {
           return zone == order.zone || evacuations.zones.contains(zone);
         });
}

}  // namespace

Result Apply(Evacuations& evacuations, const Order& order) {
  if (!order.evacuate) {
    // A zone that left the fleet since can still be withdrawn.
    if (evacuations.zones.erase(order.zone) > 0) {
      evacuations.revision = evacuations.revision.Next();
      return Result::kChanged;
    }
  }
  const bool is_known =
      order.fleet_zones.empty() || order.fleet_zones.contains(order.zone);
  if (!is_known) return Result::kUnknownZone;
  if (!order.evacuate || IsEvacuated(evacuations, order.zone)) {
    return Result::kUnchanged;
  }
  if (LeavesNoZone(evacuations, order)) return Result::kLastZone;
  if (evacuations.zones.size() >= kMaxEvacuatedZones) return Result::kTooMany;
  evacuations.zones.insert(order.zone);
  evacuations.revision = evacuations.revision.Next();
  return Result::kChanged;
}

Changes TakeNewer(Evacuations& known, const Evacuations& received) {
  Changes changes;
  if (received.revision <= known.revision) return changes;
  std::ranges::set_difference(received.zones, known.zones,
                              std::back_inserter(changes.evacuated));
  std::ranges::set_difference(known.zones, received.zones,
                              std::back_inserter(changes.restored));
  known = received;
  return changes;
}

bool IsEvacuated(const Evacuations& evacuations, const ZoneId& zone) {
  return evacuations.zones.contains(zone);
}

}  // namespace samphirebank::evacuation
