// File: settings.h
//
// The settings of each subcommand, read from flags and from environment
// variables. `--caller-port` is also SAMPHIREBANK_CALLER_PORT; a flag goes
// before its variable; a variable for a repeated flag holds values separated
// by commas. Secrets come from a file (`--fleet-key-file`) or from a variable
// (SAMPHIREBANK_FLEET_KEY), never from a flag.
//
// The Parse functions read nothing but their arguments and report all faults
// together.
//
// Example:
//
//   const Parsed<RouterSettings> parsed =
//       ParseRouter(arguments, ProcessEnvironment());
//   if (!parsed.findings.empty()) {
//     std::cerr << parsed.findings.ToText();
//     return kExitBadSettings;
//   }
//   return RunRouter(parsed.settings);
#ifndef SAMPHIREBANK_SETTINGS_SETTINGS_H_
#define SAMPHIREBANK_SETTINGS_SETTINGS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "samphirebank/base/base.h"
#include "samphirebank/net/net.h"

namespace samphirebank::settings {

// kExitBadSettings is the exit code of a process whose settings are refused.
inline constexpr int kExitBadSettings = 2;

// Secret is a text that is never printed.
struct Secret {
  std::string value = {};
};

// Environment is what settings are read from besides the arguments.
struct Environment {
  std::map<std::string, std::string> variables = {};
  // read_file returns a file's content, or nothing if it cannot be read.
  std::function<std::optional<std::string>(const std::string& path)> read_file =
      {};
};

// ProcessEnvironment returns this process's variables and its file system.
Environment ProcessEnvironment();

// Arguments are the words after the subcommand.
using Arguments = std::vector<std::string>;

// Parsed is the result of reading settings. `settings` may be used only when
// `findings` is empty and `help` is false.
template <typename Settings>
struct Parsed {
  Settings settings = {};
  Findings findings = {};
  bool help = false;  // --help was asked for
};

// Identity says which instance a process is, and where.
struct Identity {
  InstanceId instance = {};
  RegionId region = {};
  ZoneId zone = {};
  std::string address = "127.0.0.1";  // the IP number others reach it under
};

// RouterSettings are the settings of `samphirebank router`. A port of 0 lets
// the kernel choose.
struct RouterSettings {
  Identity identity = {};
  uint16_t caller_port = 8080;
  uint16_t admin_port = 8081;
  uint16_t peer_port = 8082;
  // Where others reach the peer port; nothing: identity.address and peer_port.
  std::optional<net::SocketAddress> peer_address = {};
  std::vector<net::SocketAddress> control = {};  // peer addresses
  Secret fleet_key = {};                         // 64 hexadecimal digits
  Secret target_token = {};
  Secret operator_token = {};
  Duration lease = std::chrono::milliseconds(3000);
  Duration poll = std::chrono::milliseconds(500);
  Duration drain = std::chrono::milliseconds(30'000);
  std::string log_file = {};    // empty: standard error
  std::string ports_file = {};  // empty: none is written
};

// ControlMember is one voter of the control group.
struct ControlMember {
  InstanceId instance = {};
  net::SocketAddress peer_address = {};

  friend bool operator==(const ControlMember&, const ControlMember&) = default;
};

// ControlSettings are the settings of `samphirebank control`.
struct ControlSettings {
  Identity identity = {};
  uint16_t peer_port = 8082;
  uint16_t operator_port = 8083;
  std::string data_folder = {};
  std::vector<ControlMember> members = {};  // this instance among them
  bool bootstrap = false;                   // start a new fleet's log
  Secret fleet_key = {};
  Secret operator_token = {};
  std::string log_file = {};
  std::string ports_file = {};
};

// ZoneInRegion says which region an availability zone lies in.
struct ZoneInRegion {
  ZoneId zone = {};
  RegionId region = {};

  friend bool operator==(const ZoneInRegion&, const ZoneInRegion&) = default;
};

// GatewaySettings are the settings of `samphirebank gateway`.
struct GatewaySettings {
  Identity identity = {};
  net::SocketAddress caller_address = {};  // callers connect here
  net::SocketAddress ready_address = {};   // the balancer asks here
  uint16_t peer_port = 8082;               // the same on all instances
  uint16_t metrics_port = 8081;
  std::vector<net::SocketAddress> seeds = {};  // some coordinators
  std::vector<ZoneInRegion> zones = {};
  Secret fleet_key = {};
  Duration grace = std::chrono::milliseconds(8000);  // a shutdown's length
  // In any window, at most so many for each request of a service, and an
  // allowance of the whole fleet, arrive at targets again.
  Duration repeat_window = std::chrono::milliseconds(10'000);
  double repeat_ratio = 0.2;
  double repeat_allowance = 0.0;
  // What the process may use, in MiB, if the machine has as much; bounds what
  // it holds of requests. 0: no bound.
  uint32_t memory_mb = 256;
  std::string log_file = {};
};

// CoordinatorSettings are the settings of `samphirebank coordinator`.
struct CoordinatorSettings {
  Identity identity = {};
  net::SocketAddress control_address = {};  // operators and targets call here
  uint16_t peer_port = 8082;
  uint16_t metrics_port = 8081;
  std::vector<net::SocketAddress> seeds = {};  // some control addresses
  std::string data_folder = {};
  bool first_start = false;       // the whole fleet starts for the first time
  uint32_t losses_tolerated = 1;  // instances that may be lost at once
  std::vector<ZoneInRegion> zones = {};  // all of the fleet; empty: not known
  // In any second a cold target receives at most the rate that the route table
  // states, times the overrun, and the slack.
  double cold_overrun = 1.0;
  double cold_slack = 0.0;
  Secret fleet_key = {};
  std::string log_file = {};
};

// OperatorVerb is what an operator command asks for.
enum class OperatorVerb : uint8_t {
  kContractPut,
  kContractGet,
  kContractList,
  kContractWithdraw,
  kTargetList,
  kTargetLeave,
  kTargetStop,
  kTargetJoin,
  kStatus,
  kControlReplace,
};

// OperatorSettings are the settings of the operator commands.
struct OperatorSettings {
  OperatorVerb verb = OperatorVerb::kStatus;
  std::vector<net::SocketAddress> servers =
      {};  // operator addresses, tried in turn
  Secret operator_token = {};
  std::string subject =
      {};  // a contract file, an organisation, a target, a member
  ChangeId change_id = {};  // empty: a fresh one
  std::string author = {};  // whom others are told of
  std::optional<Revision> if_match = {};
  bool wait_in_force = false;
  bool json = false;
  Duration timeout = std::chrono::milliseconds(10'000);
};

// ZoneVerb is what a zone command asks for.
enum class ZoneVerb : uint8_t { kEvacuate, kRestore, kList };

// ZoneSettings are the settings of `samphirebank zone`.
struct ZoneSettings {
  ZoneVerb verb = ZoneVerb::kList;
  ZoneId zone = {};                              // not of kList
  std::vector<net::SocketAddress> servers = {};  // control addresses
  bool json = false;
  Duration timeout = std::chrono::milliseconds(6000);
};

// Fault is what a stand-in target does wrong.
enum class Fault : uint8_t {
  kNone,
  kRefuse,   // answers 503 and states that it did not run
  kCut,      // drops the connection after `fault_bytes` of the answer
  kSilence,  // sends nothing more after `fault_bytes` of the answer
  kHang,     // reads the request and never answers
  kDelay,    // answers after `fault_delay`
  kWrongId,  // answers under another request's id
};

// EmulatedService is one model or plain service of a stand-in target.
struct EmulatedService {
  ServiceId service = {};
  bool model = true;
  bool repeatable = true;
};

// EmulatorSettings are the settings of `samphirebank emulator`.
struct EmulatorSettings {
  std::string address = "127.0.0.1";
  uint32_t count = 1;  // targets in this process
  std::string id_prefix = "target";
  RegionId region = {};
  ZoneId zone = {};
  std::vector<net::SocketAddress> routers = {};  // admin addresses
  std::vector<EmulatedService> services = {};
  uint32_t slots = 8;               // requests running at once, per target
  uint32_t tokens_per_second = 50;  // per running request; 0: at once
  uint64_t seed = 1;
  bool checks_fencing = false;
  bool can_resume = false;
  Duration renew = std::chrono::milliseconds(500);
  Secret target_token = {};
  std::string runs_file = {};  // empty: runs are not recorded
  Fault fault = Fault::kNone;
  uint32_t fault_bytes = 0;
  Duration fault_delay = Duration::zero();
  uint32_t fault_every = 1;  // every n-th request has the fault
  std::string ports_file = {};
};

// LoadSettings are the settings of `samphirebank load`.
struct LoadSettings {
  std::vector<net::SocketAddress> routers =
      {};                               // caller addresses, used in turn
  std::string organisations_file = {};  // JSON; it holds the API keys
  uint64_t requests = 100;              // over all organisations
  Duration length = std::chrono::seconds(30);
  Duration patience = std::chrono::seconds(60);  // longest wait for an answer
  uint64_t seed = 1;
  bool json = false;
};

// TimelineSettings are the settings of `samphirebank timeline`. An empty
// filter lets everything pass.
struct TimelineSettings {
  std::vector<std::string> files = {};
  std::string request = {};
  std::string organisation = {};
  std::string target = {};
  std::string instance = {};
  std::optional<uint32_t> event = {};
  std::optional<int64_t> from_ms = {};  // wall time, milliseconds since 1970
  std::optional<int64_t> to_ms = {};
  bool json = false;
};

// The Parse functions read one subcommand's settings.
Parsed<RouterSettings> ParseRouter(const Arguments& arguments,
                                   const Environment& environment);
Parsed<ControlSettings> ParseControl(const Arguments& arguments,
                                     const Environment& environment);
Parsed<GatewaySettings> ParseGateway(const Arguments& arguments,
                                     const Environment& environment);
Parsed<CoordinatorSettings> ParseCoordinator(const Arguments& arguments,
                                             const Environment& environment);
Parsed<OperatorSettings> ParseOperator(OperatorVerb verb,
                                       const Arguments& arguments,
                                       const Environment& environment);
Parsed<ZoneSettings> ParseZone(ZoneVerb verb, const Arguments& arguments,
                               const Environment& environment);
Parsed<EmulatorSettings> ParseEmulator(const Arguments& arguments,
                                       const Environment& environment);
Parsed<LoadSettings> ParseLoad(const Arguments& arguments,
                               const Environment& environment);
Parsed<TimelineSettings> ParseTimeline(const Arguments& arguments,
                                       const Environment& environment);

// The Help functions return the text of `--help`: every flag with its
// variable, default and allowed values.
std::string RouterHelp();
std::string ControlHelp();
std::string GatewayHelp();
std::string CoordinatorHelp();
std::string OperatorHelp(OperatorVerb verb);
std::string ZoneHelp(ZoneVerb verb);
std::string EmulatorHelp();
std::string LoadHelp();
std::string TimelineHelp();

// NamedPort is a port that a process chose.
struct NamedPort {
  std::string name;  // "caller", "admin", "peer" or "operator"
  uint16_t port = 0;
};

// WritePortsFile writes `{"name": port, ...}` to `path`, which never holds a
// half-written text. Does nothing when `path` is empty; throws
// std::runtime_error when it cannot be written.
void WritePortsFile(const std::string& path,
                    const std::vector<NamedPort>& ports);

}  // namespace samphirebank::settings

#endif  // SAMPHIREBANK_SETTINGS_SETTINGS_H_
