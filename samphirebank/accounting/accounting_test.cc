#include "samphirebank/accounting/accounting.h"

#include <doctest/doctest.h>

namespace samphirebank::accounting {
namespace {

const OrganisationId kSmall("small");
const OrganisationId kLarge("large");
const OrganisationId kServed("served");

TEST_CASE("refusals are told by organisation and reason, the most first") {
  Accounts accounts;
  RecordAsked(accounts, kServed, Tokens(900));
  RecordAdmitted(accounts, kServed, Tokens(900));
  RecordAsked(accounts, kSmall, Tokens(10));
  RecordRefused(accounts, kSmall, Refusal::kBusy, Tokens(10));
  RecordAsked(accounts, kLarge, Tokens(100));
  RecordAsked(accounts, kLarge, Tokens(200));
  RecordAdmitted(accounts, kLarge, Tokens(100));
  RecordRefused(accounts, kLarge, Refusal::kOverloaded, Tokens(200));

  const auto entries = TakeMostRefused(accounts, 10);
  REQUIRE(entries.size() == 2);
  CHECK(entries[0].organisation == kLarge);
  CHECK(ToText(entries[0].account) ==
        "asked 2/300, admitted 1/100, refused busy 0/0 ahead 0/0 overloaded "
        "1/200 other 0/0");
  CHECK(entries[1].organisation == kSmall);
  CHECK(RefusedOf(entries[1].account).tokens == Tokens(10));
}

TEST_CASE("at most the limit is told, and accounts begin anew") {
  Accounts accounts;
  RecordRefused(accounts, kSmall, Refusal::kAhead, Tokens(10));
  RecordRefused(accounts, kLarge, Refusal::kOther, Tokens(100));
  const auto entries = TakeMostRefused(accounts, 1);
  REQUIRE(entries.size() == 1);
  CHECK(entries[0].organisation == kLarge);
  CHECK(TakeMostRefused(accounts, 1).empty());
}

}  // namespace
}  // namespace samphirebank::accounting
