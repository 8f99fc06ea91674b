// File: shares.h
//
// What the schedulers of one service in two regions tell each other.
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

// OrganisationShare is the service that one region gave an organisation.
struct OrganisationShare {
  OrganisationId organisation{};
  uint32_t generation = 0;          // numbers the sender's record
  int64_t charged = 0;              // tokens since that record began
  uint64_t in_flight_estimate = 0;  // tokens of what runs, charged in advance
  bool has_waiting = false;         // requests wait in the sender's region

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    internal::Text(archive, organisation.value);
    internal::Number(archive, generation);
    internal::Signed(archive, charged);
    internal::Number(archive, in_flight_estimate);
    archive(has_waiting);
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
  uint64_t acked = 0;        // newest share received from the other side
  uint32_t held_ms = 0;      // since that share arrived
  uint32_t expires_ms = 0;   // of the loans, as in Grant
  bool needs_slots = false;  // saturated: asks for loans
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
    internal::Number(archive, acked);
    internal::Number(archive, held_ms);
    internal::Number(archive, expires_ms);
    archive(needs_slots, has_targets);
    internal::Number(archive, capacity);
    internal::List(archive, organisations);
    internal::List(archive, loans);
    internal::List(archive, uses);
  }
};

}  // namespace samphirebank::sharing

#endif  // SAMPHIREBANK_SHARING_INTERNAL_SHARES_H_
