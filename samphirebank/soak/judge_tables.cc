// What was seen of route tables: in force in time, never back, never lost.
#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "samphirebank/soak/internal/judge.h"

namespace samphirebank::soak {
namespace {

// A version is overtaken once a higher one was sent: the higher one may be in
// force, and it has dropped the lower one's own route.
bool Overtaken(const Ledger& ledger, uint64_t version, TimePoint until) {
  return std::ranges::any_of(ledger.tables_sent_at, [&](const auto& item) {
    return item.first > version && item.second <= until;
  });
}

void JudgeInForce(const Ledger& ledger, const Bounds& bounds,
                  const Probe& probe, Verdicts& verdicts) {
  const auto accepted = ledger.tables_accepted.find(probe.version);
  if (probe.in_force || accepted == ledger.tables_accepted.end()) return;
  if (probe.sent_at <= accepted->second + bounds.in_force) return;
  if (Overtaken(ledger, probe.version, probe.answered_at)) return;
  const TimePoint calm_from = probe.sent_at - bounds.settles;
  const bool excused = Disturbed(ledger, probe.gateway, Cause::kFaultOrPlan,
                                 calm_from, probe.answered_at) ||
                       Disturbed(ledger, std::nullopt, Cause::kFaultOrPlan,
                                 calm_from, probe.answered_at);
  if (excused) return;
  verdicts.Add("version " + std::to_string(probe.version) +
               " is late at gateway " + std::to_string(probe.gateway));
}

// Versions that were seen in force in one run of a gateway only rise.
void JudgeNeverBack(const Ledger& ledger, const Bounds& bounds,
                    Verdicts& verdicts) {
  struct Highest {
    uint64_t version = 0;
    TimePoint seen_at{};
  };
  std::map<std::pair<size_t, uint64_t>, Highest> runs;
  for (const Probe& probe : ledger.probes) {
    if (!probe.in_force) continue;
    Highest& highest = runs[{probe.gateway, probe.incarnation}];
    const bool back = probe.version < highest.version &&
                      probe.sent_at > highest.seen_at + bounds.never_back;
    if (back) {
      verdicts.Add("version " + std::to_string(probe.version) +
                   " is in force again after version " +
                   std::to_string(highest.version) + " at gateway " +
                   std::to_string(probe.gateway));
    }
    if (probe.version > highest.version) {
      highest = {.version = probe.version, .seen_at = probe.answered_at};
    }
  }
}

void JudgeReadBack(const Ledger& ledger, Verdicts& verdicts) {
  if (!ledger.table_read_back) {
    return verdicts.Add("the newest table cannot be read at the end");
  }
  const uint64_t least = ledger.tables_accepted.empty()
                             ? 0
                             : ledger.tables_accepted.rbegin()->first;
  const bool known =
      std::ranges::any_of(ledger.tables_sent, [&](const auto& item) {
        return item.first >= least && item.second == *ledger.table_read_back;
      });
  if (!known) {
    verdicts.Add("what is read at the end is older than version " +
                 std::to_string(least) + ", or was never sent");
  }
}

}  // namespace

void JudgeTables(const Ledger& ledger, const Bounds& bounds,
                 Verdicts& verdicts) {
  for (const Probe& probe : ledger.probes) {
    JudgeInForce(ledger, bounds, probe, verdicts);
  }
  JudgeNeverBack(ledger, bounds, verdicts);
  JudgeReadBack(ledger, verdicts);
}

std::vector<std::string> Judge(const Ledger& ledger, const Bounds& bounds) {
  Verdicts verdicts{.all = ledger.oddities};
  JudgeRequests(ledger, bounds, verdicts);
  JudgeRecovery(ledger, bounds, verdicts);
  JudgeRepeats(ledger, bounds, verdicts);
  JudgeTables(ledger, bounds, verdicts);
  JudgePlacement(ledger, bounds, verdicts);
  return verdicts.all;
}

}  // namespace samphirebank::soak
