// File: snapshot_copy.h
//
// Fetching a snapshot piece by piece from instances that keep changing. The
// pieces may differ in revision; the changes from the oldest piece on make
// them agree, because a record is only ever replaced by a newer one.
#ifndef SAMPHIREBANK_LEASE_INTERNAL_SNAPSHOT_COPY_H_
#define SAMPHIREBANK_LEASE_INTERNAL_SNAPSHOT_COPY_H_

#include "samphirebank/lease/lease.h"

namespace samphirebank::lease {

// AddPiece adds a piece. A first piece starts the copy anew; a piece that
// does not follow the one before is ignored.
void AddPiece(Holder& holder, const SnapshotPiece& piece);

// ApplyChangesToCopy applies changes to a complete copy and, once it is
// consistent, makes it the holder's history if it is newer. Returns whether
// the history changed.
bool ApplyChangesToCopy(Holder& holder,
                        const std::vector<contracts::Change>& changes);

}  // namespace samphirebank::lease

#endif  // SAMPHIREBANK_LEASE_INTERNAL_SNAPSHOT_COPY_H_
