#include "samphirebank/storage/internal/memory_files.h"

#include <algorithm>
#include <random>

namespace samphirebank::storage::internal {

leaf::result<std::vector<std::string>> MemoryFiles::List() {
  std::vector<std::string> found;
  for (const auto& [name, file] : this->names) found.push_back(name);
  return found;
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
    // A write that was cut short.
    file->bytes.append(bytes.substr(0, bytes.size() / 2));
    return counted;
  }
  const uint64_t used = this->UsedBytes();
  const uint64_t space = this->capacity.value_or(UINT64_MAX);
  const uint64_t left = space > used ? space - used : 0;
  file->bytes.append(bytes.substr(0, left));
  if (bytes.size() <= left) return {};
  return leaf::new_error(
      Error{.kind = ErrorKind::kFull, .file = name, .detail = "no space left"});
}

leaf::result<void> MemoryFiles::Truncate(const std::string& name,
                                         uint64_t size) {
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

void MemoryFiles::SimulatePowerLoss(uint64_t seed) {
  std::mt19937_64 random(seed);
  if (random() % 2 == 0) this->names = this->durable_names;
  for (auto& [name, file] : this->names) {
    const bool only_grew = file->bytes.starts_with(file->durable);
    if (!only_grew) {
      if (random() % 2 == 0) file->bytes = file->durable;
    } else {
      const size_t fresh = file->bytes.size() - file->durable.size();
      file->bytes.resize(file->durable.size() + random() % (fresh + 1));
      // Pages reach the disk in any order: a hole may precede what is left.
      const size_t left = file->bytes.size() - file->durable.size();
      const bool hole = left > 0 && random() % 2 == 0;
      if (hole) file->bytes[file->durable.size() + random() % left] ^= 0x55;
    }
    file->durable = file->bytes;
  }
  this->durable_names = this->names;
  this->changes_left.reset();
}

std::string& MemoryFiles::bytes(const std::string& name) {
  return this->names.at(name)->bytes;
}

leaf::result<void> MemoryFiles::CountChange(const std::string& name) {
  if (this->changes_left == 0) {
    return leaf::new_error(Error{.file = name, .detail = "the disk failed"});
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
