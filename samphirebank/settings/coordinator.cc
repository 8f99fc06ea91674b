#include "samphirebank/settings/internal/flags.h"

namespace samphirebank::settings {
namespace internal {
namespace {

constexpr uint64_t kMostLosses = 3;  // that is, 7 voters

}  // namespace

FlagTable CoordinatorTable(CoordinatorSettings* into) {
  FlagTable table{.usage = "samphirebank coordinator [flags]",
                  .summary =
                      "Runs a control instance that keeps the route table and "
                      "the directory of targets."};
  Append(&table, IdentityFlags(&into->identity));
  Append(&table,
         {ListenFlag("control-address", "where operators and targets call",
                     &into->control_address),
          PortFlag("peer-port",
                   "the port for other instances, UDP and TCP; the same on all",
                   &into->peer_port),
          PortFlag("metrics-port", "the port for metrics", &into->metrics_port),
          Required(AddressesFlag("seed", "control address of a coordinator",
                                 &into->seeds)),
          Required(TextFlag("data-folder", "folder of the durable state",
                            &into->data_folder)),
          Flag{.name = "first-start",
               .argument = "BOOL",
               .help = "whether the whole fleet starts for the first time; the "
                       "seeds found its log then",
               .allowed = "true or false",
               .required = true,
               .take =
                   [into](const std::string& value) {
                     into->first_start = value == "true";
                     return value == "true" || value == "false";
                   }},
          NumberFlag("losses-tolerated",
                     "coordinators that may be lost at once; twice as many and "
                     "one vote",
                     {.high = kMostLosses}, &into->losses_tolerated),
          ZoneRegionFlag(&into->zones),
          DecimalFlag("cold-overrun",
                      "requests to a cold target in a second, in multiples of "
                      "the rate that its service states",
                      {.low = 0, .high = 1000}, &into->cold_overrun),
          DecimalFlag("cold-slack",
                      "requests to a cold target in a second besides",
                      {.low = 0, .high = 1'000'000}, &into->cold_slack),
          FleetKeyFlag(&into->fleet_key), LogFileFlag(&into->log_file)});
  return table;
}

}  // namespace internal

namespace {

void CheckCoordinator(const CoordinatorSettings& settings, Findings* findings) {
  internal::CheckZones(settings.zones, findings);
}

}  // namespace

Parsed<CoordinatorSettings> ParseCoordinator(const Arguments& arguments,
                                             const Environment& environment) {
  return internal::ParseTable<CoordinatorSettings>(
      internal::CoordinatorTable, {}, arguments, environment, CheckCoordinator);
}

std::string CoordinatorHelp() {
  return internal::HelpOf<CoordinatorSettings>(internal::CoordinatorTable);
}

}  // namespace samphirebank::settings
