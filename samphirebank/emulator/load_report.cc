#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "samphirebank/emulator/internal/load.h"

namespace samphirebank::emulator {
namespace {

constexpr double kMedian = 0.5;
constexpr double kTail = 0.95;

uint64_t RefusedTotal(const Tally& tally) {
  uint64_t total = 0;
  for (const auto& [reason, count] : tally.refused) total += count;
  return total;
}

std::string Row(const Tally& tally) {
  char row[256];
  std::snprintf(
      row, sizeof row,
      "%-20s %8llu %8llu %8llu %9llu %7llu %7llu %5llu %9.1f %9.1f %9.1f\n",
      tally.organisation.value.c_str(),
      static_cast<unsigned long long>(tally.sent),      // NOLINT: for printf
      static_cast<unsigned long long>(tally.answered),  // NOLINT: for printf
      static_cast<unsigned long long>(tally.streamed),  // NOLINT: for printf
      static_cast<unsigned long long>(tally.tokens),    // NOLINT: for printf
      static_cast<unsigned long long>(tally.resent),    // NOLINT: for printf
      static_cast<unsigned long long>(                  // NOLINT: for printf
          RefusedTotal(tally)),
      static_cast<unsigned long long>(tally.lost),  // NOLINT: for printf
      Percentile(tally.first_byte_ms, kMedian),
      Percentile(tally.first_byte_ms, kTail),
      Percentile(tally.whole_ms, kTail));
  return row;
}

}  // namespace

double Percentile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  const auto rank = static_cast<size_t>(
      share * static_cast<double>(values.size() - 1) + kMedian);
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(rank),
                   values.end());
  return values[rank];
}

std::string Table(const std::vector<Tally>& tallies) {
  std::string text =
      "organisation             sent answered streamed    tokens  resent "
      "refused  lost first p50 first p95 whole p95 (ms)\n";
  for (const Tally& tally : tallies) text += Row(tally);
  for (const Tally& tally : tallies) {
    for (const auto& [reason, count] : tally.refused) {
      text += tally.organisation.value + " refused: " + reason + " x" +
              std::to_string(count) + "\n";
    }
    for (const std::string& loss : tally.losses) {
      text += tally.organisation.value + " lost: " + loss + "\n";
    }
  }
  return text;
}

std::string Json(const std::vector<Tally>& tallies) {
  nlohmann::ordered_json all = nlohmann::ordered_json::array();
  for (const Tally& tally : tallies) {
    all.push_back(
        {{"organisation", tally.organisation.value},
         {"sent", tally.sent},
         {"answered", tally.answered},
         {"streamed", tally.streamed},
         {"tokens", tally.tokens},
         {"resent", tally.resent},
         {"refused", tally.refused},
         {"lost", tally.lost},
         {"losses", tally.losses},
         {"first_byte_ms_p50", Percentile(tally.first_byte_ms, kMedian)},
         {"first_byte_ms_p95", Percentile(tally.first_byte_ms, kTail)},
         {"whole_ms_p50", Percentile(tally.whole_ms, kMedian)},
         {"whole_ms_p95", Percentile(tally.whole_ms, kTail)},
         {"token_gap_ms_p50", Percentile(tally.token_gap_ms, kMedian)},
         {"token_gap_ms_p95", Percentile(tally.token_gap_ms, kTail)}});
  }
  return nlohmann::ordered_json{{"organisations", all}}.dump() + "\n";
}

}  // namespace samphirebank::emulator
