// File: flags.h
//
// The mechanism under the Parse functions: a table of flags, each of which
// stores its own value, read from arguments and environment variables.
//
// Example:
//
//   FlagTable table{.usage = "samphirebank router [flags]"};
//   table.flags.push_back(PortFlag("caller-port", "callers", &caller_port));
//   const bool help = ReadFlags(table, arguments, environment, &findings);
#ifndef SAMPHIREBANK_SETTINGS_INTERNAL_FLAGS_H_
#define SAMPHIREBANK_SETTINGS_INTERNAL_FLAGS_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "samphirebank/base/base.h"
#include "samphirebank/net/net.h"
#include "samphirebank/settings/settings.h"

namespace samphirebank::settings::internal {

// Flag is one flag with its environment variable.
struct Flag {
  std::string name = {};      // without dashes
  std::string argument = {};  // what follows it; empty for a switch
  std::string help = {};
  std::string allowed = {};        // what its value may be
  std::string default_value = {};  // for the help text; empty: none
  bool repeated = false;
  bool required = false;
  // secret: the flag names a file that holds the value; the value itself may
  // stand in the variable without the ending _FILE. It is never printed.
  bool secret = false;
  // take stores a value; false means that it is not allowed.
  std::function<bool(const std::string& value)> take = {};
};

// Positional is one argument without a flag.
struct Positional {
  std::string name = {};
  bool repeated = false;
  std::function<bool(const std::string& value)> take = {};
};

// FlagTable is all that one subcommand reads.
struct FlagTable {
  std::string usage = {};
  std::string summary = {};
  std::vector<Flag> flags = {};
  std::vector<Positional> positionals = {};  // each is required
};

// ReadFlags stores every value that is given and adds a finding for each one
// that is unknown, contradictory, missing or not allowed. Returns whether help
// was asked for; nothing else is checked then.
bool ReadFlags(const FlagTable& table, const Arguments& arguments,
               const Environment& environment, Findings* findings);

// HelpText describes a table.
std::string HelpText(const FlagTable& table);

// VariableName returns the environment variable of a flag.
std::string VariableName(std::string_view flag);

// Bounds are the smallest and the largest value allowed.
struct Bounds {
  uint64_t low = 0;
  uint64_t high = UINT64_MAX;
};

// ParseNumber reads a whole number within the bounds.
std::optional<uint64_t> ParseNumber(const std::string& text, Bounds bounds);

// ParseAddress reads "ip:port" with a port above 0.
std::optional<net::SocketAddress> ParseAddress(std::string_view text);

// IsName tells whether a text may name an instance, a target, an organisation:
// 1 to 64 letters, digits, '.', '_' and '-'.
bool IsName(std::string_view text);

// kNameAllowed and kAddressAllowed describe names and addresses in findings.
inline constexpr char kNameAllowed[] =
    "1 to 64 letters, digits, '.', '_' and '-'";
inline constexpr char kAddressAllowed[] = "IPv4 number:port";

// The Flag functions build flags of one kind; `into` receives the value and
// must outlive the flag.
Flag SwitchFlag(std::string name, std::string help, bool* into);
Flag TextFlag(std::string name, std::string help, std::string* into);
Flag PortFlag(const std::string& name, const std::string& help, uint16_t* into);
Flag IpFlag(std::string name, std::string help, std::string* into);
Flag AddressFlag(std::string name, std::string help,
                 std::optional<net::SocketAddress>* into);
Flag AddressesFlag(std::string name, std::string help,
                   std::vector<net::SocketAddress>* into);
Flag MillisecondsFlag(std::string name, std::string help, Bounds bounds,
                      Duration* into);
// Range bounds a decimal number.
struct Range {
  double low = 0.0;
  double high = 0.0;
};
Flag SecondsFlag(std::string name, std::string help, Range range,
                 Duration* into);
Flag DecimalFlag(std::string name, std::string help, Range range, double* into);
Flag SecretFlag(std::string name, std::string help, std::string allowed,
                std::function<bool(std::string_view)> valid, Secret* into);

// NameFlag stores a name in a strong identifier.
template <typename Id>
Flag NameFlag(const std::string& name, const std::string& help, Id* into) {
  return Flag{.name = name,
              .argument = "NAME",
              .help = help,
              .allowed = kNameAllowed,
              .take = [into](const std::string& value) {
                *into = Id(value);
                return IsName(value);
              }};
}

// NumberFlag stores a whole number.
template <typename Number>
Flag NumberFlag(const std::string& name, const std::string& help, Bounds bounds,
                Number* into) {
  return Flag{.name = name,
              .argument = "N",
              .help = help,
              .allowed = "a number from " + std::to_string(bounds.low) +
                         " to " + std::to_string(bounds.high),
              .default_value = std::to_string(*into),
              .take = [into, bounds](const std::string& value) {
                const std::optional<uint64_t> number =
                    ParseNumber(value, bounds);
                if (number) *into = static_cast<Number>(*number);
                return number.has_value();
              }};
}

// ListenFlag stores an address to listen on.
Flag ListenFlag(std::string name, std::string help, net::SocketAddress* into);

// Required marks a flag as required.
Flag Required(Flag flag);

// IdentityFlags are the flags of Identity.
std::vector<Flag> IdentityFlags(Identity* into);

// ZoneRegionFlag takes the regions of the availability zones; CheckZones adds a
// finding for each zone that is named twice.
Flag ZoneRegionFlag(std::vector<ZoneInRegion>* into);
void CheckZones(const std::vector<ZoneInRegion>& zones, Findings* findings);

// The secrets that several subcommands share.
Flag FleetKeyFlag(Secret* into);
Flag TargetTokenFlag(Secret* into);
Flag OperatorTokenFlag(Secret* into);

// LogFileFlag is --log-file; "-" is standard output.
Flag LogFileFlag(std::string* into);

// OutputFlags are --log-file and --ports-file.
std::vector<Flag> OutputFlags(std::string* log_file, std::string* ports_file);

// Append adds flags to a table.
void Append(FlagTable* table, std::vector<Flag> flags);

// The Table functions return the tables of the subcommands; ReadFlags over one
// stores in `into`.
FlagTable RouterTable(RouterSettings* into);
FlagTable ControlTable(ControlSettings* into);
FlagTable GatewayTable(GatewaySettings* into);
FlagTable CoordinatorTable(CoordinatorSettings* into);
FlagTable OperatorTable(OperatorSettings* into);
FlagTable ZoneTable(ZoneSettings* into);
FlagTable EmulatorTable(EmulatorSettings* into);
FlagTable LoadTable(LoadSettings* into);
FlagTable TimelineTable(TimelineSettings* into);

// ParseTable reads one subcommand's settings and then lets `check` look for
// values that contradict each other.
template <typename Settings>
Parsed<Settings> ParseTable(
    FlagTable (*table)(Settings*), Settings initial, const Arguments& arguments,
    const Environment& environment,
    const std::function<void(const Settings&, Findings*)>& check) {
  Parsed<Settings> parsed{.settings = std::move(initial)};
  parsed.help = ReadFlags(table(&parsed.settings), arguments, environment,
                          &parsed.findings);
  if (!parsed.help && check) check(parsed.settings, &parsed.findings);
  return parsed;
}

// HelpOf returns the help text of one subcommand.
template <typename Settings>
std::string HelpOf(FlagTable (*table)(Settings*), Settings settings = {}) {
  return HelpText(table(&settings));
}

}  // namespace samphirebank::settings::internal

#endif  // SAMPHIREBANK_SETTINGS_INTERNAL_FLAGS_H_
