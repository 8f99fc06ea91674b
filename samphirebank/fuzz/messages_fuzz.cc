// Peer messages: sealed packets, and the fields of each message type. What
// decodes has to read the same again after it was encoded.
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "samphirebank/assignment/assignment.h"
#include "samphirebank/claims/claims.h"
#include "samphirebank/consensus/consensus.h"
#include "samphirebank/lease/lease.h"
#include "samphirebank/sharing/sharing.h"
#include "samphirebank/wire/wire.h"

namespace samphirebank {
namespace {

template <typename Message>
void TryMessage(std::string_view bytes) {
  const auto first = wire::DecodeFields<Message>(bytes);
  if (!first) return;
  const std::string encoded = wire::EncodeFields(*first);
  const auto second = wire::DecodeFields<Message>(encoded);
  if (!second || wire::EncodeFields(*second) != encoded) std::abort();
}

void TryPacket(std::string_view bytes) {
  wire::Opener opener(wire::FleetKey{std::string(32, 'k')});
  if (opener.Open(bytes)) std::abort();  // forged
}

void TryOne(uint8_t choice, std::string_view bytes) {
  switch (choice % 13) {
    case 0:
      return TryPacket(bytes);
    case 1:
      return TryMessage<sharing::Demand>(bytes);
    case 2:
      return TryMessage<sharing::Grant>(bytes);
    case 3:
      return TryMessage<sharing::TargetState>(bytes);
    case 4:
      return TryMessage<sharing::CounterShare>(bytes);
    case 5:
      return TryMessage<lease::ConfigPoll>(bytes);
    case 6:
      return TryMessage<lease::ConfigUpdate>(bytes);
    case 7:
      return TryMessage<claims::ClaimRequest>(bytes);
    case 8:
      return TryMessage<claims::ClaimReply>(bytes);
    case 9:
      return TryMessage<assignment::PoolRequest>(bytes);
    case 10:
      return TryMessage<sharing::QuotaRequest>(bytes);
    case 11:
      return TryMessage<sharing::QuotaGrant>(bytes);
    default:
      return TryMessage<consensus::Message>(bytes);
  }
}

}  // namespace
}  // namespace samphirebank

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  if (size == 0) return 0;
  samphirebank::TryOne(data[0],
                       {reinterpret_cast<const char*>(data) + 1, size - 1});
  return 0;
}
