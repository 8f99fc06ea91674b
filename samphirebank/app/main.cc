// The one binary: chooses the subcommand, reads its settings, and runs it.
#include <sodium.h>

#include <algorithm>
#include <cstddef>
#include <functional>
#include <iostream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "platform/platform.h"
#include "samphirebank/contracts/contracts.h"
#include "samphirebank/control/control.h"
#include "samphirebank/coordinator/coordinator.h"
#include "samphirebank/emulator/emulator.h"
#include "samphirebank/events/events.h"
#include "samphirebank/gateway/gateway.h"
#include "samphirebank/operators/operators.h"
#include "samphirebank/router/router.h"
#include "samphirebank/settings/settings.h"
#include "samphirebank/timeline/timeline.h"

namespace samphirebank {
namespace {

using settings::Arguments;
using settings::Environment;
using settings::Parsed;

constexpr int kExitFailure = 1;

// Subcommand is one entry of the table: its words, and what it does with the
// words that follow.
struct Subcommand {
  std::vector<std::string> words;
  std::string summary;
  std::function<int(const Arguments&, const Environment&)> run;
};

// RunWith reads settings and runs, or explains why not.
template <typename Settings>
int RunWith(const Parsed<Settings>& parsed, const std::string& help,
            const std::function<int(const Settings&)>& run) {
  if (parsed.help) {
    std::cout << help;
    return 0;
  }
  if (!parsed.findings.empty()) {
    std::cerr << parsed.findings.ToText();
    return settings::kExitBadSettings;
  }
  return run(parsed.settings);
}

int Router(const Arguments& arguments, const Environment& environment) {
  return RunWith<settings::RouterSettings>(
      settings::ParseRouter(arguments, environment), settings::RouterHelp(),
      router::RunRouter);
}

int Control(const Arguments& arguments, const Environment& environment) {
  return RunWith<settings::ControlSettings>(
      settings::ParseControl(arguments, environment), settings::ControlHelp(),
      control::RunControl);
}

int Gateway(const Arguments& arguments, const Environment& environment) {
  const dialect::Dialect dialect = platform::MakeDialect();
  return RunWith<settings::GatewaySettings>(
      settings::ParseGateway(arguments, environment), settings::GatewayHelp(),
      [&](const settings::GatewaySettings& settings) {
        return gateway::RunGateway(settings, dialect);
      });
}

int Coordinator(const Arguments& arguments, const Environment& environment) {
  const dialect::Dialect dialect = platform::MakeDialect();
  return RunWith<settings::CoordinatorSettings>(
      settings::ParseCoordinator(arguments, environment),
      settings::CoordinatorHelp(),
      [&](const settings::CoordinatorSettings& settings) {
        return coordinator::RunCoordinator(settings, dialect);
      });
}

Subcommand OperatorCommand(std::vector<std::string> words, std::string summary,
                           settings::OperatorVerb verb) {
  return {.words = std::move(words),
          .summary = std::move(summary),
          .run = [verb](const Arguments& arguments,
                        const Environment& environment) {
            return RunWith<settings::OperatorSettings>(
                settings::ParseOperator(verb, arguments, environment),
                settings::OperatorHelp(verb), operators::RunOperator);
          }};
}

void AddOperatorCommands(std::vector<Subcommand>* table) {
  using enum settings::OperatorVerb;
  for (Subcommand& command : std::vector<Subcommand>{
           OperatorCommand({"contract", "put"}, "write a contract",
                           kContractPut),
           OperatorCommand({"contract", "get"}, "show a contract",
                           kContractGet),
           OperatorCommand({"contract", "list"}, "list contracts",
                           kContractList),
           OperatorCommand({"contract", "withdraw"}, "end a contract",
                           kContractWithdraw),
           OperatorCommand({"target", "list"}, "list targets", kTargetList),
           OperatorCommand({"target", "leave"}, "give a target no new work",
                           kTargetLeave),
           OperatorCommand({"target", "stop"}, "stop a target", kTargetStop),
           OperatorCommand({"target", "join"}, "let a target work again",
                           kTargetJoin),
           OperatorCommand({"status"}, "show every instance", kStatus),
           OperatorCommand({"control", "replace"},
                           "replace a member of the control group",
                           kControlReplace)}) {
    table->push_back(std::move(command));
  }
}

Subcommand ZoneCommand(const std::string& word, std::string summary,
                       settings::ZoneVerb verb) {
  return {.words = {"zone", word},
          .summary = std::move(summary),
          .run = [verb](const Arguments& arguments,
                        const Environment& environment) {
            const dialect::Dialect dialect = platform::MakeDialect();
            return RunWith<settings::ZoneSettings>(
                settings::ParseZone(verb, arguments, environment),
                settings::ZoneHelp(verb),
                [&](const settings::ZoneSettings& settings) {
                  return operators::RunZone(settings, dialect);
                });
          }};
}

void AddZoneCommands(std::vector<Subcommand>* table) {
  using enum settings::ZoneVerb;
  table->push_back(ZoneCommand(
      "evacuate", "send nothing more to the targets of a zone", kEvacuate));
  table->push_back(ZoneCommand("restore", "withdraw an evacuation", kRestore));
  table->push_back(ZoneCommand("list", "list the evacuated zones", kList));
}

int Emulator(const Arguments& arguments, const Environment& environment) {
  return RunWith<settings::EmulatorSettings>(
      settings::ParseEmulator(arguments, environment), settings::EmulatorHelp(),
      emulator::RunEmulator);
}

int Load(const Arguments& arguments, const Environment& environment) {
  return RunWith<settings::LoadSettings>(
      settings::ParseLoad(arguments, environment), settings::LoadHelp(),
      emulator::RunLoad);
}

int Timeline(const Arguments& arguments, const Environment& environment) {
  return RunWith<settings::TimelineSettings>(
      settings::ParseTimeline(arguments, environment), settings::TimelineHelp(),
      timeline::RunTimeline);
}

int PrintEvents(const Arguments& arguments, const Environment&) {
  if (!arguments.empty()) {
    std::cerr << "samphirebank events takes no arguments\n";
    return settings::kExitBadSettings;
  }
  std::cout << events::CataloguePage();
  return 0;
}

// PrintKeyHash reads an API key from standard input, so that it stands in no
// list of processes.
int PrintKeyHash(const Arguments& arguments, const Environment&) {
  std::string key;
  if (!arguments.empty() || !std::getline(std::cin, key) || key.empty()) {
    std::cerr << "samphirebank key-hash reads one API key from its input\n";
    return settings::kExitBadSettings;
  }
  std::cout << contracts::KeyHash(key) << "\n";
  return 0;
}

std::vector<Subcommand> Subcommands() {
  std::vector<Subcommand> table;
  AddOperatorCommands(&table);
  AddZoneCommands(&table);
  table.push_back({{"router"}, "run an entry instance", Router});
  table.push_back({{"control"}, "run a control instance", Control});
  table.push_back(
      {{"gateway"}, "run an entry instance that forwards by routes", Gateway});
  table.push_back({{"coordinator"},
                   "run a control instance that keeps the route table",
                   Coordinator});
  table.push_back({{"timeline"}, "merge the logs of processes", Timeline});
  table.push_back({{"emulator"}, "run stand-in targets", Emulator});
  table.push_back({{"load"}, "send requests and count answers", Load});
  table.push_back(
      {{"key-hash"}, "print what a contract stores of a key", PrintKeyHash});
  table.push_back({{"events"}, "print the catalogue of events", PrintEvents});
  return table;
}

bool StartsWith(const Arguments& words, const std::vector<std::string>& with) {
  return words.size() >= with.size() &&
         std::equal(with.begin(), with.end(), words.begin());
}

std::string UsageText(const std::vector<Subcommand>& table) {
  std::string text = "Usage: samphirebank SUBCOMMAND [--help]\n";
  for (const Subcommand& command : table) {
    std::string words;
    for (const std::string& word : command.words) words += word + ' ';
    words.resize(std::max<size_t>(words.size(), 20), ' ');
    text += "  " + words + command.summary + '\n';
  }
  return text;
}

// OwnEnvironment is the process's environment in the settings' own names.
Environment OwnEnvironment() {
  return platform::TranslateVariables(settings::ProcessEnvironment());
}

int RunSubcommand(const Arguments& words) {
  const std::vector<Subcommand> table = Subcommands();
  for (const Subcommand& command : table) {
    if (!StartsWith(words, command.words)) continue;
    const auto rest = static_cast<std::ptrdiff_t>(command.words.size());
    return command.run(Arguments(words.begin() + rest, words.end()),
                       OwnEnvironment());
  }
  if (words == Arguments{"--help"}) {
    std::cout << UsageText(table);
    return 0;
  }
  std::cerr << UsageText(table);
  return settings::kExitBadSettings;
}

}  // namespace
}  // namespace samphirebank

int main(int count, char** words) {
  if (sodium_init() < 0) {
    std::cerr << "libsodium cannot be initialised\n";
    return samphirebank::kExitFailure;
  }
  try {
    return samphirebank::RunSubcommand({words + 1, words + count});
  } catch (const std::exception& error) {
    std::cerr << "samphirebank: " << error.what() << '\n';
    return samphirebank::kExitFailure;
  }
}
