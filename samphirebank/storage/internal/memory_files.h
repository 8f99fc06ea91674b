// File: memory_files.h
//
// A folder held in memory that can fill up, fail at any operation and lose
// what was not synced.
//
//   MemoryFiles files;
//   files.FailAfter(3);     // three changes succeed, then all fail
//   ...
//   files.SimulatePowerLoss(7);  // a crash; 7 seeds what survives by chance
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

// MemoryFiles fakes a disk.
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

  // FailAfter makes every change fail once `changes` more have succeeded.
  void FailAfter(uint64_t changes);
  // SetCapacity limits the bytes of all files together.
  void SetCapacity(uint64_t bytes);
  // SimulatePowerLoss is a crash: changes succeed again afterwards, and of what
  // was not synced only a random part is left.
  void SimulatePowerLoss(uint64_t seed);
  // bytes is the content of a file, to be damaged at will.
  std::string& bytes(const std::string& name);

  uint64_t changes() const { return this->change_count; }
  uint64_t syncs() const { return this->sync_count; }

 private:
  struct File {
    std::string bytes{};
    std::string durable{};
  };
  using Names = std::map<std::string, std::shared_ptr<File>>;

  leaf::result<void> CountChange(const std::string& name);
  uint64_t UsedBytes() const;

  Names names;
  Names durable_names;
  std::optional<uint64_t> changes_left;
  std::optional<uint64_t> capacity;
  uint64_t change_count = 0;
  uint64_t sync_count = 0;
};

}  // namespace samphirebank::storage::internal

#endif  // SAMPHIREBANK_STORAGE_INTERNAL_MEMORY_FILES_H_
