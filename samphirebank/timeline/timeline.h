// File: timeline.h
//
// Merges the logs of all processes into one causal line of events: by hybrid
// logical clock, then by instance.
//
// Example:
//
//   Findings findings;
//   std::vector<Line> lines = ReadLog("r1.log", text, &findings);
//   for (const Line& line : Merge(std::move(lines), filter)) Print(line);
#ifndef SAMPHIREBANK_TIMELINE_TIMELINE_H_
#define SAMPHIREBANK_TIMELINE_TIMELINE_H_

#include <string>
#include <string_view>
#include <vector>

#include "samphirebank/base/base.h"
#include "samphirebank/events/events.h"
#include "samphirebank/settings/settings.h"

namespace samphirebank::timeline {

// Line is one logged event.
struct Line {
  events::Stamp stamp;
  InstanceId instance;
  uint32_t event = 0;
  std::string request = {};
  std::string organisation = {};
  std::string target = {};
  std::string text = {};  // the whole JSON text
};

// ReadLog returns the events of one log in its order. A line that is no event
// becomes a finding under `name` and its line number; so does a torn last
// line.
std::vector<Line> ReadLog(const std::string& name, std::string_view content,
                          Findings* findings);

// Merge returns the lines that pass the filters of `settings` in causal order.
// Lines with equal stamps keep their order within one instance.
std::vector<Line> Merge(std::vector<Line> lines,
                        const settings::TimelineSettings& settings);

// Describe returns a line for people.
std::string Describe(const Line& line);

// RunTimeline is `samphirebank timeline`. Returns 0, or 1 if a file cannot be
// read or a line other than a torn last one is no event.
int RunTimeline(const settings::TimelineSettings& settings);

}  // namespace samphirebank::timeline

#endif  // SAMPHIREBANK_TIMELINE_TIMELINE_H_
