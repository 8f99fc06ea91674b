// File: compact.h
//
// Compact encodings for cereal archives. The messages between routers and
// schedulers consist mostly of small numbers, short strings and short lists,
// and these take few bytes here.
#ifndef SAMPHIREBANK_SHARING_INTERNAL_COMPACT_H_
#define SAMPHIREBANK_SHARING_INTERNAL_COMPACT_H_

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <type_traits>
#include <vector>

#include "samphirebank/base/base.h"
#include "samphirebank/net/net.h"

namespace samphirebank::sharing::internal {

// kMaxListLength (items) and kMaxStringLength (bytes) bound the memory that a
// malformed length can make the decoder allocate.
inline constexpr uint64_t kMaxListLength = 1 << 16;
inline constexpr uint64_t kMaxStringLength = 1 << 10;

// ArchiveVarint archives an unsigned integer as a varint: seven bits in each
// byte, least significant group first. Throws std::range_error if the encoded
// value is too long or does not fit into Integer.
template <typename Archive, typename Integer>
void ArchiveVarint(Archive& archive, Integer& number) {
  static_assert(std::is_unsigned_v<Integer>);
  if constexpr (Archive::is_saving::value) {
    uint64_t remaining = number;
    while (remaining >= 0x80) {
      auto low = static_cast<uint8_t>(remaining | 0x80);
      archive(low);
      remaining >>= 7;
    }
    auto last = static_cast<uint8_t>(remaining);
    archive(last);
  } else {
    uint64_t value = 0;
    uint8_t byte = 0x80;
    for (int shift = 0; (byte & 0x80) != 0; shift += 7) {
      if (shift > 63) throw std::range_error("number too long");
      archive(byte);
      value |= static_cast<uint64_t>(byte & 0x7f) << shift;
    }
    number = static_cast<Integer>(value);
    if (number != value) throw std::range_error("number too large");
  }
}

// ArchiveSigned archives a signed integer with zigzag encoding, so that small
// absolute values take few bytes.
template <typename Archive>
void ArchiveSigned(Archive& archive, int64_t& number) {
  uint64_t bits = (static_cast<uint64_t>(number) << 1) ^
                  static_cast<uint64_t>(number >> 63);
  ArchiveVarint(archive, bits);
  number = static_cast<int64_t>((bits >> 1) ^ (~(bits & 1) + 1));
}

// ArchiveString archives a string. Throws std::range_error if it is longer than
// kMaxStringLength.
template <typename Archive>
void ArchiveString(Archive& archive, std::string& text) {
  uint64_t size = text.size();
  ArchiveVarint(archive, size);
  if (size > kMaxStringLength) throw std::range_error("text too long");
  text.resize(size);
  for (char& byte : text) archive(byte);
}

// ArchiveAddress archives a socket address.
template <typename Archive>
void ArchiveAddress(Archive& archive, net::SocketAddress& address) {
  ArchiveString(archive, address.ip);
  ArchiveVarint(archive, address.port);
}

// ArchivePool archives a pool's id.
template <typename Archive>
void ArchivePool(Archive& archive, PoolId& pool) {
  ArchiveString(archive, pool.region.value);
  ArchiveString(archive, pool.service.value);
}

// ArchiveList archives a list. Throws std::range_error if it is longer than
// kMaxListLength.
template <typename Archive, typename Item>
void ArchiveList(Archive& archive, std::vector<Item>& items) {
  uint64_t size = items.size();
  ArchiveVarint(archive, size);
  if (size > kMaxListLength) throw std::range_error("list too long");
  if constexpr (Archive::is_saving::value) {
    for (Item& item : items) archive(item);
  } else {
    items.clear();
    for (uint64_t i = 0; i < size; ++i) {
      Item item;
      archive(item);
      items.push_back(item);
    }
  }
}

// ArchiveRounded archives a number, rounded to an integer and clamped to
// +-9e18, which fits into int64_t; NaN becomes 0.
template <typename Archive>
void ArchiveRounded(Archive& archive, double& number) {
  constexpr double kMaxMagnitude = 9e18;
  int64_t rounded = 0;
  if constexpr (Archive::is_saving::value) {
    const double bounded = std::clamp(number, -kMaxMagnitude, kMaxMagnitude);
    rounded = std::isnan(number) ? 0 : std::llround(bounded);
  }
  ArchiveSigned(archive, rounded);
  if constexpr (!Archive::is_saving::value) {
    number = static_cast<double>(rounded);
  }
}

// ArchiveOptional archives a value that is usually zero: one byte for presence,
// then the value unless it is zero.
template <typename Archive, typename Value>
void ArchiveOptional(Archive& archive, Value& value) {
  bool present = value != Value();
  archive(present);
  if (present) {
    archive(value);
  } else {
    value = Value();
  }
}

}  // namespace samphirebank::sharing::internal

#endif  // SAMPHIREBANK_SHARING_INTERNAL_COMPACT_H_
