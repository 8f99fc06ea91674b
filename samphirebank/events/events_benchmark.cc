// What one line costs.
#include <benchmark/benchmark.h>

#include "samphirebank/events/events.h"

namespace samphirebank::events {
namespace {

void WriteEventLine(benchmark::State& state) {
  const Source source{.instance = InstanceId("front-aqaba-a-1"),
                      .role = "gateway",
                      .boot = BootId(7)};
  const Event event{.number = Number::kRequestDispatched,
                    .request = RequestId("9c41d07be2a35f68"),
                    .organisation = OrganisationId("hule930"),
                    .target = TargetId("i-7f3a91c2"),
                    .service = ServiceId("sandmind"),
                    .revision = Revision(9),
                    .duration = std::chrono::microseconds(1234),
                    .count = 1,
                    .address = "10.2.64.40:8183",
                    .detail = "home, own in flight 2, prompts waiting 40 ms"};
  for (auto _ : state) {
    benchmark::DoNotOptimize(EventLine(source, {.wall_ms = 1}, event));
  }
}
BENCHMARK(WriteEventLine);

void LogToFile(benchmark::State& state) {
  Open({.instance = InstanceId("b"), .role = "gateway", .file = "/dev/null"});
  for (auto _ : state) {
    Log({.number = Number::kRequestDispatched,
         .request = RequestId("9c41d07be2a35f68"),
         .target = TargetId("i-7f3a91c2")});
  }
  Close();
}
BENCHMARK(LogToFile);

}  // namespace
}  // namespace samphirebank::events
