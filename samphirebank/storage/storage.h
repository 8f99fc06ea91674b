// File: storage.h
//
// The data folder of a control instance. It holds an identity file, a log in
// checksummed segment files, and snapshots. A write is reported as durable only
// after it was synced to disk.
//
// Thread safety: a Storage must be used from a single thread. Its methods block
// on disk operations.
//
// Example:
//
//   std::unique_ptr<Files> files = OpenFolder("/var/lib/samphirebank");
//   leaf::result<std::unique_ptr<Storage>> storage = Storage::Open(
//       *files, {.instance = InstanceId("c1"), .new_storage_id = RandomId()});
//   (*storage)->Enqueue(std::move(*actions.persist));
//   leaf::result<FlushResult> flushed = (*storage)->Flush();
#ifndef SAMPHIREBANK_STORAGE_STORAGE_H_
#define SAMPHIREBANK_STORAGE_STORAGE_H_

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "samphirebank/base/base.h"
#include "samphirebank/consensus/consensus.h"

namespace samphirebank::storage {

namespace leaf = boost::leaf;

// ErrorKind classifies why an operation on the data folder failed.
enum class ErrorKind : uint8_t {
  kFull,           // no space left; data that is already stored stays valid
  kInputOutput,    // the operating system reported an error
  kCorrupt,        // a file is missing or holds bytes other than those written
  kWrongInstance,  // the folder belongs to another instance
};

// Error describes a failed operation on the data folder. All functions of this
// library that return a leaf::result fail with it.
struct Error {
  ErrorKind kind = ErrorKind::kInputOutput;
  std::string file{};
  uint64_t offset = 0;  // in the file, in bytes
  std::string detail{};

  // ToText returns a message with the file, the offset and the detail; for
  // kCorrupt also the steps that repair the member.
  std::string ToText() const;
};

// Files provides the file operations of one folder without subfolders. Each
// operation fails with Error. File contents are durable only after Sync, and
// creations, renames and removals only after SyncFolder. Sync never fails with
// kFull, because after a failed sync the state of the contents is unknown,
// while kFull guarantees that stored data stays valid.
class Files {
 public:
  virtual ~Files() = default;

  virtual leaf::result<std::vector<std::string>> List() = 0;
  virtual leaf::result<std::string> Read(const std::string& name) = 0;
  // Append creates the file if it is missing. A failed Append may have written
  // some of the bytes.
  virtual leaf::result<void> Append(const std::string& name,
                                    std::string_view bytes) = 0;
  virtual leaf::result<void> Truncate(const std::string& name,
                                      uint64_t size) = 0;
  virtual leaf::result<void> Sync(const std::string& name) = 0;
  virtual leaf::result<void> Rename(const std::string& from,
                                    const std::string& to) = 0;
  virtual leaf::result<void> Remove(const std::string& name) = 0;
  virtual leaf::result<void> SyncFolder() = 0;
};

// OpenFolder returns the file operations of a folder on disk. It creates the
// folder if it is missing and locks it against other processes until the
// returned object is destroyed. Fails with Error.
leaf::result<std::unique_ptr<Files>> OpenFolder(const std::string& path);

// Options configures a data folder.
struct Options {
  InstanceId instance{};
  // new_storage_id identifies the folder from now on if it has no identity yet.
  // It must be chosen at random and must not be 0.
  consensus::StorageId new_storage_id;
  // A write that would make the last segment larger than segment_size starts a
  // new segment.
  Bytes segment_size = Bytes(8 << 20);
};

// RecoveryReport describes the state that Storage::Open found.
struct RecoveryReport {
  bool created = false;  // the folder had no identity and was initialized
  LogIndex snapshot_index{};
  uint64_t replayed_entries = 0;  // entries of the log after the snapshot
  Bytes log_bytes{};              // valid bytes of the segments read
  // Size of a torn write at the end of the last segment, which was never synced
  // and was truncated; 0 if there was none.
  Bytes torn_bytes{};
  std::string torn_file{};   // empty if there was no torn write
  uint64_t torn_offset = 0;  // where the torn write began, in bytes
  Duration duration{};       // of Storage::Open
};

// FlushResult reports which queued writes are durable.
struct FlushResult {
  consensus::Ticket synced;  // writes up to this ticket are durable
  bool disk_full = false;    // the remaining writes stay queued
};

// Storage holds the durable state of one member of the consensus group. Writes
// are queued by Enqueue and become durable in Flush.
class Storage {
 public:
  // Open recovers the state in a folder, or initializes an empty one. Fails
  // with Error; if the kind is kCorrupt or kWrongInstance, the folder is
  // unchanged. `files` must outlive the storage.
  static leaf::result<std::unique_ptr<Storage>> Open(Files& files,
                                                     Options options);
  virtual ~Storage() = default;

  // self returns the member that this folder belongs to.
  virtual const consensus::MemberId& self() const = 0;
  // report describes the recovery in Open.
  virtual const RecoveryReport& report() const = 0;
  // TakeRecovered moves out the recovered state. Call it at most once.
  virtual consensus::Recovered TakeRecovered() = 0;

  // Enqueue adds a write to the queue. Writes must be added in the order of
  // their tickets.
  virtual void Enqueue(consensus::Persist persist) = 0;
  // Flush writes the queue in order and then syncs once for all appended
  // records; a new segment or snapshot is synced on its own. If the disk is
  // full, the remaining writes stay queued, `disk_full` is set, and a later
  // Flush retries them. Fails with Error if the state on disk is no longer
  // known; the process must then stop.
  virtual leaf::result<FlushResult> Flush() = 0;
  // has_pending_writes returns whether writes are queued.
  virtual bool has_pending_writes() const = 0;
};

}  // namespace samphirebank::storage

#endif  // SAMPHIREBANK_STORAGE_STORAGE_H_
