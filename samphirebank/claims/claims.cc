#include "samphirebank/claims/claims.h"

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

#include "samphirebank/claims/internal/entries.h"

namespace samphirebank::claims {
namespace {

bool IsRunning(const Entry& entry) {
  return entry.phase == Phase::kRunning || entry.phase == Phase::kOrphaned;
}

bool HasCapacity(const State& state, const OrganisationId& organisation) {
  const auto found = state.usage.find(organisation);
  const uint32_t used = found == state.usage.end() ? 0 : found->second.claims;
  return used < state.limits.max_claims_per_organisation &&
         state.total.claims < state.limits.max_claims;
}

bool CanRetain(const State& state, const ClaimKey& key, const Entry& entry,
               const RecordedResponse& response) {
  const uint64_t len = internal::ResponseSize(response);
  if (entry.limits.max_age_s == 0 || len > entry.limits.max_bytes) return false;
  const auto found = state.usage.find(key.organisation);
  const uint64_t used =
      found == state.usage.end() ? 0 : found->second.response_bytes;
  return used + len <= state.limits.max_response_bytes_per_organisation &&
         state.total.response_bytes + len <= state.limits.max_response_bytes;
}

LogTime ExpiryAfter(const State& state, uint64_t age_ms) {
  return state.clock + LogTime(age_ms);
}

// UncertainExpiry returns the expiry of a claim whose operation may still run.
// It is never earlier than min_uncertain_age_ms from now, even if the contract
// allows a shorter retention.
LogTime UncertainExpiry(const State& state, const Entry& entry) {
  const uint64_t retention_ms = uint64_t{entry.limits.max_age_s} * 1000;
  return ExpiryAfter(state,
                     std::max(retention_ms, state.limits.min_uncertain_age_ms));
}

LogTime EndedExpiry(const State& state, const Entry& entry) {
  return ExpiryAfter(state, uint64_t{entry.limits.max_age_s} * 1000);
}

Decision DecisionFor(const Entry& entry, const ClaimId& id) {
  switch (entry.phase) {
    case Phase::kRunning:
      return entry.holder == id ? Decision::kGranted : Decision::kRunning;
    case Phase::kOrphaned:
      return Decision::kUnknown;
    case Phase::kRecorded:
      return Decision::kRecorded;
    case Phase::kRan:
      return Decision::kRan;
    case Phase::kUnknown:
      return Decision::kUnknown;
  }
  return Decision::kUnknown;
}

void SetPhase(State& state, const ClaimKey& key, Phase phase, LogTime expires) {
  Entry entry = state.entries.at(key);
  internal::Erase(state, key);
  entry.phase = phase;
  entry.expires = expires;
  internal::Insert(state, key, std::move(entry));
}

void ApplyClaim(State& state, const ClaimRequest& request, const Claim& claim,
                ClaimReply& reply) {
  if (request.key.key.empty() || request.key.key.size() > kMaxKeyBytes) {
    reply.decision = Decision::kInvalid;
    return;
  }
  const auto found = state.entries.find(request.key);
  if (found == state.entries.end()) {
    if (!HasCapacity(state, request.key.organisation)) {
      reply.decision = Decision::kFull;
      return;
    }
    internal::Insert(state, request.key,
                     Entry{.holder = request.id,
                           .digest = claim.digest,
                           .limits = claim.limits,
                           .phase = Phase::kRunning,
                           .expires = LogTime(0),
                           .response = {}});
    reply.decision = Decision::kGranted;
    return;
  }
  if (found->second.digest != claim.digest) {
    reply.decision = Decision::kMismatch;
    return;
  }
  if (found->second.phase == Phase::kOrphaned &&
      found->second.holder == request.id) {
    SetPhase(state, request.key, Phase::kRunning, LogTime(0));
  }
  const Entry& entry = state.entries.at(request.key);
  reply.decision = DecisionFor(entry, request.id);
  if (reply.decision == Decision::kRecorded) reply.response = entry.response;
}

void ApplyEnd(State& state, const ClaimRequest& request, const End& end,
              ClaimReply& reply) {
  reply.decision = Decision::kEnded;
  const auto found = state.entries.find(request.key);
  if (found == state.entries.end()) return;
  Entry entry = found->second;
  if (entry.holder != request.id || !IsRunning(entry)) return;
  internal::Erase(state, request.key);
  switch (end.kind) {
    case EndKind::kNotRun:
      return;
    case EndKind::kUnknown:
      entry.phase = Phase::kUnknown;
      entry.expires = UncertainExpiry(state, entry);
      break;
    case EndKind::kResponse:
      entry.phase = CanRetain(state, request.key, entry, end.response)
                        ? Phase::kRecorded
                        : Phase::kRan;
      entry.expires = EndedExpiry(state, entry);
      if (entry.phase == Phase::kRecorded) entry.response = end.response;
      break;
  }
  internal::Insert(state, request.key, std::move(entry));
}

ClaimReply ApplyRequest(State& state, const ClaimRequest& request) {
  ClaimReply reply{.id = request.id,
                   .key = request.key,
                   .decision = Decision::kEnded,
                   .response = {}};
  if (const auto* claim = std::get_if<Claim>(&request.action)) {
    ApplyClaim(state, request, *claim, reply);
  } else {
    ApplyEnd(state, request, std::get<End>(request.action), reply);
  }
  return reply;
}

void ApplyOwnerDead(State& state, const Owner& owner) {
  const auto found = state.running.find(owner);
  if (found == state.running.end()) return;
  const std::set<ClaimKey> keys = found->second;
  for (const ClaimKey& key : keys) {
    const LogTime expires = UncertainExpiry(state, state.entries.at(key));
    SetPhase(state, key, Phase::kOrphaned, expires);
  }
}

void EvictExpired(State& state) {
  while (!state.expiry.empty() && state.expiry.begin()->first <= state.clock) {
    const ClaimKey key = state.expiry.begin()->second;
    internal::Erase(state, key);
  }
}

}  // namespace

ClaimReply Apply(State& state, const Command& command) {
  state.clock += LogTime(command.elapsed_ms);
  EvictExpired(state);
  if (const auto* request = std::get_if<ClaimRequest>(&command.action)) {
    return ApplyRequest(state, *request);
  }
  if (const auto* dead = std::get_if<OwnerDead>(&command.action)) {
    ApplyOwnerDead(state, dead->owner);
  }
  return {};
}

Command ToCommand(ClaimRequest request, uint64_t elapsed_ms) {
  return Command{.elapsed_ms = elapsed_ms, .action = std::move(request)};
}

std::vector<Owner> RunningOwners(const State& state) {
  std::vector<Owner> owners;
  owners.reserve(state.running.size());
  for (const auto& [owner, keys] : state.running) owners.push_back(owner);
  return owners;
}

}  // namespace samphirebank::claims
