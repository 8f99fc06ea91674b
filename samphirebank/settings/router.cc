#include "samphirebank/settings/internal/flags.h"

namespace samphirebank::settings {
namespace internal {

FlagTable RouterTable(RouterSettings* into) {
  FlagTable table{
      .usage = "samphirebank router [flags]",
      .summary = "Runs an entry instance between callers and targets."};
  Append(&table, IdentityFlags(&into->identity));
  Append(&table,
         {PortFlag("caller-port", "the port for callers", &into->caller_port),
          PortFlag("admin-port",
                   "the port for targets, metrics and the platform's balancer",
                   &into->admin_port),
          PortFlag("peer-port", "the port for other instances, UDP and TCP",
                   &into->peer_port),
          AddressFlag("peer-address",
                      "where others reach the peer port, if not at --address "
                      "and --peer-port",
                      &into->peer_address),
          Required(AddressesFlag(
              "control", "peer address of a control instance", &into->control)),
          FleetKeyFlag(&into->fleet_key), TargetTokenFlag(&into->target_token),
          OperatorTokenFlag(&into->operator_token),
          MillisecondsFlag("lease-ms",
                           "how long a configuration may be acted on without "
                           "hearing from the control group",
                           {.low = 500, .high = 4500}, &into->lease),
          MillisecondsFlag("poll-ms", "how often configuration is asked for",
                           {.low = 50, .high = 2000}, &into->poll),
          MillisecondsFlag("drain-ms",
                           "how long a shutdown waits for running requests",
                           {.low = 0, .high = 3'600'000}, &into->drain)});
  Append(&table, OutputFlags(&into->log_file, &into->ports_file));
  return table;
}

}  // namespace internal

namespace {

bool SamePort(uint16_t a, uint16_t b) { return a != 0 && a == b; }

void CheckRouter(const RouterSettings& settings, Findings* findings) {
  if (settings.poll * 2 >= settings.lease) {
    findings->Add("--poll-ms", "", "less than half of --lease-ms");
  }
  if (SamePort(settings.caller_port, settings.admin_port) ||
      SamePort(settings.caller_port, settings.peer_port) ||
      SamePort(settings.admin_port, settings.peer_port)) {
    findings->Add("--caller-port, --admin-port, --peer-port", "",
                  "three different ports");
  }
}

}  // namespace

Parsed<RouterSettings> ParseRouter(const Arguments& arguments,
                                   const Environment& environment) {
  return internal::ParseTable<RouterSettings>(
      internal::RouterTable, {}, arguments, environment, CheckRouter);
}

std::string RouterHelp() {
  return internal::HelpOf<RouterSettings>(internal::RouterTable);
}

}  // namespace samphirebank::settings
