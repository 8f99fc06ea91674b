#include "samphirebank/storage/storage.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <cstdlib>
#include <filesystem>

#include "samphirebank/storage/internal/memory_files.h"

namespace samphirebank::storage {
namespace {

using consensus::Entry;
using consensus::EntryKind;
using consensus::HardState;
using consensus::Persist;
using consensus::Recovered;
using consensus::StorageId;
using consensus::Ticket;
using internal::MemoryFiles;

constexpr std::string_view kFirstSegment = "log-00000000000000000001";
const Options kOptions{.instance = InstanceId("c1"),
                       .new_storage_id = StorageId(7),
                       .segment_size = Bytes(2000)};

Entry MakeEntry(uint64_t index, uint64_t term, size_t size = 20) {
  return {.index = LogIndex(index),
          .term = Term(term),
          .kind = EntryKind::kCommand,
          .payload = std::string(size, static_cast<char>('a' + index % 26))};
}

consensus::Snapshot MakeSnapshot(uint64_t index, uint64_t term) {
  return {.metadata = {.index = LogIndex(index), .term = Term(term)},
          .data = std::make_shared<const std::string>(std::to_string(index))};
}

// OpenAndExpectError opens a folder that is expected to fail to open, and
// returns the error.
Error OpenAndExpectError(Files& files, const Options& options = kOptions) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<Error> {
        BOOST_LEAF_AUTO(storage, Storage::Open(files, options));
        FAIL("the folder was opened");
        return Error{};
      },
      [](const Error& error) { return error; }, [] { return Error{}; });
}

// Store writes and flushes; returns the last durable ticket, or 0 on an error.
Ticket Store(Storage& storage, Persist persist) {
  storage.Enqueue(std::move(persist));
  leaf::result<FlushResult> flushed = storage.Flush();
  return flushed ? flushed->synced : Ticket(0);
}

// Model is a simple reference model of the state that a folder must hold.
struct Model {
  HardState hard_state{};
  LogIndex base{};
  std::vector<Entry> entries{};

  void Apply(const Persist& persist) {
    if (persist.hard_state) hard_state = *persist.hard_state;
    if (persist.snapshot) {
      base = persist.snapshot->metadata.index;
      entries = persist.entries;
      return;
    }
    for (const Entry& entry : persist.entries) {
      entries.resize((entry.index - base).value - 1);
      entries.push_back(entry);
    }
  }
  friend bool operator==(const Model&, const Model&) = default;
};

Model MakeModel(const Recovered& recovered) {
  return {.hard_state = recovered.hard_state,
          .base = recovered.snapshot ? recovered.snapshot->metadata.index
                                     : LogIndex(0),
          .entries = recovered.entries};
}

// RandomPersist returns a write that appends entries, replaces the end of the
// log, stores a snapshot of a prefix of the log, or installs a snapshot that
// replaces the whole log.
Persist RandomPersist(const Model& model, uint64_t ticket) {
  const uint64_t last = model.base.value + model.entries.size();
  Persist persist{.ticket = Ticket(ticket)};
  if (*rc::gen::inRange(0, 4) == 0) {
    persist.hard_state = HardState{.term = Term(ticket)};
  }
  if (*rc::gen::inRange(0, 6) == 0) {
    const uint64_t index = model.base.value + *rc::gen::inRange(1, 8);
    persist.snapshot = MakeSnapshot(index, 1000 + ticket);
    return persist;
  }
  if (*rc::gen::inRange(0, 6) == 0 && !model.entries.empty()) {
    const Entry& at = model.entries[model.entries.size() / 2];
    persist.snapshot = MakeSnapshot(at.index.value, at.term.value);
    persist.entries.assign(
        model.entries.begin() +
            static_cast<std::ptrdiff_t>(model.entries.size() / 2) + 1,
        model.entries.end());
    return persist;
  }
  const uint64_t first = *rc::gen::inRange(model.base.value + 1, last + 2);
  const uint64_t count = *rc::gen::inRange<uint64_t>(1, 5);
  for (uint64_t i = 0; i < count; ++i) {
    persist.entries.push_back(
        MakeEntry(first + i, ticket, *rc::gen::inRange<size_t>(0, 300)));
  }
  return persist;
}

// AllowedStatesAfter returns the states that recovery may find if `persist` was
// interrupted.
std::vector<Model> AllowedStatesAfter(Model model, Persist persist) {
  std::vector<Model> allowed{model};
  if (persist.snapshot) {
    const HardState before = model.hard_state;
    model.Apply(persist);
    allowed.push_back(model);
    model.hard_state = before;
    allowed.push_back(model);
    return allowed;
  }
  const std::vector<Entry> entries = std::exchange(persist.entries, {});
  model.Apply(persist);
  allowed.push_back(model);
  for (const Entry& entry : entries) {
    model.Apply({.entries = {entry}});
    allowed.push_back(model);
  }
  return allowed;
}

// WriteUntilFailure makes up to 15 random writes and returns the states that
// recovery may find afterwards.
std::vector<Model> WriteUntilFailure(Storage& storage, Model model) {
  for (uint64_t ticket = 1; ticket <= 15; ++ticket) {
    const Persist persist = RandomPersist(model, ticket);
    if (Store(storage, persist) != Ticket(ticket)) {
      return AllowedStatesAfter(model, persist);
    }
    model.Apply(persist);
  }
  return {model};
}

// ReopenAndRead opens a folder that must be valid, and returns the recovered
// state.
Model ReopenAndRead(Files& files) {
  auto storage = Storage::Open(files, kOptions);
  if (!storage) RC_FAIL(OpenAndExpectError(files).ToText());
  return MakeModel((*storage)->TakeRecovered());
}

TEST_CASE("a crash at any disk operation loses no acknowledged write") {
  CHECK(rc::check("recovers all acknowledged writes", [] {
    MemoryFiles files;
    std::vector<Model> allowed{Model{}};
    for (int run = 0; run < 8; ++run) {
      files.FailAfter(*rc::gen::inRange<uint64_t>(0, 70));
      if (auto storage = Storage::Open(files, kOptions)) {
        const Model found = MakeModel((*storage)->TakeRecovered());
        RC_ASSERT(found == allowed.front());
        allowed = WriteUntilFailure(**storage, found);
      }
      const bool power_lost = *rc::gen::arbitrary<bool>();
      files.FailAfter(UINT64_MAX);
      if (power_lost) files.SimulatePowerLoss(*rc::gen::arbitrary<uint64_t>());
      const Model found = ReopenAndRead(files);
      const auto at = std::find(allowed.begin(), allowed.end(), found);
      RC_ASSERT(at != allowed.end());
      // Recovery syncs the state that it returns, so a second power loss must
      // not change it.
      files.SimulatePowerLoss(*rc::gen::arbitrary<uint64_t>());
      RC_ASSERT(ReopenAndRead(files) == found);
      allowed = {found};
    }
  }));
}

TEST_CASE(
    "a torn write is truncated and reported, corruption before it is "
    "rejected") {
  MemoryFiles files;
  const std::string name(kFirstSegment);
  size_t size = 0;
  {
    auto storage = Storage::Open(files, kOptions);
    REQUIRE(storage);
    CHECK((*storage)->report().created);
    Store(**storage, {.ticket = Ticket(1), .entries = {MakeEntry(1, 1)}});
    Store(**storage, {.ticket = Ticket(2), .entries = {MakeEntry(2, 1)}});
    size = files.mutable_contents(name).size();
  }
  SUBCASE("torn write") {
    files.mutable_contents(name) += "half a record";
    auto storage = Storage::Open(files, kOptions);
    REQUIRE(storage);
    CHECK((*storage)->report().torn_bytes == Bytes(13));
    CHECK((*storage)->report().torn_file == name);
    CHECK((*storage)->report().torn_offset == size);
    CHECK((*storage)->report().replayed_entries == 2);
    CHECK(files.mutable_contents(name).size() == size);
  }
  SUBCASE("any corrupt byte") {
    // The last record is the sync marker. No record follows it, so corruption
    // in it is treated as a torn write.
    const std::string intact = files.mutable_contents(name);
    const size_t marker = intact.rfind("HSBR");
    for (size_t at = 0; at < marker; ++at) {
      files.mutable_contents(name)[at] ^= 0x10;
      const Error error = OpenAndExpectError(files);
      CHECK(error.kind == ErrorKind::kCorrupt);
      CHECK(error.file == name);
      CHECK(error.offset <= at);
      CHECK(error.ToText().find("control replace") != std::string::npos);
      files.mutable_contents(name) = intact;
    }
    CHECK(files.mutable_contents(name) == intact);
  }
}

TEST_CASE("a folder with a missing file or of another instance is rejected") {
  MemoryFiles files;
  std::vector<std::string> names;
  {
    auto storage = Storage::Open(files, kOptions);
    REQUIRE(storage);
    Store(**storage, {.ticket = Ticket(1),
                      .hard_state = HardState{.term = Term(1)},
                      .entries = {MakeEntry(1, 1), MakeEntry(2, 1)},
                      .snapshot = {}});
    Store(**storage, {.ticket = Ticket(2),
                      .hard_state = {},
                      .entries = {MakeEntry(2, 1)},
                      .snapshot = MakeSnapshot(1, 1)});
    for (uint64_t i = 3; i < 9; ++i) {
      Store(**storage,
            {.ticket = Ticket(i), .entries = {MakeEntry(i, 1, 900)}});
    }
    names = *files.List();
  }
  // The names are sorted: "identity", the segments "log-..." by number, then
  // "snapshot-...".
  REQUIRE(names.size() > 4);
  const std::string newest = names[names.size() - 2];
  for (const std::string& name : names) {
    if (name == newest) continue;  // no other file refers to it
    MemoryFiles copy = files;
    REQUIRE(copy.Remove(name));
    CHECK_MESSAGE(OpenAndExpectError(copy).kind == ErrorKind::kCorrupt, name);
  }
  Options other = kOptions;
  other.instance = InstanceId("c2");
  CHECK(OpenAndExpectError(files, other).kind == ErrorKind::kWrongInstance);
}

TEST_CASE(
    "a full disk loses no data and queued writes resume once there is space") {
  MemoryFiles files;
  auto storage = Storage::Open(files, kOptions);
  REQUIRE(storage);
  Store(**storage, {.ticket = Ticket(1), .entries = {MakeEntry(1, 1)}});
  const std::string before = files.mutable_contents(std::string(kFirstSegment));
  files.SetCapacity(1000);
  (*storage)->Enqueue({.ticket = Ticket(2), .entries = {MakeEntry(2, 1, 900)}});
  (*storage)->Enqueue({.ticket = Ticket(3), .entries = {MakeEntry(3, 1)}});
  leaf::result<FlushResult> flushed = (*storage)->Flush();
  REQUIRE(flushed);
  CHECK(flushed->disk_full);
  CHECK(flushed->synced == Ticket(1));
  CHECK(files.mutable_contents(std::string(kFirstSegment)) == before);
  files.SetCapacity(100'000);
  flushed = (*storage)->Flush();
  REQUIRE(flushed);
  CHECK(!flushed->disk_full);
  CHECK(flushed->synced == Ticket(3));
  auto reopened = Storage::Open(files, kOptions);
  REQUIRE(reopened);
  CHECK((*reopened)->TakeRecovered().entries.size() == 3);
}

// Guards against a log that cannot be read any more: what a full disk had taken
// of a record stayed in the segment, and the next records came after it.
TEST_CASE(
    "a partial record on a disk that refuses truncation is dropped later") {
  MemoryFiles files;
  auto storage = Storage::Open(files, kOptions);
  REQUIRE(storage);
  Store(**storage, {.ticket = Ticket(1), .entries = {MakeEntry(1, 1)}});
  files.SetCapacity(1000);
  files.RefuseTruncation(true);
  (*storage)->Enqueue({.ticket = Ticket(2), .entries = {MakeEntry(2, 1, 900)}});
  for (int attempt = 0; attempt < 2; ++attempt) {
    const leaf::result<FlushResult> flushed = (*storage)->Flush();
    REQUIRE(flushed);
    CHECK(flushed->disk_full);
    CHECK(flushed->synced == Ticket(1));
  }
  files.SetCapacity(100'000);
  files.RefuseTruncation(false);
  const leaf::result<FlushResult> flushed = (*storage)->Flush();
  REQUIRE(flushed);
  CHECK(flushed->synced == Ticket(2));
  auto reopened = Storage::Open(files, kOptions);
  REQUIRE(reopened);
  CHECK((*reopened)->TakeRecovered().entries.size() == 2);
}

TEST_CASE("a flush syncs once for all queued writes") {
  MemoryFiles files;
  auto storage = Storage::Open(files, kOptions);
  REQUIRE(storage);
  const uint64_t before = files.syncs();
  for (uint64_t i = 1; i <= 10; ++i) {
    (*storage)->Enqueue({.ticket = Ticket(i), .entries = {MakeEntry(i, 1)}});
  }
  CHECK((*storage)->Flush()->synced == Ticket(10));
  CHECK(files.syncs() == before + 1);
}

TEST_CASE("a folder on disk keeps its identity and is locked while open") {
  std::string path = std::filesystem::temp_directory_path() / "storageXXXXXX";
  REQUIRE(mkdtemp(path.data()) != nullptr);
  {
    auto files = OpenFolder(path);
    REQUIRE(files);
    CHECK(!OpenFolder(path));
    auto storage = Storage::Open(**files, kOptions);
    REQUIRE(storage);
    Store(**storage, {.ticket = Ticket(1), .entries = {MakeEntry(1, 1)}});
  }
  auto files = OpenFolder(path);
  REQUIRE(files);
  Options again = kOptions;
  again.new_storage_id = StorageId(8);
  auto storage = Storage::Open(**files, again);
  REQUIRE(storage);
  CHECK((*storage)->self().storage == StorageId(7));
  CHECK((*storage)->report().replayed_entries == 1);
  std::filesystem::remove_all(path);
}

}  // namespace
}  // namespace samphirebank::storage
