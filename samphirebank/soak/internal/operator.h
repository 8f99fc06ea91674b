// File: operator.h
//
// The stand-in operator, who changes the route table, and the prober, who asks
// each gateway which table is in force there. Each version of the table has one
// route that no other version has.
#ifndef SAMPHIREBANK_SOAK_INTERNAL_OPERATOR_H_
#define SAMPHIREBANK_SOAK_INTERNAL_OPERATOR_H_

#include <cstdint>
#include <functional>
#include <string_view>

#include "samphirebank/soak/internal/fleet.h"
#include "samphirebank/soak/internal/world.h"

namespace samphirebank::soak {

// Operator sends tables and zone orders to the coordinators, each until it is
// acknowledged.
class Operator {
 public:
  Operator(World& shared, const Fleet& under_test);

  // ChangeTable sends the next version.
  void ChangeTable();
  // SendInvalidTable sends one that names an unknown service; it must be
  // refused.
  void SendInvalidTable();
  // OrderZone evacuates a zone, or withdraws its evacuation; `done` is told the
  // last answer.
  void OrderZone(const ZoneId& zone, bool evacuate,
                 const std::function<void(int status)>& done = {});
  // ReadZones reads the evacuated zones into the ledger.
  void ReadZones(const std::function<void()>& done);
  // ReadBack reads the table that is in force into the ledger.
  void ReadBack(const std::function<void()>& done);

 private:
  void Put(uint64_t version, std::string text);
  size_t AnyCoordinator();

  World& world;
  const Fleet& fleet;
  uint64_t newest = 0;
};

// Prober asks all gateways several times a second.
class Prober {
 public:
  Prober(World& shared, const Fleet& under_test);

 private:
  void ProbeAll();
  void ProbeOne(size_t gateway, uint64_t version);

  World& world;
  const Fleet& fleet;
  uint64_t sent = 0;
};

// IsProbe says whether a request asks for a version's own route.
bool IsProbe(std::string_view target);

}  // namespace samphirebank::soak

#endif  // SAMPHIREBANK_SOAK_INTERNAL_OPERATOR_H_
