#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>
#include <vector>

#include "samphirebank/lease/lease.h"

namespace samphirebank::lease {
namespace {

constexpr size_t kChangesPerUpdate = 512;
constexpr size_t kContentBytes = 48'000;
constexpr size_t kRecordBytes = 160;  // of a contract without its lists

template <typename Id>
size_t ListBytes(const std::vector<Id>& ids) {
  size_t bytes = 0;
  for (const Id& id : ids) bytes += id.value.size() + sizeof(uint64_t);
  return bytes;
}

size_t EncodedBytes(const contracts::Contract& contract) {
  size_t bytes = kRecordBytes + contract.organisation.value.size();
  bytes += ListBytes(contract.services) + ListBytes(contract.regions);
  for (const std::string& hash : contract.key_hashes) {
    bytes += hash.size() + sizeof(uint64_t);
  }
  return bytes;
}

size_t EncodedBytes(const contracts::Change& change) {
  const auto* put = std::get_if<contracts::PutContract>(&change.action);
  return put == nullptr ? kRecordBytes : EncodedBytes(put->contract);
}

// Trim keeps at least one change and about kContentBytes.
void Trim(std::vector<contracts::Change>& changes) {
  size_t bytes = 0;
  for (size_t i = 0; i < changes.size(); ++i) {
    bytes += EncodedBytes(changes[i]);
    if (bytes > kContentBytes) {
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
  while (row != configuration.contracts.end() && bytes < kContentBytes) {
    bytes += EncodedBytes(row->second.value);
    piece.contracts.push_back(row->second);
    ++row;
  }
  piece.last = row == configuration.contracts.end();
  return piece;
}

}  // namespace

Duration Stretch(const Terms& terms, Duration span) {
  constexpr int64_t kMillion = 1'000'000;
  return span + span / kMillion * terms.drift_ppm + Duration(1);
}

Duration InForceAfter(const Terms& terms) {
  // A slow holder acts for longer than `length`, and a fast leader waits for
  // less than it measures: one allowance each, and one for the product.
  return Stretch(terms, Stretch(terms, Stretch(terms, terms.length)));
}

void Pace(PieceLimit& limit, const contracts::History& history,
          ConfigPoll& poll, TimePoint now) {
  const Revision newest = history.configuration.revision;
  const bool too_far_back =
      poll.have < newest &&
      newest.value - poll.have.value > history.changes.size();
  if (!poll.copy_after && !too_far_back) return;
  const TimePoint next = std::max(limit.next, now - limit.burst);
  if (next <= now) {
    limit.next = next + limit.gap;
    return;
  }
  poll.copy_after.reset();
  poll.have = newest;
}

ConfigUpdate Answer(const contracts::History& history,
                    const std::optional<Proof>& proof, const Terms& terms,
                    const ConfigPoll& poll, TimePoint now) {
  ConfigUpdate update{.nonce = poll.nonce};
  update.lease_length_ns = terms.length.count();
  update.revision = history.configuration.revision;
  if (proof && proof->revision <= update.revision &&
      now - proof->basis < terms.length) {
    update.lease_age_ns = (now - proof->basis).count();
    update.proven = proof->revision;
  }
  if (poll.copy_after) {
    update.piece = MakePiece(history.configuration, *poll.copy_after);
    return update;
  }
  auto changes = contracts::ChangesSince(history, poll.have, kChangesPerUpdate);
  if (changes) {
    update.changes = std::move(*changes);
    Trim(update.changes);
  } else {
    update.piece = MakePiece(history.configuration, OrganisationId());
  }
  return update;
}

}  // namespace samphirebank::lease
