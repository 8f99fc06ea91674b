// File: runs_file.h
//
// A durable record of what targets ran, for tests of "at most once".
//
// Example:
//
//   RunsFile runs("runs.jsonl");
//   runs.Append({.target = id, .request = request, .state = "started"});
#ifndef SAMPHIREBANK_EMULATOR_INTERNAL_RUNS_FILE_H_
#define SAMPHIREBANK_EMULATOR_INTERNAL_RUNS_FILE_H_

#include <string>

#include "samphirebank/base/base.h"

namespace samphirebank::emulator {

// RunRecord is one line of the file.
struct RunRecord {
  TargetId target;
  RequestId request;            // as the router stated it
  std::string idempotency_key;  // as the caller stated it
  std::string nonce;            // the prompt or the service's path
  std::string state;            // "started", "ended" or "cut"
};

// RunsFile appends records, each durable before Append returns. Without a
// path it does nothing.
class RunsFile {
 public:
  // RunsFile opens the file; throws std::runtime_error when it cannot.
  explicit RunsFile(const std::string& path);
  ~RunsFile();
  RunsFile(const RunsFile&) = delete;
  RunsFile& operator=(const RunsFile&) = delete;

  // Append throws std::runtime_error when the record cannot be made durable.
  void Append(const RunRecord& record);

 private:
  int descriptor = -1;
};

}  // namespace samphirebank::emulator

#endif  // SAMPHIREBANK_EMULATOR_INTERNAL_RUNS_FILE_H_
