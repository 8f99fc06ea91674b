#include "samphirebank/soak/soak.h"

#include <chrono>
#include <memory>
#include <stdexcept>
#include <utility>

#include "samphirebank/soak/internal/caller.h"
#include "samphirebank/soak/internal/fleet.h"
#include "samphirebank/soak/internal/injector.h"
#include "samphirebank/soak/internal/judge.h"
#include "samphirebank/soak/internal/ledger.h"
#include "samphirebank/soak/internal/operator.h"
#include "samphirebank/soak/internal/plan.h"
#include "samphirebank/soak/internal/target.h"
#include "samphirebank/soak/internal/world.h"

namespace samphirebank::soak {
namespace {

using process::Now;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStartLimit = seconds(20);
constexpr Duration kWatchInterval = milliseconds(100);
// Requests are counted for so long after the recovery.
constexpr Duration kCounted = seconds(3);
// What is under way when the callers stop ends by then.
constexpr Duration kLastAnswers = seconds(5);

void RunFor(World& world, Duration span) { world.loop.run_for(span); }

// AllServe says whether each gateway has some table in force.
bool AllServe(const World& world) {
  std::vector<bool> serves(world.options.gateways, false);
  for (const Probe& probe : world.ledger.probes) {
    if (probe.in_force) serves[probe.gateway] = true;
  }
  return std::ranges::all_of(serves, [](bool one) { return one; });
}

void AwaitStart(World& world) {
  const TimePoint give_up = Now() + kStartLimit;
  while (!AllServe(world)) {
    if (Now() >= give_up) throw std::runtime_error("the fleet does not serve");
    RunFor(world, kWatchInterval);
  }
}

std::vector<std::unique_ptr<Target>> MakeTargets(World& world,
                                                 const Fleet& fleet) {
  std::vector<std::unique_ptr<Target>> targets;
  const auto add = [&](const std::string& service, size_t count) {
    for (size_t i = 0; i < count; ++i) {
      targets.push_back(std::make_unique<Target>(
          world, service + std::to_string(i), ServiceId(service),
          fleet.control(), FleetZones()[i % FleetZones().size()].zone));
    }
  };
  add("engine", world.options.engines);
  add("plain", world.options.plain_targets);
  return targets;
}

void Watch(World& world, Fleet& fleet) {
  fleet.NoteEnds();
  After(world, kWatchInterval, [&world, &fleet] { Watch(world, fleet); });
}

void Count(const Ledger& ledger, Report& report) {
  for (const auto& [id, record] : ledger.requests) {
    ++report.requests;
    const bool answered =
        record.answer && record.answer->end == CallerEnd::kAnswered;
    const int status = answered ? record.answer->status : 0;
    if (status >= 200 && status < 300) {
      ++report.served;
    } else if (status == 503) {
      ++report.refused;
    } else {
      ++report.unanswered;
    }
  }
  report.tables_accepted = ledger.tables_accepted.size();
  for (const ZoneOrder& order : ledger.zone_orders) {
    if (order.status == 200) ++report.zone_orders;
  }
  for (const auto& [id, received] : ledger.cold_requests) {
    report.cold_requests += received.size();
  }
}

}  // namespace

Report Run(const Options& options, const Speech& speech) {
  boost::asio::io_context loop{1};
  World world{.loop = loop,
              .options = options,
              .speech = speech,
              .random = std::mt19937_64(options.seed)};
  const PlanOptions plan_options{.length = options.fault_time};
  const std::vector<Fault> plan = MakePlan(plan_options, options.seed);
  Report report;
  for (const Fault& fault : plan) report.faults.push_back(FaultText(fault));

  Fleet fleet(world);
  Watch(world, fleet);
  std::vector<std::unique_ptr<Target>> targets = MakeTargets(world, fleet);
  Operator operators(world, fleet);
  const Prober prober(world, fleet);
  AwaitStart(world);

  Balancer balancer(world, fleet);
  std::vector<std::unique_ptr<Caller>> callers;
  for (size_t i = 0; i < options.callers; ++i) {
    callers.push_back(std::make_unique<Caller>(world, fleet, balancer, i));
  }
  Injector injector{world, fleet, operators, targets};
  for (const Fault& fault : plan) {
    After(world, fault.at, [&injector, &fault] { injector.Inject(fault); });
  }
  world.ledger.quiet_since = Now() + options.fault_time + plan_options.longest;
  RunFor(world, options.fault_time + plan_options.longest + options.recovery +
                    kCounted);
  world.ending = true;
  RunFor(world, kLastAnswers);
  bool read_back = false;
  operators.ReadBack([&read_back] { read_back = true; });
  while (!read_back) RunFor(world, kWatchInterval);
  read_back = false;
  operators.ReadZones([&read_back] { read_back = true; });
  while (!read_back) RunFor(world, kWatchInterval);

  report.findings = Judge(
      world.ledger,
      {.recovery = options.recovery,
       .cold_requests = kColdRate * options.cold_overrun + options.cold_slack});
  Verdicts logs;
  for (const Node& node : fleet.gateways) JudgeLog(fleet.LogOf(node), logs);
  for (const Node& node : fleet.coordinators) JudgeLog(fleet.LogOf(node), logs);
  for (std::string& finding : logs.all) {
    report.findings.push_back(std::move(finding));
  }
  Count(world.ledger, report);
  return report;
}

}  // namespace samphirebank::soak
