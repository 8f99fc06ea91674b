// File: judge.h
//
// The parts of Judge; see ledger.h.
#ifndef SAMPHIREBANK_SOAK_INTERNAL_JUDGE_H_
#define SAMPHIREBANK_SOAK_INTERNAL_JUDGE_H_

#include <string>
#include <vector>

#include "samphirebank/soak/internal/ledger.h"

namespace samphirebank::soak {

// Verdicts collects what was broken.
struct Verdicts {
  std::vector<std::string> all{};

  void Add(std::string text) { this->all.push_back(std::move(text)); }
};

void JudgeRequests(const Ledger& ledger, const Bounds& bounds,
                   Verdicts& verdicts);
void JudgeRecovery(const Ledger& ledger, const Bounds& bounds,
                   Verdicts& verdicts);
void JudgeRepeats(const Ledger& ledger, const Bounds& bounds,
                  Verdicts& verdicts);
void JudgeTables(const Ledger& ledger, const Bounds& bounds,
                 Verdicts& verdicts);
// JudgePlacement judges allowed regions, evacuated zones and cold targets.
void JudgePlacement(const Ledger& ledger, const Bounds& bounds,
                    Verdicts& verdicts);
// JudgeLog reads one process's log: the catalogue must name all its fields.
void JudgeLog(const std::string& path, Verdicts& verdicts);

}  // namespace samphirebank::soak

#endif  // SAMPHIREBANK_SOAK_INTERNAL_JUDGE_H_
