#include <utility>

#include "samphirebank/claims/claims.h"

namespace samphirebank::claims {
namespace {

bool IsEnd(const ClaimRequest& request) {
  return std::holds_alternative<End>(request.action);
}

void QueueRequest(Client& client, ClaimRequest request, TimePoint now) {
  const uint64_t number = request.id.number;
  client.pending[number] =
      PendingRequest{.request = std::move(request), .next_send = now};
}

}  // namespace

ClaimId BeginClaim(Client& client, const ClaimKey& key, const Digest& digest,
                   const RetentionLimits& retention, TimePoint now) {
  ClaimId id{.owner = client.options.owner, .number = client.next_number++};
  QueueRequest(
      client,
      ClaimRequest{.id = id,
                   .key = key,
                   .action = Claim{.digest = digest, .limits = retention}},
      now);
  return id;
}

void EndClaim(Client& client, const ClaimId& id, End end, TimePoint now) {
  const auto granted = client.granted.find(id.number);
  if (granted != client.granted.end()) {
    const ClaimKey key = granted->second;
    client.granted.erase(granted);
    QueueRequest(client,
                 ClaimRequest{.id = id, .key = key, .action = std::move(end)},
                 now);
    return;
  }
  const auto pending = client.pending.find(id.number);
  if (pending == client.pending.end() || IsEnd(pending->second.request)) {
    return;
  }
  const ClaimKey key = pending->second.request.key;
  QueueRequest(client,
               ClaimRequest{.id = id, .key = key, .action = std::move(end)},
               now);
}

std::optional<ClaimResult> OnReply(Client& client, const ClaimReply& reply,
                                   TimePoint now) {
  const uint64_t number = reply.id.number;
  if (reply.id.owner != client.options.owner) return std::nullopt;
  if (client.granted.contains(number)) return std::nullopt;
  const auto pending = client.pending.find(number);
  if (pending == client.pending.end()) {
    // The end of this claim reached control before the claim itself, so control
    // granted a claim that had already ended. Release the grant.
    if (reply.decision == Decision::kGranted) {
      QueueRequest(
          client,
          ClaimRequest{.id = reply.id,
                       .key = reply.key,
                       .action = End{.kind = EndKind::kNotRun, .response = {}}},
          now);
    }
    return std::nullopt;
  }
  if (IsEnd(pending->second.request)) {
    if (reply.decision == Decision::kEnded) client.pending.erase(pending);
    return std::nullopt;
  }
  if (reply.decision == Decision::kEnded) return std::nullopt;
  client.pending.erase(pending);
  if (reply.decision == Decision::kGranted) {
    client.granted.emplace(number, reply.key);
  }
  return ClaimResult{
      .id = reply.id, .decision = reply.decision, .response = reply.response};
}

std::vector<ClaimRequest> TakeDueRequests(Client& client, TimePoint now) {
  std::vector<ClaimRequest> due;
  for (auto& [number, pending] : client.pending) {
    if (pending.next_send > now) continue;
    due.push_back(pending.request);
    pending.next_send = now + client.options.resend_interval;
  }
  return due;
}

}  // namespace samphirebank::claims
