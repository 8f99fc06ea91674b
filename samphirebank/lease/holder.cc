#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>
#include <vector>

#include "samphirebank/lease/internal/snapshot_copy.h"
#include "samphirebank/lease/lease.h"

namespace samphirebank::lease {
namespace {

constexpr size_t kMaxPendingPolls = 16;
constexpr size_t kMaxPeers = 6;

// Distance ranks control instances: those in the holder's availability zone
// come first, then those in its region.
int Distance(const Participant& self, const ControlSeed& control) {
  if (control.zone == self.zone && control.region == self.region) return 0;
  return control.region == self.region ? 1 : 2;
}

// TieBreakHash orders control instances at the same distance differently for
// each holder, which spreads the load over them.
uint64_t TieBreakHash(const Holder& holder, const net::SocketAddress& address) {
  const std::string text = address.ToText();
  return XXH3_64bits_withSeed(text.data(), text.size(), holder.options.seed);
}

// Candidates returns the instances to poll, in order of preference: control
// instances first, then routers.
std::vector<net::SocketAddress> Candidates(const Holder& holder) {
  std::vector<ControlSeed> controls = holder.options.controls;
  const auto key = [&](const ControlSeed& control) {
    return std::pair(Distance(holder.options.self, control),
                     TieBreakHash(holder, control.address));
  };
  std::ranges::sort(controls, {}, key);
  std::vector<net::SocketAddress> addresses;
  addresses.reserve(controls.size() + holder.peers.size());
  for (const ControlSeed& control : controls) {
    addresses.push_back(control.address);
  }
  addresses.insert(addresses.end(), holder.peers.begin(), holder.peers.end());
  return addresses;
}

// ChooseCandidate returns the instance to poll now, or nullopt if there are no
// candidates.
std::optional<net::SocketAddress> ChooseCandidate(Holder& holder,
                                                  TimePoint now) {
  const std::vector<net::SocketAddress> candidates = Candidates(holder);
  if (candidates.empty()) return std::nullopt;
  if (now >= holder.next_nearest_at) {
    holder.candidate_index = 0;
    holder.next_nearest_at = now + holder.options.prefer_nearest_interval;
  }
  return candidates[holder.candidate_index % candidates.size()];
}

// EvictPendingPolls removes polls that are too old for their response to give a
// valid lease.
void EvictPendingPolls(Holder& holder, TimePoint now) {
  std::erase_if(holder.pending_polls, [&](const auto& entry) {
    return now - entry.second.sent_at >=
           holder.options.parameters.lease_duration;
  });
  if (holder.pending_polls.size() > kMaxPendingPolls) {
    holder.pending_polls.erase(holder.pending_polls.begin());
  }
}

// HasTimedOut returns whether the newest poll has waited for its response for
// the response timeout.
bool HasTimedOut(const Holder& holder, TimePoint now) {
  if (holder.pending_polls.empty()) return false;
  const Holder::PendingPoll& newest = holder.pending_polls.rbegin()->second;
  return now - newest.sent_at >= holder.options.response_timeout;
}

ConfigPoll MakePoll(Holder& holder, TimePoint now) {
  ConfigPoll poll{.nonce = holder.next_nonce++,
                  .requester = holder.options.self};
  poll.revision = holder.history.configuration.revision;
  poll.lease_left_ns = LeaseLeft(holder, now).count();
  poll.include_peers = holder.peers.size() < kMaxPeers / 2;
  if (holder.copy && holder.copy->complete) {
    poll.revision = holder.copy->staged.configuration.revision;
  } else if (holder.copy) {
    poll.copy_after = holder.copy->after;
  }
  return poll;
}

// RecordLocation records the region and availability zone of a control
// instance.
void RecordLocation(Holder& holder, const net::SocketAddress& address,
                    const ConfigUpdate& update) {
  for (ControlSeed& control : holder.options.controls) {
    if (control.address != address) continue;
    control.region = update.region;
    control.zone = update.zone;
  }
}

void AddPeers(Holder& holder, const ConfigUpdate& update) {
  for (const net::SocketAddress& peer : update.peers) {
    if (peer == holder.options.self.address) continue;
    if (std::ranges::count(holder.peers, peer) == 0) {
      holder.peers.push_back(peer);
    }
  }
  if (holder.peers.size() > kMaxPeers) {
    const auto surplus =
        static_cast<std::ptrdiff_t>(holder.peers.size() - kMaxPeers);
    holder.peers.erase(holder.peers.begin(), holder.peers.begin() + surplus);
  }
}

// PromoteIfSatisfied moves a proof to `satisfied_proof` if all its changes have
// been applied, and returns whether it did.
bool PromoteIfSatisfied(Holder& holder, std::optional<Proof>& proof) {
  if (!proof || holder.history.configuration.revision < proof->revision) {
    return false;
  }
  if (!holder.satisfied_proof || holder.satisfied_proof->basis < proof->basis) {
    holder.satisfied_proof = proof;
  }
  proof.reset();
  return true;
}

// PromoteProof promotes the pending proofs whose changes have been applied.
void PromoteProof(Holder& holder) {
  if (PromoteIfSatisfied(holder, holder.newest_pending)) holder.pending.reset();
  if (PromoteIfSatisfied(holder, holder.pending)) {
    holder.pending = std::exchange(holder.newest_pending, std::nullopt);
  }
}

bool ApplyContent(Holder& holder, const ConfigUpdate& update) {
  if (update.piece) {
    AddPiece(holder, *update.piece);
    return ApplyChangesToCopy(holder, {});
  }
  if (holder.copy) return ApplyChangesToCopy(holder, update.changes);
  const Revision before = holder.history.configuration.revision;
  contracts::ApplyChanges(holder.history, update.changes);
  return holder.history.configuration.revision != before;
}

bool IsLeaseLow(const Holder& holder, TimePoint now) {
  return LeaseLeft(holder, now) < holder.options.parameters.lease_duration / 2;
}

// SwitchCandidate selects another instance to poll after one whose lease was
// short. After a router it returns to the control instances, so that two
// routers do not keep relaying the same proof to each other.
void SwitchCandidate(Holder& holder) {
  const size_t controls = holder.options.controls.size();
  const size_t candidates = controls + holder.peers.size();
  if (candidates == 0) return;
  const bool is_router = holder.candidate_index % candidates >= controls;
  holder.candidate_index = is_router ? 0 : holder.candidate_index + 1;
}

// PollInterval returns a shorter interval while little of the lease is left, so
// that a new leader's first proof arrives before the lease expires.
Duration PollInterval(const Holder& holder, TimePoint now) {
  const HolderOptions& options = holder.options;
  return IsLeaseLow(holder, now)
             ? std::min(options.response_timeout, options.poll_interval)
             : options.poll_interval;
}

// IsBehind returns whether the responder has changes that the holder has not
// applied.
bool IsBehind(const Holder& holder, const ConfigUpdate& update) {
  return holder.copy || holder.history.configuration.revision < update.revision;
}

}  // namespace

Holder MakeHolder(HolderOptions options) {
  Holder holder;
  holder.options = std::move(options);
  // A response to a poll of an earlier boot must not match a poll of this one.
  const uint64_t boot = holder.options.self.boot.value;
  holder.next_nonce = XXH3_64bits_withSeed(&boot, sizeof(boot), 0) >> 1;
  return holder;
}

std::vector<OutgoingPoll> OnTimer(Holder& holder, TimePoint now) {
  EvictPendingPolls(holder, now);
  if (now < holder.next_poll_at) return {};
  if (HasTimedOut(holder, now)) ++holder.candidate_index;
  const std::optional<net::SocketAddress> to = ChooseCandidate(holder, now);
  if (!to) return {};
  OutgoingPoll send{.to = *to, .poll = MakePoll(holder, now)};
  holder.pending_polls[send.poll.nonce] = {.sent_at = now, .to = *to};
  // A response resets this to the regular interval.
  holder.next_poll_at = now + holder.options.response_timeout;
  return {std::move(send)};
}

bool OnUpdate(Holder& holder, const ConfigUpdate& update, TimePoint now) {
  const auto found = holder.pending_polls.find(update.nonce);
  if (found == holder.pending_polls.end()) return false;
  const Holder::PendingPoll poll = found->second;
  holder.pending_polls.erase(holder.pending_polls.begin(), std::next(found));
  RecordLocation(holder, poll.to, update);
  AddPeers(holder, update);
  if (update.leader) holder.leader = update.leader;
  if (update.leader_operator) holder.leader_operator = update.leader_operator;
  Duration& lease_duration = holder.options.parameters.lease_duration;
  lease_duration = std::min(lease_duration, Duration(update.lease_duration_ns));
  const bool changed = ApplyContent(holder, update);
  if (update.lease_age_ns && *update.lease_age_ns >= 0) {
    const Duration age = AddDriftMargin(holder.options.parameters,
                                        Duration(*update.lease_age_ns));
    AdoptProof(holder, {.basis = poll.sent_at - age,
                        .revision = update.proof_revision});
  } else {
    ++holder.candidate_index;
  }
  PromoteProof(holder);
  if (update.lease_age_ns && IsLeaseLow(holder, now)) SwitchCandidate(holder);
  if (IsBehind(holder, update)) {
    holder.next_poll_at = now + holder.options.copy_interval;
  } else if (update.lease_age_ns) {
    holder.next_poll_at = poll.sent_at + PollInterval(holder, now);
  }
  return changed;
}

void AdoptProof(Holder& holder, const Proof& proof) {
  std::optional<Proof>& slot =
      holder.pending ? holder.newest_pending : holder.pending;
  if (!slot || slot->basis < proof.basis) slot = proof;
  PromoteProof(holder);
}

Duration LeaseLeft(const Holder& holder, TimePoint now) {
  if (!holder.satisfied_proof) return Duration(0);
  const TimePoint end =
      holder.satisfied_proof->basis + holder.options.parameters.lease_duration;
  return std::max<Duration>(Duration::zero(), end - now);
}

bool MayAct(const Holder& holder, TimePoint now) {
  return LeaseLeft(holder, now) > Duration(0);
}

}  // namespace samphirebank::lease
