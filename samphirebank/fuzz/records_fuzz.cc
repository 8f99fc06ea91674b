// The bytes of a data folder: as they are, and as the content of a frame whose
// checksum is right.
#include <cstdint>
#include <string>
#include <string_view>

#include "samphirebank/claims/claims.h"
#include "samphirebank/consensus/consensus.h"
#include "samphirebank/contracts/contracts.h"
#include "samphirebank/storage/internal/record.h"

namespace samphirebank {
namespace {

void TryFile(std::string_view bytes) {
  storage::internal::ParseSegment(bytes);
  storage::internal::DecodeSnapshot(bytes);
  storage::internal::DecodeIdentity(bytes);
}

void TryContent(std::string_view bytes) {
  contracts::DecodeCommand(bytes);
  contracts::DecodeMachine(bytes);
  consensus::DecodeMembership(std::string(bytes));
  static_cast<void>(claims::DecodeCommand(bytes));
  static_cast<void>(claims::DecodeSnapshot(bytes));
}

}  // namespace
}  // namespace samphirebank

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  samphirebank::TryFile(bytes);
  samphirebank::TryFile(samphirebank::storage::internal::EncodeFrame(bytes));
  samphirebank::TryContent(bytes);
  return 0;
}
