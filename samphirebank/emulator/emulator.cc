#include "samphirebank/emulator/emulator.h"

#include <csignal>
#include <utility>

#include "samphirebank/emulator/internal/runs_file.h"
#include "samphirebank/emulator/internal/target.h"

namespace samphirebank::emulator {
namespace {

// kLastWords lets the routers hear of the leave before the process ends.
constexpr Duration kLastWords = std::chrono::milliseconds(300);

}  // namespace

Emulator::Emulator(net::Loop& event_loop,
                   settings::EmulatorSettings emulator_settings)
    : loop(event_loop),
      settings(std::make_shared<settings::EmulatorSettings>(
          std::move(emulator_settings))) {
  const auto runs = std::make_shared<RunsFile>(this->settings->runs_file);
  for (uint32_t i = 1; i <= this->settings->count; ++i) {
    const TargetId id(this->settings->id_prefix + "-" + std::to_string(i));
    this->targets.push_back(
        std::make_unique<Target>(this->loop, this->settings, id, runs));
  }
}

Emulator::~Emulator() = default;

std::vector<settings::NamedPort> Emulator::ports() const {
  std::vector<settings::NamedPort> all;
  for (const auto& target : this->targets) {
    all.push_back(
        {.name = target->name().value, .port = target->listening_port()});
  }
  return all;
}

RunCounts Emulator::counts() const {
  RunCounts all;
  for (const auto& target : this->targets) {
    all.started += target->run_counts().started;
    all.ended += target->run_counts().ended;
    all.cut += target->run_counts().cut;
  }
  return all;
}

void Emulator::Leave(const std::function<void()>& done) {
  const auto busy = std::make_shared<size_t>(this->targets.size());
  for (const auto& target : this->targets) {
    const auto idle = std::make_shared<bool>(false);
    target->Leave([busy, idle, done] {
      if (*idle) return;
      *idle = true;
      if (--*busy == 0) done();
    });
  }
}

int RunEmulator(const settings::EmulatorSettings& settings) {
  net::Loop loop;
  Emulator emulator(loop, settings);
  settings::WritePortsFile(settings.ports_file, emulator.ports());
  bool leaving = false;
  const auto stop = [&] {
    if (std::exchange(leaving, true)) return;
    emulator.Leave([&] { loop.After(kLastWords, [&] { loop.Stop(); }); });
  };
  loop.OnSignal(SIGTERM, stop);
  loop.OnSignal(SIGINT, stop);
  loop.Run();
  return 0;
}

}  // namespace samphirebank::emulator
