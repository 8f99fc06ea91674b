#include "samphirebank/settings/internal/flags.h"

namespace samphirebank::settings {
namespace internal {
namespace {

// VerbText is how a verb is written.
struct VerbText {
  std::string words;
  std::string summary;
};

VerbText TextOf(ZoneVerb verb) {
  switch (verb) {
    case ZoneVerb::kEvacuate:
      return {"zone evacuate",
              "Sends nothing more to the targets of an availability zone; what "
              "runs ends."};
    case ZoneVerb::kRestore:
      return {"zone restore", "Withdraws the evacuation of a zone."};
    case ZoneVerb::kList:
      break;
  }
  return {"zone list", "Lists the evacuated zones."};
}

}  // namespace

FlagTable ZoneTable(ZoneSettings* into) {
  const VerbText text = TextOf(into->verb);
  FlagTable table{.usage = "samphirebank " + text.words,
                  .summary = text.summary};
  if (into->verb != ZoneVerb::kList) {
    table.usage += " ZONE";
    table.positionals.push_back(
        {.name = "ZONE", .take = [into](const std::string& value) {
           into->zone = ZoneId(value);
           return IsName(value);
         }});
  }
  table.usage += " [flags]";
  Append(&table,
         {Required(AddressesFlag(
              "server", "control address of a coordinator, tried in turn",
              &into->servers)),
          SwitchFlag("json", "print JSON instead of text", &into->json),
          MillisecondsFlag("timeout-ms", "how long to wait for an answer",
                           {.low = 100, .high = 600'000}, &into->timeout)});
  return table;
}

}  // namespace internal

Parsed<ZoneSettings> ParseZone(ZoneVerb verb, const Arguments& arguments,
                               const Environment& environment) {
  return internal::ParseTable<ZoneSettings>(internal::ZoneTable,
                                            ZoneSettings{.verb = verb},
                                            arguments, environment, nullptr);
}

std::string ZoneHelp(ZoneVerb verb) {
  return internal::HelpOf(internal::ZoneTable, ZoneSettings{.verb = verb});
}

}  // namespace samphirebank::settings
