// File: contracts.h
//
// The configuration that operators write: contracts of organisations,
// declarations about targets, and the scheduler assignments of pools.
//
// `Configuration` is the state every router holds; it only moves forward, one
// revision for each accepted change.
#ifndef SAMPHIREBANK_CONTRACTS_CONTRACTS_H_
#define SAMPHIREBANK_CONTRACTS_CONTRACTS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "samphirebank/base/base.h"
#include "samphirebank/net/net.h"

namespace samphirebank::contracts {

// Contract is all that limits one organisation. A limit of 0 means no limit.
struct Contract {
  OrganisationId organisation;
  uint32_t weight = 1;                  // share among backlogged organisations
  uint32_t requests_per_second = 0;     // over the whole fleet
  uint32_t concurrency = 0;             // requests in flight, over the fleet
  uint32_t queue_length = 1000;         // requests waiting, over the fleet
  int64_t tokens_per_minute = 0;        // over the whole fleet
  std::vector<ServiceId> services;      // empty: all
  std::vector<RegionId> regions;        // empty: all
  std::vector<std::string> key_hashes;  // KeyHash of each API key, hex
  uint32_t deadline_ms = 60'000;        // longest wait for a first byte
  uint32_t answer_keep_s = 86'400;      // age of a recorded answer
  uint32_t answer_keep_bytes = 65'536;  // size of a recorded answer

  friend bool operator==(const Contract&, const Contract&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(organisation, weight, requests_per_second, concurrency,
            queue_length, tokens_per_minute, services, regions, key_hashes,
            deadline_ms, answer_keep_s, answer_keep_bytes);
  }
};

// TargetIntent is what operators declared about a target.
enum class TargetIntent : uint8_t {
  kServing,  // may get work
  kLeaving,  // gets no new work; what runs there ends
  kStopped,  // gets no new work; what runs there is cancelled
};

// SchedulerAssignment says which instance shares out a pool's targets.
struct SchedulerAssignment {
  InstanceId holder;
  net::SocketAddress address;  // the holder's peer address
  Epoch epoch;

  friend bool operator==(const SchedulerAssignment&,
                         const SchedulerAssignment&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(holder, address, epoch);
  }
};

// Versioned is a record with the revision that wrote it.
template <typename Value>
struct Versioned {
  Value value;
  Revision revision;

  friend bool operator==(const Versioned&, const Versioned&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(value, revision);
  }
};

// Configuration is everything in force at one revision.
struct Configuration {
  Revision revision;
  std::map<OrganisationId, Versioned<Contract>> contracts;
  std::map<TargetId, Versioned<TargetIntent>> targets;
  std::map<PoolId, Versioned<SchedulerAssignment>> pools;

  friend bool operator==(const Configuration&, const Configuration&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(revision, contracts, targets, pools);
  }
};

// KeyHash returns the hex digest under which an API key is stored.
std::string KeyHash(std::string_view api_key);

}  // namespace samphirebank::contracts

#endif  // SAMPHIREBANK_CONTRACTS_CONTRACTS_H_
