// File: shares.h
//
// The messages that the schedulers of one service in two regions exchange.
#ifndef SAMPHIREBANK_SHARING_INTERNAL_SHARES_H_
#define SAMPHIREBANK_SHARING_INTERNAL_SHARES_H_

#include <cstdint>
#include <vector>

#include "samphirebank/base/base.h"
#include "samphirebank/net/net.h"
#include "samphirebank/sharing/internal/compact.h"
#include "samphirebank/sharing/internal/targets.h"
#include "samphirebank/wire/wire.h"

namespace samphirebank::sharing {

// OrganisationShare is the service that an organisation received in the
// sender's region.
struct OrganisationShare {
  OrganisationId organisation{};
  uint32_t generation = 0;  // of the sender's record of the organisation
  int64_t charged = 0;      // tokens, since that record was created
  uint64_t in_flight_estimate = 0;  // tokens charged in advance for what runs
  bool has_waiting = false;         // in the sender's region

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    internal::ArchiveString(archive, organisation.value);
    internal::ArchiveVarint(archive, generation);
    internal::ArchiveSigned(archive, charged);
    internal::ArchiveVarint(archive, in_flight_estimate);
    archive(has_waiting);
  }
};

// SlotLoan allows the scheduler of the other region to use slots of one target.
struct SlotLoan {
  TargetId target{};
  net::SocketAddress address{};
  uint32_t slots = 0;
  TargetTraits traits{};

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    internal::ArchiveString(archive, target.value);
    internal::ArchiveAddress(archive, address);
    internal::ArchiveVarint(archive, slots);
    archive(traits);
  }
};

// LoanUse is the number of requests that run, or may still start, on a target
// that the other region lends.
struct LoanUse {
  TargetId target{};
  uint32_t running = 0;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    internal::ArchiveString(archive, target.value);
    internal::ArchiveVarint(archive, running);
  }
};

// CounterShare is sent to the scheduler of the same service in another region.
// It carries the tokens charged to organisations with a backlog in either
// region, the slots that the sender lends, and its use of the receiver's slots.
struct CounterShare {
  static constexpr wire::Kind kKind = wire::Kind::kCounterShare;
  PoolId pool{};  // the sender's
  Epoch epoch{};
  uint64_t sequence = 0;
  uint64_t acked = 0;        // newest share received
  uint32_t held_ms = 0;      // since that share was received
  uint32_t expires_ms = 0;   // of the loans, as in Grant
  bool needs_slots = false;  // the pool is saturated and needs loans
  bool has_targets = false;  // that accept requests
  uint32_t capacity = 0;     // requests, of the sender's targets
  std::vector<OrganisationShare> organisations{};
  std::vector<SlotLoan> loans{};
  std::vector<LoanUse> uses{};  // of the slots that the receiver lends

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    internal::ArchivePool(archive, pool);
    internal::ArchiveVarint(archive, epoch.value);
    internal::ArchiveVarint(archive, sequence);
    internal::ArchiveVarint(archive, acked);
    internal::ArchiveVarint(archive, held_ms);
    internal::ArchiveVarint(archive, expires_ms);
    archive(needs_slots, has_targets);
    internal::ArchiveVarint(archive, capacity);
    internal::ArchiveList(archive, organisations);
    internal::ArchiveList(archive, loans);
    internal::ArchiveList(archive, uses);
  }
};

}  // namespace samphirebank::sharing

#endif  // SAMPHIREBANK_SHARING_INTERNAL_SHARES_H_
