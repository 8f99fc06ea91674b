// File: targets.h
//
// The state that targets report about themselves.
#ifndef SAMPHIREBANK_SHARING_INTERNAL_TARGETS_H_
#define SAMPHIREBANK_SHARING_INTERNAL_TARGETS_H_

#include <cstdint>

#include "samphirebank/base/base.h"
#include "samphirebank/contracts/contracts.h"
#include "samphirebank/net/net.h"
#include "samphirebank/sharing/internal/compact.h"
#include "samphirebank/wire/wire.h"

namespace samphirebank::sharing {

// TargetTraits are the protocol features that a target declares; one byte on
// the wire.
struct TargetTraits {
  bool can_resume = false;      // resumes an interrupted stream
  bool echoes_id = false;       // repeats the request id in its response
  bool states_not_run = false;  // marks refusals made before running
  bool checks_fencing = false;  // refuses requests with a stale fencing number

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

// TargetState is a target's report of its state and load. A target that
// restarts has a greater incarnation; within an incarnation, a greater sequence
// is newer.
struct TargetState {
  static constexpr wire::Kind kKind = wire::Kind::kTargetState;
  PoolId pool{};
  TargetId target{};
  net::SocketAddress address{};
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  contracts::TargetIntent intent = contracts::TargetIntent::kServing;
  uint32_t slots = 0;    // declared batch capacity, requests; 0: unknown
  uint32_t running = 0;  // requests in its batch
  uint32_t waiting = 0;  // requests admitted but not in its batch
  uint32_t age_ms = 0;   // of the report when it was forwarded
  TargetTraits traits{};

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    internal::ArchivePool(archive, pool);
    internal::ArchiveString(archive, target.value);
    internal::ArchiveAddress(archive, address);
    internal::ArchiveVarint(archive, incarnation);
    internal::ArchiveVarint(archive, sequence);
    archive(intent, traits);
    internal::ArchiveVarint(archive, slots);
    internal::ArchiveVarint(archive, running);
    internal::ArchiveVarint(archive, waiting);
    internal::ArchiveVarint(archive, age_ms);
  }
};

}  // namespace samphirebank::sharing

#endif  // SAMPHIREBANK_SHARING_INTERNAL_TARGETS_H_
