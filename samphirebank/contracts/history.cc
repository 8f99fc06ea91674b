#include <algorithm>
#include <optional>
#include <variant>
#include <vector>

#include "samphirebank/contracts/contracts.h"

namespace samphirebank::contracts {
namespace {

// PutRecord writes a record unless the existing one is newer: while a snapshot
// is fetched in parts, its records can be ahead of the configuration's
// revision.
template <typename Records, typename Key, typename Value>
void PutRecord(Records& records, const Key& key, const Value& value,
               Revision revision) {
  auto& record = records[key];
  if (record.revision > revision) return;
  record = {.value = value, .revision = revision};
}

void ApplyAction(Configuration& configuration, const PutContract& action) {
  PutRecord(configuration.contracts, action.contract.organisation,
            action.contract, configuration.revision);
}

void ApplyAction(Configuration& configuration, const WithdrawContract& action) {
  const auto found = configuration.contracts.find(action.organisation);
  if (found == configuration.contracts.end()) return;
  if (found->second.revision > configuration.revision) return;
  configuration.contracts.erase(found);
}

void ApplyAction(Configuration& configuration, const DeclareTarget& action) {
  PutRecord(configuration.targets, action.target, action.intent,
            configuration.revision);
}

void ApplyAction(Configuration& configuration, const AssignScheduler& action) {
  PutRecord(configuration.pools, action.pool, action.assignment,
            configuration.revision);
}

}  // namespace

std::optional<std::vector<Change>> ChangesSince(const History& history,
                                                Revision after, size_t limit) {
  if (after >= history.configuration.revision) return std::vector<Change>();
  const uint64_t num_missing =
      history.configuration.revision.value - after.value;
  if (num_missing > history.changes.size()) return std::nullopt;
  const auto first =
      history.changes.end() - static_cast<std::ptrdiff_t>(num_missing);
  const auto count = static_cast<std::ptrdiff_t>(
      std::min<uint64_t>(num_missing, static_cast<uint64_t>(limit)));
  return std::vector<Change>(first, first + count);
}

bool ApplyChange(History& history, const Change& change) {
  Configuration& configuration = history.configuration;
  if (change.revision != configuration.revision.Next()) return false;
  configuration.revision = change.revision;
  std::visit([&](const auto& action) { ApplyAction(configuration, action); },
             change.action);
  history.changes.push_back(change);
  if (history.changes.size() > kMaxRetainedChanges) history.changes.pop_front();
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
