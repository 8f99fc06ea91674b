// What one choice costs at the size of the grown sites and of the target.
#include <benchmark/benchmark.h>

#include <chrono>
#include <string>

#include "samphirebank/dispatch/dispatch.h"

namespace samphirebank::dispatch {
namespace {

void ChooseAmong(benchmark::State& state) {
  const TimePoint now{std::chrono::seconds(1000)};
  Book book;
  std::vector<Candidate> candidates;
  for (int64_t i = 0; i < state.range(0); ++i) {
    candidates.push_back(
        {.id = TargetId("i-7f3a91c2" + std::to_string(i)), .slots = 64});
    book.records[candidates.back().id].others_unread =
        std::chrono::milliseconds(i);
  }
  const Work work{.shared = {{.id = 1, .tokens = Tokens(2'500)},
                             {.id = 2, .tokens = Tokens(3'800)}},
                  .own = Tokens(2'900)};
  for (auto _ : state) {
    benchmark::DoNotOptimize(Choose(book, candidates, work, now));
  }
}
BENCHMARK(ChooseAmong)->Arg(18)->Arg(90)->Arg(760);

}  // namespace
}  // namespace samphirebank::dispatch
