// File: storage.h
//
// The data folder of a control instance: an identity, a log in segments with
// checksums, and snapshots. Nothing is reported as stored before it is synced.
//
// Thread rules: a Storage belongs to one thread; its calls block on the disk.
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

// ErrorKind says why the data folder cannot be used.
enum class ErrorKind : uint8_t {
  kFull,           // no space left; what is stored stays valid
  kInputOutput,    // the system reported an error
  kCorrupt,        // stored bytes are not what was written
  kWrongInstance,  // the folder belongs to another instance
};

// Error is what the functions of this library fail with.
struct Error {
  ErrorKind kind = ErrorKind::kInputOutput;
  std::string file{};
  uint64_t offset = 0;
  std::string detail{};

  // ToText names the file, the offset and how to repair it.
  std::string ToText() const;
};

// Files are the file operations of one flat folder. Each fails with Error.
// Nothing is durable before Sync (contents) and SyncFolder (names). Sync never
// fails with kFull: after a failed sync the contents are in doubt.
class Files {
 public:
  virtual ~Files() = default;

  virtual leaf::result<std::vector<std::string>> List() = 0;
  virtual leaf::result<std::string> Read(const std::string& name) = 0;
  // Append creates the file if it is missing.
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

// OpenFolder returns the operations on a real folder, which is created if it
// is missing and locked against other processes. Fails with Error.
leaf::result<std::unique_ptr<Files>> OpenFolder(const std::string& path);

// Options of a data folder.
struct Options {
  InstanceId instance{};
  // new_storage_id becomes the folder's identity if the folder is empty. Draw
  // it at random; it must not be 0.
  consensus::StorageId new_storage_id;
  Bytes segment_size = Bytes(8 << 20);  // a new segment starts beyond it
};

// RecoveryReport tells what opening found.
struct RecoveryReport {
  bool created = false;  // the folder was empty
  LogIndex snapshot_index{};
  uint64_t replayed_entries = 0;  // replayed from the log after the snapshot
  Bytes log_bytes{};              // read
  Bytes torn_bytes{};  // cut from the tail: a write that was never synced
  std::string torn_file{};
  uint64_t torn_offset = 0;
  Duration duration{};
};

// FlushResult tells how far the queue got.
struct FlushResult {
  consensus::Ticket synced;  // all tickets up to here are durable
  bool disk_full = false;    // the rest waits for space
};

// Storage keeps one member's durable state.
class Storage {
 public:
  // Open recovers a folder. Fails with Error; kCorrupt changes nothing in the
  // folder. `files` must outlive the storage.
  static leaf::result<std::unique_ptr<Storage>> Open(Files& files,
                                                     Options options);
  virtual ~Storage() = default;

  // self is the member that this folder belongs to.
  virtual const consensus::MemberId& self() const = 0;
  virtual const RecoveryReport& report() const = 0;
  // TakeRecovered returns what was found; call it once.
  virtual consensus::Recovered TakeRecovered() = 0;

  // Enqueue adds a write to the queue.
  virtual void Enqueue(consensus::Persist persist) = 0;
  // Flush writes the queue in order and syncs once. On a full disk the rest
  // stays queued, `disk_full` is set, and a later Flush tries again. It fails
  // with Error when the disk can no longer be trusted; the process must then
  // stop.
  virtual leaf::result<FlushResult> Flush() = 0;
  // has_pending_writes says whether writes are queued.
  virtual bool has_pending_writes() const = 0;
};

}  // namespace samphirebank::storage

#endif  // SAMPHIREBANK_STORAGE_STORAGE_H_
