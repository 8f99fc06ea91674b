#include "samphirebank/settings/internal/flags.h"

namespace samphirebank::settings {
namespace internal {
namespace {

// VerbText is how a verb is written and what it takes.
struct VerbText {
  std::string words;
  std::string summary;
  std::string argument;
  bool changes = false;
};

VerbText TextOf(OperatorVerb verb) {
  switch (verb) {
    case OperatorVerb::kContractPut:
      return {"contract put",
              "Writes a contract from a JSON file ('-': input).", "FILE", true};
    case OperatorVerb::kContractGet:
      return {"contract get", "Shows one contract.", "ORGANISATION", false};
    case OperatorVerb::kContractList:
      return {"contract list", "Lists all contracts.", "", false};
    case OperatorVerb::kContractWithdraw:
      return {"contract withdraw", "Ends a contract.", "ORGANISATION", true};
    case OperatorVerb::kTargetList:
      return {"target list", "Lists targets and what was declared.", "", false};
    case OperatorVerb::kTargetLeave:
      return {"target leave", "Gives a target no new work; what runs ends.",
              "TARGET", true};
    case OperatorVerb::kTargetStop:
      return {"target stop", "Gives a target no new work; cancels what runs.",
              "TARGET", true};
    case OperatorVerb::kTargetJoin:
      return {"target join", "Lets a target have work again.", "TARGET", true};
    case OperatorVerb::kControlReplace:
      return {"control replace", "Replaces a member of the control group.",
              "MEMBER", true};
    case OperatorVerb::kStatus:
      break;
  }
  return {"status", "Shows every instance of the fleet.", "", false};
}

std::vector<Flag> ChangeFlags(OperatorSettings* into) {
  return {
      NameFlag("change-id",
               "the id of this change; give the same one to resend a change "
               "whose answer was lost",
               &into->change_id),
      NameFlag("operator", "who makes the change, for others who lose a race",
               &into->author),
      Flag{.name = "if-match",
           .argument = "REVISION",
           .help = "refuse unless the record is still at this revision; 0: "
                   "unless there is none",
           .allowed = "a revision",
           .take =
               [into](const std::string& value) {
                 const std::optional<uint64_t> number = ParseNumber(value, {});
                 if (number) into->if_match = Revision(*number);
                 return number.has_value();
               }},
      SwitchFlag("wait", "return when the change is in force everywhere",
                 &into->wait_in_force)};
}

std::function<bool(const std::string&)> TakeText(std::string* into) {
  return [into](const std::string& value) {
    *into = value;
    return !value.empty();
  };
}

}  // namespace

FlagTable OperatorTable(OperatorSettings* into) {
  const VerbText text = TextOf(into->verb);
  FlagTable table{.usage = "samphirebank " + text.words,
                  .summary = text.summary};
  if (!text.argument.empty()) {
    table.usage += ' ' + text.argument;
    table.positionals.push_back(
        {.name = text.argument, .take = TakeText(&into->subject)});
  }
  table.usage += " [flags]";
  Append(&table,
         {Required(AddressesFlag(
              "server", "operator address of a control instance, tried in turn",
              &into->servers)),
          OperatorTokenFlag(&into->operator_token),
          SwitchFlag("json", "print JSON instead of a table", &into->json),
          MillisecondsFlag("timeout-ms", "how long to wait for an answer",
                           {.low = 100, .high = 600'000}, &into->timeout)});
  if (text.changes) Append(&table, ChangeFlags(into));
  return table;
}

}  // namespace internal

Parsed<OperatorSettings> ParseOperator(OperatorVerb verb,
                                       const Arguments& arguments,
                                       const Environment& environment) {
  return internal::ParseTable<OperatorSettings>(
      internal::OperatorTable, OperatorSettings{.verb = verb}, arguments,
      environment, nullptr);
}

std::string OperatorHelp(OperatorVerb verb) {
  return internal::HelpOf(internal::OperatorTable,
                          OperatorSettings{.verb = verb});
}

}  // namespace samphirebank::settings
