#include <sodium.h>

#include <array>
#include <string>
#include <string_view>

#include "samphirebank/contracts/contracts.h"

namespace samphirebank::contracts {

std::string KeyHash(std::string_view api_key) {
  std::array<unsigned char, crypto_generichash_BYTES> digest{};
  crypto_generichash(digest.data(), digest.size(),
                     reinterpret_cast<const unsigned char*>(api_key.data()),
                     api_key.size(), nullptr, 0);
  std::string hex(digest.size() * 2 + 1, '\0');
  sodium_bin2hex(hex.data(), hex.size(), digest.data(), digest.size());
  hex.pop_back();
  return hex;
}

}  // namespace samphirebank::contracts
