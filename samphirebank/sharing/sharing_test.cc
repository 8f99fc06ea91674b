#include "samphirebank/sharing/sharing.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>
#include <vector>

namespace samphirebank::sharing {
namespace {

TEST_CASE("receipts agree with a set of the newest 65 sequence numbers") {
  CHECK(rc::check("receipts", [] {
    Receipts receipts;
    std::set<uint64_t> received;
    const auto numbers = *rc::gen::container<std::vector<uint64_t>>(
        rc::gen::inRange<uint64_t>(1, 200));
    for (const uint64_t number : numbers) {
      const uint64_t newest = received.empty() ? 0 : *received.rbegin();
      const bool too_old = number + 64 < newest;
      const bool is_new = !too_old && !received.contains(number);
      RC_ASSERT(receipts.Add(number) == is_new);
      received.insert(number);
    }
    for (uint64_t number = 1; number < 200; ++number) {
      if (received.empty() || number + 64 < *received.rbegin()) continue;
      RC_ASSERT(receipts.Contains(number) == received.contains(number));
    }
  }));
}

TEST_CASE("decoded messages equal the encoded ones for any number") {
  CHECK(rc::check("demand", [] {
    Demand demand{.pool = {RegionId("r"), ServiceId("s")}, .epoch = Epoch(7)};
    demand.sequence = *rc::gen::arbitrary<uint64_t>();
    demand.reply_to = {"10.0.0.1", *rc::gen::arbitrary<uint16_t>()};
    demand.grants.previous = *rc::gen::arbitrary<uint64_t>();
    OrganisationDemand sent{.organisation = OrganisationId("o")};
    sent.waiting = *rc::gen::arbitrary<uint32_t>();
    sent.charged = *rc::gen::arbitrary<int64_t>();
    sent.counter = static_cast<double>(*rc::gen::arbitrary<int32_t>());
    demand.organisations = {sent, sent};
    demand.targets = {{.target = TargetId("t"), .running = 300}};
    const wire::Packet packet = wire::Encode(demand);
    const auto read = wire::Decode<Demand>(packet);
    RC_ASSERT(bool(read));
    RC_ASSERT(read->pool == demand.pool);
    RC_ASSERT(read->sequence == demand.sequence);
    RC_ASSERT(read->reply_to == demand.reply_to);
    RC_ASSERT(read->grants == demand.grants);
    RC_ASSERT(read->organisations.size() == size_t{2});
    RC_ASSERT(read->organisations[1].charged == sent.charged);
    RC_ASSERT(read->organisations[1].counter == sent.counter);
    RC_ASSERT(read->organisations[1].waiting == sent.waiting);
    RC_ASSERT(read->targets[0].running == uint32_t{300});
    RC_ASSERT(wire::Encode(*read).payload == packet.payload);
  }));
}

TEST_CASE("a grant item without its target's name carries no address") {
  GrantItem item{
      .generation = 7, .target_number = 300, .count = 2, .counter = 1e300};
  item.address = {"10.0.0.1", 80};
  Grant grant{.items = {item, item}};
  grant.items[1].target = TargetId("t1");
  grant.items[1].traits.can_resume = true;
  grant.items[1].counter = 2.6;
  const auto read = wire::Decode<Grant>(wire::Encode(grant));
  REQUIRE(bool(read));
  CHECK(read->items[0].target_number == 300);
  CHECK(read->items[0].count == 2);
  CHECK(read->items[0].address == net::SocketAddress{});
  CHECK(read->items[0].counter == 9e18);
  CHECK(read->items[1].address == item.address);
  CHECK(read->items[1].traits == grant.items[1].traits);
  CHECK(read->items[1].counter == 3);
}

TEST_CASE("a malformed length is refused") {
  wire::Packet packet = wire::Encode(Demand{});
  packet.payload.append(9, '\xff');
  CHECK(!wire::Decode<Demand>(packet));
  packet.payload.assign(64, '\xff');
  CHECK(!wire::Decode<Demand>(packet));
}

}  // namespace
}  // namespace samphirebank::sharing
