// File: memory_files.h
//
// An in-memory folder for tests. It simulates a full disk, failing operations
// and a power loss that drops unsynced data.
//
//   MemoryFiles files;
//   files.FailAfter(3);  // the next three changes succeed, later ones fail
//   ...
//   files.SimulatePowerLoss(7);  // 7 seeds the choice of lost data
#ifndef SAMPHIREBANK_STORAGE_INTERNAL_MEMORY_FILES_H_
#define SAMPHIREBANK_STORAGE_INTERNAL_MEMORY_FILES_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "samphirebank/storage/storage.h"

namespace samphirebank::storage::internal {

// MemoryFiles implements Files in memory and injects faults. Every operation
// but List and Read counts as a change.
class MemoryFiles : public Files {
 public:
  leaf::result<std::vector<std::string>> List() override;
  leaf::result<std::string> Read(const std::string& name) override;
  leaf::result<void> Append(const std::string& name,
                            std::string_view bytes) override;
  leaf::result<void> Truncate(const std::string& name, uint64_t size) override;
  leaf::result<void> Sync(const std::string& name) override;
  leaf::result<void> Rename(const std::string& from,
                            const std::string& to) override;
  leaf::result<void> Remove(const std::string& name) override;
  leaf::result<void> SyncFolder() override;

  // FailAfter makes every change fail once `changes` more have succeeded. A
  // failed Append still writes half of its bytes.
  void FailAfter(uint64_t changes);
  // SetCapacity limits the total size of all files. An Append beyond it writes
  // the bytes that still fit and fails with kFull.
  void SetCapacity(uint64_t bytes);
  // RefuseTruncation makes Truncate fail with kFull, or succeed again.
  void RefuseTruncation(bool refuse);
  // SimulatePowerLoss drops or damages a random part of the unsynced data and
  // undoes FailAfter. `seed` determines the random choices.
  void SimulatePowerLoss(uint64_t seed);
  // mutable_contents returns the contents of a file, which a test may change to
  // simulate corruption. The file must exist.
  std::string& mutable_contents(const std::string& name);

  // changes and syncs return how many changes and file syncs succeeded.
  uint64_t changes() const { return this->change_count; }
  uint64_t syncs() const { return this->sync_count; }

 private:
  struct File {
    std::string bytes{};
    std::string durable{};  // contents at the last sync
  };
  using Names = std::map<std::string, std::shared_ptr<File>>;

  // CountChange counts a change, or fails if FailAfter applies.
  leaf::result<void> CountChange(const std::string& name);
  uint64_t UsedBytes() const;

  Names names;
  Names durable_names;                   // as of the last SyncFolder
  std::optional<uint64_t> changes_left;  // until changes fail
  std::optional<uint64_t> capacity;      // in bytes
  bool refuses_truncation = false;
  uint64_t change_count = 0;
  uint64_t sync_count = 0;
};

}  // namespace samphirebank::storage::internal

#endif  // SAMPHIREBANK_STORAGE_INTERNAL_MEMORY_FILES_H_
