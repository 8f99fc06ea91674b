#include "samphirebank/emulator/internal/runs_file.h"

#include <fcntl.h>
#include <unistd.h>

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace samphirebank::emulator {
namespace {

constexpr int kFileMode = 0644;

}  // namespace

RunsFile::RunsFile(const std::string& path) {
  if (path.empty()) return;
  this->descriptor =
      open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kFileMode);
  if (this->descriptor < 0) throw std::runtime_error("cannot open " + path);
}

RunsFile::~RunsFile() {
  if (this->descriptor >= 0) close(this->descriptor);
}

void RunsFile::Append(const RunRecord& record) {
  if (this->descriptor < 0) return;
  const nlohmann::ordered_json line = {{"target", record.target.value},
                                       {"request", record.request.value},
                                       {"key", record.idempotency_key},
                                       {"nonce", record.nonce},
                                       {"state", record.state}};
  const std::string text = line.dump() + "\n";
  const ssize_t written = write(this->descriptor, text.data(), text.size());
  const bool durable = written == static_cast<ssize_t>(text.size()) &&
                       fdatasync(this->descriptor) == 0;
  if (!durable) throw std::runtime_error("cannot record a run");
}

}  // namespace samphirebank::emulator
