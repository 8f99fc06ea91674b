#include <unistd.h>

#include <fstream>
#include <sstream>

#include "samphirebank/settings/settings.h"

namespace samphirebank::settings {
namespace {

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream content;
  if (!in || !(content << in.rdbuf())) return std::nullopt;
  return std::move(content).str();
}

}  // namespace

Environment ProcessEnvironment() {
  Environment environment{.read_file = ReadFile};
  for (char** entry = environ; entry != nullptr && *entry != nullptr; ++entry) {
    const std::string_view text = *entry;
    const size_t equals = text.find('=');
    if (equals == std::string_view::npos) continue;
    environment.variables.emplace(text.substr(0, equals),
                                  text.substr(equals + 1));
  }
  return environment;
}

}  // namespace samphirebank::settings
