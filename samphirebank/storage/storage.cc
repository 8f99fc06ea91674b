#include "samphirebank/storage/storage.h"

#include <boost/leaf/handle_errors.hpp>
#include <utility>

#include "samphirebank/storage/internal/record.h"
#include "samphirebank/storage/internal/recovery.h"

namespace samphirebank::storage {
namespace {

using consensus::Persist;
using internal::NumberedFileName;

// TryWrite calls `write`. Returns false if it failed because the disk is full;
// returns any other error.
template <typename Write>
leaf::result<bool> TryWrite(Write write) {
  return leaf::try_handle_some(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_CHECK(write());
        return true;
      },
      [](const Error& error) -> leaf::result<bool> {
        if (error.kind == ErrorKind::kFull) return false;
        return leaf::new_error(error);
      });
}

// WriteFileAtomically creates a file by a write to a temporary file, a sync and
// a rename. After a crash the file is either complete and durable, or does not
// exist.
leaf::result<void> WriteFileAtomically(Files& files, const std::string& name,
                                       std::string_view bytes) {
  const std::string temporary = name + std::string(internal::kTemporarySuffix);
  leaf::result<void> written = [&]() -> leaf::result<void> {
    // The empty append creates the file; the truncation drops the remains of an
    // earlier attempt.
    BOOST_LEAF_CHECK(files.Append(temporary, ""));
    BOOST_LEAF_CHECK(files.Truncate(temporary, 0));
    BOOST_LEAF_CHECK(files.Append(temporary, bytes));
    return files.Sync(temporary);
  }();
  if (!written) {
    (void)files.Remove(temporary);
    return written;
  }
  BOOST_LEAF_CHECK(files.Rename(temporary, name));
  return files.SyncFolder();
}

// FolderStorage implements Storage on the files of one folder.
class FolderStorage : public Storage {
 public:
  FolderStorage(Files& files, Options options,
                internal::FolderContents contents)
      : files(files),
        options(std::move(options)),
        contents(std::move(contents)) {
    this->hard_state = this->contents.recovered.hard_state;
  }

  // Prepare makes the folder ready for writes: it creates missing files,
  // truncates a torn write, and completes a log restart or removal that was
  // interrupted.
  leaf::result<void> Prepare() {
    if (this->contents.last_segment_number == 0) {
      BOOST_LEAF_CHECK(this->StartSegment({.starts_log = true}, {}));
    } else {
      BOOST_LEAF_CHECK(this->ReopenSegment());
    }
    if (!this->contents.identity) BOOST_LEAF_CHECK(this->CreateIdentity());
    if (this->contents.restart_log) {
      BOOST_LEAF_CHECK(this->StartSegment(
          {.starts_log = true,
           .snapshot_index = this->contents.report.snapshot_index},
          this->contents.recovered.entries));
      return this->RemoveObsoleteFiles(this->segment_number,
                                       this->contents.report.snapshot_index);
    }
    for (const std::string& name : this->contents.obsolete) {
      BOOST_LEAF_CHECK(this->files.Remove(name));
    }
    return {};
  }

  const consensus::MemberId& self() const override {
    return *this->contents.identity;
  }

  const RecoveryReport& report() const override {
    return this->contents.report;
  }
  RecoveryReport& mutable_report() { return this->contents.report; }

  consensus::Recovered TakeRecovered() override {
    return std::move(this->contents.recovered);
  }

  void Enqueue(Persist persist) override {
    this->queue.push_back(std::move(persist));
  }

  bool has_pending_writes() const override { return !this->queue.empty(); }

  leaf::result<FlushResult> Flush() override {
    while (!this->queue.empty()) {
      const Persist& next = this->queue.front();
      BOOST_LEAF_AUTO(has_space, TryWrite([&] { return this->Write(next); }));
      if (!has_space) break;
      this->last_written = next.ticket;
      this->queue.pop_front();
    }
    BOOST_LEAF_CHECK(this->SyncSegment());
    return FlushResult{.synced = this->last_written,
                       .disk_full = !this->queue.empty()};
  }

 private:
  leaf::result<void> Write(const Persist& persist) {
    return persist.snapshot ? this->WriteSnapshot(persist)
                            : this->WriteRecords(persist);
  }

  leaf::result<void> WriteRecords(const Persist& persist) {
    if (persist.hard_state) this->hard_state = *persist.hard_state;
    std::string bytes;
    const uint64_t durable_before = this->durable_bytes;
    if (persist.hard_state) {
      bytes += internal::EncodeRecord(
          {.durable_before = durable_before, .body = *persist.hard_state});
    }
    for (const consensus::Entry& entry : persist.entries) {
      bytes += internal::EncodeRecord(
          {.durable_before = durable_before, .body = entry});
    }
    const auto limit = static_cast<uint64_t>(this->options.segment_size.value);
    if (this->segment_bytes + bytes.size() > limit) {
      // No sync marker is needed: recovery accepts a torn write only in the
      // newest segment.
      BOOST_LEAF_CHECK(this->DropPartialAppend());
      BOOST_LEAF_CHECK(this->files.Sync(this->segment_name));
      return this->StartSegment({}, persist.entries);
    }
    BOOST_LEAF_CHECK(this->AppendToSegment(bytes));
    this->has_unsynced_records = true;
    return {};
  }

  // AppendToSegment appends all bytes. What a failed append leaves behind is
  // dropped at once, or before the next write if a full disk refuses that too.
  leaf::result<void> AppendToSegment(std::string_view bytes) {
    BOOST_LEAF_CHECK(this->DropPartialAppend());
    leaf::result<void> appended = this->files.Append(this->segment_name, bytes);
    if (!appended) {
      this->has_partial_append = true;
      BOOST_LEAF_CHECK(this->DropPartialAppend());
      return appended;
    }
    this->segment_bytes += bytes.size();
    return {};
  }

  leaf::result<void> DropPartialAppend() {
    if (!this->has_partial_append) return {};
    BOOST_LEAF_CHECK(
        this->files.Truncate(this->segment_name, this->segment_bytes));
    this->has_partial_append = false;
    return {};
  }

  // WriteSnapshot writes a snapshot, restarts the log after it and removes the
  // older snapshots and segments.
  leaf::result<void> WriteSnapshot(const Persist& persist) {
    const LogIndex index = persist.snapshot->metadata.index;
    if (persist.hard_state) this->hard_state = *persist.hard_state;
    BOOST_LEAF_CHECK(WriteFileAtomically(
        this->files, NumberedFileName(internal::kSnapshotPrefix, index.value),
        internal::EncodeSnapshot(*persist.snapshot)));
    BOOST_LEAF_CHECK(this->StartSegment(
        {.starts_log = true, .snapshot_index = index}, persist.entries));
    return this->RemoveObsoleteFiles(this->segment_number, index);
  }

  // StartSegment creates the next segment, which begins with the hard state and
  // `entries`, and appends to it from then on.
  leaf::result<void> StartSegment(
      internal::SegmentHeader header,
      const std::vector<consensus::Entry>& entries) {
    header.number = this->segment_number + 1;
    const std::string next =
        NumberedFileName(internal::kSegmentPrefix, header.number);
    const std::string bytes =
        internal::EncodeSegment(header, this->hard_state, entries);
    BOOST_LEAF_CHECK(WriteFileAtomically(this->files, next, bytes));
    this->segment_number = header.number;
    this->segment_name = next;
    this->segment_bytes = bytes.size();
    this->durable_bytes = bytes.size();
    this->has_unsynced_records = false;
    this->has_partial_append = false;
    return {};
  }

  // ReopenSegment continues the last segment after truncating a torn write. The
  // recovered records count as durable from now on, so they are synced in case
  // the previous run ended before its sync.
  leaf::result<void> ReopenSegment() {
    this->segment_number = this->contents.last_segment_number;
    this->segment_name =
        NumberedFileName(internal::kSegmentPrefix, this->segment_number);
    this->segment_bytes = this->contents.last_segment_bytes;
    if (this->contents.report.torn_bytes > Bytes(0)) {
      BOOST_LEAF_CHECK(
          this->files.Truncate(this->segment_name, this->segment_bytes));
    }
    BOOST_LEAF_CHECK(this->files.Sync(this->segment_name));
    BOOST_LEAF_CHECK(this->files.SyncFolder());
    this->durable_bytes = this->segment_bytes;
    return {};
  }

  leaf::result<void> CreateIdentity() {
    const consensus::MemberId member{.instance = this->options.instance,
                                     .storage = this->options.new_storage_id};
    BOOST_LEAF_CHECK(WriteFileAtomically(this->files,
                                         std::string(internal::kIdentityFile),
                                         internal::EncodeIdentity(member)));
    this->contents.identity = member;
    this->contents.report.created = true;
    return {};
  }

  // RemoveObsoleteFiles removes the segments before `first_segment` and the
  // snapshots before index `snapshot`.
  leaf::result<void> RemoveObsoleteFiles(uint64_t first_segment,
                                         LogIndex snapshot) {
    BOOST_LEAF_AUTO(names, this->files.List());
    const std::string first_segment_name =
        NumberedFileName(internal::kSegmentPrefix, first_segment);
    const std::string snapshot_name =
        NumberedFileName(internal::kSnapshotPrefix, snapshot.value);
    for (const std::string& name : names) {
      const bool is_old_segment = name.starts_with(internal::kSegmentPrefix) &&
                                  name < first_segment_name;
      const bool is_old_snapshot =
          name.starts_with(internal::kSnapshotPrefix) && name < snapshot_name;
      if (is_old_segment || is_old_snapshot) {
        BOOST_LEAF_CHECK(this->files.Remove(name));
      }
    }
    return {};
  }

  // SyncSegment syncs the records appended since the last sync, if any.
  leaf::result<void> SyncSegment() {
    if (!this->has_unsynced_records) return {};
    BOOST_LEAF_CHECK(this->files.Sync(this->segment_name));
    this->has_unsynced_records = false;
    this->durable_bytes = this->segment_bytes;
    // Recovery uses the marker only to distinguish corruption from a torn
    // write, so a disk too full for it is not an error.
    const std::string marker =
        internal::EncodeRecord({.durable_before = this->durable_bytes,
                                .body = internal::SyncMarker{}});
    BOOST_LEAF_CHECK(TryWrite([&] { return this->AppendToSegment(marker); }));
    return {};
  }

  Files& files;
  Options options;
  internal::FolderContents contents;
  std::deque<Persist> queue;
  consensus::Ticket last_written;
  consensus::HardState hard_state;
  uint64_t segment_number = 0;
  std::string segment_name;
  uint64_t segment_bytes = 0;
  uint64_t durable_bytes = 0;  // synced bytes of the segment
  bool has_unsynced_records = false;
  bool has_partial_append = false;  // after the first segment_bytes
};

}  // namespace

leaf::result<std::unique_ptr<Storage>> Storage::Open(Files& files,
                                                     Options options) {
  const auto start_time = std::chrono::steady_clock::now();
  BOOST_LEAF_AUTO(contents, internal::ReadFolder(files));
  const bool is_wrong_instance =
      contents.identity && contents.identity->instance != options.instance;
  if (is_wrong_instance) {
    return leaf::new_error(Error{.kind = ErrorKind::kWrongInstance,
                                 .file = std::string(internal::kIdentityFile),
                                 .detail = "the folder belongs to instance " +
                                           contents.identity->instance.value});
  }
  auto storage = std::make_unique<FolderStorage>(files, std::move(options),
                                                 std::move(contents));
  BOOST_LEAF_CHECK(storage->Prepare());
  storage->mutable_report().duration =
      std::chrono::steady_clock::now() - start_time;
  return std::unique_ptr<Storage>(std::move(storage));
}

}  // namespace samphirebank::storage
