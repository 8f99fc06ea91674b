#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>
#include <vector>

#include "samphirebank/lease/lease.h"

namespace samphirebank::lease {
namespace {

constexpr size_t kMaxChangesPerUpdate = 512;
constexpr size_t kMaxContentBytes = 48'000;
// The estimated size of a contract without its lists.
constexpr size_t kBaseRecordBytes = 160;

template <typename Id>
size_t ListBytes(const std::vector<Id>& ids) {
  size_t bytes = 0;
  for (const Id& id : ids) bytes += id.value.size() + sizeof(uint64_t);
  return bytes;
}

size_t EncodedBytes(const contracts::Contract& contract) {
  size_t bytes = kBaseRecordBytes + contract.organisation.value.size();
  bytes += ListBytes(contract.services) + ListBytes(contract.regions);
  for (const std::string& hash : contract.key_hashes) {
    bytes += hash.size() + sizeof(uint64_t);
  }
  return bytes;
}

size_t EncodedBytes(const contracts::Change& change) {
  const auto* put = std::get_if<contracts::PutContract>(&change.action);
  return put == nullptr ? kBaseRecordBytes : EncodedBytes(put->contract);
}

// TruncateChanges drops the changes after the one that exceeds
// kMaxContentBytes; at least one change is kept.
void TruncateChanges(std::vector<contracts::Change>& changes) {
  size_t bytes = 0;
  for (size_t i = 0; i < changes.size(); ++i) {
    bytes += EncodedBytes(changes[i]);
    if (bytes > kMaxContentBytes) {
      changes.resize(i + 1);
      return;
    }
  }
}

SnapshotPiece MakePiece(const contracts::Configuration& configuration,
                        const OrganisationId& after) {
  SnapshotPiece piece{.revision = configuration.revision, .after = after};
  if (after == OrganisationId()) {
    piece.targets = configuration.targets;
    piece.pools = configuration.pools;
  }
  size_t bytes = 0;
  auto row = configuration.contracts.upper_bound(after);
  while (row != configuration.contracts.end() && bytes < kMaxContentBytes) {
    bytes += EncodedBytes(row->second.value);
    piece.contracts.push_back(row->second);
    ++row;
  }
  piece.last = row == configuration.contracts.end();
  return piece;
}

}  // namespace

Duration AddDriftMargin(const Parameters& parameters, Duration span) {
  constexpr int64_t kMillion = 1'000'000;
  return span + span / kMillion * parameters.drift_ppm + Duration(1);
}

Duration InForceAfter(const Parameters& parameters) {
  // A holder with a slow clock acts for longer than `lease_duration`, and a
  // leader with a fast clock waits for less time than it measures: one margin
  // for each, and one for the product of the two.
  return AddDriftMargin(
      parameters,
      AddDriftMargin(parameters,
                     AddDriftMargin(parameters, parameters.lease_duration)));
}

void ApplyPieceLimit(PieceLimit& limit, const contracts::History& history,
                     ConfigPoll& poll, TimePoint now) {
  const Revision newest = history.configuration.revision;
  const bool needs_snapshot =
      poll.revision < newest &&
      newest.value - poll.revision.value > history.changes.size();
  if (!poll.copy_after && !needs_snapshot) return;
  const TimePoint next = std::max(limit.next_allowed, now - limit.burst);
  if (next <= now) {
    limit.next_allowed = next + limit.interval;
    return;
  }
  poll.copy_after.reset();
  poll.revision = newest;
}

ConfigUpdate MakeUpdate(const contracts::History& history,
                        const std::optional<Proof>& proof,
                        const Parameters& parameters, const ConfigPoll& poll,
                        TimePoint now) {
  ConfigUpdate update{.nonce = poll.nonce};
  update.lease_duration_ns = parameters.lease_duration.count();
  update.revision = history.configuration.revision;
  if (proof && proof->revision <= update.revision &&
      now - proof->basis < parameters.lease_duration) {
    update.lease_age_ns = (now - proof->basis).count();
    update.proof_revision = proof->revision;
  }
  if (poll.copy_after) {
    update.piece = MakePiece(history.configuration, *poll.copy_after);
    return update;
  }
  auto changes =
      contracts::ChangesSince(history, poll.revision, kMaxChangesPerUpdate);
  if (changes) {
    update.changes = std::move(*changes);
    TruncateChanges(update.changes);
  } else {
    update.piece = MakePiece(history.configuration, OrganisationId());
  }
  return update;
}

}  // namespace samphirebank::lease
