// Measures the cost of one choice for services of 18, 90 and 760 targets.
#include <benchmark/benchmark.h>

#include <chrono>
#include <string>

#include "samphirebank/dispatch/dispatch.h"

namespace samphirebank::dispatch {
namespace {

// MakeLearned gives a third of the targets a reading time beyond the dead band.
void MakeLearned(TargetTracker* tracker, TimePoint now) {
  int number = 0;
  for (auto& [id, state] : tracker->targets) {
    state.reading_time = {.mean = number++ % 3 == 0 ? 0.6 : 0.1,
                          .weight = 4.0,
                          .deviation = 0.2,
                          .updated_at = now};
    state.load = dialect::TargetLoad{.running = 20, .slots = 64};
    state.load_received_at = now;
  }
}

void BenchmarkChoose(benchmark::State& state, bool learned) {
  const TimePoint now{std::chrono::seconds(1000)};
  TargetTracker tracker;
  std::vector<Candidate> candidates;
  for (int64_t i = 0; i < state.range(0); ++i) {
    candidates.push_back(
        {.id = TargetId("i-7f3a91c2" + std::to_string(i)), .slots = 64});
    tracker.targets[candidates.back().id].peer_prefill_backlog =
        std::chrono::milliseconds(i);
  }
  if (learned) MakeLearned(&tracker, now);
  const RequestProfile request{.shared = {{.id = 1, .tokens = Tokens(2'500)},
                                          {.id = 2, .tokens = Tokens(3'800)}},
                               .unique_tokens = Tokens(2'900)};
  for (auto _ : state) {
    benchmark::DoNotOptimize(Choose(tracker, candidates, request, now));
  }
}
BENCHMARK_CAPTURE(BenchmarkChoose, new, false)->Arg(18)->Arg(90)->Arg(760);
BENCHMARK_CAPTURE(BenchmarkChoose, learned, true)->Arg(18)->Arg(90)->Arg(760);

}  // namespace
}  // namespace samphirebank::dispatch
