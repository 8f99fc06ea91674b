// JSON from outside: announcements and load reports of targets, contracts of
// operators. A contract that reads has to read the same from its own JSON.
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "samphirebank/contracts/contracts.h"
#include "samphirebank/targets/targets.h"

namespace samphirebank {
namespace {

void TryContract(std::string_view text) {
  const OrganisationId organisation("guides");
  Findings findings;
  const auto contract = contracts::ParseContract(organisation, text, findings);
  if (contract.has_value() != findings.empty()) std::abort();
  if (!contract) return;
  const std::string json = contracts::ToJson(*contract);
  const auto again = contracts::ParseContract(organisation, json, findings);
  if (!again || contracts::ToJson(*again) != json) std::abort();
}

}  // namespace
}  // namespace samphirebank

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  samphirebank::targets::ParseAnnouncement(text);
  samphirebank::targets::ParseLoad(text);
  samphirebank::TryContract(text);
  return 0;
}
