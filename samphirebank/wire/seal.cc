#include <sodium.h>

#include <algorithm>
#include <array>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>

#include "samphirebank/wire/wire.h"

namespace samphirebank::wire {

std::string_view ReasonOf(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kTruncated:
      return "truncated";
    case ErrorKind::kVersion:
      return "another version";
    case ErrorKind::kForged:
      return "forged";
    case ErrorKind::kReplayed:
      return "replayed";
    case ErrorKind::kMalformed:
      return "malformed";
    case ErrorKind::kTooLarge:
      return "too large";
    case ErrorKind::kWrongKind:
      return "wrong kind";
  }
  return "unknown";
}
namespace {

// A sealed packet is: version (1 byte), boot (8), channel (4), number (8),
// ciphertext. The first 21 bytes are authenticated as additional data; boot,
// channel and number, which never occur twice together, make the nonce. The
// plain text is a SealedHead, then the payload.
constexpr size_t kNonceBytes = crypto_aead_xchacha20poly1305_ietf_NPUBBYTES;
constexpr size_t kTagBytes = crypto_aead_xchacha20poly1305_ietf_ABYTES;
constexpr size_t kBootAt = 1;
constexpr size_t kChannelAt = kBootAt + sizeof(uint64_t);
constexpr size_t kNumberAt = kChannelAt + sizeof(uint32_t);
constexpr size_t kHeaderBytes = kNumberAt + sizeof(uint64_t);
static_assert(kHeaderBytes - 1 <= kNonceBytes);
constexpr size_t kMaxNameBytes = 255;

using Nonce = std::array<unsigned char, kNonceBytes>;

// SealedHead is the authenticated description of a packet.
struct SealedHead {
  std::string from;
  uint16_t kind = 0;
  int64_t clock_ms = 0;
  uint32_t clock_logical = 0;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    auto size = static_cast<uint8_t>(this->from.size());
    archive(size);
    this->from.resize(size);
    archive(cereal::binary_data(this->from.data(), size));
    archive(this->kind, this->clock_ms, this->clock_logical);
  }
};

// Plain is the content of a packet.
struct Plain {
  SealedHead head;
  std::string payload;
};

template <typename Number>
void WriteNumber(Number number, char* at) {
  for (size_t i = 0; i < sizeof(Number); ++i) {
    at[i] = static_cast<char>(number >> (8 * i));
  }
}

template <typename Number>
Number ReadNumber(std::string_view bytes) {
  Number number = 0;
  for (size_t i = 0; i < sizeof(Number); ++i) {
    number |= Number{static_cast<unsigned char>(bytes[i])} << (8 * i);
  }
  return number;
}

Nonce NonceOf(std::string_view header) {
  Nonce nonce{};
  std::copy(header.begin() + 1, header.end(), nonce.begin());
  return nonce;
}

unsigned char* MutableBytes(std::string& text) {
  return reinterpret_cast<unsigned char*>(text.data());
}

const unsigned char* AsBytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

leaf::result<Plain> ReadPlain(const std::string& bytes) {
  Plain plain;
  try {
    internal::InputArchive archive(bytes);
    archive(plain.head);
    plain.payload = bytes.substr(bytes.size() - archive.left());
  } catch (const std::exception&) {
    return leaf::new_error(Error{ErrorKind::kMalformed});
  }
  return plain;
}

leaf::result<std::string> Decrypt(const FleetKey& key, std::string_view bytes) {
  if (bytes.size() < kHeaderBytes + kTagBytes) {
    return leaf::new_error(Error{ErrorKind::kTruncated});
  }
  if (static_cast<uint8_t>(bytes[0]) != kVersion) {
    return leaf::new_error(Error{ErrorKind::kVersion});
  }
  const std::string_view header = bytes.substr(0, kHeaderBytes);
  const std::string_view cipher = bytes.substr(kHeaderBytes);
  const Nonce nonce = NonceOf(header);
  std::string plain(cipher.size() - kTagBytes, '\0');
  const int failed = crypto_aead_xchacha20poly1305_ietf_decrypt(
      MutableBytes(plain), nullptr, nullptr, AsBytes(cipher), cipher.size(),
      AsBytes(header), header.size(), nonce.data(), AsBytes(key.bytes));
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
    : key(std::move(fleet_key)), instance(std::move(self)), boot(self_boot) {
  this->instance.value.resize(
      std::min(this->instance.value.size(), kMaxNameBytes));
}

std::string Sealer::Seal(const Packet& packet, const Channel& channel) {
  const auto next_channel = static_cast<uint32_t>(this->numberings.size());
  Numbering& numbering =
      this->numberings
          .try_emplace(channel, Numbering{.channel_number = next_channel})
          .first->second;
  const std::string plain =
      EncodeFields(SealedHead{.from = this->instance.value,
                              .kind = static_cast<uint16_t>(packet.kind),
                              .clock_ms = packet.clock_ms,
                              .clock_logical = packet.clock_logical}) +
      packet.payload;
  std::string out(kHeaderBytes + plain.size() + kTagBytes, '\0');
  out[0] = static_cast<char>(kVersion);
  WriteNumber(this->boot.value, out.data() + kBootAt);
  WriteNumber(numbering.channel_number, out.data() + kChannelAt);
  WriteNumber(numbering.next_number++, out.data() + kNumberAt);
  const Nonce nonce = NonceOf(std::string_view(out).substr(0, kHeaderBytes));
  crypto_aead_xchacha20poly1305_ietf_encrypt(
      MutableBytes(out) + kHeaderBytes, nullptr, AsBytes(plain), plain.size(),
      AsBytes(out), kHeaderBytes, nullptr, nonce.data(),
      AsBytes(this->key.bytes));
  return out;
}

Opener::Opener(FleetKey fleet_key) : key(std::move(fleet_key)) {}

leaf::result<Opened> Opener::Open(std::string_view bytes) {
  BOOST_LEAF_AUTO(decrypted, Decrypt(this->key, bytes));
  BOOST_LEAF_AUTO(plain, ReadPlain(decrypted));
  const auto boot = ReadNumber<uint64_t>(bytes.substr(kBootAt));
  const auto channel_number = ReadNumber<uint32_t>(bytes.substr(kChannelAt));
  const auto number = ReadNumber<uint64_t>(bytes.substr(kNumberAt));
  SealedHead& head = plain.head;
  Window& window = this->windows[{head.from, boot, channel_number}];
  if (number > window.newest) {
    const uint64_t step = number - window.newest;
    window.seen = step >= kReplayWindow ? 0 : window.seen << step;
    window.seen |= 1;
    window.newest = number;
  } else {
    const uint64_t behind = window.newest - number;
    const bool taken =
        behind >= kReplayWindow || ((window.seen >> behind) & 1) != 0;
    if (taken) return leaf::new_error(Error{ErrorKind::kReplayed});
    window.seen |= uint64_t{1} << behind;
  }
  return Opened{.from = InstanceId(head.from),
                .boot = BootId(boot),
                .packet = Packet{.kind = static_cast<Kind>(head.kind),
                                 .payload = std::move(plain.payload),
                                 .clock_ms = head.clock_ms,
                                 .clock_logical = head.clock_logical}};
}

}  // namespace samphirebank::wire
