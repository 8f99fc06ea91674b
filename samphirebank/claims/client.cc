#include <utility>

#include "samphirebank/claims/claims.h"

namespace samphirebank::claims {
namespace {

bool IsEnd(const ClaimRequest& request) {
  return std::holds_alternative<End>(request.action);
}

void File(Client& client, ClaimRequest request, TimePoint now) {
  const uint64_t number = request.id.number;
  client.pending[number] =
      PendingRequest{.request = std::move(request), .next_send = now};
}

}  // namespace

ClaimId BeginClaim(Client& client, const ClaimKey& key, const Digest& digest,
                   const KeepLimits& keep, TimePoint now) {
  ClaimId id{.owner = client.options.owner, .number = client.next_number++};
  File(client,
       ClaimRequest{.id = id,
                    .key = key,
                    .action = Claim{.digest = digest, .keep = keep}},
       now);
  return id;
}

void EndClaim(Client& client, const ClaimId& id, End end, TimePoint now) {
  const auto granted = client.granted.find(id.number);
  if (granted != client.granted.end()) {
    const ClaimKey key = granted->second;
    client.granted.erase(granted);
    File(client, ClaimRequest{.id = id, .key = key, .action = std::move(end)},
         now);
    return;
  }
  const auto pending = client.pending.find(id.number);
  if (pending == client.pending.end() || IsEnd(pending->second.request)) {
    return;
  }
  const ClaimKey key = pending->second.request.key;
  File(client, ClaimRequest{.id = id, .key = key, .action = std::move(end)},
       now);
}

std::optional<Answered> OnReply(Client& client, const ClaimReply& reply,
                                TimePoint now) {
  const uint64_t number = reply.id.number;
  if (reply.id.owner != client.options.owner) return std::nullopt;
  if (client.granted.contains(number)) return std::nullopt;
  const auto pending = client.pending.find(number);
  if (pending == client.pending.end()) {
    // A claim that was overtaken by its end, and granted afterwards.
    if (reply.decision == Decision::kGranted) {
      File(client,
           ClaimRequest{.id = reply.id,
                        .key = reply.key,
                        .action = End{.kind = EndKind::kNotRun, .answer = {}}},
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
  return Answered{
      .id = reply.id, .decision = reply.decision, .answer = reply.answer};
}

std::vector<ClaimRequest> TakeDue(Client& client, TimePoint now) {
  std::vector<ClaimRequest> due;
  for (auto& [number, pending] : client.pending) {
    if (pending.next_send > now) continue;
    due.push_back(pending.request);
    pending.next_send = now + client.options.resend_after;
  }
  return due;
}

}  // namespace samphirebank::claims
