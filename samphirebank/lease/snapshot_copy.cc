#include "samphirebank/lease/internal/snapshot_copy.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "samphirebank/lease/lease.h"

namespace samphirebank::lease {
namespace {

void StartCopy(Holder& holder, const SnapshotPiece& piece) {
  Holder::SnapshotCopy copy{.oldest_revision = piece.revision,
                            .newest_revision = piece.revision};
  copy.staged.configuration.targets = piece.targets;
  copy.staged.configuration.pools = piece.pools;
  holder.copy = std::move(copy);
}

}  // namespace

void AddPiece(Holder& holder, const SnapshotPiece& piece) {
  if (piece.after == OrganisationId()) StartCopy(holder, piece);
  if (!holder.copy || holder.copy->complete) return;
  Holder::SnapshotCopy& copy = *holder.copy;
  if (copy.after != piece.after) return;
  // A responder older than the copy may lack contracts, or have none at all.
  if (piece.revision < copy.oldest_revision) return;
  for (const auto& row : piece.contracts) {
    copy.after = row.value.organisation;
    copy.staged.configuration.contracts[copy.after] = row;
  }
  copy.newest_revision = std::max(copy.newest_revision, piece.revision);
  if (!piece.last) return;
  copy.complete = true;
  copy.staged.configuration.revision = copy.oldest_revision;
}

bool ApplyChangesToCopy(Holder& holder,
                        const std::vector<contracts::Change>& changes) {
  if (!holder.copy || !holder.copy->complete) return false;
  Holder::SnapshotCopy& copy = *holder.copy;
  contracts::ApplyChanges(copy.staged, changes);
  if (copy.staged.configuration.revision < copy.newest_revision) return false;
  const bool newer = copy.staged.configuration.revision >
                     holder.history.configuration.revision;
  if (newer) holder.history = std::move(copy.staged);
  holder.copy.reset();
  return newer;
}

}  // namespace samphirebank::lease
