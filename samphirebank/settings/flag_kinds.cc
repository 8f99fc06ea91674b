#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <set>
#include <string>
#include <utility>

#include "samphirebank/settings/internal/flags.h"

namespace samphirebank::settings::internal {
namespace {

constexpr size_t kMaxNameLength = 64;
constexpr size_t kFleetKeyDigits = 64;
constexpr size_t kMinTokenLength = 16;
constexpr uint64_t kMaxPort = 65'535;

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

bool IsHexDigit(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') ||
         (c >= 'A' && c <= 'F');
}

// IsReachableIp tells whether others can reach this IPv4 number.
bool IsReachableIp(const std::string& text) {
  in_addr address{};
  return inet_pton(AF_INET, text.c_str(), &address) == 1 &&
         address.s_addr != INADDR_ANY;
}

bool IsFleetKey(std::string_view text) {
  return text.size() == kFleetKeyDigits &&
         std::all_of(text.begin(), text.end(), IsHexDigit);
}

bool IsToken(std::string_view text) {
  return text.size() >= kMinTokenLength &&
         std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c <= '~'; });
}

Flag TokenFlag(std::string name, std::string help, Secret* into) {
  return SecretFlag(std::move(name), std::move(help),
                    "at least 16 printable characters without spaces", IsToken,
                    into);
}

}  // namespace

std::optional<uint64_t> ParseNumber(const std::string& text, Bounds bounds) {
  uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || rest != end) return std::nullopt;
  if (number < bounds.low || number > bounds.high) return std::nullopt;
  return number;
}

std::optional<double> ParseDecimal(const std::string& text, Range range) {
  double number = 0.0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || rest != end) return std::nullopt;
  if (!(number >= range.low && number <= range.high)) return std::nullopt;
  return number;
}

// DecimalText writes a number without needless digits.
std::string DecimalText(double number) {
  char text[32];
  const auto written = std::to_chars(text, text + sizeof(text), number);
  return {text, written.ptr};
}

std::string RangeText(Range range) {
  return "from " + DecimalText(range.low) + " to " + DecimalText(range.high);
}

std::optional<net::SocketAddress> ParseAddress(std::string_view text) {
  std::optional<net::SocketAddress> address = net::ParseSocketAddress(text);
  if (!address || address->port == 0) return std::nullopt;
  return address;
}

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), IsNameCharacter);
}

Flag SwitchFlag(std::string name, std::string help, bool* into) {
  return Flag{.name = std::move(name),
              .help = std::move(help),
              .allowed = "true or false",
              .take = [into](const std::string& value) {
                *into = value == "true";
                return value == "true" || value == "false";
              }};
}

Flag TextFlag(std::string name, std::string help, std::string* into) {
  return Flag{.name = std::move(name),
              .argument = "TEXT",
              .help = std::move(help),
              .allowed = "a text that is not empty",
              .default_value = *into,
              .take = [into](const std::string& value) {
                *into = value;
                return !value.empty();
              }};
}

Flag PortFlag(const std::string& name, const std::string& help,
              uint16_t* into) {
  Flag flag = NumberFlag(name, help, {.high = kMaxPort}, into);
  flag.argument = "PORT";
  flag.allowed += " (0: the kernel chooses)";
  return flag;
}

Flag IpFlag(std::string name, std::string help, std::string* into) {
  return Flag{.name = std::move(name),
              .argument = "IP",
              .help = std::move(help),
              .allowed = "an IPv4 number that others can reach",
              .default_value = *into,
              .take = [into](const std::string& value) {
                *into = value;
                return IsReachableIp(value);
              }};
}

Flag AddressFlag(std::string name, std::string help,
                 std::optional<net::SocketAddress>* into) {
  return Flag{.name = std::move(name),
              .argument = "IP:PORT",
              .help = std::move(help),
              .allowed = kAddressAllowed,
              .take = [into](const std::string& value) {
                *into = ParseAddress(value);
                return into->has_value();
              }};
}

Flag AddressesFlag(std::string name, std::string help,
                   std::vector<net::SocketAddress>* into) {
  return Flag{.name = std::move(name),
              .argument = "IP:PORT",
              .help = std::move(help),
              .allowed = kAddressAllowed,
              .repeated = true,
              .take = [into](const std::string& value) {
                const std::optional<net::SocketAddress> address =
                    ParseAddress(value);
                if (address) into->push_back(*address);
                return address.has_value();
              }};
}

Flag ZoneRegionFlag(std::vector<ZoneInRegion>* into) {
  return Flag{
      .name = "zone-region",
      .argument = "ZONE=REGION",
      .help = "the region of an availability zone; name all zones",
      .allowed = "availability zone=region",
      .repeated = true,
      .take = [into](const std::string& value) {
        const size_t equals = value.find('=');
        if (equals == std::string::npos) return false;
        const std::string zone = value.substr(0, equals);
        const std::string region = value.substr(equals + 1);
        if (!IsName(zone) || !IsName(region)) return false;
        into->push_back({.zone = ZoneId(zone), .region = RegionId(region)});
        return true;
      }};
}

void CheckZones(const std::vector<ZoneInRegion>& zones, Findings* findings) {
  std::set<ZoneId> known;
  for (const ZoneInRegion& item : zones) {
    if (known.insert(item.zone).second) continue;
    findings->Add("--zone-region", item.zone.value,
                  "each availability zone once");
  }
}

Flag MillisecondsFlag(std::string name, std::string help, Bounds bounds,
                      Duration* into) {
  using std::chrono::milliseconds;
  const auto initial = std::chrono::duration_cast<milliseconds>(*into);
  return Flag{.name = std::move(name),
              .argument = "MS",
              .help = std::move(help),
              .allowed = "milliseconds from " + std::to_string(bounds.low) +
                         " to " + std::to_string(bounds.high),
              .default_value = std::to_string(initial.count()),
              .take = [into, bounds](const std::string& value) {
                const std::optional<uint64_t> number =
                    ParseNumber(value, bounds);
                if (number) *into = milliseconds(*number);
                return number.has_value();
              }};
}

Flag SecondsFlag(std::string name, std::string help, Range range,
                 Duration* into) {
  using Seconds = std::chrono::duration<double>;
  return Flag{.name = std::move(name),
              .argument = "S",
              .help = std::move(help),
              .allowed = "seconds " + RangeText(range),
              .default_value = DecimalText(Seconds(*into).count()),
              .take = [into, range](const std::string& value) {
                const std::optional<double> number = ParseDecimal(value, range);
                if (!number) return false;
                *into = std::chrono::duration_cast<Duration>(Seconds(*number));
                return true;
              }};
}

Flag DecimalFlag(std::string name, std::string help, Range range,
                 double* into) {
  return Flag{.name = std::move(name),
              .argument = "X",
              .help = std::move(help),
              .allowed = "a number " + RangeText(range),
              .default_value = DecimalText(*into),
              .take = [into, range](const std::string& value) {
                const std::optional<double> number = ParseDecimal(value, range);
                if (number) *into = *number;
                return number.has_value();
              }};
}

Flag SecretFlag(std::string name, std::string help, std::string allowed,
                std::function<bool(std::string_view)> valid, Secret* into) {
  return Flag{
      .name = std::move(name),
      .argument = "FILE",
      .help = std::move(help),
      .allowed = std::move(allowed),
      .secret = true,
      .take = [into, valid = std::move(valid)](const std::string& value) {
        into->value = value;
        return valid(value);
      }};
}

Flag Required(Flag flag) {
  flag.required = true;
  flag.default_value.clear();
  return flag;
}

std::vector<Flag> IdentityFlags(Identity* into) {
  return {
      Required(NameFlag("instance", "this instance's id, unique in the fleet",
                        &into->instance)),
      Required(NameFlag("region", "the region it runs in", &into->region)),
      Required(NameFlag("availability-zone", "the availability zone it runs in",
                        &into->zone)),
      IpFlag("address", "the IP number it listens on and others reach it under",
             &into->address),
  };
}

Flag FleetKeyFlag(Secret* into) {
  return Required(SecretFlag("fleet-key-file",
                             "file with the key that all instances share",
                             "64 hexadecimal digits", IsFleetKey, into));
}

Flag TargetTokenFlag(Secret* into) {
  return Required(TokenFlag("target-token-file",
                            "file with the token that targets present", into));
}

Flag OperatorTokenFlag(Secret* into) {
  return Required(TokenFlag("operator-token-file",
                            "file with the token that operators present",
                            into));
}

Flag ListenFlag(std::string name, std::string help, net::SocketAddress* into) {
  return Flag{.name = std::move(name),
              .argument = "IP:PORT",
              .help = std::move(help),
              .allowed = kAddressAllowed,
              .required = true,
              .take = [into](const std::string& value) {
                const auto address = ParseAddress(value);
                if (address) *into = *address;
                return address.has_value();
              }};
}

Flag LogFileFlag(std::string* into) {
  Flag log =
      TextFlag("log-file",
               "file that events are appended to; - is standard output", into);
  log.default_value = "standard error";
  return log;
}

std::vector<Flag> OutputFlags(std::string* log_file, std::string* ports_file) {
  return {LogFileFlag(log_file),
          TextFlag("ports-file",
                   "file that receives the ports in use, as JSON, once the "
                   "process serves",
                   ports_file)};
}

void Append(FlagTable* table, std::vector<Flag> flags) {
  for (Flag& flag : flags) table->flags.push_back(std::move(flag));
}

}  // namespace samphirebank::settings::internal
