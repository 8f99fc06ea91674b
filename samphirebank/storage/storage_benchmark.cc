// Measures recovery time and the throughput of appends by the number of writes
// per sync, on the disk that holds the current working folder.
#include <benchmark/benchmark.h>

#include <filesystem>

#include "samphirebank/storage/storage.h"

namespace samphirebank::storage {
namespace {

constexpr size_t kPayloadBytes = 400;
const Options kOptions{.instance = InstanceId("c1"),
                       .new_storage_id = consensus::StorageId(7)};

// Folder is an empty data folder that is removed when the benchmark ends.
struct Folder {
  std::string path = std::filesystem::current_path() / "benchmark-data";

  Folder() { std::filesystem::remove_all(path); }
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;
  ~Folder() { std::filesystem::remove_all(path); }
};

// Write appends `count` entries after index `last`, one per Persist, and
// flushes after every `batch` of them. It advances `last`.
void Write(Storage& storage, uint64_t& last, uint64_t count, uint64_t batch) {
  for (uint64_t i = 0; i < count; ++i) {
    ++last;
    consensus::Persist persist{.ticket = consensus::Ticket(last)};
    persist.entries.push_back({.index = LogIndex(last),
                               .term = Term(1),
                               .kind = consensus::EntryKind::kCommand,
                               .payload = std::string(kPayloadBytes, 'x')});
    storage.Enqueue(std::move(persist));
    if ((i + 1) % batch == 0) benchmark::DoNotOptimize(storage.Flush());
  }
}

void BM_Recovery(benchmark::State& state) {
  Folder folder;
  {
    auto files = *OpenFolder(folder.path);
    auto storage = *Storage::Open(*files, kOptions);
    uint64_t last = 0;
    Write(*storage, last, static_cast<uint64_t>(state.range(0)), 100);
  }
  for (auto _ : state) {
    auto files = *OpenFolder(folder.path);
    auto storage = *Storage::Open(*files, kOptions);
    benchmark::DoNotOptimize(storage->TakeRecovered());
  }
  state.SetItemsProcessed(state.iterations() * state.range(0));
}
BENCHMARK(BM_Recovery)
    ->Arg(10'000)
    ->Arg(100'000)
    ->Unit(benchmark::kMillisecond);

void BM_AppendsPerSync(benchmark::State& state) {
  Folder folder;
  auto files = *OpenFolder(folder.path);
  auto storage = *Storage::Open(*files, kOptions);
  const auto batch = static_cast<uint64_t>(state.range(0));
  uint64_t last = 0;
  for (auto _ : state) Write(*storage, last, batch, batch);
  state.SetItemsProcessed(static_cast<int64_t>(last));
}
BENCHMARK(BM_AppendsPerSync)
    ->Arg(1)
    ->Arg(10)
    ->Arg(100)
    ->UseRealTime()
    ->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace samphirebank::storage
