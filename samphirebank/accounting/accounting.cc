#include "samphirebank/accounting/accounting.h"

#include <algorithm>
#include <utility>

namespace samphirebank::accounting {
namespace {

void Add(Amount& amount, Tokens tokens) {
  ++amount.requests;
  amount.tokens += tokens;
}

std::string ToText(const Amount& amount) {
  return std::to_string(amount.requests) + "/" +
         std::to_string(amount.tokens.value);
}

}  // namespace

std::string_view NameOf(Refusal reason) {
  constexpr std::array<std::string_view, kRefusals> kNames = {
      "busy", "ahead", "overloaded", "other"};
  return kNames[static_cast<size_t>(reason)];
}

void RecordAsked(Accounts& accounts, const OrganisationId& organisation,
                 Tokens tokens) {
  Add(accounts.by_organisation[organisation].asked, tokens);
}

void RecordAdmitted(Accounts& accounts, const OrganisationId& organisation,
                    Tokens tokens) {
  Add(accounts.by_organisation[organisation].admitted, tokens);
}

void RecordRefused(Accounts& accounts, const OrganisationId& organisation,
                   Refusal reason, Tokens tokens) {
  Account& account = accounts.by_organisation[organisation];
  Add(account.refused[static_cast<size_t>(reason)], tokens);
}

Amount RefusedOf(const Account& account) {
  Amount sum;
  for (const Amount& amount : account.refused) {
    sum.requests += amount.requests;
    sum.tokens += amount.tokens;
  }
  return sum;
}

std::vector<Entry> TakeMostRefused(Accounts& accounts, size_t limit) {
  std::vector<Entry> refused;
  for (auto& [organisation, account] : accounts.by_organisation) {
    if (RefusedOf(account).requests == 0) continue;
    refused.push_back({.organisation = organisation, .account = account});
  }
  accounts.by_organisation.clear();
  std::ranges::stable_sort(refused, [](const Entry& left, const Entry& right) {
    return RefusedOf(left.account).tokens > RefusedOf(right.account).tokens;
  });
  if (refused.size() > limit) refused.resize(limit);
  return refused;
}

std::string ToText(const Account& account) {
  std::string text = "asked " + ToText(account.asked) + ", admitted " +
                     ToText(account.admitted) + ", refused";
  for (size_t i = 0; i < kRefusals; ++i) {
    text += " ";
    text += NameOf(static_cast<Refusal>(i));
    text += " " + ToText(account.refused[i]);
  }
  return text;
}

}  // namespace samphirebank::accounting
