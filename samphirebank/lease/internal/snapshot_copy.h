// File: snapshot_copy.h
//
// Assembles a snapshot from pieces while the configuration keeps changing. The
// pieces can have different revisions. Applying all changes after the oldest
// piece's revision makes them consistent, because a record is only ever
// replaced by a newer one.
#ifndef SAMPHIREBANK_LEASE_INTERNAL_SNAPSHOT_COPY_H_
#define SAMPHIREBANK_LEASE_INTERNAL_SNAPSHOT_COPY_H_

#include "samphirebank/lease/lease.h"

namespace samphirebank::lease {

// AddPiece adds a piece to the holder's copy. A first piece restarts the copy;
// a piece that does not follow the previous one is ignored.
void AddPiece(Holder& holder, const SnapshotPiece& piece);

// ApplyChangesToCopy applies changes to a complete copy. Once the copy is
// consistent, it becomes the holder's history if it is newer, and is discarded
// otherwise. Returns whether the history changed.
bool ApplyChangesToCopy(Holder& holder,
                        const std::vector<contracts::Change>& changes);

}  // namespace samphirebank::lease

#endif  // SAMPHIREBANK_LEASE_INTERNAL_SNAPSHOT_COPY_H_
