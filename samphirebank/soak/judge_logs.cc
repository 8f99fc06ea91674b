#include <fstream>
#include <set>
#include <string>

#include "samphirebank/json/json.h"
#include "samphirebank/soak/internal/judge.h"

namespace samphirebank::soak {

void JudgeLog(const std::string& path, Verdicts& verdicts) {
  std::ifstream file(path);
  if (!file) return verdicts.Add("there is no log " + path);
  std::set<std::string> found;
  for (std::string text; std::getline(file, text);) {
    const nlohmann::json line = json::Parse(text);
    // A process that was killed may leave a part of a line.
    if (!line.is_object()) continue;
    const auto fields = line.find("undeclared");
    if (fields == line.end()) continue;
    found.insert(
        "event " + line.value("name", "") +
        " has fields that the catalogue does not name: " + fields->dump());
  }
  for (const std::string& finding : found) verdicts.Add(finding);
}

}  // namespace samphirebank::soak
