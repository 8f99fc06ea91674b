#include <algorithm>
#include <set>

#include "samphirebank/settings/internal/flags.h"

namespace samphirebank::settings {
namespace internal {
namespace {

bool TakeMember(const std::string& value, std::vector<ControlMember>* members) {
  const size_t equals = value.find('=');
  if (equals == std::string::npos) return false;
  const std::string instance = value.substr(0, equals);
  const std::optional<net::SocketAddress> address =
      ParseAddress(value.substr(equals + 1));
  if (!IsName(instance) || !address) return false;
  members->push_back(
      {.instance = InstanceId(instance), .peer_address = *address});
  return true;
}

}  // namespace

FlagTable ControlTable(ControlSettings* into) {
  FlagTable table{.usage = "samphirebank control [flags]",
                  .summary =
                      "Runs a control instance, which holds contracts "
                      "and declarations."};
  Append(&table, IdentityFlags(&into->identity));
  Append(&table,
         {PortFlag("peer-port", "the port for other instances, UDP and TCP",
                   &into->peer_port),
          PortFlag("operator-port", "the port for operators",
                   &into->operator_port),
          Required(TextFlag("data-folder", "folder of the durable state",
                            &into->data_folder)),
          Flag{.name = "member",
               .argument = "ID=IP:PORT",
               .help = "a voter of the control group; name all of them",
               .allowed = "instance id=IP number:port",
               .repeated = true,
               .required = true,
               .take =
                   [into](const std::string& value) {
                     return TakeMember(value, &into->members);
                   }},
          SwitchFlag("bootstrap",
                     "start the log of a new fleet; refused when the data "
                     "folder holds one",
                     &into->bootstrap),
          FleetKeyFlag(&into->fleet_key),
          OperatorTokenFlag(&into->operator_token)});
  Append(&table, OutputFlags(&into->log_file, &into->ports_file));
  return table;
}

}  // namespace internal

namespace {

constexpr size_t kMaxMembers = 7;

void CheckControl(const ControlSettings& settings, Findings* findings) {
  std::set<InstanceId> ids;
  std::set<net::SocketAddress> addresses;
  for (const ControlMember& member : settings.members) {
    const bool fresh = ids.insert(member.instance).second;
    const bool fresh_address = addresses.insert(member.peer_address).second;
    if (!fresh || !fresh_address) {
      findings->Add("--member", member.instance.value,
                    "an id and an address that no other member has");
    }
  }
  if (settings.members.size() > kMaxMembers) {
    findings->Add("--member", std::to_string(settings.members.size()),
                  "at most 7 members");
  }
  if (settings.bootstrap && !ids.contains(settings.identity.instance)) {
    findings->Add("--bootstrap", "",
                  "only with a --member that has this --instance");
  }
  if (settings.peer_port != 0 && settings.peer_port == settings.operator_port) {
    findings->Add("--operator-port", std::to_string(settings.operator_port),
                  "another port than --peer-port");
  }
}

}  // namespace

Parsed<ControlSettings> ParseControl(const Arguments& arguments,
                                     const Environment& environment) {
  return internal::ParseTable<ControlSettings>(
      internal::ControlTable, {}, arguments, environment, CheckControl);
}

std::string ControlHelp() {
  return internal::HelpOf<ControlSettings>(internal::ControlTable);
}

}  // namespace samphirebank::settings
