// File: compact.h
//
// Steps for cereal archives that spend few bytes on the small numbers, short
// texts and short lists of which messages between routers and schedulers
// mostly consist.
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

// kMaxItems caps a list and kMaxText a text, so that a malformed length asks
// for no memory.
inline constexpr uint64_t kMaxItems = 1 << 16;
inline constexpr uint64_t kMaxText = 1 << 10;

// Number archives an unsigned integer, seven bits a byte, the lowest first.
template <typename Archive, typename Integer>
void Number(Archive& archive, Integer& number) {
  static_assert(std::is_unsigned_v<Integer>);
  if constexpr (Archive::is_saving::value) {
    uint64_t rest = number;
    while (rest >= 0x80) {
      auto low = static_cast<uint8_t>(rest | 0x80);
      archive(low);
      rest >>= 7;
    }
    auto last = static_cast<uint8_t>(rest);
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

// Signed archives a signed integer, small absolute values in few bytes.
template <typename Archive>
void Signed(Archive& archive, int64_t& number) {
  uint64_t bits = (static_cast<uint64_t>(number) << 1) ^
                  static_cast<uint64_t>(number >> 63);
  Number(archive, bits);
  number = static_cast<int64_t>((bits >> 1) ^ (~(bits & 1) + 1));
}

// Text archives a short text.
template <typename Archive>
void Text(Archive& archive, std::string& text) {
  uint64_t size = text.size();
  Number(archive, size);
  if (size > kMaxText) throw std::range_error("text too long");
  text.resize(size);
  for (char& byte : text) archive(byte);
}

// Address archives a socket address.
template <typename Archive>
void Address(Archive& archive, net::SocketAddress& address) {
  Text(archive, address.ip);
  Number(archive, address.port);
}

// Pool archives a pool's id.
template <typename Archive>
void Pool(Archive& archive, PoolId& pool) {
  Text(archive, pool.region.value);
  Text(archive, pool.service.value);
}

// List archives a short list.
template <typename Archive, typename Item>
void List(Archive& archive, std::vector<Item>& items) {
  uint64_t size = items.size();
  Number(archive, size);
  if (size > kMaxItems) throw std::range_error("list too long");
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

// Rounded archives a number that need not be exact, as an integer.
template <typename Archive>
void Rounded(Archive& archive, double& number) {
  constexpr double kLargest = 9e18;
  int64_t rounded = 0;
  if constexpr (Archive::is_saving::value) {
    const double bounded = std::clamp(number, -kLargest, kLargest);
    rounded = std::isnan(number) ? 0 : std::llround(bounded);
  }
  Signed(archive, rounded);
  if constexpr (!Archive::is_saving::value) {
    number = static_cast<double>(rounded);
  }
}

// Rare archives a value that mostly is zero.
template <typename Archive, typename Value>
void Rare(Archive& archive, Value& value) {
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
