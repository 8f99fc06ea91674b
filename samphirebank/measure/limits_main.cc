// Prints how limits hold over several pools, by fault, and what they cost.
#include <cstdio>
#include <string>

#include "samphirebank/measure/measure.h"

namespace samphirebank::measure {
namespace {

constexpr LimitsFault kFaults[] = {
    LimitsFault::kNone, LimitsFault::kLossyLinks, LimitsFault::kCoordinatorLost,
    LimitsFault::kCoordinatorMoved, LimitsFault::kPoolCut};

LimitsSetup Base() {
  LimitsSetup setup;
  setup.contract.organisation = OrganisationId("workshop-1");
  setup.contract.queue_length = 0;
  setup.requests_per_second = {30, 10, 5, 0, 0};
  setup.length = std::chrono::seconds(120);
  return setup;
}

void PrintRow(const std::string& limit, const LimitsSetup& setup) {
  const LimitsResult result = RunLimits(setup);
  std::printf("%-16s %-18s %-6s %8llu %7llu %8.1f %9.0f %6.3f %7.2f %6.0f\n",
              limit.c_str(), Name(setup.fault).c_str(),
              setup.split ? "split" : "each",
              static_cast<unsigned long long>(result.started),
              static_cast<unsigned long long>(result.peak_running),
              result.excess_requests, result.excess_tokens, result.use,
              result.starvation, result.bytes);
}

void PrintAll(const std::string& limit, LimitsSetup setup) {
  setup.split = false;
  PrintRow(limit, setup);
  setup.split = true;
  for (const LimitsFault fault : kFaults) {
    setup.fault = fault;
    PrintRow(limit, setup);
  }
}

int Main() {
  std::printf("%-16s %-18s %-6s %8s %7s %8s %9s %6s %7s %6s\n", "limit",
              "fault", "ways", "started", "running", "req over", "tok over",
              "use", "none s", "B/s");
  LimitsSetup setup = Base();
  PrintAll("none", setup);
  setup.contract.requests_per_second = 20;
  PrintAll("20 requests/s", setup);
  setup = Base();
  setup.contract.concurrency = 20;
  PrintAll("20 at once", setup);
  setup = Base();
  setup.contract.concurrency = 1;
  PrintAll("1 at once", setup);
  setup = Base();
  setup.contract.tokens_per_minute = 120'000;
  PrintAll("120000 tok/min", setup);
  return 0;
}

}  // namespace
}  // namespace samphirebank::measure

int main() { return samphirebank::measure::Main(); }
