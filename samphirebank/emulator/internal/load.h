// File: load.h
//
// What the load generator reads and counts. No I/O.
//
// Example:
//
//   Findings findings;
//   const std::vector<OrganisationMix> mixes = ParseMixes(text, &findings);
//   std::cout << Table(tallies);
#ifndef SAMPHIREBANK_EMULATOR_INTERNAL_LOAD_H_
#define SAMPHIREBANK_EMULATOR_INTERNAL_LOAD_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "samphirebank/base/base.h"

namespace samphirebank::emulator {

// OrganisationMix is what one organisation sends.
struct OrganisationMix {
  OrganisationId organisation;
  std::string key;
  ServiceId service;
  bool model = true;  // else a plain service, called with an Idempotency-Key
  uint32_t concurrency = 4;        // requests in flight
  double requests_per_second = 0;  // 0: as fast as the answers come
  double streaming_share = 0.5;
  uint32_t max_tokens = 0;  // 0: the target chooses
};

// ParseMixes reads {"organisations": [...]} and reports all faults together.
std::vector<OrganisationMix> ParseMixes(std::string_view text,
                                        Findings* findings);

// Tally is what one organisation received.
struct Tally {
  OrganisationId organisation;
  uint64_t sent = 0;
  uint64_t answered = 0;  // whole, and the answer to its own request
  uint64_t streamed = 0;  // of these, streamed
  uint64_t tokens = 0;
  uint64_t resent = 0;  // sent again after a broken connection
  // refused counts by "status outcome", e.g. "429 not-run".
  std::map<std::string, uint64_t> refused;
  uint64_t lost = 0;                // neither answered nor refused
  std::vector<std::string> losses;  // nonce and reason of each
  std::vector<double> first_byte_ms;
  std::vector<double> whole_ms;
  std::vector<double> token_gap_ms;  // between two pieces of a stream
};

// Percentile returns the value below which `share` of the values lie; 0 for
// none.
double Percentile(std::vector<double> values, double share);

// Table returns a table for people, Json one object for programs.
std::string Table(const std::vector<Tally>& tallies);
std::string Json(const std::vector<Tally>& tallies);

}  // namespace samphirebank::emulator

#endif  // SAMPHIREBANK_EMULATOR_INTERNAL_LOAD_H_
