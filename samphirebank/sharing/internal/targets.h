// File: targets.h
//
// What targets say of themselves.
#ifndef SAMPHIREBANK_SHARING_INTERNAL_TARGETS_H_
#define SAMPHIREBANK_SHARING_INTERNAL_TARGETS_H_

#include <cstdint>

#include "samphirebank/base/base.h"
#include "samphirebank/contracts/contracts.h"
#include "samphirebank/net/net.h"
#include "samphirebank/sharing/internal/compact.h"
#include "samphirebank/wire/wire.h"

namespace samphirebank::sharing {

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

}  // namespace samphirebank::sharing

#endif  // SAMPHIREBANK_SHARING_INTERNAL_TARGETS_H_
