// File: grants.h
//
// Demand of an entry router, and the grant of a pool scheduler that answers it.
#ifndef SAMPHIREBANK_SHARING_INTERNAL_GRANTS_H_
#define SAMPHIREBANK_SHARING_INTERNAL_GRANTS_H_

#include <cstdint>
#include <vector>

#include "samphirebank/base/base.h"
#include "samphirebank/net/net.h"
#include "samphirebank/sharing/internal/compact.h"
#include "samphirebank/sharing/internal/receipts.h"
#include "samphirebank/sharing/internal/targets.h"
#include "samphirebank/wire/wire.h"

namespace samphirebank::sharing {

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
  TargetId target{};           // empty if the scheduler's number of it is told
  uint64_t target_number = 0;  // of the target; 0: not known
  uint32_t running = 0;        // requests
  uint32_t failed = 0;         // requests, total
  uint64_t tokens = 0;         // seen from the target, total

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    internal::Text(archive, target.value);
    internal::Number(archive, target_number);
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

// GrantItem lets a router dispatch `count` requests of one organisation. The
// target's name, address and traits are left out once the router confirmed a
// grant that told them with its number; `target` is empty then.
struct GrantItem {
  uint32_t generation = 0;     // of the organisation's record at the router
  uint64_t target_number = 0;  // of the target, given by the scheduler
  TargetId target{};
  net::SocketAddress address{};
  TargetTraits traits{};
  uint32_t count = 0;
  bool remote = false;  // the target is in another region
  double counter = 0;   // the organisation's, after this grant

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    internal::Number(archive, generation);
    internal::Number(archive, target_number);
    internal::Text(archive, target.value);
    if (!target.value.empty()) {
      internal::Address(archive, address);
      archive(traits);
    }
    internal::Number(archive, count);
    archive(remote);
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
  bool full_demand_requested = false;  // the next demand must be full
  bool backlogged = false;             // requests wait: report ends at once
  bool no_targets = false;             // in any region: refuse what waits
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
        static_cast<uint8_t>((full_demand_requested ? 1U : 0U) |
                             (backlogged ? 2U : 0U) | (no_targets ? 4U : 0U));
    archive(bits);
    full_demand_requested = (bits & 1U) != 0;
    backlogged = (bits & 2U) != 0;
    no_targets = (bits & 4U) != 0;
    internal::List(archive, items);
    internal::List(archive, notices);
  }
};

}  // namespace samphirebank::sharing

#endif  // SAMPHIREBANK_SHARING_INTERNAL_GRANTS_H_
