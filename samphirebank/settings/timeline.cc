#include "samphirebank/settings/internal/flags.h"

namespace samphirebank::settings {
namespace internal {
namespace {

Flag TimeFlag(std::string name, std::string help,
              std::optional<int64_t>* into) {
  return Flag{.name = std::move(name),
              .argument = "MS",
              .help = std::move(help),
              .allowed = "milliseconds since 1970",
              .take = [into](const std::string& value) {
                const std::optional<uint64_t> number =
                    ParseNumber(value, {.high = INT64_MAX});
                if (number) *into = static_cast<int64_t>(*number);
                return number.has_value();
              }};
}

}  // namespace

FlagTable TimelineTable(TimelineSettings* into) {
  FlagTable table{.usage = "samphirebank timeline FILE... [flags]",
                  .summary =
                      "Merges the logs of all processes into one causal "
                      "line of events."};
  table.positionals.push_back({.name = "FILE",
                               .repeated = true,
                               .take = [into](const std::string& value) {
                                 into->files.push_back(value);
                                 return !value.empty();
                               }});
  Append(&table,
         {TextFlag("request", "only events of this request", &into->request),
          TextFlag("organisation", "only events of this organisation",
                   &into->organisation),
          TextFlag("target", "only events of this target", &into->target),
          TextFlag("instance", "only events of this instance", &into->instance),
          Flag{.name = "event",
               .argument = "N",
               .help = "only events of this number",
               .allowed = "a number that docs/EVENTS.md lists",
               .take =
                   [into](const std::string& value) {
                     const std::optional<uint64_t> number =
                         ParseNumber(value, {.high = UINT32_MAX});
                     if (number) into->event = static_cast<uint32_t>(*number);
                     return number.has_value();
                   }},
          TimeFlag("from-ms", "only events from this time on", &into->from_ms),
          TimeFlag("to-ms", "only events before this time", &into->to_ms),
          SwitchFlag("json", "print the log lines as they are", &into->json)});
  return table;
}

}  // namespace internal

namespace {

void CheckTimeline(const TimelineSettings& settings, Findings* findings) {
  if (settings.from_ms && settings.to_ms &&
      *settings.from_ms >= *settings.to_ms) {
    findings->Add("--to-ms", std::to_string(*settings.to_ms),
                  "later than --from-ms");
  }
}

}  // namespace

Parsed<TimelineSettings> ParseTimeline(const Arguments& arguments,
                                       const Environment& environment) {
  return internal::ParseTable<TimelineSettings>(
      internal::TimelineTable, {}, arguments, environment, CheckTimeline);
}

std::string TimelineHelp() {
  return internal::HelpOf<TimelineSettings>(internal::TimelineTable);
}

}  // namespace samphirebank::settings
