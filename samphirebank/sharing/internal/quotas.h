// File: quotas.h
//
// The messages by which pools obtain their parts of organisations' limits.
#ifndef SAMPHIREBANK_SHARING_INTERNAL_QUOTAS_H_
#define SAMPHIREBANK_SHARING_INTERNAL_QUOTAS_H_

#include <cstdint>
#include <vector>

#include "samphirebank/base/base.h"
#include "samphirebank/sharing/internal/compact.h"
#include "samphirebank/wire/wire.h"

namespace samphirebank::sharing {

// CoordinatorId identifies a coordinator of limits: the group of organisations
// that it serves, and the scheduler assignment whose holder runs it. When the
// assignment passes to a new holder (a new epoch), the coordinator's id
// changes.
struct CoordinatorId {
  uint32_t group = 0;
  PoolId pool{};
  Epoch epoch{};

  friend bool operator==(const CoordinatorId&, const CoordinatorId&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    internal::ArchiveVarint(archive, group);
    internal::ArchivePool(archive, pool);
    internal::ArchiveVarint(archive, epoch.value);
  }
};

// Quota is a part of an organisation's limits. A value is meaningless where the
// contract sets no such limit.
struct Quota {
  uint64_t millirequests_per_second = 0;
  uint64_t tokens_per_minute = 0;
  uint64_t concurrency = 0;  // requests

  friend bool operator==(const Quota&, const Quota&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    internal::ArchiveVarint(archive, millirequests_per_second);
    internal::ArchiveVarint(archive, tokens_per_minute);
    internal::ArchiveVarint(archive, concurrency);
  }
};

// QuotaUse is the state of one organisation in the requesting scheduler's pool.
// If no request waits or runs and the quota is not overdrawn, the message
// returns the quota: the scheduler then ignores grants that respond to earlier
// requests.
struct QuotaUse {
  OrganisationId organisation{};
  uint32_t waiting = 0;           // requests
  uint32_t running = 0;           // requests, including granted ones
  bool overdrawn = false;         // used more tokens than its quota allowed
  uint64_t applied_sequence = 0;  // request whose quota is in use; 0: none

  // IsIdle returns whether the organisation needs no quota. A request with an
  // idle QuotaUse gives the quota back.
  bool IsIdle() const { return waiting == 0 && running == 0 && !overdrawn; }

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    internal::ArchiveString(archive, organisation.value);
    internal::ArchiveVarint(archive, waiting);
    internal::ArchiveVarint(archive, running);
    archive(overdrawn);
    internal::ArchiveVarint(archive, applied_sequence);
  }
};

// QuotaRequest reports to a coordinator a pool's need for parts of
// organisations' limits.
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
    internal::ArchivePool(archive, pool);
    internal::ArchiveVarint(archive, epoch.value);
    internal::ArchiveVarint(archive, sequence);
    internal::ArchiveList(archive, uses);
  }
};

// QuotaItem is the part of one organisation's limits that a pool may use.
struct QuotaItem {
  OrganisationId organisation{};
  Quota quota{};
  uint32_t waiting_elsewhere = 0;  // requests, in the other pools

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    internal::ArchiveString(archive, organisation.value);
    archive(quota);
    internal::ArchiveVarint(archive, waiting_elsewhere);
  }
};

// QuotaGrant responds to one QuotaRequest. Its items expire `expires_ms` after
// that request was sent.
struct QuotaGrant {
  static constexpr wire::Kind kKind = wire::Kind::kQuotaGrant;
  CoordinatorId from{};
  PoolId pool{};  // the receiver's
  Epoch epoch{};
  uint64_t request_sequence = 0;  // QuotaRequest::sequence
  uint32_t expires_ms = 0;
  std::vector<QuotaItem> items{};

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(from);
    internal::ArchivePool(archive, pool);
    internal::ArchiveVarint(archive, epoch.value);
    internal::ArchiveVarint(archive, request_sequence);
    internal::ArchiveVarint(archive, expires_ms);
    internal::ArchiveList(archive, items);
  }
};

}  // namespace samphirebank::sharing

#endif  // SAMPHIREBANK_SHARING_INTERNAL_QUOTAS_H_
