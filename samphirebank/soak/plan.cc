#include "samphirebank/soak/internal/plan.h"

#include <algorithm>
#include <array>
#include <random>

namespace samphirebank::soak {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using Random = std::mt19937_64;

// Below draws a whole number below `bound`, alike on every machine.
uint64_t Below(Random& random, uint64_t bound) { return random() % bound; }

Duration Between(Random& random, Duration least, Duration most) {
  const auto span =
      static_cast<uint64_t>(duration_cast<milliseconds>(most - least).count());
  return least + milliseconds(Below(random, span + 1));
}

}  // namespace

std::string_view NameOf(FaultKind kind) {
  static constexpr std::array<std::string_view, kFaultKinds> kNames = {
      "kill gateway",       "freeze gateway",    "shut down gateway",
      "hang up gateway",    "kill coordinator",  "freeze coordinator",
      "wipe coordinator",   "kill coordinators", "fill disks",
      "crash target",       "drain target",      "mute target",
      "break target",       "refuse target",     "make target cold",
      "reset links",        "silence links",     "cut answers",
      "delay links",        "change table",      "race tables",
      "send invalid table", "evacuate zone"};
  return kNames[static_cast<size_t>(kind)];
}

bool HitsCoordinators(FaultKind kind) {
  return kind == FaultKind::kKillCoordinator ||
         kind == FaultKind::kFreezeCoordinator ||
         kind == FaultKind::kWipeCoordinator ||
         kind == FaultKind::kKillAllCoordinators ||
         kind == FaultKind::kFillDisks;
}

std::vector<Fault> MakePlan(const PlanOptions& options, uint64_t seed) {
  Random random(seed);
  std::vector<Fault> plan;
  Duration group_whole_at{};
  Duration at{};
  for (;;) {
    at += Between(random, Duration::zero(), 2 * options.mean_gap);
    Fault fault{.at = at,
                .lasts = Between(random, options.shortest, options.longest),
                .kind = static_cast<FaultKind>(Below(random, kFaultKinds)),
                .subject = static_cast<uint32_t>(random())};
    if (at >= options.length) return plan;
    if (fault.kind == FaultKind::kFillDisks) {
      // Every fault has ended `longest` after the plan.
      fault.lasts = std::min(options.disks_in_series * fault.lasts,
                             options.length + options.longest - at);
    }
    if (HitsCoordinators(fault.kind)) {
      if (at < group_whole_at) continue;
      group_whole_at = at + fault.lasts + options.catch_up;
    }
    plan.push_back(fault);
  }
}

std::string FaultText(const Fault& fault) {
  const auto ms = [](Duration span) {
    return std::to_string(duration_cast<milliseconds>(span).count());
  };
  return "at " + ms(fault.at) + " ms for " + ms(fault.lasts) +
         " ms: " + std::string(NameOf(fault.kind)) + " #" +
         std::to_string(fault.subject % 1000);
}

}  // namespace samphirebank::soak
