#include "samphirebank/measure/internal/fleet.h"

#include <algorithm>
#include <utility>

namespace samphirebank::measure {
namespace internal {
namespace {

constexpr Duration kProgressPeriod = std::chrono::milliseconds(500);
constexpr Duration kSamplePeriod = std::chrono::milliseconds(250);
// kLeavingBound is when a target that left must get nothing any more.
constexpr Duration kLeavingBound = std::chrono::seconds(2);

double Seconds(Duration span) {
  return std::chrono::duration<double>(span).count();
}

double TokensSoFar(const Fleet& fleet, uint32_t request, TimePoint began) {
  const double made =
      Seconds(fleet.now - began) * fleet.workload.tokens_per_second;
  return std::min(made, static_cast<double>(fleet.trace[request].cost));
}

// CountSlots takes the time since the last change of slots into the account.
void CountSlots(Fleet& fleet) {
  double busy = 0;
  double slots = 0;
  for (const Target& target : fleet.targets) {
    if (target.leaving) continue;
    busy += std::min<double>(target.slots,
                             static_cast<double>(target.running.size()));
    slots += target.slots;
  }
  OnSlots(fleet.account, busy, slots, fleet.now - fleet.slots_at, fleet.now);
  fleet.slots_at = fleet.now;
}

void Begin(Fleet& fleet, uint32_t target);

void End(Fleet& fleet, uint32_t request, uint32_t target) {
  CountSlots(fleet);
  const Request& ended = fleet.trace[request];
  fleet.targets[target].running.erase(request);
  fleet.tokens_received[ended.organisation] += static_cast<double>(ended.cost);
  Begin(fleet, target);
  At(fleet, fleet.workload.link_delay, [&fleet, request] {
    if (fleet.on_end) fleet.on_end(request);
  });
}

// Progress tells the router the tokens so far, until the request ends.
void Progress(Fleet& fleet, uint32_t request, uint32_t target) {
  const auto& running = fleet.targets[target].running;
  const auto known = running.find(request);
  if (known == running.end()) return;
  const double tokens = TokensSoFar(fleet, request, known->second);
  if (fleet.on_progress) {
    fleet.on_progress(request, static_cast<int64_t>(tokens));
  }
  At(fleet, kProgressPeriod,
     [&fleet, request, target] { Progress(fleet, request, target); });
}

void Start(Fleet& fleet, uint32_t request, uint32_t target) {
  CountSlots(fleet);
  fleet.targets[target].running[request] = fleet.now;
  fleet.jobs[request].waiting = false;
  OnBegan(fleet.account, fleet.trace[request], fleet.now);
  const std::chrono::duration<double> length(
      static_cast<double>(fleet.trace[request].cost) /
      fleet.workload.tokens_per_second);
  const uint64_t attempt = fleet.jobs[request].attempt;
  At(fleet, std::chrono::duration_cast<Duration>(length),
     [&fleet, request, target, attempt] {
       if (fleet.jobs[request].attempt == attempt) End(fleet, request, target);
     });
  At(fleet, kProgressPeriod,
     [&fleet, request, target] { Progress(fleet, request, target); });
}

// Begin starts what a target's batch has room for.
void Begin(Fleet& fleet, uint32_t target) {
  Target& chosen = fleet.targets[target];
  while (!chosen.queue.empty() && chosen.running.size() < chosen.slots) {
    const uint32_t request = chosen.queue.front();
    chosen.queue.pop_front();
    Start(fleet, request, target);
  }
}

void Sample(Fleet& fleet) {
  std::vector<double> tokens = fleet.tokens_received;
  for (const Target& target : fleet.targets) {
    for (const auto& [request, began] : target.running) {
      tokens[fleet.trace[request].organisation] +=
          TokensSoFar(fleet, request, began);
    }
  }
  OnReceived(fleet.account, tokens);
}

void StartFault(Fleet& fleet) {
  if (fleet.setup.fault == Fault::kTargetLeaves) {
    for (uint32_t i = 0; i < 2 && i < fleet.targets.size(); ++i) {
      fleet.targets[i].leaving = true;
      fleet.targets[i].left_at = fleet.now;
    }
  }
  if (fleet.setup.fault == Fault::kCapacityHalves) {
    CountSlots(fleet);
    for (Target& target : fleet.targets) target.slots /= 2;
    At(fleet, fleet.workload.length / 3, [&fleet] {
      CountSlots(fleet);
      for (uint32_t i = 0; i < fleet.targets.size(); ++i) {
        fleet.targets[i].slots = fleet.workload.slots;
        Begin(fleet, i);
      }
    });
  }
  if (fleet.on_fault) fleet.on_fault();
}

void ScheduleArrivals(Fleet& fleet) {
  for (uint32_t i = 0; i < fleet.trace.size(); ++i) {
    At(fleet, fleet.trace[i].at - TimePoint(), [&fleet, i] {
      fleet.jobs[i].waiting = true;
      OnWaiting(fleet.account, fleet.trace[i].organisation, fleet.now);
      fleet.on_arrival(i);
    });
  }
}

void Install(Fleet& fleet) {
  switch (fleet.setup.variant) {
    case Variant::kCentral:
      return UseCentral(fleet);
    case Variant::kNaive:
    case Variant::kRouterFair:
      return UseLocal(fleet);
    default:
      return UseScheduler(fleet);
  }
}

}  // namespace

void At(Fleet& fleet, Duration delay, std::function<void()> action) {
  fleet.events.push(Event{.at = fleet.now + delay,
                          .number = ++fleet.last_number,
                          .action = std::move(action)});
}

void Every(Fleet& fleet, Duration period, std::function<void()> action) {
  At(fleet, period, [&fleet, period, action = std::move(action)] {
    action();
    Every(fleet, period, action);
  });
}

void Send(Fleet& fleet, uint32_t request, uint32_t target) {
  fleet.jobs[request].target = target;
  const uint64_t attempt = fleet.jobs[request].attempt;
  At(fleet, fleet.workload.link_delay, [&fleet, request, target, attempt] {
    if (fleet.jobs[request].attempt != attempt) return;
    const Target& chosen = fleet.targets[target];
    const bool late =
        chosen.leaving && fleet.now - chosen.left_at > kLeavingBound;
    if (late) fleet.late_starts += 1;
    fleet.targets[target].queue.push_back(request);
    Begin(fleet, target);
  });
}

void Cancel(Fleet& fleet, uint32_t request) {
  Job& job = fleet.jobs[request];
  job.attempt += 1;
  fleet.lost += 1;
  if (job.waiting) {
    job.waiting = false;
    OnGone(fleet.account, fleet.trace[request].organisation, fleet.now);
  }
  CountSlots(fleet);
  Target& target = fleet.targets[job.target];
  std::erase(target.queue, request);
  target.running.erase(request);
  Begin(fleet, job.target);
}

TimePoint FaultStart(const Fleet& fleet) {
  return TimePoint() + fleet.workload.length / 3;
}

}  // namespace internal

Result RunTrace(const Workload& workload, const Setup& setup,
                const std::vector<Request>& trace) {
  using internal::Fleet;
  Fleet fleet{.workload = workload, .setup = setup, .trace = trace};
  fleet.end = TimePoint() + workload.length;
  fleet.random.seed(workload.seed + 1000);
  fleet.account = internal::Open(workload);
  fleet.targets.assign(workload.targets,
                       internal::Target{.slots = workload.slots});
  fleet.jobs.assign(trace.size(), {});
  fleet.tokens_received.assign(workload.organisations.size(), 0);
  fleet.control_bytes.assign(workload.routers, 0);
  internal::Install(fleet);
  internal::ScheduleArrivals(fleet);
  internal::Every(fleet, internal::kSamplePeriod,
                  [&fleet] { internal::Sample(fleet); });
  internal::At(fleet, internal::FaultStart(fleet) - TimePoint(),
               [&fleet] { internal::StartFault(fleet); });
  while (!fleet.events.empty() && fleet.events.top().at < fleet.end) {
    const internal::Event event = fleet.events.top();
    fleet.events.pop();
    fleet.now = event.at;
    event.action();
  }
  fleet.now = fleet.end;
  internal::CountSlots(fleet);
  Result result;
  internal::Close(fleet.account, result, fleet.now);
  int64_t largest = 0;
  for (const Request& request : trace) {
    largest = std::max(largest, request.cost);
  }
  result.ideal_bound = 2 * static_cast<double>(largest);
  const double seconds = internal::Seconds(workload.length);
  for (const double bytes : fleet.control_bytes) {
    result.control_bytes += bytes / seconds / workload.routers;
    result.control_bytes_busiest =
        std::max(result.control_bytes_busiest, bytes / seconds);
  }
  result.lost = fleet.lost;
  result.late_starts = fleet.late_starts;
  return result;
}

Result Run(const Workload& workload, const Setup& setup) {
  return RunTrace(workload, setup, MakeTrace(workload));
}

}  // namespace samphirebank::measure
