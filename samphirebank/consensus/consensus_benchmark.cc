// Measures the processor time of the consensus logic on a leader and its
// followers, without network and disk.
#include <benchmark/benchmark.h>

#include <deque>

#include "samphirebank/consensus/consensus.h"
#include "samphirebank/wire/wire.h"

namespace samphirebank::consensus {
namespace {

constexpr size_t kCommandBytes = 400;

// Group runs members with an instant network and instant disks.
struct Group {
  TimePoint now{};
  std::vector<State> members{};
  uint64_t bytes = 0;
  size_t committed = 0;

  explicit Group(size_t size) {
    std::set<MemberId> voters;
    for (size_t i = 0; i < size; ++i) {
      const MemberId self{.instance = InstanceId("c" + std::to_string(i)),
                          .storage = StorageId(i + 1)};
      members.push_back(Start({.self = self, .seed = i + 1}, {}, now));
      voters.insert(self);
    }
    Handle(0, Bootstrap{.voters = voters});
    while (members[0].role != Role::kLeader) Handle(0, Tick{});
  }

  void Handle(size_t i, const Event& event) {
    Actions actions = Step(members[i], event, now);
    committed += actions.committed.size();
    if (actions.persist) Handle(i, Persisted{actions.persist->ticket});
    for (const Message& message : actions.messages) {
      const wire::Packet packet = wire::Encode(message);
      bytes += packet.payload.size();
      for (size_t to = 0; to < members.size(); ++to) {
        if (members[to].options.self != message.to) continue;
        Handle(to, Received{*wire::Decode<Message>(packet)});
      }
    }
    if (!actions.take_snapshot) return;
    Handle(i,
           SnapshotTaken{.index = members[i].commit_index,
                         .data = std::make_shared<const std::string>("state")});
  }
};

// BM_Commit measures the commit of one batch of commands on all members
// together, including the encoding and decoding of messages.
void BM_Commit(benchmark::State& state) {
  Group group(static_cast<size_t>(state.range(0)));
  const auto batch = static_cast<size_t>(state.range(1));
  const std::vector<std::string> commands(batch,
                                          std::string(kCommandBytes, 'x'));
  const uint64_t before = group.bytes;
  for (auto _ : state) group.Handle(0, Propose{.commands = commands});
  const auto items = state.iterations() * static_cast<int64_t>(batch);
  state.SetItemsProcessed(items);
  state.counters["bytes_per_command"] =
      static_cast<double>(group.bytes - before) / static_cast<double>(items);
}
BENCHMARK(BM_Commit)->Args({3, 1})->Args({3, 100})->Args({7, 1})->Args({7,
                                                                        100});

// BM_IdleSecond measures one simulated second without commands, with a tick
// every 20 ms.
void BM_IdleSecond(benchmark::State& state) {
  Group group(static_cast<size_t>(state.range(0)));
  const uint64_t before = group.bytes;
  for (auto _ : state) {
    for (int tick = 0; tick < 50; ++tick) {
      group.now += std::chrono::milliseconds(20);
      for (size_t i = 0; i < group.members.size(); ++i) group.Handle(i, Tick{});
    }
  }
  // Each iteration is one simulated second.
  const auto seconds = static_cast<double>(state.iterations());
  state.counters["bytes_per_second"] =
      static_cast<double>(group.bytes - before) / seconds;
}
BENCHMARK(BM_IdleSecond)->Arg(3)->Arg(7);

}  // namespace
}  // namespace samphirebank::consensus
