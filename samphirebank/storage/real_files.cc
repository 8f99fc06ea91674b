#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <map>
#include <utility>

#include "samphirebank/storage/storage.h"

namespace samphirebank::storage {
namespace {

constexpr int kFolderMode = 0700;
constexpr int kFileMode = 0600;
constexpr size_t kReadBufferBytes = 1 << 20;

// ErrorFromErrno returns the error for the current errno.
leaf::error_id ErrorFromErrno(const std::string& file, const char* operation) {
  const int error_number = errno;
  const bool full =
      error_number == ENOSPC || error_number == EDQUOT || error_number == EFBIG;
  return leaf::new_error(Error{
      .kind = full ? ErrorKind::kFull : ErrorKind::kInputOutput,
      .file = file,
      .detail = std::string(operation) + ": " + std::strerror(error_number)});
}

// RealFiles implements Files on a folder on disk. It keeps a descriptor open
// for each file that it writes.
class RealFiles : public Files {
 public:
  RealFiles(std::string path, int folder)
      : path(std::move(path)), folder(folder) {}
  RealFiles(const RealFiles&) = delete;
  RealFiles& operator=(const RealFiles&) = delete;
  ~RealFiles() override {
    for (const auto& [name, file] : this->open) ::close(file);
    ::close(this->folder);
  }

  leaf::result<std::vector<std::string>> List() override {
    const int descriptor = ::openat(this->folder, ".", O_RDONLY | O_DIRECTORY);
    DIR* stream = descriptor < 0 ? nullptr : ::fdopendir(descriptor);
    if (stream == nullptr) return ErrorFromErrno(this->path, "list");
    std::vector<std::string> names;
    while (const dirent* entry = ::readdir(stream)) {
      const std::string name = entry->d_name;
      if (name != "." && name != "..") names.push_back(name);
    }
    ::closedir(stream);
    return names;
  }

  leaf::result<std::string> Read(const std::string& name) override {
    const int file = ::openat(this->folder, name.c_str(), O_RDONLY | O_CLOEXEC);
    if (file < 0) return ErrorFromErrno(name, "open");
    std::string bytes;
    std::string buffer(kReadBufferBytes, '\0');
    ssize_t count = 0;
    while ((count = ::read(file, buffer.data(), buffer.size())) > 0) {
      bytes.append(buffer, 0, static_cast<size_t>(count));
    }
    ::close(file);
    if (count < 0) return ErrorFromErrno(name, "read");
    return bytes;
  }

  leaf::result<void> Append(const std::string& name,
                            std::string_view bytes) override {
    BOOST_LEAF_AUTO(file, this->Descriptor(name));
    while (!bytes.empty()) {
      const ssize_t count = ::write(file, bytes.data(), bytes.size());
      if (count < 0 && errno == EINTR) continue;
      if (count < 0) return ErrorFromErrno(name, "write");
      bytes.remove_prefix(static_cast<size_t>(count));
    }
    return {};
  }

  leaf::result<void> Truncate(const std::string& name, uint64_t size) override {
    BOOST_LEAF_AUTO(file, this->Descriptor(name));
    if (::ftruncate(file, static_cast<off_t>(size)) != 0) {
      return ErrorFromErrno(name, "truncate");
    }
    return {};
  }

  leaf::result<void> Sync(const std::string& name) override {
    BOOST_LEAF_AUTO(file, this->Descriptor(name));
    if (::fdatasync(file) == 0) return {};
    // Never kFull, whatever the reason: after a failed sync the system may have
    // dropped written data.
    return leaf::new_error(Error{
        .file = name, .detail = std::string("sync: ") + std::strerror(errno)});
  }

  leaf::result<void> Rename(const std::string& from,
                            const std::string& to) override {
    this->Close(from);
    this->Close(to);
    const int result =
        ::renameat(this->folder, from.c_str(), this->folder, to.c_str());
    if (result != 0) return ErrorFromErrno(from, "rename");
    return {};
  }

  leaf::result<void> Remove(const std::string& name) override {
    this->Close(name);
    if (::unlinkat(this->folder, name.c_str(), 0) != 0) {
      return ErrorFromErrno(name, "remove");
    }
    return {};
  }

  leaf::result<void> SyncFolder() override {
    if (::fsync(this->folder) != 0) return ErrorFromErrno(this->path, "sync");
    return {};
  }

 private:
  // Descriptor returns the descriptor for writing a file, which is created if
  // it is missing.
  leaf::result<int> Descriptor(const std::string& name) {
    auto found = this->open.find(name);
    if (found != this->open.end()) return found->second;
    const int file =
        ::openat(this->folder, name.c_str(),
                 O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, kFileMode);
    if (file < 0) return ErrorFromErrno(name, "open");
    this->open[name] = file;
    return file;
  }

  // Close closes the descriptor of a file, if it is open.
  void Close(const std::string& name) {
    auto found = this->open.find(name);
    if (found == this->open.end()) return;
    ::close(found->second);
    this->open.erase(found);
  }

  std::string path;
  int folder;
  std::map<std::string, int> open;
};

}  // namespace

leaf::result<std::unique_ptr<Files>> OpenFolder(const std::string& path) {
  if (::mkdir(path.c_str(), kFolderMode) != 0 && errno != EEXIST) {
    return ErrorFromErrno(path, "create");
  }
  const int folder = ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (folder < 0) return ErrorFromErrno(path, "open");
  if (::flock(folder, LOCK_EX | LOCK_NB) != 0) {
    const leaf::error_id error =
        ErrorFromErrno(path, "lock (is another process using the folder?)");
    ::close(folder);
    return error;
  }
  return std::unique_ptr<Files>(std::make_unique<RealFiles>(path, folder));
}

}  // namespace samphirebank::storage
