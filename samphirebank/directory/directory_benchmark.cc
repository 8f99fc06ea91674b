// Measures what a heartbeat and an update cost a directory of 760 and 3,000
// targets.
#include <benchmark/benchmark.h>

#include <chrono>
#include <string>

#include "samphirebank/directory/directory.h"

namespace samphirebank::directory {
namespace {

const TimePoint kNow{std::chrono::seconds(1000)};

Announcement MakeAnnouncement(int64_t number, uint64_t sequence) {
  return {.id = TargetId("i-7f3a91c2" + std::to_string(number)),
          .service = ServiceId("huvo11a"),
          .address = {.ip = "10.1." + std::to_string(number / 250) + "." +
                            std::to_string(number % 250),
                      .port = 8080},
          .zone = ZoneId("bilbao-a"),
          .slots = 64,
          .started_at_ms = 1,
          .sequence = sequence};
}

Directory MakeDirectory(int64_t num_targets) {
  Directory directory;
  for (int64_t i = 0; i < num_targets; ++i) {
    ApplyAnnouncement(directory, MakeAnnouncement(i, 1), kNow);
  }
  return directory;
}

void BenchmarkHeartbeat(benchmark::State& state) {
  Directory directory = MakeDirectory(state.range(0));
  uint64_t sequence = 1;
  for (auto _ : state) {
    const Announcement renewed = MakeAnnouncement(7, ++sequence);
    benchmark::DoNotOptimize(ApplyAnnouncement(directory, renewed, kNow));
  }
}
BENCHMARK(BenchmarkHeartbeat)->Arg(760)->Arg(3000);

void BenchmarkChangesSince(benchmark::State& state) {
  const Directory directory = MakeDirectory(state.range(0));
  const Cursor cursor(directory.last_change.value - 4);
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        ChangesSince(directory, {.states = cursor, .renewals = cursor}, 8));
  }
}
BENCHMARK(BenchmarkChangesSince)->Arg(760)->Arg(3000);

}  // namespace
}  // namespace samphirebank::directory
