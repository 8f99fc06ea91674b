// File: usage.h
//
// Reads token usage and finish reasons out of the body of a response.
#ifndef SAMPHIREBANK_RELAY_INTERNAL_USAGE_H_
#define SAMPHIREBANK_RELAY_INTERNAL_USAGE_H_

#include <string_view>

#include "samphirebank/relay/relay.h"

namespace samphirebank::relay::internal {

// UpdateProgress adds the usage, finish reasons and generated text of one JSON
// value of a response to `progress`. Other members, and text that is not a JSON
// object, are ignored. Returns false if the value reports an error of the
// target.
bool UpdateProgress(std::string_view text, Progress& progress);

}  // namespace samphirebank::relay::internal

#endif  // SAMPHIREBANK_RELAY_INTERNAL_USAGE_H_
