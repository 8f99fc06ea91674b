#include "samphirebank/storage/internal/memory_files.h"

#include <algorithm>
#include <random>

namespace samphirebank::storage::internal {

leaf::result<std::vector<std::string>> MemoryFiles::List() {
  std::vector<std::string> listed;
  for (const auto& [name, file] : this->names) listed.push_back(name);
  return listed;
}

leaf::result<std::string> MemoryFiles::Read(const std::string& name) {
  auto found = this->names.find(name);
  if (found == this->names.end()) {
    return leaf::new_error(Error{.file = name, .detail = "no such file"});
  }
  return found->second->bytes;
}

leaf::result<void> MemoryFiles::Append(const std::string& name,
                                       std::string_view bytes) {
  std::shared_ptr<File>& file = this->names[name];
  if (file == nullptr) file = std::make_shared<File>();
  leaf::result<void> counted = this->CountChange(name);
  if (!counted) {
    // Simulate a torn write.
    file->bytes.append(bytes.substr(0, bytes.size() / 2));
    return counted;
  }
  const uint64_t used = this->UsedBytes();
  const uint64_t limit = this->capacity.value_or(UINT64_MAX);
  const uint64_t available = limit > used ? limit - used : 0;
  file->bytes.append(bytes.substr(0, available));
  if (bytes.size() <= available) return {};
  return leaf::new_error(
      Error{.kind = ErrorKind::kFull, .file = name, .detail = "no space left"});
}

leaf::result<void> MemoryFiles::Truncate(const std::string& name,
                                         uint64_t size) {
  if (this->refuses_truncation) {
    return leaf::new_error(
        Error{.kind = ErrorKind::kFull, .file = name, .detail = "refused"});
  }
  BOOST_LEAF_CHECK(this->CountChange(name));
  this->names[name]->bytes.resize(size);
  return {};
}

leaf::result<void> MemoryFiles::Sync(const std::string& name) {
  BOOST_LEAF_CHECK(this->CountChange(name));
  File& file = *this->names[name];
  file.durable = file.bytes;
  ++this->sync_count;
  return {};
}

leaf::result<void> MemoryFiles::Rename(const std::string& from,
                                       const std::string& to) {
  BOOST_LEAF_CHECK(this->CountChange(from));
  this->names[to] = this->names[from];
  this->names.erase(from);
  return {};
}

leaf::result<void> MemoryFiles::Remove(const std::string& name) {
  BOOST_LEAF_CHECK(this->CountChange(name));
  this->names.erase(name);
  return {};
}

leaf::result<void> MemoryFiles::SyncFolder() {
  BOOST_LEAF_CHECK(this->CountChange("."));
  this->durable_names = this->names;
  return {};
}

void MemoryFiles::FailAfter(uint64_t changes) { this->changes_left = changes; }

void MemoryFiles::SetCapacity(uint64_t bytes) { this->capacity = bytes; }

void MemoryFiles::RefuseTruncation(bool refuse) {
  this->refuses_truncation = refuse;
}

void MemoryFiles::SimulatePowerLoss(uint64_t seed) {
  std::mt19937_64 random(seed);
  if (random() % 2 == 0) this->names = this->durable_names;
  for (auto& [name, file] : this->names) {
    const bool is_append_only = file->bytes.starts_with(file->durable);
    if (!is_append_only) {
      if (random() % 2 == 0) file->bytes = file->durable;
    } else {
      const size_t unsynced_bytes = file->bytes.size() - file->durable.size();
      file->bytes.resize(file->durable.size() +
                         random() % (unsynced_bytes + 1));
      // The operating system may write pages in any order, so a page may be
      // missing before one that survived.
      const size_t kept = file->bytes.size() - file->durable.size();
      const bool has_hole = kept > 0 && random() % 2 == 0;
      if (has_hole) file->bytes[file->durable.size() + random() % kept] ^= 0x55;
    }
    file->durable = file->bytes;
  }
  this->durable_names = this->names;
  this->changes_left.reset();
}

std::string& MemoryFiles::mutable_contents(const std::string& name) {
  return this->names.at(name)->bytes;
}

leaf::result<void> MemoryFiles::CountChange(const std::string& name) {
  if (this->changes_left == 0) {
    return leaf::new_error(
        Error{.file = name, .detail = "simulated disk failure"});
  }
  if (this->changes_left) --*this->changes_left;
  ++this->change_count;
  return {};
}

uint64_t MemoryFiles::UsedBytes() const {
  uint64_t used = 0;
  for (const auto& [name, file] : this->names) used += file->bytes.size();
  return used;
}

}  // namespace samphirebank::storage::internal
