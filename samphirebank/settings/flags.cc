#include "samphirebank/settings/internal/flags.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <cctype>
#include <set>
#include <sstream>
#include <utility>

namespace samphirebank::settings::internal {
namespace {

namespace po = boost::program_options;

constexpr std::string_view kPrefix = "SAMPHIREBANK_";
constexpr std::string_view kFileEnding = "_FILE";

// Given is a value with the place it came from.
struct Given {
  std::string place;
  std::string value;
};

po::options_description Describe(const FlagTable& table) {
  po::options_description description;
  description.add_options()("help", "print this text");
  for (const Flag& flag : table.flags) {
    if (flag.argument.empty()) {
      description.add_options()(flag.name.c_str(), flag.help.c_str());
    } else {
      description.add_options()(flag.name.c_str(), po::value<std::string>(),
                                flag.help.c_str());
    }
  }
  return description;
}

// DropFlag removes the first use of `flag` that has no value after it.
void DropFlag(Arguments* arguments, const std::string& flag) {
  for (auto it = arguments->begin(); it != arguments->end(); ++it) {
    if (*it != flag && !it->starts_with(flag + "=")) continue;
    const auto next = std::next(it);
    const bool has_value = next != arguments->end() && !next->starts_with("--");
    if (*it == flag && has_value) continue;
    arguments->erase(it);
    return;
  }
  arguments->clear();
}

// ParseWords splits arguments into flags and the rest. A flag without its
// value becomes a finding, and the others are still read.
std::vector<po::option> ParseWords(const FlagTable& table, Arguments arguments,
                                   Findings* findings) {
  namespace style = po::command_line_style;
  const po::options_description description = Describe(table);
  while (true) {
    try {
      return po::command_line_parser(arguments)
          .options(description)
          .style(style::allow_long | style::long_allow_adjacent |
                 style::long_allow_next)
          .allow_unregistered()
          .run()
          .options;
    } catch (const po::error_with_option_name& error) {
      const std::string flag = error.get_option_name();
      findings->Add(flag, "", "one value after it, or none for a switch");
      DropFlag(&arguments, flag);
    } catch (const po::error&) {
      findings->Add("arguments", "", "flags of the form --name VALUE");
      return {};
    }
  }
}

std::vector<Given> FlagValues(const Flag& flag,
                              const std::vector<po::option>& options) {
  std::vector<Given> values;
  for (const po::option& option : options) {
    if (option.unregistered || option.string_key != flag.name) continue;
    const bool has_value = !option.value.empty();
    values.push_back({.place = "--" + flag.name,
                      .value = has_value ? option.value.front() : "true"});
  }
  return values;
}

std::vector<Given> VariableValues(const Flag& flag,
                                  const Environment& environment) {
  const std::string name = VariableName(flag.name);
  const auto found = environment.variables.find(name);
  const bool given =
      found != environment.variables.end() && !found->second.empty();
  if (!given) return {};
  if (!flag.repeated) return {{.place = name, .value = found->second}};
  std::vector<Given> values;
  std::istringstream parts(found->second);
  for (std::string part; std::getline(parts, part, ',');) {
    values.push_back({.place = name, .value = part});
  }
  return values;
}

std::string SecretVariable(const Flag& flag) {
  std::string name = VariableName(flag.name);
  name.resize(name.size() - kFileEnding.size());
  return name;
}

std::string TrimEnd(std::string text) {
  while (!text.empty() &&
         std::isspace(static_cast<unsigned char>(text.back()))) {
    text.pop_back();
  }
  return text;
}

// TakeSecret reads a secret from its variable or from the file named.
void TakeSecret(const Flag& flag, const std::vector<Given>& files,
                const Environment& environment, Findings* findings) {
  const auto variable = environment.variables.find(SecretVariable(flag));
  const bool in_variable = variable != environment.variables.end();
  if (in_variable && !files.empty()) {
    findings->Add(files.front().place, files.front().value,
                  "a file or " + SecretVariable(flag) + ", not both");
    return;
  }
  if (in_variable) {
    if (!flag.take(variable->second)) {
      findings->Add(SecretVariable(flag), "", flag.allowed);
    }
    return;
  }
  const std::optional<std::string> content =
      environment.read_file ? environment.read_file(files.front().value)
                            : std::nullopt;
  if (!content) {
    findings->Add(files.front().place, files.front().value,
                  "a file that can be read");
  } else if (!flag.take(TrimEnd(*content))) {
    findings->Add(files.front().place, files.front().value,
                  "a file that holds " + flag.allowed);
  }
}

bool Contradicts(const std::vector<Given>& values) {
  return std::any_of(values.begin(), values.end(), [&](const Given& given) {
    return given.value != values.front().value;
  });
}

void TakeFlag(const Flag& flag, const std::vector<po::option>& options,
              const Environment& environment, Findings* findings) {
  std::vector<Given> values = FlagValues(flag, options);
  if (values.empty()) values = VariableValues(flag, environment);
  const bool secret_given =
      flag.secret && environment.variables.contains(SecretVariable(flag));
  if (values.empty() && !secret_given) {
    if (!flag.required) return;
    const std::string also =
        flag.secret ? " or " + SecretVariable(flag) : std::string();
    findings->Add(
        "--" + flag.name, "",
        "required, or " + VariableName(flag.name) + also + ": " + flag.allowed);
    return;
  }
  if (!flag.repeated && Contradicts(values)) {
    findings->Add("--" + flag.name, values.back().value,
                  "one value; it was given with different ones");
    return;
  }
  if (flag.secret) {
    TakeSecret(flag, values, environment, findings);
    return;
  }
  for (const Given& given : values) {
    if (!flag.take(given.value)) {
      findings->Add(given.place, given.value, flag.allowed);
    }
  }
}

void CheckUnknown(const std::vector<po::option>& options, Findings* findings) {
  for (const po::option& option : options) {
    if (!option.unregistered) continue;
    const std::string word = option.original_tokens.empty()
                                 ? "--" + option.string_key
                                 : option.original_tokens.front();
    findings->Add(word, "", "a flag that --help lists");
  }
}

void TakePositionals(const FlagTable& table,
                     const std::vector<po::option>& options,
                     Findings* findings) {
  std::vector<std::string> words;
  for (const po::option& option : options) {
    if (option.position_key < 0) continue;
    words.insert(words.end(), option.value.begin(), option.value.end());
  }
  size_t next = 0;
  for (const Positional& positional : table.positionals) {
    if (next == words.size()) {
      findings->Add(positional.name, "", "required");
      continue;
    }
    const size_t end = positional.repeated ? words.size() : next + 1;
    for (; next < end; ++next) {
      if (positional.take(words[next])) continue;
      findings->Add(positional.name, words[next], "a text that is not empty");
    }
  }
  for (; next < words.size(); ++next) {
    findings->Add("argument", words[next], "nothing more");
  }
}

void AddVariables(const FlagTable& table, std::set<std::string>* names) {
  for (const Flag& flag : table.flags) {
    names->insert(VariableName(flag.name));
    if (flag.secret) names->insert(SecretVariable(flag));
  }
}

// KnownVariables holds the variables of all subcommands, since one environment
// may serve several of them.
const std::set<std::string>& KnownVariables() {
  static const auto* const all = [] {
    auto* names = new std::set<std::string>();
    RouterSettings router;
    ControlSettings control;
    GatewaySettings gateway;
    CoordinatorSettings coordinator;
    OperatorSettings operators;
    EmulatorSettings emulator;
    LoadSettings load;
    TimelineSettings timeline;
    AddVariables(RouterTable(&router), names);
    AddVariables(ControlTable(&control), names);
    AddVariables(GatewayTable(&gateway), names);
    AddVariables(CoordinatorTable(&coordinator), names);
    AddVariables(OperatorTable(&operators), names);
    AddVariables(EmulatorTable(&emulator), names);
    AddVariables(LoadTable(&load), names);
    AddVariables(TimelineTable(&timeline), names);
    return names;
  }();
  return *all;
}

void CheckVariables(const Environment& environment, Findings* findings) {
  for (const auto& [name, value] : environment.variables) {
    if (!name.starts_with(kPrefix) || KnownVariables().contains(name)) continue;
    findings->Add(name, "", "a variable that --help lists");
  }
}

}  // namespace

std::string VariableName(std::string_view flag) {
  std::string name(kPrefix);
  for (const char c : flag) {
    name += c == '-' ? '_' : static_cast<char>(std::toupper(c));
  }
  return name;
}

bool ReadFlags(const FlagTable& table, const Arguments& arguments,
               const Environment& environment, Findings* findings) {
  if (std::find(arguments.begin(), arguments.end(), "--help") !=
      arguments.end()) {
    return true;
  }
  const std::vector<po::option> options =
      ParseWords(table, arguments, findings);
  CheckUnknown(options, findings);
  for (const Flag& flag : table.flags) {
    TakeFlag(flag, options, environment, findings);
  }
  TakePositionals(table, options, findings);
  CheckVariables(environment, findings);
  return false;
}

std::string HelpText(const FlagTable& table) {
  std::ostringstream out;
  out << "Usage: " << table.usage << "\n" << table.summary << "\n\n";
  for (const Flag& flag : table.flags) {
    out << "  --" << flag.name;
    if (!flag.argument.empty()) out << ' ' << flag.argument;
    out << "\n      " << flag.help;
    if (flag.repeated) out << "; may be repeated";
    out << ".\n      ";
    if (flag.secret) {
      out << "The file holds " << flag.allowed << ". Variable "
          << SecretVariable(flag) << " (the value) or ";
    } else {
      out << "Allowed: " << flag.allowed << ". Variable ";
    }
    out << VariableName(flag.name) << '.';
    if (flag.required) out << " Required.";
    if (!flag.default_value.empty()) out << " Default: " << flag.default_value;
    out << '\n';
  }
  return out.str();
}

}  // namespace samphirebank::settings::internal
