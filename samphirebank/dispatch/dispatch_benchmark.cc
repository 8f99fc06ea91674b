// Measures the cost of one choice for services of 18, 90 and 760 targets.
#include <benchmark/benchmark.h>

#include <chrono>
#include <string>

#include "samphirebank/dispatch/dispatch.h"

namespace samphirebank::dispatch {
namespace {

void BenchmarkChoose(benchmark::State& state) {
  const TimePoint now{std::chrono::seconds(1000)};
  TargetTracker tracker;
  std::vector<Candidate> candidates;
  for (int64_t i = 0; i < state.range(0); ++i) {
    candidates.push_back(
        {.id = TargetId("i-7f3a91c2" + std::to_string(i)), .slots = 64});
    tracker.targets[candidates.back().id].peer_prefill_backlog =
        std::chrono::milliseconds(i);
  }
  const RequestProfile request{.shared = {{.id = 1, .tokens = Tokens(2'500)},
                                          {.id = 2, .tokens = Tokens(3'800)}},
                               .unique_tokens = Tokens(2'900)};
  for (auto _ : state) {
    benchmark::DoNotOptimize(Choose(tracker, candidates, request, now));
  }
}
BENCHMARK(BenchmarkChoose)->Arg(18)->Arg(90)->Arg(760);

}  // namespace
}  // namespace samphirebank::dispatch
