// The cost of one packet between instances: sealing and opening it, by the
// bytes of its payload.
#include <benchmark/benchmark.h>

#include <boost/leaf/handle_errors.hpp>
#include <string>

#include "samphirebank/wire/wire.h"

namespace samphirebank::wire {
namespace {

const Channel kChannel{.receiver = "10.0.0.2:7400"};
const FleetKey kKey{std::string(32, 'k')};

Packet PacketOf(int64_t bytes) {
  return {.kind = Kind::kDemand,
          .payload = std::string(static_cast<size_t>(bytes), 'p')};
}

Sealer SealerOf() { return {kKey, InstanceId("router-1"), BootId(7)}; }

void BM_Seal(benchmark::State& bench) {
  Sealer sealer = SealerOf();
  const Packet packet = PacketOf(bench.range(0));
  for (auto step : bench) {
    benchmark::DoNotOptimize(sealer.Seal(packet, kChannel));
  }
}
BENCHMARK(BM_Seal)->Arg(50)->Arg(100)->Arg(1'000)->Arg(30'000);

// BM_SealAndOpen also seals, since a packet is opened once.
void BM_SealAndOpen(benchmark::State& bench) {
  Sealer sealer = SealerOf();
  Opener opener(kKey);
  const Packet packet = PacketOf(bench.range(0));
  for (auto step : bench) {
    const std::string bytes = sealer.Seal(packet, kChannel);
    const bool opened = leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
          BOOST_LEAF_CHECK(opener.Open(bytes));
          return true;
        },
        [] { return false; });
    if (!opened) bench.SkipWithError("a packet was refused");
  }
}
BENCHMARK(BM_SealAndOpen)->Arg(50)->Arg(100)->Arg(1'000)->Arg(30'000);

}  // namespace
}  // namespace samphirebank::wire
