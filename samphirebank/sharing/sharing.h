// File: sharing.h
//
// The messages by which entry routers and pool schedulers share out targets.
//
// An entry router sends `Demand` to the scheduler of a pool; the scheduler
// answers with `Grant`. Any router forwards a target's `TargetState` to the
// scheduler of the target's pool. Schedulers of one service in two regions
// exchange `CounterShare`. A scheduler asks the coordinator of an organisation
// that has limits for its pool's part of them by `QuotaAsk`; the answer is
// `QuotaGrant`.
//
// Messages may be lost, doubled, reordered or late. All numbers are therefore
// absolute or cumulative, each side says which messages it received
// (`Receipts`), and spans of time are stated instead of clock readings.
//
// Example:
//
//   Receipts receipts;
//   if (!receipts.Add(demand.sequence)) return;  // seen before, or too old
#ifndef SAMPHIREBANK_SHARING_SHARING_H_
#define SAMPHIREBANK_SHARING_SHARING_H_

#include <cstdint>
#include <string>
#include <vector>

#include "samphirebank/base/base.h"
#include "samphirebank/contracts/contracts.h"
#include "samphirebank/net/net.h"
#include "samphirebank/sharing/internal/compact.h"
#include "samphirebank/wire/wire.h"

namespace samphirebank::sharing {

// Receipts says which sequence numbers (from 1) were received: the newest and
// which of the 64 before it.
struct Receipts {
  uint64_t newest = 0;
  // Bit i: number newest - 1 - i was received, or is below 1.
  uint64_t before = ~uint64_t{0};

  // Add records `sequence`; false if it was recorded before or is too old to
  // tell.
  bool Add(uint64_t sequence);

  // Contains says whether `sequence` is known to be received.
  bool Contains(uint64_t sequence) const;

  friend bool operator==(const Receipts&, const Receipts&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    // Mostly nothing is missing, which takes one byte.
    uint64_t missing = ~before;
    internal::Number(archive, newest);
    internal::Rare(archive, missing);
    before = ~missing;
  }
};

// OrganisationDemand is the state of one organisation's requests for one pool
// at one router.
struct OrganisationDemand {
  // Empty once the scheduler confirmed a demand that named this generation.
  OrganisationId organisation{};
  // Numbers the router's record; `charged` counts from 0 in each generation.
  uint32_t generation = 0;
  uint32_t waiting = 0;        // requests
  uint32_t running = 0;        // requests
  uint32_t estimate = 0;       // tokens, mean over the waiting requests
  bool cost_known = false;     // the estimate rests on ended requests
  uint32_t oldest_age_ms = 0;  // of the request that waits longest
  uint64_t prefix = 0;         // hash of that request's prefix; 0: none
  int64_t charged = 0;         // tokens: seen or, while more, estimated
  double counter = 0;          // the newest that a grant told; in full demands

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    internal::Text(archive, organisation.value);
    internal::Number(archive, generation);
    internal::Number(archive, waiting);
    internal::Number(archive, running);
    internal::Number(archive, estimate);
    archive(cost_known);
    internal::Number(archive, oldest_age_ms);
    internal::Rare(archive, prefix);
    internal::Signed(archive, charged);
    internal::Rounded(archive, counter);
  }
};

// TargetUse is what one router runs on one target; the totals are cumulative
// since the router's process started.
struct TargetUse {
  TargetId target{};     // empty if the scheduler's number of it is told
  uint64_t number = 0;   // of the target; 0: not known
  uint32_t running = 0;  // requests
  uint32_t failed = 0;   // requests, total
  uint64_t tokens = 0;   // seen from the target, total

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    internal::Text(archive, target.value);
    internal::Number(archive, number);
    internal::Number(archive, running);
    internal::Number(archive, failed);
    internal::Number(archive, tokens);
  }
};

// Demand tells a scheduler what changed at one router. A full one tells all.
struct Demand {
  static constexpr wire::Kind kKind = wire::Kind::kDemand;
  PoolId pool{};
  Epoch epoch{};
  uint64_t sequence = 0;
  bool full = false;
  net::SocketAddress reply_to{};  // the router's peer address
  Receipts grants{};
  std::vector<OrganisationDemand> organisations{};
  std::vector<TargetUse> targets{};

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    internal::Pool(archive, pool);
    internal::Number(archive, epoch.value);
    internal::Number(archive, sequence);
    archive(full);
    internal::Address(archive, reply_to);
    archive(grants);
    internal::List(archive, organisations);
    internal::List(archive, targets);
  }
};

// TargetTraits is what a target states of its own behaviour; one byte on the
// wire.
struct TargetTraits {
  bool can_resume = false;      // goes on with a cut stream
  bool echoes_id = false;       // names the request that it answers
  bool states_not_run = false;  // marks what it refused before running
  bool checks_fencing = false;  // refuses orders with a stale fencing number

  friend bool operator==(const TargetTraits&, const TargetTraits&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    auto bits = static_cast<uint8_t>(
        (this->can_resume ? 1U : 0U) | (this->echoes_id ? 2U : 0U) |
        (this->states_not_run ? 4U : 0U) | (this->checks_fencing ? 8U : 0U));
    archive(bits);
    this->can_resume = (bits & 1U) != 0;
    this->echoes_id = (bits & 2U) != 0;
    this->states_not_run = (bits & 4U) != 0;
    this->checks_fencing = (bits & 8U) != 0;
  }
};

// GrantItem lets a router dispatch `count` requests of one organisation. The
// target's name, address and traits are left out once the router confirmed a
// grant that told them with its number; `target` is empty then.
struct GrantItem {
  uint32_t generation = 0;  // of the organisation's record at the router
  uint64_t number = 0;      // of the target, given by the scheduler
  TargetId target{};
  net::SocketAddress address{};
  TargetTraits traits{};
  uint32_t count = 0;
  bool far = false;    // the target is in another region
  double counter = 0;  // the organisation's, after this grant

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    internal::Number(archive, generation);
    internal::Number(archive, number);
    internal::Text(archive, target.value);
    if (!target.value.empty()) {
      internal::Address(archive, address);
      archive(traits);
    }
    internal::Number(archive, count);
    archive(far);
    internal::Rounded(archive, counter);
  }
};

// QueueNotice tells a router how much of an organisation waits elsewhere, so
// that the contract's queue length holds over the fleet.
struct QueueNotice {
  OrganisationId organisation{};
  uint32_t waiting_elsewhere = 0;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    internal::Text(archive, organisation.value);
    internal::Number(archive, waiting_elsewhere);
  }
};

// Grant answers the newest received demand of one router. Its items expire
// `expires_ms` after it was made, and it was made no earlier than `held_ms`
// after that demand was sent.
struct Grant {
  static constexpr wire::Kind kKind = wire::Kind::kGrant;
  PoolId pool{};
  Epoch epoch{};
  uint64_t sequence = 0;
  Receipts demands{};
  uint32_t held_ms = 0;
  uint32_t expires_ms = 0;
  bool full_wanted = false;  // the next demand must be full
  bool backlogged = false;   // requests wait: report ends at once
  bool no_targets = false;   // in any region: refuse what waits
  std::vector<GrantItem> items{};
  std::vector<QueueNotice> notices{};

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    internal::Pool(archive, pool);
    internal::Number(archive, epoch.value);
    internal::Number(archive, sequence);
    archive(demands);
    internal::Number(archive, held_ms);
    internal::Number(archive, expires_ms);
    auto bits =
        static_cast<uint8_t>((full_wanted ? 1U : 0U) | (backlogged ? 2U : 0U) |
                             (no_targets ? 4U : 0U));
    archive(bits);
    full_wanted = (bits & 1U) != 0;
    backlogged = (bits & 2U) != 0;
    no_targets = (bits & 4U) != 0;
    internal::List(archive, items);
    internal::List(archive, notices);
  }
};

// TargetState is a target's own report. A target that restarts has a greater
// incarnation; within one, a greater sequence is newer.
struct TargetState {
  static constexpr wire::Kind kKind = wire::Kind::kTargetState;
  PoolId pool{};
  TargetId target{};
  net::SocketAddress address{};
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  contracts::TargetIntent intent = contracts::TargetIntent::kServing;
  uint32_t slots = 0;    // requests it says it can batch; 0: unknown
  uint32_t running = 0;  // requests in its batch
  uint32_t waiting = 0;  // requests admitted but not in its batch
  uint32_t age_ms = 0;   // of this reading when it was forwarded
  TargetTraits traits{};

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    internal::Pool(archive, pool);
    internal::Text(archive, target.value);
    internal::Address(archive, address);
    internal::Number(archive, incarnation);
    internal::Number(archive, sequence);
    archive(intent, traits);
    internal::Number(archive, slots);
    internal::Number(archive, running);
    internal::Number(archive, waiting);
    internal::Number(archive, age_ms);
  }
};

// OrganisationShare is the service that one region gave an organisation.
struct OrganisationShare {
  OrganisationId organisation{};
  uint32_t generation = 0;  // numbers the sender's record
  int64_t charged = 0;      // tokens since that record began
  uint64_t ahead = 0;       // tokens of what runs, charged in advance
  bool waits = false;       // requests wait in the sender's region

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    internal::Text(archive, organisation.value);
    internal::Number(archive, generation);
    internal::Signed(archive, charged);
    internal::Number(archive, ahead);
    archive(waits);
  }
};

// SlotLoan lets the other region's scheduler use slots of one target.
struct SlotLoan {
  TargetId target{};
  net::SocketAddress address{};
  uint32_t slots = 0;
  TargetTraits traits{};

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    internal::Text(archive, target.value);
    internal::Address(archive, address);
    internal::Number(archive, slots);
    archive(traits);
  }
};

// LoanUse is how many requests run, or may start, on a loaned target.
struct LoanUse {
  TargetId target{};
  uint32_t running = 0;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    internal::Text(archive, target.value);
    internal::Number(archive, running);
  }
};

// CounterShare is what the scheduler of a service in one region tells the one
// in another: service to backlogged organisations, and spare slots.
struct CounterShare {
  static constexpr wire::Kind kKind = wire::Kind::kCounterShare;
  PoolId pool{};  // the sender's
  Epoch epoch{};
  uint64_t sequence = 0;
  uint64_t answers = 0;      // newest share received from the other side
  uint32_t held_ms = 0;      // since that share arrived
  uint32_t expires_ms = 0;   // of the loans, as in Grant
  bool wants_slots = false;  // saturated: asks for loans
  bool has_targets = false;  // that may be granted requests
  uint32_t capacity = 0;     // requests that the sender's targets can carry
  std::vector<OrganisationShare> organisations{};
  std::vector<SlotLoan> loans{};
  std::vector<LoanUse> uses{};  // of the receiver's loans

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    internal::Pool(archive, pool);
    internal::Number(archive, epoch.value);
    internal::Number(archive, sequence);
    internal::Number(archive, answers);
    internal::Number(archive, held_ms);
    internal::Number(archive, expires_ms);
    archive(wants_slots, has_targets);
    internal::Number(archive, capacity);
    internal::List(archive, organisations);
    internal::List(archive, loans);
    internal::List(archive, uses);
  }
};

// CoordinatorId names a coordinator of limits: the group of organisations that
// it serves, and the scheduler assignment whose holder it runs on. A new
// holder is another coordinator.
struct CoordinatorId {
  uint32_t group = 0;
  PoolId pool{};
  Epoch epoch{};

  friend bool operator==(const CoordinatorId&, const CoordinatorId&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    internal::Number(archive, group);
    internal::Pool(archive, pool);
    internal::Number(archive, epoch.value);
  }
};

// Quota is a part of an organisation's limits. Where the contract sets no
// limit the value means nothing.
struct Quota {
  uint64_t millirequests_per_second = 0;
  uint64_t tokens_per_minute = 0;
  uint64_t concurrency = 0;  // requests

  friend bool operator==(const Quota&, const Quota&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    internal::Number(archive, millirequests_per_second);
    internal::Number(archive, tokens_per_minute);
    internal::Number(archive, concurrency);
  }
};

// QuotaUse is one organisation's state in the asking scheduler's pool. One
// with nothing waiting, running or owed gives its quota back: the scheduler
// uses no grant that answers an earlier ask.
struct QuotaUse {
  OrganisationId organisation{};
  uint32_t waiting = 0;    // requests
  uint32_t running = 0;    // requests, granted ones included
  bool owes = false;       // spent more tokens than its quota allowed
  uint64_t used_from = 0;  // the ask whose answer is used; 0: none

  // Idle says whether the organisation gives its quota back.
  bool Idle() const { return waiting == 0 && running == 0 && !owes; }

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    internal::Text(archive, organisation.value);
    internal::Number(archive, waiting);
    internal::Number(archive, running);
    archive(owes);
    internal::Number(archive, used_from);
  }
};

// QuotaAsk tells a coordinator what a pool wants of organisations' limits.
struct QuotaAsk {
  static constexpr wire::Kind kKind = wire::Kind::kQuotaAsk;
  CoordinatorId to{};
  PoolId pool{};  // the sender's
  Epoch epoch{};
  uint64_t sequence = 0;
  std::vector<QuotaUse> uses{};

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(to);
    internal::Pool(archive, pool);
    internal::Number(archive, epoch.value);
    internal::Number(archive, sequence);
    internal::List(archive, uses);
  }
};

// QuotaItem is the part of one organisation's limits that a pool may use.
struct QuotaItem {
  OrganisationId organisation{};
  Quota quota{};
  uint32_t waiting_elsewhere = 0;  // requests, in the other pools

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    internal::Text(archive, organisation.value);
    archive(quota);
    internal::Number(archive, waiting_elsewhere);
  }
};

// QuotaGrant answers one ask. Its items expire `expires_ms` after that ask was
// sent.
struct QuotaGrant {
  static constexpr wire::Kind kKind = wire::Kind::kQuotaGrant;
  CoordinatorId from{};
  PoolId pool{};  // the receiver's
  Epoch epoch{};
  uint64_t answers = 0;  // the ask's sequence
  uint32_t expires_ms = 0;
  std::vector<QuotaItem> items{};

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(from);
    internal::Pool(archive, pool);
    internal::Number(archive, epoch.value);
    internal::Number(archive, answers);
    internal::Number(archive, expires_ms);
    internal::List(archive, items);
  }
};

}  // namespace samphirebank::sharing

#endif  // SAMPHIREBANK_SHARING_SHARING_H_
