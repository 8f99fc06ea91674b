#include "samphirebank/testing/processes.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <thread>
#include <utility>

namespace samphirebank::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kTryAgain(20);

// Below the ports that the kernel gives to outgoing connections.
constexpr int kPortBegin = 12'000;
constexpr int kPortEnd = 32'000;
constexpr int kPortStride = 101;

// SetFileLimit limits the size of the files that a process may write; pid 0 is
// this process.
void SetFileLimit(pid_t process, bool full) {
  rlimit limit{};
  if (prlimit(process, RLIMIT_FSIZE, nullptr, &limit) != 0) {
    throw std::runtime_error("the limit on file sizes cannot be read");
  }
  limit.rlim_cur = full ? 1 : limit.rlim_max;
  if (prlimit(process, RLIMIT_FSIZE, &limit, nullptr) != 0) {
    throw std::runtime_error("the limit on file sizes cannot be set");
  }
}

sockaddr_in Loopback(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// CanBind tells whether no other socket is bound to a loopback port.
bool CanBind(int type, uint16_t port) {
  const int descriptor = socket(AF_INET, type, 0);
  const sockaddr_in address = Loopback(port);
  const int failed = bind(
      descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  close(descriptor);
  return failed == 0;
}

// Reserve takes a port for the life of this process, and tells whether it was
// still to be had. The mark is a socket in the abstract namespace of the
// kernel, which goes with the process.
bool Reserve(uint16_t port) {
  const std::string name = "samphirebank-test-port-" + std::to_string(port);
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  name.copy(address.sun_path + 1, sizeof(address.sun_path) - 1);
  const int descriptor = socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (bind(descriptor, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) == 0) {
    return true;
  }
  close(descriptor);
  return false;
}

// Pointers returns what posix_spawn wants; `words` stays the owner.
std::vector<char*> Pointers(std::vector<std::string>& words) {
  std::vector<char*> pointers;
  pointers.reserve(words.size() + 1);
  for (std::string& word : words) pointers.push_back(word.data());
  pointers.push_back(nullptr);
  return pointers;
}

std::string ReadAll(int connection) {
  std::string all;
  char piece[8192];
  for (;;) {
    const ssize_t count = recv(connection, piece, sizeof(piece), 0);
    if (count <= 0) return all;
    all.append(piece, static_cast<size_t>(count));
  }
}

// JoinChunks replaces a chunked body by its content.
void JoinChunks(Reply& reply) {
  std::string content;
  size_t at = 0;
  for (;;) {
    const size_t line = reply.body.find("\r\n", at);
    if (line == std::string::npos) break;
    const size_t size = std::strtoul(reply.body.c_str() + at, nullptr, 16);
    if (size == 0) {
      reply.whole = true;
      break;
    }
    content += reply.body.substr(line + 2, size);
    at = line + 2 + size + 2;
    if (at > reply.body.size()) break;
  }
  reply.body = std::move(content);
}

}  // namespace

uint16_t FreePort() {
  constexpr int kPorts = kPortEnd - kPortBegin;
  // Processes started together begin apart.
  const int start = static_cast<int>(getpid() * kPortStride % kPorts);
  for (int i = 0; i < kPorts; ++i) {
    const auto port = static_cast<uint16_t>(kPortBegin + (start + i) % kPorts);
    if (Reserve(port) && CanBind(SOCK_STREAM, port) &&
        CanBind(SOCK_DGRAM, port)) {
      return port;
    }
  }
  throw std::runtime_error("no free port");
}

Folder::Folder() {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "samphirebankXXXXXX").string();
  this->location = mkdtemp(pattern.data());
}

Folder::~Folder() {
  std::error_code ignored;
  std::filesystem::remove_all(this->location, ignored);
}

FullDiskAtStart::FullDiskAtStart() { SetFileLimit(0, true); }

FullDiskAtStart::~FullDiskAtStart() { SetFileLimit(0, false); }

Process::Process(std::vector<std::string> words,
                 std::vector<std::string> environment) {
  const std::vector<char*> arguments = Pointers(words);
  const std::vector<char*> variables = Pointers(environment);
  // The program gets none of the test's sockets, which it would keep open.
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_addclosefrom_np(&files, STDERR_FILENO + 1);
  const int failed = posix_spawn(&this->id, words.front().c_str(), &files,
                                 nullptr, arguments.data(), variables.data());
  posix_spawn_file_actions_destroy(&files);
  if (failed != 0) throw std::runtime_error("cannot start " + words.front());
}

Process::~Process() {
  if (this->id == 0) return;
  this->Signal(SIGKILL);
  this->Wait();
}

void Process::Signal(int signal) const {
  if (this->id != 0) kill(this->id, signal);
}

void Process::FillDisk() const { SetFileLimit(this->id, true); }

void Process::FreeDisk() const { SetFileLimit(this->id, false); }

int Process::Wait() {
  if (this->id == 0) return -1;
  int status = 0;
  waitpid(this->id, &status, 0);
  this->id = 0;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

bool Process::Ended() {
  if (this->id == 0) return true;
  int status = 0;
  if (waitpid(this->id, &status, WNOHANG) != this->id) return false;
  this->id = 0;
  return true;
}

int Process::descriptors() const {
  const std::filesystem::directory_iterator files(
      "/proc/" + std::to_string(this->id) + "/fd");
  return static_cast<int>(std::distance(begin(files), end(files)));
}

int Process::resident_mib() const {
  std::ifstream file("/proc/" + std::to_string(this->id) + "/statm");
  int64_t all = 0;
  int64_t resident = 0;
  file >> all >> resident;
  return static_cast<int>(resident * sysconf(_SC_PAGESIZE) >> 20);
}

int Begin(uint16_t port, const Call& call) {
  std::string text = call.method + " " + call.path +
                     " HTTP/1.1\r\nhost: x\r\nconnection: close\r\n";
  for (const std::string& header : call.headers) text += header + "\r\n";
  text += "content-length: " + std::to_string(call.body.size()) + "\r\n\r\n" +
          call.body;
  return Connect(port, text, call.answer_seconds);
}

int Connect(uint16_t port, const std::string& text, int answer_seconds) {
  const int connection = socket(AF_INET, SOCK_STREAM, 0);
  const timeval limit{.tv_sec = answer_seconds, .tv_usec = 0};
  setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  const sockaddr_in to = Loopback(port);
  connect(connection, reinterpret_cast<const sockaddr*>(&to), sizeof(to));
  send(connection, text.data(), text.size(), MSG_NOSIGNAL);
  return connection;
}

Reply End(int connection) {
  const std::string all = ReadAll(connection);
  close(connection);
  constexpr size_t kStatusAt = 9;
  const size_t body = all.find("\r\n\r\n");
  if (body == std::string::npos || all.size() < kStatusAt + 3) return {};
  Reply reply{.status = std::atoi(all.c_str() + kStatusAt),
              .head = all.substr(0, body + 2),
              .body = all.substr(body + 4)};
  if (reply.head.find("transfer-encoding: chunked") != std::string::npos) {
    JoinChunks(reply);
    return reply;
  }
  const size_t length = reply.head.find("content-length: ");
  reply.whole = length != std::string::npos &&
                std::strtoul(reply.head.c_str() + length + 16, nullptr, 10) ==
                    reply.body.size();
  return reply;
}

Reply Ask(uint16_t port, const Call& call) { return End(Begin(port, call)); }

bool WaitUntil(const std::function<bool()>& condition, seconds limit) {
  const auto give_up = std::chrono::steady_clock::now() + limit;
  while (std::chrono::steady_clock::now() < give_up) {
    if (condition()) return true;
    std::this_thread::sleep_for(kTryAgain);
  }
  return false;
}

}  // namespace samphirebank::testing
