// File: fair_shares_judge.h
//
// Plays a scenario with the decisions of a gateway and with those before the
// ceiling, and compares who got what in each six seconds.
#ifndef SAMPHIREBANK_ADMISSION_FAIR_SHARES_JUDGE_H_
#define SAMPHIREBANK_ADMISSION_FAIR_SHARES_JUDGE_H_

#include "samphirebank/admission/fair_shares_fleet.h"

namespace samphirebank::admission {

// Compare plays a scenario with four seeds, prints both decisions, and checks
// that each organisation that is refused in each of six seconds gets half of
// what it was due, and that total service and that of small organisations is
// kept.
void Compare(const Scenario& scenario);

}  // namespace samphirebank::admission

#endif  // SAMPHIREBANK_ADMISSION_FAIR_SHARES_JUDGE_H_
