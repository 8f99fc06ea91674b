#include "samphirebank/storage/storage.h"

#include <boost/leaf/handle_errors.hpp>
#include <utility>

#include "samphirebank/storage/internal/record.h"
#include "samphirebank/storage/internal/recovery.h"

namespace samphirebank::storage {
namespace {

using consensus::Persist;
using internal::NumberedName;

// UnlessFull runs `write`; false when the disk was too full for it.
template <typename Write>
leaf::result<bool> UnlessFull(Write write) {
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

// WriteWhole makes a file appear whole and synced, or not at all.
leaf::result<void> WriteWhole(Files& files, const std::string& name,
                              std::string_view bytes) {
  const std::string temporary = name + std::string(internal::kTemporarySuffix);
  leaf::result<void> written = [&]() -> leaf::result<void> {
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

class FolderStorage : public Storage {
 public:
  FolderStorage(Files& files, Options options, internal::FolderContent content)
      : files(files), options(std::move(options)), content(std::move(content)) {
    this->hard_state = this->content.recovered.hard_state;
  }

  // Prepare creates what is missing and finishes what was interrupted.
  leaf::result<void> Prepare() {
    if (this->content.last_segment == 0) {
      BOOST_LEAF_CHECK(this->StartSegment({.starts_log = true}, {}));
    } else {
      BOOST_LEAF_CHECK(this->ReopenSegment());
    }
    if (!this->content.identity) BOOST_LEAF_CHECK(this->CreateIdentity());
    if (this->content.restart_log) {
      BOOST_LEAF_CHECK(this->StartSegment(
          {.starts_log = true,
           .snapshot_index = this->content.report.snapshot_index},
          this->content.recovered.entries));
      return this->RemoveBefore(this->segment,
                                this->content.report.snapshot_index);
    }
    for (const std::string& name : this->content.obsolete) {
      BOOST_LEAF_CHECK(this->files.Remove(name));
    }
    return {};
  }

  const consensus::MemberId& self() const override {
    return *this->content.identity;
  }

  const RecoveryReport& report() const override { return this->content.report; }
  RecoveryReport& mutable_report() { return this->content.report; }

  consensus::Recovered TakeRecovered() override {
    return std::move(this->content.recovered);
  }

  void Enqueue(Persist persist) override {
    this->queue.push_back(std::move(persist));
  }

  bool has_pending_writes() const override { return !this->queue.empty(); }

  leaf::result<FlushResult> Flush() override {
    while (!this->queue.empty()) {
      const Persist& next = this->queue.front();
      BOOST_LEAF_AUTO(fits, UnlessFull([&] { return this->Write(next); }));
      if (!fits) break;
      this->written = next.ticket;
      this->queue.pop_front();
    }
    BOOST_LEAF_CHECK(this->SyncSegment());
    return FlushResult{.synced = this->written,
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
    const uint64_t durable = this->durable_bytes;
    if (persist.hard_state) {
      bytes += internal::EncodeRecord(
          {.durable_before = durable, .body = *persist.hard_state});
    }
    for (const consensus::Entry& entry : persist.entries) {
      bytes +=
          internal::EncodeRecord({.durable_before = durable, .body = entry});
    }
    const auto limit = static_cast<uint64_t>(this->options.segment_size.value);
    if (this->segment_bytes + bytes.size() > limit) {
      // No mark follows: only in the newest segment may a tail be torn.
      BOOST_LEAF_CHECK(this->files.Sync(this->name));
      return this->StartSegment({}, persist.entries);
    }
    BOOST_LEAF_CHECK(this->AppendToSegment(bytes));
    this->unsynced = true;
    return {};
  }

  // AppendToSegment adds all bytes or none.
  leaf::result<void> AppendToSegment(std::string_view bytes) {
    leaf::result<void> appended = this->files.Append(this->name, bytes);
    if (!appended) {
      BOOST_LEAF_CHECK(this->files.Truncate(this->name, this->segment_bytes));
      return appended;
    }
    this->segment_bytes += bytes.size();
    return {};
  }

  leaf::result<void> WriteSnapshot(const Persist& persist) {
    const LogIndex index = persist.snapshot->metadata.index;
    if (persist.hard_state) this->hard_state = *persist.hard_state;
    BOOST_LEAF_CHECK(WriteWhole(
        this->files, NumberedName(internal::kSnapshotPrefix, index.value),
        internal::EncodeSnapshot(*persist.snapshot)));
    BOOST_LEAF_CHECK(this->StartSegment(
        {.starts_log = true, .snapshot_index = index}, persist.entries));
    return this->RemoveBefore(this->segment, index);
  }

  // StartSegment begins the next segment with the hard state and entries.
  leaf::result<void> StartSegment(internal::SegmentHead head,
                                  const std::vector<consensus::Entry>& start) {
    head.number = this->segment + 1;
    const std::string next =
        NumberedName(internal::kSegmentPrefix, head.number);
    const std::string bytes =
        internal::EncodeSegment(head, this->hard_state, start);
    BOOST_LEAF_CHECK(WriteWhole(this->files, next, bytes));
    this->segment = head.number;
    this->name = next;
    this->segment_bytes = bytes.size();
    this->durable_bytes = bytes.size();
    this->unsynced = false;
    return {};
  }

  // ReopenSegment cuts a torn tail. What was read counts as durable from now
  // on, so it is synced even if the last run did not get to it.
  leaf::result<void> ReopenSegment() {
    this->segment = this->content.last_segment;
    this->name = NumberedName(internal::kSegmentPrefix, this->segment);
    this->segment_bytes = this->content.segment_bytes;
    if (this->content.report.torn_bytes > Bytes(0)) {
      BOOST_LEAF_CHECK(this->files.Truncate(this->name, this->segment_bytes));
    }
    BOOST_LEAF_CHECK(this->files.Sync(this->name));
    BOOST_LEAF_CHECK(this->files.SyncFolder());
    this->durable_bytes = this->segment_bytes;
    return {};
  }

  leaf::result<void> CreateIdentity() {
    const consensus::MemberId member{.instance = this->options.instance,
                                     .storage = this->options.new_storage_id};
    BOOST_LEAF_CHECK(WriteWhole(this->files,
                                std::string(internal::kIdentityName),
                                internal::EncodeIdentity(member)));
    this->content.identity = member;
    this->content.report.created = true;
    return {};
  }

  leaf::result<void> RemoveBefore(uint64_t first_segment, LogIndex snapshot) {
    BOOST_LEAF_AUTO(names, this->files.List());
    const std::string kept_segment =
        NumberedName(internal::kSegmentPrefix, first_segment);
    const std::string kept_snapshot =
        NumberedName(internal::kSnapshotPrefix, snapshot.value);
    for (const std::string& found : names) {
      const bool old_segment =
          found.starts_with(internal::kSegmentPrefix) && found < kept_segment;
      const bool old_snapshot =
          found.starts_with(internal::kSnapshotPrefix) && found < kept_snapshot;
      if (old_segment || old_snapshot) {
        BOOST_LEAF_CHECK(this->files.Remove(found));
      }
    }
    return {};
  }

  leaf::result<void> SyncSegment() {
    if (!this->unsynced) return {};
    BOOST_LEAF_CHECK(this->files.Sync(this->name));
    this->unsynced = false;
    this->durable_bytes = this->segment_bytes;
    // The mark only helps to tell damage from a torn tail; a disk too full
    // for it is no fault.
    const std::string mark = internal::EncodeRecord(
        {.durable_before = this->durable_bytes, .body = internal::SyncMark{}});
    BOOST_LEAF_CHECK(UnlessFull([&] { return this->AppendToSegment(mark); }));
    return {};
  }

  Files& files;
  Options options;
  internal::FolderContent content;
  std::deque<Persist> queue;
  consensus::Ticket written;
  consensus::HardState hard_state;
  uint64_t segment = 0;
  std::string name;
  uint64_t segment_bytes = 0;
  uint64_t durable_bytes = 0;
  bool unsynced = false;
};

}  // namespace

leaf::result<std::unique_ptr<Storage>> Storage::Open(Files& files,
                                                     Options options) {
  const auto started = std::chrono::steady_clock::now();
  BOOST_LEAF_AUTO(content, internal::ReadFolder(files));
  const bool foreign =
      content.identity && content.identity->instance != options.instance;
  if (foreign) {
    return leaf::new_error(Error{.kind = ErrorKind::kWrongInstance,
                                 .file = std::string(internal::kIdentityName),
                                 .detail = "the folder belongs to instance " +
                                           content.identity->instance.value});
  }
  auto storage = std::make_unique<FolderStorage>(files, std::move(options),
                                                 std::move(content));
  BOOST_LEAF_CHECK(storage->Prepare());
  storage->mutable_report().duration =
      std::chrono::steady_clock::now() - started;
  return std::unique_ptr<Storage>(std::move(storage));
}

}  // namespace samphirebank::storage
