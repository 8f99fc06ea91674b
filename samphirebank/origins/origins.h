// File: origins.h
//
// Which software version began each stream. What targets of two versions write
// does not fit together, and targets do not check it, so a stream goes on only
// at the version that began it, at whatever gateway its caller comes back to.
// A gateway records the origin of a stream when its first event goes to the
// caller, and reports it to a coordinator; coordinators share what is reported
// to them, and answer the queries of gateways. An origin that is not known
// stays unknown: nothing is inferred from the versions that serve now. No I/O.
//
// Example, on a gateway:
//
//   Record(registry, {.stream = KeyOf(request), .software = software}, now);
//   Add(outbox, origin);
//   link.Send(coordinator, wire::Encode(OriginReport{TakeDue(outbox, now)}));
//
// and on a coordinator:
//
//   OriginReply reply{.origins = FindAll(registry, query.streams)};
#ifndef SAMPHIREBANK_ORIGINS_ORIGINS_H_
#define SAMPHIREBANK_ORIGINS_ORIGINS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "samphirebank/base/base.h"
#include "samphirebank/directory/directory.h"

namespace samphirebank::wire {
enum class Kind : uint16_t;
}  // namespace samphirebank::wire

namespace samphirebank::origins {

// StreamKey identifies a stream by a hash of the request whose answer brought
// its first event, the same on every instance.
using StreamKey = StrongNumber<struct StreamKeyTag, uint64_t>;
StreamKey KeyOf(const RequestId& request);

// Software identifies the software version of one service's targets by a hash,
// the same on every instance.
using Software = StrongNumber<struct SoftwareTag, uint64_t>;
Software SoftwareOf(const directory::Announcement& target);

// Origin says which software began a stream.
struct Origin {
  StreamKey stream{};
  Software software{};

  friend bool operator==(const Origin&, const Origin&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(stream, software);
  }
};

// OriginList is a message of the kind `kNumber` that lists origins.
template <uint16_t kNumber>
struct OriginList {
  static constexpr wire::Kind kKind = static_cast<wire::Kind>(kNumber);
  std::vector<Origin> origins{};

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(origins);
  }
};

// OriginReport is sent by a gateway to a coordinator: streams that have begun.
using OriginReport = OriginList<33>;

// OriginShare is sent by a coordinator to the others: what was reported to it.
using OriginShare = OriginList<34>;

// OriginQuery is sent by a gateway to a coordinator.
struct OriginQuery {
  static constexpr wire::Kind kKind = static_cast<wire::Kind>(35);
  std::vector<StreamKey> streams{};

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(streams);
  }
};

// OriginReply is the response to an OriginQuery. Unknown streams are omitted.
using OriginReply = OriginList<36>;

// Options bounds a registry.
struct Options {
  // Must be longer than a stream, and than callers go on taking it up.
  Duration ttl = std::chrono::minutes(10);
  // The oldest origins are forgotten beyond it. Each takes about 70 bytes.
  size_t max_origins = 200'000;
};

// Registry holds the origins that one instance knows.
struct Registry {
  struct Entry {
    std::optional<Software> software{};  // empty: reports contradict
    TimePoint recorded_at{};
  };
  Options options{};
  std::unordered_map<StreamKey, Entry> entries{};
  std::deque<StreamKey> by_age{};  // oldest first
};

// Record adds an origin. Returns whether the stream was not known. A stream
// with two origins that differ counts as unknown from then on.
bool Record(Registry& registry, const Origin& origin, TimePoint now);

// Find returns what began a stream; empty if that is unknown.
std::optional<Software> Find(const Registry& registry, StreamKey stream);

// FindAll returns the origins of those of `streams` that are known.
std::vector<Origin> FindAll(const Registry& registry,
                            const std::vector<StreamKey>& streams);

// AllOrigins returns all known origins, oldest first.
std::vector<Origin> AllOrigins(const Registry& registry);

// EvictExpired removes the origins past options.ttl.
void EvictExpired(Registry& registry, TimePoint now);

// kSendInterval is how often an outbox is sent.
inline constexpr Duration kSendInterval = std::chrono::milliseconds(200);

// kMaxQueryStreams is how many streams fit into a query, and their origins into
// its reply, that takes one datagram.
inline constexpr size_t kMaxQueryStreams = 60;

// kMaxNewOrigins is how many origins are sent for the first time in a batch, so
// that a long backlog does not become one message.
inline constexpr size_t kMaxNewOrigins = 10'000;

// Outbox holds the origins to be sent. Each is sent twice, since a message may
// be lost.
struct Outbox {
  std::vector<Origin> unsent{};
  std::vector<Origin> sent_once{};
  std::optional<TimePoint> taken_at{};
};

// Add adds an origin to the next batch.
void Add(Outbox& outbox, const Origin& origin);

// TakeDue returns the batch to send now; empty if none is due.
std::vector<Origin> TakeDue(Outbox& outbox, TimePoint now);

}  // namespace samphirebank::origins

#endif  // SAMPHIREBANK_ORIGINS_ORIGINS_H_
