// File: evacuation.h
//
// Evacuation of availability zones: an operator orders that no more requests
// are sent to the targets of a zone, and withdraws the order later. The set of
// evacuated zones is replicated state of the control group; routers take it
// from any control instance, the highest revision first. No I/O.
//
// Example, on a control instance:
//
//   const Result result = Apply(evacuations, order);
//
// and on a router:
//
//   const Changes changes = TakeNewer(evacuations, received);
//   if (IsEvacuated(evacuations, target.zone)) continue;
#ifndef SAMPHIREBANK_EVACUATION_EVACUATION_H_
#define SAMPHIREBANK_EVACUATION_EVACUATION_H_

#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cstddef>
#include <cstdint>
#include <set>
#include <vector>

#include "samphirebank/base/base.h"

namespace samphirebank::evacuation {

// EvacuationRevision counts the changes of the set of evacuated zones.
using EvacuationRevision = StrongNumber<struct EvacuationRevisionTag, uint64_t>;

// Evacuations is the set of evacuated zones.
struct Evacuations {
  EvacuationRevision revision{};
  std::set<ZoneId> zones{};

  friend bool operator==(const Evacuations&, const Evacuations&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(revision, zones);
  }
};

// Order evacuates a zone or withdraws its evacuation. It is idempotent.
struct Order {
  ZoneId zone{};
  bool evacuate = true;  // false: withdraw
  // All zones of the fleet, as the control instance that took the order knows
  // them; empty if it knows none. Part of the order, so that all members of the
  // group decide alike.
  std::set<ZoneId> fleet_zones{};

  friend bool operator==(const Order&, const Order&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(zone, evacuate, fleet_zones);
  }
};

// kMaxEvacuatedZones keeps the set within a part of a datagram.
inline constexpr size_t kMaxEvacuatedZones = 32;

// Result is the effect of an order.
enum class Result : uint8_t {
  kChanged,
  kUnchanged,    // was in force already
  kUnknownZone,  // the fleet has no such zone; nothing changed
  kLastZone,     // no zone would be left; nothing changed
  kTooMany,      // kMaxEvacuatedZones are evacuated; nothing changed
};

// Apply carries out an order.
Result Apply(Evacuations& evacuations, const Order& order);

// Changes lists the zones whose state a newer set changed.
struct Changes {
  std::vector<ZoneId> evacuated{};
  std::vector<ZoneId> restored{};
};

// TakeNewer replaces `known` by `received` if that has a higher revision.
Changes TakeNewer(Evacuations& known, const Evacuations& received);

// IsEvacuated returns whether nothing may be sent to the targets of `zone`.
bool IsEvacuated(const Evacuations& evacuations, const ZoneId& zone);

}  // namespace samphirebank::evacuation

#endif  // SAMPHIREBANK_EVACUATION_EVACUATION_H_
