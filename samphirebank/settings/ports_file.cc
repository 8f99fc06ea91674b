#include <cstdio>
#include <fstream>
#include <stdexcept>

#include "samphirebank/settings/settings.h"

namespace samphirebank::settings {

void WritePortsFile(const std::string& path,
                    const std::vector<NamedPort>& ports) {
  if (path.empty()) return;
  const std::string temporary = path + ".new";
  {
    std::ofstream out(temporary, std::ios::trunc);
    const char* separator = "{";
    for (const NamedPort& port : ports) {
      out << separator << '"' << port.name << "\": " << port.port;
      separator = ", ";
    }
    out << "}\n";
    if (!out.flush()) {
      throw std::runtime_error("cannot write " + temporary);
    }
  }
  if (std::rename(temporary.c_str(), path.c_str()) != 0) {
    throw std::runtime_error("cannot rename " + temporary);
  }
}

}  // namespace samphirebank::settings
