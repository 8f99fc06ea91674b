#include <algorithm>
#include <optional>
#include <variant>
#include <vector>

#include "samphirebank/contracts/contracts.h"

namespace samphirebank::contracts {
namespace {

void Put(Configuration& configuration, const PutContract& action) {
  configuration.contracts[action.contract.organisation] = {
      .value = action.contract, .revision = configuration.revision};
}

void Put(Configuration& configuration, const WithdrawContract& action) {
  configuration.contracts.erase(action.organisation);
}

void Put(Configuration& configuration, const DeclareTarget& action) {
  configuration.targets[action.target] = {.value = action.intent,
                                          .revision = configuration.revision};
}

void Put(Configuration& configuration, const AssignScheduler& action) {
  configuration.pools[action.pool] = {.value = action.assignment,
                                      .revision = configuration.revision};
}

}  // namespace

std::optional<std::vector<Change>> ChangesSince(const History& history,
                                                Revision have, size_t limit) {
  if (have >= history.configuration.revision) return std::vector<Change>();
  const uint64_t missing = history.configuration.revision.value - have.value;
  if (missing > history.changes.size()) return std::nullopt;
  const auto first =
      history.changes.end() - static_cast<std::ptrdiff_t>(missing);
  const auto count = static_cast<std::ptrdiff_t>(
      std::min<uint64_t>(missing, static_cast<uint64_t>(limit)));
  return std::vector<Change>(first, first + count);
}

bool ApplyChange(History& history, const Change& change) {
  Configuration& configuration = history.configuration;
  if (change.revision != configuration.revision.Next()) return false;
  configuration.revision = change.revision;
  std::visit([&](const auto& action) { Put(configuration, action); },
             change.action);
  history.changes.push_back(change);
  if (history.changes.size() > kKeptChanges) history.changes.pop_front();
  return true;
}

bool ApplyChanges(History& history, const std::vector<Change>& changes) {
  for (const Change& change : changes) {
    if (change.revision <= history.configuration.revision) continue;
    if (!ApplyChange(history, change)) return false;
  }
  return true;
}

}  // namespace samphirebank::contracts
