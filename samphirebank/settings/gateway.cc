#include "samphirebank/settings/internal/flags.h"

namespace samphirebank::settings {
namespace internal {
FlagTable GatewayTable(GatewaySettings* into) {
  FlagTable table{.usage = "samphirebank gateway [flags]",
                  .summary =
                      "Runs an entry instance that forwards requests by the "
                      "route table."};
  Append(&table, IdentityFlags(&into->identity));
  Append(
      &table,
      {ListenFlag("caller-address", "where callers connect",
                  &into->caller_address),
       ListenFlag("ready-address", "where the balancer asks for readiness",
                  &into->ready_address),
       PortFlag("peer-port",
                "the port for other instances, UDP and TCP; the same on all",
                &into->peer_port),
       PortFlag("metrics-port", "the port for metrics", &into->metrics_port),
       Required(AddressesFlag("seed", "control address of a coordinator",
                              &into->seeds)),
       ZoneRegionFlag(&into->zones), FleetKeyFlag(&into->fleet_key),
       SecondsFlag("grace-s",
                   "how long a shutdown may take before the process is killed",
                   {.low = 1, .high = 3600}, &into->grace),
       SecondsFlag("repeat-window-s",
                   "the window in which repeated sends are counted",
                   {.low = 1, .high = 600}, &into->repeat_window),
       DecimalFlag("repeat-ratio",
                   "repeated sends allowed for each request of a service",
                   {.low = 0, .high = 1}, &into->repeat_ratio),
       DecimalFlag("repeat-allowance",
                   "repeated sends allowed besides, of the whole fleet",
                   {.low = 0, .high = 1'000'000}, &into->repeat_allowance),
       NumberFlag("memory-mb",
                  "the memory that the process may use, in MiB, if the machine "
                  "has as much; long requests are refused above a part of it, "
                  "0 for no bound",
                  {.low = 0, .high = 1'000'000}, &into->memory_mb),
       LogFileFlag(&into->log_file)});
  return table;
}

}  // namespace internal

namespace {

void CheckGateway(const GatewaySettings& settings, Findings* findings) {
  internal::CheckZones(settings.zones, findings);
  if (settings.caller_address == settings.ready_address) {
    findings->Add("--caller-address, --ready-address", "",
                  "two different addresses");
  }
}

}  // namespace

Parsed<GatewaySettings> ParseGateway(const Arguments& arguments,
                                     const Environment& environment) {
  return internal::ParseTable<GatewaySettings>(
      internal::GatewayTable, {}, arguments, environment, CheckGateway);
}

std::string GatewayHelp() {
  return internal::HelpOf<GatewaySettings>(internal::GatewayTable);
}

}  // namespace samphirebank::settings
