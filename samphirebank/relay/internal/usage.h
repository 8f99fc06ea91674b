// File: usage.h
//
// What the body of an answer states about its cost and its end.
#ifndef SAMPHIREBANK_RELAY_INTERNAL_USAGE_H_
#define SAMPHIREBANK_RELAY_INTERNAL_USAGE_H_

#include <string_view>

#include "samphirebank/relay/relay.h"

namespace samphirebank::relay::internal {

// ReadJson takes usage, finish reasons and generated text from one JSON value
// of an answer; anything else is left alone. Returns false when the value is
// an error that the target reports.
bool ReadJson(std::string_view text, Progress& progress);

}  // namespace samphirebank::relay::internal

#endif  // SAMPHIREBANK_RELAY_INTERNAL_USAGE_H_
