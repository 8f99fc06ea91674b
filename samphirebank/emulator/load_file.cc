#include <nlohmann/json.hpp>

#include "samphirebank/emulator/internal/load.h"

namespace samphirebank::emulator {
namespace {

constexpr uint32_t kMaxConcurrency = 10'000;

std::string TextField(const nlohmann::json& item, const char* name,
                      Findings* findings) {
  const auto found = item.find(name);
  if (found != item.end() && found->is_string()) return *found;
  findings->Add(name, "", "a text");
  return {};
}

double NumberField(const nlohmann::json& item, const char* name, double initial,
                   double high, Findings* findings) {
  const auto found = item.find(name);
  if (found == item.end()) return initial;
  if (found->is_number()) {
    const double value = *found;
    if (value >= 0 && value <= high) return value;
  }
  findings->Add(name, found->dump(),
                "a number from 0 to " + std::to_string(high));
  return initial;
}

OrganisationMix ParseMix(const nlohmann::json& item, Findings* findings) {
  OrganisationMix mix;
  mix.organisation = OrganisationId(TextField(item, "organisation", findings));
  mix.key = TextField(item, "key", findings);
  mix.service = ServiceId(TextField(item, "service", findings));
  mix.model = item.value("kind", "model") == "model";
  mix.concurrency = static_cast<uint32_t>(NumberField(
      item, "concurrency", mix.concurrency, kMaxConcurrency, findings));
  mix.requests_per_second =
      NumberField(item, "requests_per_second", 0, 1e6, findings);
  mix.streaming_share =
      NumberField(item, "streaming_share", mix.streaming_share, 1, findings);
  mix.max_tokens =
      static_cast<uint32_t>(NumberField(item, "max_tokens", 0, 1e6, findings));
  return mix;
}

}  // namespace

std::vector<OrganisationMix> ParseMixes(std::string_view text,
                                        Findings* findings) {
  const auto json = nlohmann::json::parse(text, nullptr, false);
  std::vector<OrganisationMix> mixes;
  if (!json.is_object() || !json.contains("organisations") ||
      !json["organisations"].is_array()) {
    findings->Add("organisations", "", "a list of objects");
    return mixes;
  }
  for (const nlohmann::json& item : json["organisations"]) {
    Findings faults;
    if (item.is_object()) {
      mixes.push_back(ParseMix(item, &faults));
    } else {
      faults.Add("", "", "an object");
    }
    findings->Merge("organisations.", faults);
  }
  return mixes;
}

}  // namespace samphirebank::emulator
