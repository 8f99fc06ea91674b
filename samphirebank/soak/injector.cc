#include "samphirebank/soak/internal/injector.h"

#include <chrono>
#include <csignal>

namespace samphirebank::soak {
namespace {

using process::Now;
using std::chrono::milliseconds;

// A shutdown's length, as the processes are told by default, and some time for
// the system.
constexpr Duration kGrace = milliseconds(8500);
constexpr milliseconds kLinkDelay(150);
// A target that turns cold stays so until gateways have long heard of it.
constexpr Duration kColdFor = milliseconds(3500);
// An evacuation lasts longer than it may take until it is in force.
constexpr Duration kJudgedAfter = milliseconds(5000);

// Link faults are asked of a relay by this.
void Harm(testing::Relay& relay, FaultKind kind) {
  switch (kind) {
    case FaultKind::kResetLinks:
      return relay.Reset();
    case FaultKind::kSilenceLinks:
      return relay.Silence();
    case FaultKind::kCutAnswers:
      return relay.CutAnswers();
    default:
      return relay.Delay(kLinkDelay);
  }
}

}  // namespace

void Injector::Inject(const Fault& fault) {
  switch (fault.kind) {
    case FaultKind::kKillGateway:
    case FaultKind::kFreezeGateway:
    case FaultKind::kShutDownGateway:
    case FaultKind::kHangUpGateway:
      return this->OnGateway(fault);
    case FaultKind::kKillCoordinator:
    case FaultKind::kFreezeCoordinator:
    case FaultKind::kWipeCoordinator:
      return this->OnCoordinator(fault);
    case FaultKind::kKillAllCoordinators:
      return this->KillAllCoordinators(fault.lasts);
    case FaultKind::kFillDisks:
      return this->FillDisks(fault.lasts);
    case FaultKind::kCrashTarget:
    case FaultKind::kDrainTarget:
    case FaultKind::kMuteTarget:
    case FaultKind::kBreakTarget:
    case FaultKind::kRefuseTarget:
    case FaultKind::kMakeTargetCold:
      return this->OnTarget(fault);
    case FaultKind::kResetLinks:
    case FaultKind::kSilenceLinks:
    case FaultKind::kCutAnswers:
    case FaultKind::kDelayLinks:
      return this->OnLink(fault);
    case FaultKind::kRaceTables:
      this->operators.ChangeTable();
      return this->operators.ChangeTable();
    case FaultKind::kChangeTable:
      return this->operators.ChangeTable();
    case FaultKind::kSendInvalidTable:
      return this->operators.SendInvalidTable();
    case FaultKind::kEvacuateZone:
      return this->EvacuateZone(fault);
  }
}

void Injector::Disturb(std::optional<size_t> gateway, Duration lasts,
                       bool is_planned) {
  const TimePoint now = Now();
  this->world.ledger.disturbances.push_back({.gateway = gateway,
                                             .is_planned = is_planned,
                                             .from = now,
                                             .until = now + lasts});
}

void Injector::OnGateway(const Fault& fault) {
  const size_t index = fault.subject % this->fleet.gateways.size();
  Node& node = this->fleet.gateways[index];
  if (!node.is_expected_up || node.is_frozen) return;
  if (fault.kind == FaultKind::kHangUpGateway) {
    return node.process->Signal(SIGHUP);
  }
  if (fault.kind == FaultKind::kShutDownGateway) return this->ShutDown(index);
  this->Disturb(index, fault.lasts, false);
  if (fault.kind == FaultKind::kFreezeGateway) {
    Fleet::Freeze(node);
    return After(this->world, fault.lasts, [&node] { Fleet::Thaw(node); });
  }
  Fleet::Kill(node);
  After(this->world, fault.lasts,
        [this, index] { this->fleet.StartGateway(index); });
}

void Injector::ShutDown(size_t gateway) {
  Node& node = this->fleet.gateways[gateway];
  if (node.is_stopping) return;
  node.is_stopping = true;
  node.process->Signal(SIGTERM);
  this->Disturb(gateway, kGrace, true);
  After(this->world, kGrace, [this, gateway, run = node.incarnation] {
    Node& stopped = this->fleet.gateways[gateway];
    const bool ended = stopped.incarnation != run || !stopped.is_expected_up;
    const bool excused = Disturbed(this->world.ledger, gateway, Cause::kFault,
                                   Now() - kGrace, Now());
    if (ended) return;
    if (!excused) {
      this->world.ledger.oddities.push_back(
          stopped.name + " did not end within its grace period");
    }
    Fleet::Kill(stopped);
    this->fleet.StartGateway(gateway);
  });
}

void Injector::OnCoordinator(const Fault& fault) {
  const size_t index = fault.subject % this->fleet.coordinators.size();
  Node& node = this->fleet.coordinators[index];
  if (!node.is_expected_up || node.is_frozen) return;
  this->Disturb(std::nullopt, fault.lasts, false);
  if (fault.kind == FaultKind::kFreezeCoordinator) {
    Fleet::Freeze(node);
    return After(this->world, fault.lasts, [&node] { Fleet::Thaw(node); });
  }
  Fleet::Kill(node);
  if (fault.kind == FaultKind::kWipeCoordinator) {
    this->fleet.WipeCoordinator(index);
  }
  After(this->world, fault.lasts,
        [this, index] { this->fleet.StartCoordinator(index, false); });
}

void Injector::KillAllCoordinators(Duration lasts) {
  this->Disturb(std::nullopt, lasts, false);
  this->world.ledger.disturbances.back().cuts_off = true;
  for (size_t i = 0; i < this->fleet.coordinators.size(); ++i) {
    if (!this->fleet.coordinators[i].is_expected_up) continue;
    Fleet::Kill(this->fleet.coordinators[i]);
    After(this->world, lasts,
          [this, i] { this->fleet.StartCoordinator(i, false); });
  }
}

// FillDisks fills the disks of the coordinators in turn, and changes the table
// while each is full, since only a write meets a full disk. It disturbs nobody:
// with one full disk at a time, the promises of the control group hold.
void Injector::FillDisks(Duration lasts) {
  const size_t count = this->fleet.coordinators.size();
  const Duration each = lasts / count;
  for (size_t i = 0; i < count; ++i) {
    const Node& node = this->fleet.coordinators[i];
    After(this->world, i * each, [&node] {
      if (node.is_expected_up) node.process->FillDisk();
    });
    After(this->world, i * each + each / 4,
          [this] { this->operators.ChangeTable(); });
    After(this->world, (i + 1) * each, [&node] {
      if (node.is_expected_up) node.process->FreeDisk();
    });
  }
}

void Injector::OnTarget(const Fault& fault) {
  Target& target = *this->targets[fault.subject % this->targets.size()];
  switch (fault.kind) {
    case FaultKind::kCrashTarget:
      target.Crash();
      return After(this->world, fault.lasts, [&target, fault] {
        target.Restart(fault.subject % 2 == 0);
      });
    case FaultKind::kDrainTarget:
      return target.Drain();
    case FaultKind::kMakeTargetCold:
      return target.MakeCold(fault.lasts + kColdFor);
    case FaultKind::kMuteTarget:
      target.manner = Manner::kMute;
      break;
    case FaultKind::kBreakTarget:
      target.manner = Manner::kBreaks;
      break;
    default:
      target.manner = Manner::kRefuses;
      break;
  }
  After(this->world, fault.lasts,
        [&target] { target.manner = Manner::kServes; });
}

void Injector::OnLink(const Fault& fault) {
  const size_t gateways = this->fleet.gateways.size();
  const size_t index = fault.subject % (gateways + this->targets.size());
  const bool of_gateway = index < gateways;
  testing::Relay& relay = of_gateway ? *this->fleet.gateways[index].relay
                                     : this->targets[index - gateways]->relay();
  if (of_gateway) {
    // Connections that went silent stay so, until their callers give them up.
    this->Disturb(index, fault.lasts + std::chrono::seconds(5), false);
  }
  Harm(relay, fault.kind);
  if (fault.kind != FaultKind::kDelayLinks) return;
  Target* target = of_gateway ? nullptr : this->targets[index - gateways].get();
  if (target != nullptr) target->link_is_delayed = true;
  After(this->world, fault.lasts, [this, &relay, target] {
    relay.Delay(milliseconds::zero());
    if (target == nullptr) return;
    After(this->world, 2 * kLinkDelay,
          [target] { target->link_is_delayed = false; });
  });
}

// EvacuateZone evacuates a zone and restores it, unless few would be left. Some
// evacuations of the second zone outlast the run.
void Injector::EvacuateZone(const Fault& fault) {
  const std::vector<ZonePlace>& zones = FleetZones();
  const size_t index = fault.subject % zones.size();
  const ZoneId zone = zones[index].zone;
  const bool is_busy = this->evacuated.contains(zone) ||
                       this->evacuated.size() + 2 > zones.size();
  if (is_busy) return;
  this->evacuated.insert(zone);
  const bool stays = index == 1 && fault.subject % 4 == 0;
  this->OrderZone(zone, true, [this, zone, stays, lasts = fault.lasts] {
    if (stays) return;
    After(this->world, kJudgedAfter + lasts, [this, zone] {
      this->OrderZone(zone, false,
                      [this, zone] { this->evacuated.erase(zone); });
    });
  });
}

void Injector::OrderZone(const ZoneId& zone, bool evacuate,
                         const std::function<void()>& done) {
  this->operators.OrderZone(zone, evacuate, [this, zone, done](int status) {
    if (status == 200) return done();
    this->world.ledger.oddities.push_back("valid order on zone " + zone.value +
                                          " got no acknowledgement, at last " +
                                          std::to_string(status));
  });
}

}  // namespace samphirebank::soak
