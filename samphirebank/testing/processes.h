// File: processes.h
//
// Real processes on loopback for tests: free ports, programs that are started
// and ended, and blocking HTTP calls to them.
//
// Example:
//
//   testing::Folder folder;
//   testing::Process router({SAMPHIREBANK_BINARY, "router", ...}, {"A=b"});
//   testing::Reply reply = testing::Ask(port, {.path = "/readyz"});
#ifndef SAMPHIREBANK_TESTING_PROCESSES_H_
#define SAMPHIREBANK_TESTING_PROCESSES_H_

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace samphirebank::testing {

// FreePort returns a port that is free for TCP and UDP. No other call, of this
// or another test process, returns it again while this process lives.
uint16_t FreePort();

// Folder is a temporary folder that goes with the object.
class Folder {
 public:
  Folder();
  ~Folder();
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;

  const std::string& path() const { return this->location; }

 private:
  std::string location;
};

// FullDiskAtStart makes the programs that are started during its life begin as
// after Process::FillDisk. The test must write no files meanwhile.
class FullDiskAtStart {
 public:
  FullDiskAtStart();
  ~FullDiskAtStart();
  FullDiskAtStart(const FullDiskAtStart&) = delete;
  FullDiskAtStart& operator=(const FullDiskAtStart&) = delete;
};

// Process is a running program, killed when the object goes.
class Process {
 public:
  Process(std::vector<std::string> words, std::vector<std::string> environment);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int signal) const;
  // Wait returns the exit code, or -1 if a signal ended the program.
  int Wait();
  // Ended says whether the program has ended, without waiting.
  bool Ended();
  pid_t pid() const { return this->id; }
  // FillDisk makes the program's writes beyond the first byte of a file fail,
  // as on a full disk, until FreeDisk.
  void FillDisk() const;
  void FreeDisk() const;
  // descriptors counts the program's open files and sockets.
  int descriptors() const;
  // resident_mib is the memory that the program occupies.
  int resident_mib() const;

 private:
  pid_t id = 0;
};

// Call is an HTTP request.
struct Call {
  std::string method = "GET";
  std::string path;
  std::vector<std::string> headers = {};  // "name: value"
  std::string body = {};
  int answer_seconds = 30;  // the longest silence that End waits for
};

// Reply is what came back; status 0 without a head.
struct Reply {
  int status = 0;
  std::string head;
  std::string body;    // chunks joined
  bool whole = false;  // by content-length or the last chunk
};

// Connect opens a connection that sends `text` first. End then waits for a
// silence of at most `answer_seconds`.
int Connect(uint16_t port, const std::string& text, int answer_seconds = 30);

// Begin sends a request and returns its connection; End reads the answer.
int Begin(uint16_t port, const Call& call);
Reply End(int connection);

// Ask is Begin and End.
Reply Ask(uint16_t port, const Call& call);

// WaitUntil tries `condition` until it holds; false when time is up.
bool WaitUntil(const std::function<bool()>& condition,
               std::chrono::seconds limit = std::chrono::seconds(30));

}  // namespace samphirebank::testing

#endif  // SAMPHIREBANK_TESTING_PROCESSES_H_
