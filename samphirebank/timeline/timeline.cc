#include "samphirebank/timeline/timeline.h"

#include <algorithm>
#include <iostream>
#include <iterator>

namespace samphirebank::timeline {
namespace {

bool IsTorn(const Finding& finding) {
  return finding.allowed.find("torn") != std::string::npos;
}

}  // namespace

int RunTimeline(const settings::TimelineSettings& settings) {
  const settings::Environment environment = settings::ProcessEnvironment();
  Findings findings;
  std::vector<Line> all;
  for (const std::string& file : settings.files) {
    const auto content = environment.read_file(file);
    if (!content) findings.Add("FILE", file, "a file that can be read");
    std::vector<Line> lines = ReadLog(file, content.value_or(""), &findings);
    std::move(lines.begin(), lines.end(), std::back_inserter(all));
  }
  for (const Line& line : Merge(std::move(all), settings)) {
    std::cout << (settings.json ? line.text : Describe(line)) << "\n";
  }
  std::cerr << findings.ToText();
  const bool whole =
      std::all_of(findings.all().begin(), findings.all().end(), IsTorn);
  return whole ? 0 : 1;
}

}  // namespace samphirebank::timeline
