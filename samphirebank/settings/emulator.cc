#include "samphirebank/settings/internal/flags.h"

namespace samphirebank::settings {
namespace internal {
namespace {

constexpr std::string_view kOnceEnding = ":once";
constexpr uint64_t kMaxFaultBytes = 1 << 30;
constexpr uint64_t kMaxFaultDelayMs = 600'000;

// FaultName is how a fault is written, and whether "=N" follows.
struct FaultName {
  std::string_view name;
  Fault fault;
  bool number;
};

constexpr FaultName kFaultNames[] = {
    {"refuse", Fault::kRefuse, false},  {"cut", Fault::kCut, true},
    {"silence", Fault::kSilence, true}, {"hang", Fault::kHang, false},
    {"delay", Fault::kDelay, true},     {"wrong-id", Fault::kWrongId, false}};

bool TakeFault(const std::string& value, EmulatorSettings* into) {
  const size_t equals = value.find('=');
  const std::string name = value.substr(0, equals);
  for (const FaultName& known : kFaultNames) {
    if (name != known.name) continue;
    into->fault = known.fault;
    if (known.number != (equals != std::string::npos)) return false;
    if (!known.number) return true;
    const uint64_t high =
        known.fault == Fault::kDelay ? kMaxFaultDelayMs : kMaxFaultBytes;
    const std::optional<uint64_t> number =
        ParseNumber(value.substr(equals + 1), {.high = high});
    if (!number) return false;
    into->fault_bytes = static_cast<uint32_t>(*number);
    into->fault_delay = std::chrono::milliseconds(*number);
    return true;
  }
  return false;
}

bool TakeService(std::string value, std::vector<EmulatedService>* into) {
  const bool once = value.ends_with(kOnceEnding);
  if (once) value.resize(value.size() - kOnceEnding.size());
  into->push_back(
      {.service = ServiceId(value), .model = false, .repeatable = !once});
  return IsName(value);
}

std::vector<Flag> ServiceFlags(EmulatorSettings* into) {
  return {Flag{.name = "model",
               .argument = "NAME",
               .help = "a model that the targets serve",
               .allowed = kNameAllowed,
               .repeated = true,
               .take =
                   [into](const std::string& value) {
                     into->services.push_back({.service = ServiceId(value)});
                     return IsName(value);
                   }},
          Flag{.name = "service",
               .argument = "NAME[:once]",
               .help = "a plain service that the targets serve; ':once' when "
                       "its calls may not be repeated",
               .allowed = kNameAllowed,
               .repeated = true,
               .take = [into](const std::string& value) {
                 return TakeService(value, &into->services);
               }}};
}

}  // namespace

FlagTable EmulatorTable(EmulatorSettings* into) {
  FlagTable table{.usage = "samphirebank emulator [flags]",
                  .summary =
                      "Runs stand-in targets for demonstrations and "
                      "tests."};
  Append(&table,
         {IpFlag("address", "the IP number that the targets listen on",
                 &into->address),
          NumberFlag("count", "targets in this process",
                     {.low = 1, .high = 1000}, &into->count),
          TextFlag("id-prefix", "targets are called PREFIX-1, PREFIX-2, ...",
                   &into->id_prefix),
          Required(NameFlag("region", "the targets' region", &into->region)),
          Required(NameFlag("availability-zone", "their availability zone",
                            &into->zone)),
          AddressesFlag("router", "admin address of a router to announce to",
                        &into->routers)});
  Append(&table, ServiceFlags(into));
  Append(
      &table,
      {NumberFlag("slots", "requests that run at once on one target",
                  {.low = 1, .high = 10'000}, &into->slots),
       NumberFlag("tokens-per-second",
                  "tokens a second for each request; 0: all at once",
                  {.low = 0, .high = 1'000'000}, &into->tokens_per_second),
       NumberFlag("seed", "seed of the answers' lengths", {}, &into->seed),
       SwitchFlag("checks-fencing", "refuse orders with a stale fencing number",
                  &into->checks_fencing),
       SwitchFlag("can-resume", "continue a stream after a lost connection",
                  &into->can_resume),
       MillisecondsFlag("renew-ms",
                        "how often targets renew their announcement",
                        {.low = 50, .high = 60'000}, &into->renew),
       TargetTokenFlag(&into->target_token),
       TextFlag("runs-file", "file that every run is recorded in",
                &into->runs_file),
       Flag{.name = "fault",
            .argument = "KIND[=N]",
            .help = "what the targets do wrong",
            .allowed = "refuse, cut=BYTES, silence=BYTES, hang, delay=MS or "
                       "wrong-id",
            .take =
                [into](const std::string& value) {
                  return TakeFault(value, into);
                }},
       NumberFlag("fault-every", "only every n-th request has the fault",
                  {.low = 1, .high = 1'000'000}, &into->fault_every),
       TextFlag("ports-file",
                "file that receives the targets' ports, as JSON, once they "
                "serve",
                &into->ports_file)});
  return table;
}

}  // namespace internal

namespace {

void CheckEmulator(const EmulatorSettings& settings, Findings* findings) {
  if (settings.services.empty()) {
    findings->Add("--model, --service", "", "at least one of them");
  }
}

}  // namespace

Parsed<EmulatorSettings> ParseEmulator(const Arguments& arguments,
                                       const Environment& environment) {
  return internal::ParseTable<EmulatorSettings>(
      internal::EmulatorTable, {}, arguments, environment, CheckEmulator);
}

std::string EmulatorHelp() {
  return internal::HelpOf<EmulatorSettings>(internal::EmulatorTable);
}

}  // namespace samphirebank::settings
