#include <doctest/doctest.h>

#include <fstream>
#include <string>

#include "samphirebank/soak/internal/judge.h"
#include "samphirebank/testing/processes.h"

namespace samphirebank::soak {
namespace {

TEST_CASE("a field that the catalogue does not name is found once") {
  const testing::Folder folder;
  const std::string path = folder.path() + "/c1.log";
  std::ofstream(path) << R"({"name":"process-started"})" << '\n'
                      << R"({"name":"member-added","undeclared":["detail"]})"
                      << '\n'
                      << R"({"name":"member-added","undeclared":["detail"]})"
                      << '\n'
                      << R"({"name":"cut by a kil)";
  Verdicts verdicts;
  JudgeLog(path, verdicts);
  REQUIRE(verdicts.all.size() == 1);
  CHECK(verdicts.all[0].find("member-added") != std::string::npos);
}

TEST_CASE("a log that is not there is a finding") {
  const testing::Folder folder;
  Verdicts verdicts;
  JudgeLog(folder.path() + "/none.log", verdicts);
  CHECK(verdicts.all.size() == 1);
}

}  // namespace
}  // namespace samphirebank::soak
