#include <sodium.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <string>
#include <string_view>
#include <utility>

#include "samphirebank/wire/wire.h"

namespace samphirebank::wire {
namespace {

// A sealed packet is: version (1 byte), nonce, ciphertext. The plain text is
// a Sealed struct. The version is authenticated as additional data.
constexpr size_t kNonceBytes = crypto_aead_xchacha20poly1305_ietf_NPUBBYTES;
constexpr size_t kTagBytes = crypto_aead_xchacha20poly1305_ietf_ABYTES;
constexpr size_t kHeaderBytes = 1 + kNonceBytes;

// Sealed is the authenticated content of a packet.
struct Sealed {
  std::string from;
  uint64_t boot = 0;
  uint64_t number = 0;
  uint16_t kind = 0;
  std::string payload;
  int64_t clock_ms = 0;
  uint32_t clock_logical = 0;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(from, boot, number, kind, payload, clock_ms, clock_logical);
  }
};

unsigned char* MutableBytes(std::string& text) {
  return reinterpret_cast<unsigned char*>(text.data());
}

const unsigned char* AsBytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

leaf::result<std::string> Decrypt(const FleetKey& key, std::string_view bytes) {
  if (bytes.size() < kHeaderBytes + kTagBytes) {
    return leaf::new_error(Error{ErrorKind::kTruncated});
  }
  if (static_cast<uint8_t>(bytes[0]) != kVersion) {
    return leaf::new_error(Error{ErrorKind::kVersion});
  }
  const std::string_view nonce = bytes.substr(1, kNonceBytes);
  const std::string_view cipher = bytes.substr(kHeaderBytes);
  std::string plain(cipher.size() - kTagBytes, '\0');
  const int failed = crypto_aead_xchacha20poly1305_ietf_decrypt(
      MutableBytes(plain), nullptr, nullptr, AsBytes(cipher), cipher.size(),
      AsBytes(bytes), 1, AsBytes(nonce), AsBytes(key.bytes));
  if (failed != 0) return leaf::new_error(Error{ErrorKind::kForged});
  return plain;
}

}  // namespace

std::optional<FleetKey> ParseFleetKey(std::string_view hex) {
  FleetKey key;
  key.bytes.resize(crypto_aead_xchacha20poly1305_ietf_KEYBYTES);
  size_t length = 0;
  const int failed =
      sodium_hex2bin(MutableBytes(key.bytes), key.bytes.size(), hex.data(),
                     hex.size(), nullptr, &length, nullptr);
  if (failed != 0 || length != key.bytes.size()) return std::nullopt;
  if (hex.size() != 2 * length) return std::nullopt;
  return key;
}

Sealer::Sealer(FleetKey fleet_key, InstanceId self, BootId self_boot)
    : key(std::move(fleet_key)), instance(std::move(self)), boot(self_boot) {}

std::string Sealer::Seal(const Packet& packet) {
  const std::string plain =
      EncodeFields(Sealed{.from = this->instance.value,
                          .boot = this->boot.value,
                          .number = this->next_number++,
                          .kind = static_cast<uint16_t>(packet.kind),
                          .payload = packet.payload,
                          .clock_ms = packet.clock_ms,
                          .clock_logical = packet.clock_logical});
  std::string out(kHeaderBytes + plain.size() + kTagBytes, '\0');
  out[0] = static_cast<char>(kVersion);
  randombytes_buf(out.data() + 1, kNonceBytes);
  crypto_aead_xchacha20poly1305_ietf_encrypt(
      MutableBytes(out) + kHeaderBytes, nullptr, AsBytes(plain), plain.size(),
      AsBytes(out), 1, nullptr, MutableBytes(out) + 1,
      AsBytes(this->key.bytes));
  return out;
}

Opener::Opener(FleetKey fleet_key) : key(std::move(fleet_key)) {}

leaf::result<Opened> Opener::Open(std::string_view bytes) {
  BOOST_LEAF_AUTO(plain, Decrypt(this->key, bytes));
  BOOST_LEAF_AUTO(sealed, DecodeFields<Sealed>(plain));
  Window& window = this->windows[{sealed.from, sealed.boot}];
  if (sealed.number > window.newest) {
    const uint64_t step = sealed.number - window.newest;
    window.seen = step >= kReplayWindow ? 0 : window.seen << step;
    window.seen |= 1;
    window.newest = sealed.number;
  } else {
    const uint64_t behind = window.newest - sealed.number;
    const bool taken =
        behind >= kReplayWindow || ((window.seen >> behind) & 1) != 0;
    if (taken) return leaf::new_error(Error{ErrorKind::kReplayed});
    window.seen |= uint64_t{1} << behind;
  }
  return Opened{.from = InstanceId(sealed.from),
                .boot = BootId(sealed.boot),
                .packet = Packet{.kind = static_cast<Kind>(sealed.kind),
                                 .payload = std::move(sealed.payload),
                                 .clock_ms = sealed.clock_ms,
                                 .clock_logical = sealed.clock_logical}};
}

}  // namespace samphirebank::wire
