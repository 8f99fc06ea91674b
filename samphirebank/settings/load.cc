#include "samphirebank/settings/internal/flags.h"

namespace samphirebank::settings {
namespace internal {

FlagTable LoadTable(LoadSettings* into) {
  FlagTable table{
      .usage = "samphirebank load [flags]",
      .summary =
          "Sends requests of several organisations and prints what each "
          "of them received."};
  Append(&table,
         {Required(AddressesFlag("router", "caller address of a router",
                                 &into->routers)),
          Required(TextFlag("organisations-file",
                            "JSON file with each organisation's key and mix",
                            &into->organisations_file)),
          NumberFlag("requests", "requests to send in all",
                     {.low = 1, .high = 10'000'000}, &into->requests),
          MillisecondsFlag("length-ms", "longest time to go on sending",
                           {.low = 1, .high = 86'400'000}, &into->length),
          MillisecondsFlag("patience-ms", "longest wait for an answer",
                           {.low = 1, .high = 600'000}, &into->patience),
          NumberFlag("seed", "seed of the mix", {}, &into->seed),
          SwitchFlag("json", "print JSON instead of a table", &into->json)});
  return table;
}

}  // namespace internal

Parsed<LoadSettings> ParseLoad(const Arguments& arguments,
                               const Environment& environment) {
  return internal::ParseTable<LoadSettings>(internal::LoadTable, {}, arguments,
                                            environment, nullptr);
}

std::string LoadHelp() {
  return internal::HelpOf<LoadSettings>(internal::LoadTable);
}

}  // namespace samphirebank::settings
