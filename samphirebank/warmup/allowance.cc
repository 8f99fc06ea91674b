#include <algorithm>
#include <utility>

#include "samphirebank/warmup/warmup.h"

namespace samphirebank::warmup {

bool IsValid(const Token& token, SuspendAwareTime now) {
  return now < token.expires_at;
}

WarmupRequest BuildRequest(Allowance& allowance,
                           std::vector<LimitedTarget> targets,
                           SuspendAwareTime now) {
  if (targets.size() > kMaxTargetsPerRequest) {
    targets.resize(kMaxTargetsPerRequest);
  }
  WarmupRequest request{.number = allowance.next_number++,
                        .targets = std::move(targets)};
  allowance.asked_at[request.number] = now;
  return request;
}

size_t RecordGrant(Allowance& allowance, const WarmupGrant& grant,
                   SuspendAwareTime now) {
  const auto asked = allowance.asked_at.find(grant.number);
  if (asked == allowance.asked_at.end()) return 0;
  // The validity counts from the request, which was sent before the grant was
  // made, so that a delayed grant is valid for no longer.
  const SuspendAwareTime expires_at = asked->second + kTokenValidity;
  allowance.asked_at.erase(asked);
  if (now >= expires_at) {
    allowance.num_expired += grant.targets.size();
    return 0;
  }
  for (const IdHash target : grant.targets) {
    allowance.tokens[target].push_back(
        {.target = target, .expires_at = expires_at});
  }
  return grant.targets.size();
}

bool HasToken(const Allowance& allowance, const TargetId& target,
              SuspendAwareTime now) {
  const auto found = allowance.tokens.find(fleetload::HashId(target.value));
  return found != allowance.tokens.end() &&
         std::ranges::any_of(found->second, [now](const Token& token) {
           return IsValid(token, now);
         });
}

std::optional<Token> TakeToken(Allowance& allowance, const TargetId& target,
                               SuspendAwareTime now) {
  const auto found = allowance.tokens.find(fleetload::HashId(target.value));
  if (found == allowance.tokens.end()) return std::nullopt;
  std::vector<Token>& tokens = found->second;
  const auto last = std::ranges::max_element(tokens, {}, &Token::expires_at);
  if (last == tokens.end() || !IsValid(*last, now)) return std::nullopt;
  const Token taken = *last;
  tokens.erase(last);
  return taken;
}

void ReturnToken(Allowance& allowance, const Token& token) {
  allowance.tokens[token.target].push_back(token);
}

void EvictExpired(Allowance& allowance, SuspendAwareTime now) {
  for (auto& [target, tokens] : allowance.tokens) {
    allowance.num_expired += std::erase_if(
        tokens, [now](const Token& token) { return !IsValid(token, now); });
  }
  std::erase_if(allowance.tokens,
                [](const auto& item) { return item.second.empty(); });
  std::erase_if(allowance.asked_at, [now](const auto& item) {
    return now >= item.second + kTokenValidity;
  });
}

}  // namespace samphirebank::warmup
