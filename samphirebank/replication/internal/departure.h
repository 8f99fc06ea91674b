// File: departure.h
//
// The messages by which a member that is about to stop hands over its vote.
// Until it receives a reply, the member repeats the request at short intervals;
// the leader replies once MayDepart allows it.
//
// Example:
//
//   hooks.send(leader.instance,
//              wire::Encode(DepartRequest{.member = self}));
#ifndef SAMPHIREBANK_REPLICATION_INTERNAL_DEPARTURE_H_
#define SAMPHIREBANK_REPLICATION_INTERNAL_DEPARTURE_H_

#include "samphirebank/consensus/consensus.h"
#include "samphirebank/wire/wire.h"

namespace samphirebank::replication {

// DepartRequest asks the leader whether the process of `member` may stop.
struct DepartRequest {
  static constexpr wire::Kind kKind = wire::Kind::kDepartRequest;
  consensus::MemberId member{};

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(member);
  }
};

// DepartReply tells `member` that its process may stop.
struct DepartReply {
  static constexpr wire::Kind kKind = wire::Kind::kDepartReply;
  consensus::MemberId member{};

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(member);
  }
};

}  // namespace samphirebank::replication

#endif  // SAMPHIREBANK_REPLICATION_INTERNAL_DEPARTURE_H_
