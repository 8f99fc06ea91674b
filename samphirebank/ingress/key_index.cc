#include <sodium.h>

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>

#include "samphirebank/ingress/ingress.h"

namespace samphirebank::ingress {
namespace {

constexpr std::string_view kScheme = "Bearer ";

std::optional<std::string_view> BearerToken(std::string_view authorization) {
  if (authorization.substr(0, kScheme.size()) != kScheme) return std::nullopt;
  const std::string_view token = authorization.substr(kScheme.size());
  if (token.empty()) return std::nullopt;
  return token;
}

bool EqualInConstantTime(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         sodium_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace

KeyIndex IndexKeys(const contracts::Configuration& configuration) {
  KeyIndex index;
  for (const auto& [organisation, contract] : configuration.contracts) {
    for (const std::string& hash : contract.value.key_hashes) {
      index.organisations.emplace(hash, organisation);
    }
  }
  return index;
}

std::optional<OrganisationId> FindOrganisation(const KeyIndex& index,
                                               std::string_view authorization) {
  const auto token = BearerToken(authorization);
  if (!token) return std::nullopt;
  const std::string hash = contracts::KeyHash(*token);
  const auto found = index.organisations.find(hash);
  if (found == index.organisations.end()) return std::nullopt;
  if (!EqualInConstantTime(found->first, hash)) return std::nullopt;
  return found->second;
}

bool BearerMatches(std::string_view authorization, std::string_view expected) {
  const auto token = BearerToken(authorization);
  if (!token || expected.empty()) return false;
  return EqualInConstantTime(contracts::KeyHash(*token),
                             contracts::KeyHash(expected));
}

}  // namespace samphirebank::ingress
