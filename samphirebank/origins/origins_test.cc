#include "samphirebank/origins/origins.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <vector>

#include "samphirebank/net/net.h"
#include "samphirebank/wire/wire.h"

namespace samphirebank::origins {
namespace {

using std::chrono::seconds;

const TimePoint kStart{seconds(100)};

Origin MakeOrigin(uint64_t stream, uint64_t software) {
  return {.stream = StreamKey(stream), .software = Software(software)};
}

directory::Announcement MakeTarget(const std::string& service,
                                   const std::string& version) {
  return {.service = ServiceId(service),
          .software = directory::SoftwareVersion(version)};
}

TEST_CASE("software differs by version and by service") {
  const Software software = SoftwareOf(MakeTarget("a", "v1"));
  CHECK(software == SoftwareOf(MakeTarget("a", "v1")));
  CHECK(software != SoftwareOf(MakeTarget("a", "v2")));
  CHECK(software != SoftwareOf(MakeTarget("b", "v1")));
  CHECK(software != SoftwareOf(MakeTarget("a", "")));
}

TEST_CASE("an origin is known until it expires") {
  Registry registry;
  CHECK(Record(registry, MakeOrigin(1, 7), kStart));
  CHECK_FALSE(Record(registry, MakeOrigin(1, 7), kStart + seconds(1)));
  CHECK(Find(registry, StreamKey(1)) == Software(7));
  CHECK_FALSE(Find(registry, StreamKey(2)));
  EvictExpired(registry, kStart + registry.options.ttl - seconds(1));
  CHECK(Find(registry, StreamKey(1)));
  EvictExpired(registry, kStart + registry.options.ttl);
  CHECK_FALSE(Find(registry, StreamKey(1)));
  CHECK(registry.by_age.empty());
}

// Guards against a stream that is joined since one of two reports is believed.
TEST_CASE("a stream with two origins is unknown") {
  Registry registry;
  Record(registry, MakeOrigin(1, 7), kStart);
  Record(registry, MakeOrigin(1, 8), kStart);
  Record(registry, MakeOrigin(1, 7), kStart);
  CHECK_FALSE(Find(registry, StreamKey(1)));
  CHECK(AllOrigins(registry).empty());
}

TEST_CASE("the oldest origins are forgotten beyond the bound") {
  Registry registry{.options = {.max_origins = 2}};
  for (uint64_t i = 1; i <= 3; ++i) Record(registry, MakeOrigin(i, 7), kStart);
  CHECK(registry.entries.size() == 2);
  CHECK(AllOrigins(registry) ==
        std::vector<Origin>{MakeOrigin(2, 7), MakeOrigin(3, 7)});
}

TEST_CASE("only known streams are in a reply") {
  Registry registry;
  Record(registry, MakeOrigin(1, 7), kStart);
  Record(registry, MakeOrigin(3, 8), kStart);
  CHECK(FindAll(registry, {StreamKey(3), StreamKey(2), StreamKey(1)}) ==
        std::vector<Origin>{MakeOrigin(3, 8), MakeOrigin(1, 7)});
}

// Guards against an origin that stays unknown since its message was lost.
TEST_CASE("an origin is sent twice, in two batches") {
  Outbox outbox;
  Add(outbox, MakeOrigin(1, 7));
  CHECK(TakeDue(outbox, kStart) == std::vector<Origin>{MakeOrigin(1, 7)});
  Add(outbox, MakeOrigin(2, 7));
  CHECK(TakeDue(outbox, kStart + kSendInterval / 2).empty());
  CHECK(TakeDue(outbox, kStart + kSendInterval) ==
        std::vector<Origin>{MakeOrigin(1, 7), MakeOrigin(2, 7)});
  CHECK(TakeDue(outbox, kStart + 2 * kSendInterval) ==
        std::vector<Origin>{MakeOrigin(2, 7)});
  CHECK(TakeDue(outbox, kStart + 3 * kSendInterval).empty());
}

// Guards against a message that is too large to be sent.
TEST_CASE("a long backlog is sent in several batches") {
  Outbox outbox;
  for (uint64_t i = 0; i < kMaxNewOrigins + 1; ++i) {
    Add(outbox, MakeOrigin(i, 7));
  }
  CHECK(TakeDue(outbox, kStart).size() == kMaxNewOrigins);
  CHECK(TakeDue(outbox, kStart + kSendInterval).size() == kMaxNewOrigins + 1);
  CHECK(TakeDue(outbox, kStart + 2 * kSendInterval).size() == 1);
  CHECK(TakeDue(outbox, kStart + 3 * kSendInterval).empty());
}

TEST_CASE("a full query and its reply fit into one datagram") {
  OriginQuery query{.streams = {kMaxQueryStreams, StreamKey(~0ULL)}};
  OriginReply reply{.origins = {kMaxQueryStreams, MakeOrigin(~0ULL, ~0ULL)}};
  CHECK(wire::Encode(query).payload.size() <= net::kMaxDatagramPayload);
  CHECK(wire::Encode(reply).payload.size() <= net::kMaxDatagramPayload);
}

}  // namespace
}  // namespace samphirebank::origins
