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

// Distance orders control instances: the own availability zone first.
int Distance(const Participant& self, const ControlSeed& control) {
  if (control.zone == self.zone && control.region == self.region) return 0;
  return control.region == self.region ? 1 : 2;
}

// Order spreads the instances that are equally far over the askers.
uint64_t TieBreaker(const Holder& holder, const net::SocketAddress& address) {
  const std::string text = address.ToText();
  return XXH3_64bits_withSeed(text.data(), text.size(), holder.options.seed);
}

// Candidates returns whom to ask, the best first.
std::vector<net::SocketAddress> Candidates(const Holder& holder) {
  std::vector<ControlSeed> controls = holder.options.controls;
  const auto key = [&](const ControlSeed& control) {
    return std::pair(Distance(holder.options.self, control),
                     TieBreaker(holder, control.address));
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

// Choose returns whom to ask now; nothing if there is nobody.
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

// EvictPendingPolls forgets polls whose answer could not give a lease any more.
void EvictPendingPolls(Holder& holder, TimePoint now) {
  std::erase_if(holder.pending_polls, [&](const auto& entry) {
    return now - entry.second.sent_at >=
           holder.options.parameters.lease_duration;
  });
  if (holder.pending_polls.size() > kMaxPendingPolls) {
    holder.pending_polls.erase(holder.pending_polls.begin());
  }
}

// HasTimedOut tells whether the newest poll has waited too long.
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

// RecordLocation notes where a control instance stands.
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

// PromoteProof makes the awaiting proof usable once its changes are here.
void PromoteProof(Holder& holder) {
  if (!holder.pending_proof) return;
  if (holder.history.configuration.revision < holder.pending_proof->revision)
    return;
  if (!holder.satisfied_proof ||
      holder.satisfied_proof->basis < holder.pending_proof->basis) {
    holder.satisfied_proof = holder.pending_proof;
  }
  holder.pending_proof.reset();
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

// SwitchCandidate turns away from whoever gave a low lease. From a router it
// turns back to control, so that two routers do not live off each other's
// leases.
void SwitchCandidate(Holder& holder) {
  const size_t controls = holder.options.controls.size();
  const size_t candidates = controls + holder.peers.size();
  if (candidates == 0) return;
  const bool is_peer = holder.candidate_index % candidates >= controls;
  holder.candidate_index = is_peer ? 0 : holder.candidate_index + 1;
}

// PollInterval is short while the lease runs low, so that a new leader's first
// proof is picked up before the lease ends.
Duration PollInterval(const Holder& holder, TimePoint now) {
  const HolderOptions& options = holder.options;
  return IsLeaseLow(holder, now)
             ? std::min(options.response_timeout, options.poll_interval)
             : options.poll_interval;
}

// IsBehind tells whether the answerer has more than this holder took in.
bool IsBehind(const Holder& holder, const ConfigUpdate& update) {
  return holder.copy || holder.history.configuration.revision < update.revision;
}

}  // namespace

Holder MakeHolder(HolderOptions options) {
  Holder holder;
  holder.options = std::move(options);
  // An answer to a poll of an earlier run must not match one of this run.
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
  // An answer moves this to the regular interval.
  holder.next_poll_at = now + holder.options.response_timeout;
  return {std::move(send)};
}

bool OnUpdate(Holder& holder, const ConfigUpdate& update, TimePoint now) {
  const auto found = holder.pending_polls.find(update.nonce);
  if (found == holder.pending_polls.end()) return false;
  const Holder::PendingPoll pending = found->second;
  holder.pending_polls.erase(holder.pending_polls.begin(), std::next(found));
  RecordLocation(holder, pending.to, update);
  AddPeers(holder, update);
  if (update.leader) holder.leader = update.leader;
  if (update.leader_operator) holder.leader_operator = update.leader_operator;
  Duration& length = holder.options.parameters.lease_duration;
  length = std::min(length, Duration(update.lease_duration_ns));
  const bool changed = ApplyContent(holder, update);
  if (update.lease_age_ns && *update.lease_age_ns >= 0) {
    const Duration age = AddDriftMargin(holder.options.parameters,
                                        Duration(*update.lease_age_ns));
    AdoptProof(holder, {.basis = pending.sent_at - age,
                        .revision = update.proof_revision});
  } else {
    ++holder.candidate_index;
  }
  PromoteProof(holder);
  if (update.lease_age_ns && IsLeaseLow(holder, now)) SwitchCandidate(holder);
  if (IsBehind(holder, update)) {
    holder.next_poll_at = now + holder.options.copy_interval;
  } else if (update.lease_age_ns) {
    holder.next_poll_at = pending.sent_at + PollInterval(holder, now);
  }
  return changed;
}

void AdoptProof(Holder& holder, const Proof& proof) {
  if (!holder.pending_proof || holder.pending_proof->basis < proof.basis) {
    holder.pending_proof = proof;
  }
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
