// File: accounting.h
//
// Counts what each organisation asked of one instance, what it was admitted and
// what it was refused, by reason, so that an operator can tell apart a shortage
// of targets, a fair share and an overloaded instance. No I/O.
//
// Example:
//
//   RecordAsked(accounts, organisation, tokens);
//   RecordRefused(accounts, organisation, Refusal::kOverloaded, tokens);
//   for (const Entry& entry : TakeMostRefused(accounts, 10)) {
//     Log(entry.organisation, ToText(entry.account));
//   }
#ifndef SAMPHIREBANK_ACCOUNTING_ACCOUNTING_H_
#define SAMPHIREBANK_ACCOUNTING_ACCOUNTING_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "samphirebank/base/base.h"

namespace samphirebank::accounting {

// Refusal says why a request was refused.
enum class Refusal : uint8_t {
  kBusy,        // targets are busy for too long
  kAhead,       // the organisation was served more than another
  kOverloaded,  // this instance is overloaded
  kOther,       // anything else, for example no target
};
inline constexpr size_t kRefusals = 4;

// NameOf returns the word for a reason in logs and metrics.
std::string_view NameOf(Refusal reason);

// Amount is a number of requests and the tokens of their prompts and answers.
struct Amount {
  uint64_t requests = 0;
  Tokens tokens{};
};

// Account is what one organisation asked and got.
struct Account {
  Amount asked{};
  Amount admitted{};
  std::array<Amount, kRefusals> refused{};  // by Refusal
};

// Accounts holds the accounts of the organisations since they were last taken.
struct Accounts {
  std::map<OrganisationId, Account> by_organisation{};
};

// RecordAsked, RecordAdmitted and RecordRefused add one request of `tokens`.
void RecordAsked(Accounts& accounts, const OrganisationId& organisation,
                 Tokens tokens);
void RecordAdmitted(Accounts& accounts, const OrganisationId& organisation,
                    Tokens tokens);
void RecordRefused(Accounts& accounts, const OrganisationId& organisation,
                   Refusal reason, Tokens tokens);

// RefusedOf returns the sum of what was refused for all reasons.
Amount RefusedOf(const Account& account);

// Entry is the account of one organisation.
struct Entry {
  OrganisationId organisation{};
  Account account{};
};

// TakeMostRefused returns the accounts of at most `limit` organisations that
// were refused, most refused tokens first, and begins all accounts anew.
std::vector<Entry> TakeMostRefused(Accounts& accounts, size_t limit);

// ToText returns an account as one line, each amount as REQUESTS/TOKENS.
std::string ToText(const Account& account);

}  // namespace samphirebank::accounting

#endif  // SAMPHIREBANK_ACCOUNTING_ACCOUNTING_H_
