// File: quotas.h
//
// How pools get their parts of an organisation's limits.
#ifndef SAMPHIREBANK_SHARING_INTERNAL_QUOTAS_H_
#define SAMPHIREBANK_SHARING_INTERNAL_QUOTAS_H_

#include <cstdint>
#include <vector>

#include "samphirebank/base/base.h"
#include "samphirebank/sharing/internal/compact.h"
#include "samphirebank/wire/wire.h"

namespace samphirebank::sharing {

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
  uint32_t waiting = 0;           // requests
  uint32_t running = 0;           // requests, granted ones included
  bool overdrawn = false;         // spent more tokens than its quota allowed
  uint64_t applied_sequence = 0;  // the ask whose answer is used; 0: none

  // IsIdle says whether the organisation gives its quota back.
  bool IsIdle() const { return waiting == 0 && running == 0 && !overdrawn; }

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    internal::Text(archive, organisation.value);
    internal::Number(archive, waiting);
    internal::Number(archive, running);
    archive(overdrawn);
    internal::Number(archive, applied_sequence);
  }
};

// QuotaRequest tells a coordinator what a pool wants of organisations' limits.
struct QuotaRequest {
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

// QuotaGrant answers one ask. Its items expire `expires_ms` after that
// ask was sent.
struct QuotaGrant {
  static constexpr wire::Kind kKind = wire::Kind::kQuotaGrant;
  CoordinatorId from{};
  PoolId pool{};  // the receiver's
  Epoch epoch{};
  uint64_t request_sequence = 0;  // the ask's sequence
  uint32_t expires_ms = 0;
  std::vector<QuotaItem> items{};

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(from);
    internal::Pool(archive, pool);
    internal::Number(archive, epoch.value);
    internal::Number(archive, request_sequence);
    internal::Number(archive, expires_ms);
    internal::List(archive, items);
  }
};

}  // namespace samphirebank::sharing

#endif  // SAMPHIREBANK_SHARING_INTERNAL_QUOTAS_H_
