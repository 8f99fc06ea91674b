// Servers that send the operators' commands broken answers, byte by byte. A
// command takes none of them for an outcome and asks again. SAMPHIREBANK_BINARY
// names the program.
#include <doctest/doctest.h>

#include <fstream>
#include <string>
#include <vector>

#include "samphirebank/testing/processes.h"
#include "samphirebank/testing/raw_server.h"

namespace samphirebank::operators {
namespace {

using testing::Breakage;
using testing::RawServer;

// SoundAnswer returns a 200 with `line` in its head.
std::string SoundAnswer(const std::string& line = "") {
  return "HTTP/1.1 200 OK\r\n" + line + "content-length: 2\r\n\r\n{}";
}

// Command is a command and the arguments that it needs besides the server.
using Command = std::vector<std::string>;

// CheckBroken checks that a command whose first answer is broken asks again,
// and ends well with the sound answer.
void CheckBroken(const Command& command, const Breakage& breakage) {
  RawServer server(SoundAnswer());
  server.Break(breakage);
  std::vector<std::string> words = {SAMPHIREBANK_BINARY};
  words.insert(words.end(), command.begin(), command.end());
  words.push_back("--server=127.0.0.1:" + std::to_string(server.port()));
  CHECK(testing::Process(
            words, {"SAMPHIREBANK_OPERATOR_TOKEN=operator-token-for-tests"})
            .Wait() == 0);
  CHECK(server.num_requests() == 2);
}

void CheckAllCommands(const std::string& bytes) {
  for (const Command& command :
       {Command{"contract", "list"}, Command{"target", "leave", "t1"},
        Command{"zone", "list"}, Command{"zone", "evacuate", "z"}}) {
    CAPTURE(command[0]);
    CAPTURE(command[1]);
    CheckBroken(command, {.bytes = bytes});
  }
}

TEST_CASE("an answer with a status that HTTP does not have is no outcome") {
  for (const std::string status : {"000", "099", "600"}) {
    CAPTURE(status);
    constexpr size_t kStatusAt = sizeof("HTTP/1.1 ") - 1;
    CheckAllCommands(SoundAnswer().replace(kStatusAt, status.size(), status));
  }
}

TEST_CASE("a blank or control byte in a field's name makes no outcome") {
  for (const std::string line : {"X Broken: 1", "X-Broken : 1", " X-Broken: 1",
                                 "X\x01"
                                 "Broken: 1"}) {
    CAPTURE(line);
    CheckAllCommands(SoundAnswer(line + "\r\n"));
  }
}

TEST_CASE("an answer without a length that is reset early is no outcome") {
  constexpr size_t kContractBytes = 3 << 20;
  const testing::Folder folder;
  const std::string file = folder.path() + "/contract.json";
  std::ofstream(file) << R"({"organisation":"guides","x":")"
                      << std::string(kContractBytes, 'x') << "\"}";
  CheckBroken({"contract", "put", file, "--if-match=0"},
              {.bytes = "HTTP/1.1 200 OK\r\n\r\n{}", .resets = true});
}

}  // namespace
}  // namespace samphirebank::operators
