#include <algorithm>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "samphirebank/contracts/contracts.h"
#include "samphirebank/json/json.h"

namespace samphirebank::contracts {
namespace {

using Json = nlohmann::json;

constexpr size_t kMaxNameBytes = 128;
constexpr size_t kMaxListItems = 256;
constexpr size_t kKeyHashLength = 64;
constexpr uint32_t kMaxUint32 = std::numeric_limits<uint32_t>::max();
// Integers up to 2^53 are exact also in JSON readers that store numbers as
// doubles.
constexpr int64_t kMaxExactInteger = int64_t{1} << 53;

bool IsNameCharacter(char c) {
  const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
  const bool digit = c >= '0' && c <= '9';
  return letter || digit ||
         std::string_view("._:/-").find(c) != std::string_view::npos;
}

bool IsHexDigit(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

// ReadNumber sets `into` if `value` is an integer in [min, max], and adds a
// finding otherwise.
template <typename Number>
void ReadNumber(const Json& value, std::string_view place, int64_t min,
                int64_t max, Number& into, Findings& findings) {
  const bool fits = value.is_number_integer() &&
                    (!value.is_number_unsigned() ||
                     value.get<uint64_t>() <= static_cast<uint64_t>(max));
  if (fits && value.get<int64_t>() >= min && value.get<int64_t>() <= max) {
    into = static_cast<Number>(value.get<int64_t>());
    return;
  }
  findings.Add(std::string(place), value.dump(),
               "a whole number from " + std::to_string(min) + " to " +
                   std::to_string(max));
}

// ReadStrings calls `add(text, place)` for each string of a JSON array. It adds
// a finding for each element that is not a string, or for the whole value if
// that is not an array or is too long.
template <typename Add>
void ReadStrings(const Json& value, const std::string& place,
                 Findings& findings, Add add) {
  if (!value.is_array() || value.size() > kMaxListItems) {
    findings.Add(
        place, value.is_array() ? "a longer list" : value.dump(),
        "a list of at most " + std::to_string(kMaxListItems) + " texts");
    return;
  }
  for (size_t i = 0; i < value.size(); ++i) {
    const std::string item = place + "/" + std::to_string(i);
    if (value[i].is_string()) {
      add(value[i].get<std::string>(), item);
    } else {
      findings.Add(item, value[i].dump(), "a text");
    }
  }
}

// ReadNames reads an array of names that satisfy CheckName.
template <typename Id>
void ReadNames(const Json& value, const std::string& place,
               std::vector<Id>& into, Findings& findings) {
  ReadStrings(value, place, findings,
              [&](const std::string& text, const std::string& item) {
                CheckName(item, text, findings);
                into.emplace_back(text);
              });
}

void ReadKeyHashes(const Json& value, const std::string& place,
                   std::vector<std::string>& into, Findings& findings) {
  ReadStrings(value, place, findings,
              [&](const std::string& text, const std::string& item) {
                const bool valid = text.size() == kKeyHashLength &&
                                   std::ranges::all_of(text, IsHexDigit);
                if (!valid) {
                  findings.Add(item, "", "64 lower-case hexadecimal digits");
                }
                into.push_back(text);
              });
}

// ReadField reads one member of a contract's JSON object. Returns false if its
// name is unknown.
bool ReadField(const std::string& name, const Json& value, Contract& contract,
               Findings& findings) {
  const std::string place = "/" + name;
  const auto number = [&](auto& into, int64_t min, int64_t max) {
    ReadNumber(value, place, min, max, into, findings);
    return true;
  };
  if (name == "weight") return number(contract.weight, 1, 1'000'000);
  if (name == "requests_per_second") {
    return number(contract.requests_per_second, 0, kMaxUint32);
  }
  if (name == "concurrency") return number(contract.concurrency, 0, kMaxUint32);
  if (name == "queue_length") {
    return number(contract.queue_length, 0, kMaxUint32);
  }
  if (name == "tokens_per_minute") {
    return number(contract.tokens_per_minute, 0, kMaxExactInteger);
  }
  if (name == "deadline_ms") return number(contract.deadline_ms, 1, 3'600'000);
  if (name == "answer_keep_s") {
    return number(contract.answer_keep_s, 1, 604'800);
  }
  if (name == "answer_keep_bytes") {
    return number(contract.answer_keep_bytes, 0, 1 << 20);
  }
  if (name == "services") {
    ReadNames(value, place, contract.services, findings);
    return true;
  }
  if (name == "regions") {
    ReadNames(value, place, contract.regions, findings);
    return true;
  }
  if (name == "key_hashes") {
    ReadKeyHashes(value, place, contract.key_hashes, findings);
    return true;
  }
  return false;
}

// ReadOrganisation checks that the document's "organisation" field names the
// organisation of the contract.
void ReadOrganisation(const Json& value, const Contract& contract,
                      Findings& findings) {
  if (value == contract.organisation.value) return;
  findings.Add("/organisation", value.dump(),
               "\"" + contract.organisation.value + "\", or no such field");
}

template <typename Id>
Json ToJsonArray(const std::vector<Id>& ids) {
  Json list = Json::array();
  for (const Id& id : ids) list.push_back(id.value);
  return list;
}

}  // namespace

void CheckName(std::string_view place, std::string_view name,
               Findings& findings) {
  const bool valid = !name.empty() && name.size() <= kMaxNameBytes &&
                     std::ranges::all_of(name, IsNameCharacter);
  if (valid) return;
  findings.Add(std::string(place), std::string(name.substr(0, kMaxNameBytes)),
               "1 to 128 letters, digits, '.', '_', ':', '/' or '-'");
}

std::optional<Contract> ParseContract(const OrganisationId& organisation,
                                      std::string_view text,
                                      Findings& findings) {
  Findings contract_findings;
  Contract contract{.organisation = organisation};
  CheckName("organisation", organisation.value, contract_findings);
  const Json document = json::Parse(text);
  if (!document.is_object()) {
    contract_findings.Add(
        "/", document.is_discarded() ? "malformed JSON" : document.dump(),
        "a JSON object");
  } else {
    for (const auto& [name, value] : document.items()) {
      if (name == "organisation") {
        ReadOrganisation(value, contract, contract_findings);
      } else if (!ReadField(name, value, contract, contract_findings)) {
        contract_findings.Add("/" + name, "", "no such field in a contract");
      }
    }
  }
  findings.Merge("", contract_findings);
  if (!contract_findings.empty()) return std::nullopt;
  return contract;
}

std::string ToJson(const Contract& contract) {
  return Json{{"organisation", contract.organisation.value},
              {"weight", contract.weight},
              {"requests_per_second", contract.requests_per_second},
              {"concurrency", contract.concurrency},
              {"queue_length", contract.queue_length},
              {"tokens_per_minute", contract.tokens_per_minute},
              {"services", ToJsonArray(contract.services)},
              {"regions", ToJsonArray(contract.regions)},
              {"key_hashes", contract.key_hashes},
              {"deadline_ms", contract.deadline_ms},
              {"answer_keep_s", contract.answer_keep_s},
              {"answer_keep_bytes", contract.answer_keep_bytes}}
      .dump();
}

std::string_view ToText(TargetIntent intent) {
  switch (intent) {
    case TargetIntent::kServing:
      return "serving";
    case TargetIntent::kLeaving:
      return "leaving";
    case TargetIntent::kStopped:
      return "stopped";
  }
  return "";
}

std::optional<TargetIntent> ParseTargetIntent(std::string_view text) {
  if (text == "serving") return TargetIntent::kServing;
  if (text == "leaving") return TargetIntent::kLeaving;
  if (text == "stopped") return TargetIntent::kStopped;
  return std::nullopt;
}

}  // namespace samphirebank::contracts
