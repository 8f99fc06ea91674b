// A target's answer in pieces: what passes is the start of what came, and a
// model's stream is whole only when it said so.
#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "samphirebank/relay/relay.h"

namespace relay = samphirebank::relay;

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  if (size < 2) return 0;
  const bool event_stream = (data[0] & 1) != 0;
  const size_t length = 1 + data[1];
  const std::string_view text(reinterpret_cast<const char*>(data) + 2,
                              size - 2);
  relay::Response answer = relay::BeginResponse(
      {.model_stream = event_stream}, 200,
      {{"content-type",
        event_stream ? "text/event-stream" : "application/json"}});
  std::string passed;
  for (size_t at = 0; at < text.size(); at += length) {
    passed += relay::Feed(answer, text.substr(at, length)).bytes;
  }
  const bool whole = relay::EndResponse(answer);
  if (!text.starts_with(passed)) std::abort();
  const bool said = passed.find("[DONE]") != std::string::npos;
  if (event_stream && whole && !said) std::abort();
  return 0;
}
