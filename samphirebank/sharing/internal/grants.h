// File: grants.h
//
// The demand that an entry router reports, and the grant with which a pool
// scheduler responds.
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
  // Empty once the scheduler has acknowledged a demand that carried the id with
  // this generation.
  OrganisationId organisation{};
  // Identifies the router's record of the organisation. A new record has a new
  // generation, and its `charged` starts from 0.
  uint32_t generation = 0;
  uint32_t waiting = 0;        // requests
  uint32_t running = 0;        // requests
  uint32_t estimate = 0;       // tokens, mean of the waiting requests
  bool cost_known = false;     // the estimate is based on ended requests
  uint32_t oldest_age_ms = 0;  // of the request waiting longest
  uint64_t prefix = 0;         // hash of that request's prompt prefix; 0: none
  int64_t charged = 0;         // tokens: the greater of received and estimated
  double counter = 0;          // from the newest grant; in full demands

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    internal::ArchiveString(archive, organisation.value);
    internal::ArchiveVarint(archive, generation);
    internal::ArchiveVarint(archive, waiting);
    internal::ArchiveVarint(archive, running);
    internal::ArchiveVarint(archive, estimate);
    archive(cost_known);
    internal::ArchiveVarint(archive, oldest_age_ms);
    internal::ArchiveOptional(archive, prefix);
    internal::ArchiveSigned(archive, charged);
    internal::ArchiveRounded(archive, counter);
  }
};

// TargetUse is one router's use of one target; the totals are cumulative since
// the router's process started.
struct TargetUse {
  TargetId target{};           // empty only if target_number is set
  uint64_t target_number = 0;  // assigned by the scheduler; 0: not known
  uint32_t running = 0;        // requests
  uint32_t failed = 0;         // requests, total
  uint64_t tokens = 0;         // received from the target, total

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    internal::ArchiveString(archive, target.value);
    internal::ArchiveVarint(archive, target_number);
    internal::ArchiveVarint(archive, running);
    internal::ArchiveVarint(archive, failed);
    internal::ArchiveVarint(archive, tokens);
  }
};

// Demand reports to a scheduler what changed at one router since the last
// acknowledged demand, or the router's whole state if `full`.
struct Demand {
  static constexpr wire::Kind kKind = wire::Kind::kDemand;
  PoolId pool{};
  Epoch epoch{};
  uint64_t sequence = 0;
  bool full = false;
  net::SocketAddress reply_to{};  // the router's peer address
  Receipts grants{};              // received by the router
  std::vector<OrganisationDemand> organisations{};
  std::vector<TargetUse> targets{};

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    internal::ArchivePool(archive, pool);
    internal::ArchiveVarint(archive, epoch.value);
    internal::ArchiveVarint(archive, sequence);
    archive(full);
    internal::ArchiveAddress(archive, reply_to);
    archive(grants);
    internal::ArchiveList(archive, organisations);
    internal::ArchiveList(archive, targets);
  }
};

// GrantItem allows a router to dispatch `count` requests of one organisation to
// one target. Once the router has acknowledged a grant that carried the
// target's id, address and traits with its number, these are omitted and
// `target` is empty.
struct GrantItem {
  uint32_t generation = 0;     // of the organisation's record at the router
  uint64_t target_number = 0;  // assigned by the scheduler
  TargetId target{};
  net::SocketAddress address{};
  TargetTraits traits{};
  uint32_t count = 0;
  bool remote = false;  // the target is in another region
  double counter = 0;   // the organisation's virtual counter after this grant

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    internal::ArchiveVarint(archive, generation);
    internal::ArchiveVarint(archive, target_number);
    internal::ArchiveString(archive, target.value);
    if (!target.value.empty()) {
      internal::ArchiveAddress(archive, address);
      archive(traits);
    }
    internal::ArchiveVarint(archive, count);
    archive(remote);
    internal::ArchiveRounded(archive, counter);
  }
};

// QueueNotice informs a router how many requests of an organisation wait at
// other routers and pools, so that it can enforce the contract's queue length
// over the fleet.
struct QueueNotice {
  OrganisationId organisation{};
  uint32_t waiting_elsewhere = 0;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    internal::ArchiveString(archive, organisation.value);
    internal::ArchiveVarint(archive, waiting_elsewhere);
  }
};

// Grant responds to the newest demand received from one router. Its items
// expire `expires_ms` after it was made, and it was made no earlier than
// `held_ms` after that demand was sent. The router therefore computes the
// expiry on its own clock, as the time it sent the demand plus both durations.
struct Grant {
  static constexpr wire::Kind kKind = wire::Kind::kGrant;
  PoolId pool{};
  Epoch epoch{};
  uint64_t sequence = 0;
  Receipts demands{};    // received by the scheduler
  uint32_t held_ms = 0;  // since the newest demand was received
  uint32_t expires_ms = 0;
  bool full_demand_requested = false;  // the next demand must be full
  bool backlogged = false;  // requests wait: report ended requests at once
  bool no_targets = false;  // in any region: refuse waiting requests
  std::vector<GrantItem> items{};
  std::vector<QueueNotice> notices{};

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    internal::ArchivePool(archive, pool);
    internal::ArchiveVarint(archive, epoch.value);
    internal::ArchiveVarint(archive, sequence);
    archive(demands);
    internal::ArchiveVarint(archive, held_ms);
    internal::ArchiveVarint(archive, expires_ms);
    auto bits =
        static_cast<uint8_t>((full_demand_requested ? 1U : 0U) |
                             (backlogged ? 2U : 0U) | (no_targets ? 4U : 0U));
    archive(bits);
    full_demand_requested = (bits & 1U) != 0;
    backlogged = (bits & 2U) != 0;
    no_targets = (bits & 4U) != 0;
    internal::ArchiveList(archive, items);
    internal::ArchiveList(archive, notices);
  }
};

}  // namespace samphirebank::sharing

#endif  // SAMPHIREBANK_SHARING_INTERNAL_GRANTS_H_
