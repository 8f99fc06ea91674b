// File: plan.h
//
// Which faults a seed draws. No I/O.
#ifndef SAMPHIREBANK_SOAK_INTERNAL_PLAN_H_
#define SAMPHIREBANK_SOAK_INTERNAL_PLAN_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "samphirebank/base/base.h"

namespace samphirebank::soak {

// FaultKind says what is done, and to what.
enum class FaultKind : uint8_t {
  kKillGateway,
  kFreezeGateway,
  kShutDownGateway,  // SIGTERM, and started again when it has ended
  kHangUpGateway,    // SIGHUP
  kKillCoordinator,
  kFreezeCoordinator,
  kWipeCoordinator,      // killed, and started again without its data
  kKillAllCoordinators,  // at the same moment
  kFillDisks,            // of the coordinators, one after another
  kCrashTarget,
  kDrainTarget,     // leaves as planned, and comes back as a new run
  kMuteTarget,      // reads requests and never answers
  kBreakTarget,     // breaks its answers off
  kRefuseTarget,    // states that it runs nothing
  kMakeTargetCold,  // turns cold, and warm again
  kResetLinks,      // of a gateway's callers, or of a target
  kSilenceLinks,
  kCutAnswers,  // bytes pass in one direction only
  kDelayLinks,
  kChangeTable,
  kRaceTables,  // two tables at once, to two coordinators
  kSendInvalidTable,
  kEvacuateZone,  // and restore it
};
inline constexpr size_t kFaultKinds = 23;

// NameOf returns the fault's name in print.
std::string_view NameOf(FaultKind kind);

// HitsCoordinators says whether the control group is short of a member.
bool HitsCoordinators(FaultKind kind);

// Fault is one entry of a plan.
struct Fault {
  Duration at{};
  Duration lasts{};
  FaultKind kind = FaultKind::kKillGateway;
  uint32_t subject = 0;  // which gateway, coordinator, target or link
};

// PlanOptions bound a plan.
struct PlanOptions {
  Duration length = std::chrono::seconds(15);
  Duration mean_gap = std::chrono::milliseconds(500);
  Duration shortest = std::chrono::milliseconds(300);
  Duration longest = std::chrono::milliseconds(4000);
  uint32_t disks_in_series = 3;  // each is full for as long as a fault lasts
  // A member of the control group that was lost has caught up by then; only
  // then the next one may be lost.
  Duration catch_up = std::chrono::seconds(4);
};

// MakePlan draws the faults of a seed, by rising time. The same seed and
// options give the same plan.
std::vector<Fault> MakePlan(const PlanOptions& options, uint64_t seed);

// FaultText returns a fault in print.
std::string FaultText(const Fault& fault);

}  // namespace samphirebank::soak

#endif  // SAMPHIREBANK_SOAK_INTERNAL_PLAN_H_
