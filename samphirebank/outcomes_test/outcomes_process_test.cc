// Real control, router and target processes on loopback, killed and frozen
// while callers send and resend; the targets record what they run.
#include <doctest/doctest.h>

#include <array>
#include <cstdio>
#include <string>

namespace samphirebank {
namespace {

// Output runs a command and returns what it prints.
std::string Output(const std::string& command) {
  FILE* const pipe = popen(command.c_str(), "r");
  REQUIRE(pipe != nullptr);
  std::string text;
  std::array<char, 4096> piece{};
  while (fgets(piece.data(), piece.size(), pipe) != nullptr) {
    text += piece.data();
  }
  CHECK(pclose(pipe) == 0);
  return text;
}

TEST_CASE("under faults: none lost, run twice, falsely not-run or mixed up") {
  const std::string text =
      Output(std::string(MEASURE_OUTCOMES) +
             " --requests 500 --seed 20261204 --binary " SAMPHIREBANK_BINARY);
  INFO(text);
  CHECK(text.find("requests=500 lost=0 ran_twice=0 false_not_run=0 "
                  "wrong_answer=0 truncated_as_whole=0 unknown=") !=
        std::string::npos);
  // The faults were there, and so were answers.
  CHECK(text.find(" killed ") != std::string::npos);
  CHECK(text.find("keyed answer 200: ") != std::string::npos);
}

}  // namespace
}  // namespace samphirebank
