#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <tuple>

#include "samphirebank/timeline/timeline.h"

namespace samphirebank::timeline {
namespace {

using Json = nlohmann::ordered_json;

constexpr char kTornLine[] = "a whole line; this one is torn";

std::optional<Line> ReadLine(std::string_view text) {
  const Json json = Json::parse(text, nullptr, false);
  try {
    return Line{.stamp = {.wall_ms = json.at("wall_ms").get<int64_t>(),
                          .logical = json.at("logical").get<uint32_t>()},
                .instance = InstanceId(json.at("instance").get<std::string>()),
                .event = json.at("event").get<uint32_t>(),
                .request = json.value("request", ""),
                .organisation = json.value("organisation", ""),
                .target = json.value("target", ""),
                .text = std::string(text)};
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

bool Matches(const std::string& wanted, const std::string& value) {
  return wanted.empty() || wanted == value;
}

bool Passes(const Line& line, const settings::TimelineSettings& settings) {
  return Matches(settings.request, line.request) &&
         Matches(settings.organisation, line.organisation) &&
         Matches(settings.target, line.target) &&
         Matches(settings.instance, line.instance.value) &&
         (!settings.event || *settings.event == line.event) &&
         (!settings.from_ms || line.stamp.wall_ms >= *settings.from_ms) &&
         (!settings.to_ms || line.stamp.wall_ms < *settings.to_ms);
}

}  // namespace

std::vector<Line> ReadLog(const std::string& name, std::string_view content,
                          Findings* findings) {
  std::vector<Line> lines;
  for (int number = 1; !content.empty(); ++number) {
    const size_t end = content.find('\n');
    const bool torn = end == std::string_view::npos;
    const std::string_view text = content.substr(0, end);
    content.remove_prefix(torn ? content.size() : end + 1);
    std::optional<Line> line = ReadLine(text);
    if (line) {
      lines.push_back(std::move(*line));
      continue;
    }
    findings->Add(name + ":" + std::to_string(number), "",
                  torn ? kTornLine : "an event in JSON");
  }
  return lines;
}

std::vector<Line> Merge(std::vector<Line> lines,
                        const settings::TimelineSettings& settings) {
  std::erase_if(lines,
                [&](const Line& line) { return !Passes(line, settings); });
  std::stable_sort(
      lines.begin(), lines.end(), [](const Line& a, const Line& b) {
        return std::tie(a.stamp, a.instance) < std::tie(b.stamp, b.instance);
      });
  return lines;
}

std::string Describe(const Line& line) {
  const Json json = Json::parse(line.text, nullptr, false);
  std::string text = std::to_string(line.stamp.wall_ms) + "." +
                     std::to_string(line.stamp.logical) + " " +
                     line.instance.value + " " + std::to_string(line.event);
  for (const auto& [name, value] : json.items()) {
    if (name == "name") text += " " + value.get<std::string>();
    const bool shown = name != "wall_ms" && name != "logical" &&
                       name != "instance" && name != "event" &&
                       name != "name" && name != "role" && name != "boot" &&
                       name != "severity";
    if (shown) {
      text += " " + name + "=" +
              (value.is_string() ? value.get<std::string>() : value.dump());
    }
  }
  return text;
}

}  // namespace samphirebank::timeline
