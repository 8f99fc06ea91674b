// File: injector.h
//
// Carries out a plan's faults, and notes which gateway, or whether the control
// group, they disturb.
#ifndef SAMPHIREBANK_SOAK_INTERNAL_INJECTOR_H_
#define SAMPHIREBANK_SOAK_INTERNAL_INJECTOR_H_

#include <functional>
#include <memory>
#include <set>
#include <vector>

#include "samphirebank/soak/internal/fleet.h"
#include "samphirebank/soak/internal/operator.h"
#include "samphirebank/soak/internal/plan.h"
#include "samphirebank/soak/internal/target.h"
#include "samphirebank/soak/internal/world.h"

namespace samphirebank::soak {

// Injector works on what the run made.
struct Injector {
  World& world;
  Fleet& fleet;
  Operator& operators;
  std::vector<std::unique_ptr<Target>>& targets;
  std::set<ZoneId> evacuated{};  // ordered, and the withdrawal not acknowledged

  void Inject(const Fault& fault);

 private:
  void OnGateway(const Fault& fault);
  void ShutDown(size_t gateway);
  void OnCoordinator(const Fault& fault);
  void KillAllCoordinators(Duration lasts);
  void FillDisks(Duration lasts);
  void OnTarget(const Fault& fault);
  void OnLink(const Fault& fault);
  void EvacuateZone(const Fault& fault);
  void OrderZone(const ZoneId& zone, bool evacuate,
                 const std::function<void()>& done);
  void Disturb(std::optional<size_t> gateway, Duration lasts, bool is_planned);
};

}  // namespace samphirebank::soak

#endif  // SAMPHIREBANK_SOAK_INTERNAL_INJECTOR_H_
