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

constexpr size_t kAskedLimit = 16;
constexpr size_t kPeerLimit = 6;

// Distance orders control instances: the own availability zone first.
int Distance(const Participant& self, const ControlSeed& control) {
  if (control.zone == self.zone && control.region == self.region) return 0;
  return control.region == self.region ? 1 : 2;
}

// Order spreads the instances that are equally far over the askers.
uint64_t Order(const Holder& holder, const net::SocketAddress& address) {
  const std::string text = address.ToText();
  return XXH3_64bits_withSeed(text.data(), text.size(), holder.options.seed);
}

// Candidates returns whom to ask, the best first.
std::vector<net::SocketAddress> Candidates(const Holder& holder) {
  std::vector<ControlSeed> controls = holder.options.controls;
  const auto key = [&](const ControlSeed& control) {
    return std::pair(Distance(holder.options.self, control),
                     Order(holder, control.address));
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
std::optional<net::SocketAddress> Choose(Holder& holder, TimePoint now) {
  const std::vector<net::SocketAddress> candidates = Candidates(holder);
  if (candidates.empty()) return std::nullopt;
  if (now >= holder.next_nearest) {
    holder.preference = 0;
    holder.next_nearest = now + holder.options.prefer_nearest_every;
  }
  return candidates[holder.preference % candidates.size()];
}

// DropUnanswered forgets polls whose answer could not give a lease any more.
void DropUnanswered(Holder& holder, TimePoint now) {
  std::erase_if(holder.asked, [&](const auto& entry) {
    return now - entry.second.sent_at >= holder.options.terms.length;
  });
  if (holder.asked.size() > kAskedLimit) {
    holder.asked.erase(holder.asked.begin());
  }
}

// AnswerIsLate tells whether the newest poll has waited too long.
bool AnswerIsLate(const Holder& holder, TimePoint now) {
  if (holder.asked.empty()) return false;
  const Holder::Asked& newest = holder.asked.rbegin()->second;
  return now - newest.sent_at >= holder.options.answer_timeout;
}

ConfigPoll MakePoll(Holder& holder, TimePoint now) {
  ConfigPoll poll{.nonce = holder.next_nonce++, .asker = holder.options.self};
  poll.have = holder.history.configuration.revision;
  poll.lease_left_ns = LeaseLeft(holder, now).count();
  poll.wants_peers = holder.peers.size() < kPeerLimit / 2;
  if (holder.copy && holder.copy->complete) {
    poll.have = holder.copy->staged.configuration.revision;
  } else if (holder.copy) {
    poll.copy_after = holder.copy->after;
  }
  return poll;
}

// LearnPlace notes where a control instance stands.
void LearnPlace(Holder& holder, const net::SocketAddress& address,
                const ConfigUpdate& update) {
  for (ControlSeed& control : holder.options.controls) {
    if (control.address != address) continue;
    control.region = update.region;
    control.zone = update.zone;
  }
}

void LearnPeers(Holder& holder, const ConfigUpdate& update) {
  for (const net::SocketAddress& peer : update.peers) {
    if (peer == holder.options.self.address) continue;
    if (std::ranges::count(holder.peers, peer) == 0) {
      holder.peers.push_back(peer);
    }
  }
  if (holder.peers.size() > kPeerLimit) {
    const auto surplus =
        static_cast<std::ptrdiff_t>(holder.peers.size() - kPeerLimit);
    holder.peers.erase(holder.peers.begin(), holder.peers.begin() + surplus);
  }
}

// PromoteProof makes the awaiting proof usable once its changes are here.
void PromoteProof(Holder& holder) {
  if (!holder.awaiting) return;
  if (holder.history.configuration.revision < holder.awaiting->revision) return;
  if (!holder.usable || holder.usable->basis < holder.awaiting->basis) {
    holder.usable = holder.awaiting;
  }
  holder.awaiting.reset();
}

bool TakeContent(Holder& holder, const ConfigUpdate& update) {
  if (update.piece) {
    TakePiece(holder, *update.piece);
    return TakeChangesIntoCopy(holder, {});
  }
  if (holder.copy) return TakeChangesIntoCopy(holder, update.changes);
  const Revision before = holder.history.configuration.revision;
  contracts::ApplyChanges(holder.history, update.changes);
  return holder.history.configuration.revision != before;
}

bool IsLow(const Holder& holder, TimePoint now) {
  return LeaseLeft(holder, now) < holder.options.terms.length / 2;
}

// AskAnother turns away from whoever gave a low lease. From a router it turns
// back to control, so that two routers do not live off each other's leases.
void AskAnother(Holder& holder) {
  const size_t controls = holder.options.controls.size();
  const size_t candidates = controls + holder.peers.size();
  if (candidates == 0) return;
  const bool is_peer = holder.preference % candidates >= controls;
  holder.preference = is_peer ? 0 : holder.preference + 1;
}

// PollInterval is short while the lease runs low, so that a new leader's first
// proof is picked up before the lease ends.
Duration PollInterval(const Holder& holder, TimePoint now) {
  const HolderOptions& options = holder.options;
  return IsLow(holder, now)
             ? std::min(options.answer_timeout, options.poll_interval)
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

std::vector<SendPoll> OnTimer(Holder& holder, TimePoint now) {
  DropUnanswered(holder, now);
  if (now < holder.next_poll) return {};
  if (AnswerIsLate(holder, now)) ++holder.preference;
  const std::optional<net::SocketAddress> to = Choose(holder, now);
  if (!to) return {};
  SendPoll send{.to = *to, .poll = MakePoll(holder, now)};
  holder.asked[send.poll.nonce] = {.sent_at = now, .to = *to};
  // An answer moves this to the regular interval.
  holder.next_poll = now + holder.options.answer_timeout;
  return {std::move(send)};
}

bool OnUpdate(Holder& holder, const ConfigUpdate& update, TimePoint now) {
  const auto found = holder.asked.find(update.nonce);
  if (found == holder.asked.end()) return false;
  const Holder::Asked asked = found->second;
  holder.asked.erase(holder.asked.begin(), std::next(found));
  LearnPlace(holder, asked.to, update);
  LearnPeers(holder, update);
  if (update.leader) holder.leader = update.leader;
  if (update.leader_operator) holder.leader_operator = update.leader_operator;
  Duration& length = holder.options.terms.length;
  length = std::min(length, Duration(update.lease_length_ns));
  const bool changed = TakeContent(holder, update);
  if (update.lease_age_ns && *update.lease_age_ns >= 0) {
    const Duration age =
        Stretch(holder.options.terms, Duration(*update.lease_age_ns));
    AdoptProof(holder,
               {.basis = asked.sent_at - age, .revision = update.proven});
  } else {
    ++holder.preference;
  }
  PromoteProof(holder);
  if (update.lease_age_ns && IsLow(holder, now)) AskAnother(holder);
  if (IsBehind(holder, update)) {
    holder.next_poll = now + holder.options.copy_gap;
  } else if (update.lease_age_ns) {
    holder.next_poll = asked.sent_at + PollInterval(holder, now);
  }
  return changed;
}

void AdoptProof(Holder& holder, const Proof& proof) {
  if (!holder.awaiting || holder.awaiting->basis < proof.basis) {
    holder.awaiting = proof;
  }
  PromoteProof(holder);
}

Duration LeaseLeft(const Holder& holder, TimePoint now) {
  if (!holder.usable) return Duration(0);
  const TimePoint end = holder.usable->basis + holder.options.terms.length;
  return std::max<Duration>(Duration::zero(), end - now);
}

bool MayAct(const Holder& holder, TimePoint now) {
  return LeaseLeft(holder, now) > Duration(0);
}

}  // namespace samphirebank::lease
