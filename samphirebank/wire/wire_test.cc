#include "samphirebank/wire/wire.h"

#include <doctest/doctest.h>

#include <boost/leaf/handle_errors.hpp>
#include <string>
#include <vector>

namespace samphirebank::wire {
namespace {

struct Ping {
  static constexpr Kind kKind = Kind::kDemand;
  uint64_t nonce = 0;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(nonce);
  }
};

const Channel kChannel{.receiver = "r2"};

FleetKey KeyOf(char byte) { return FleetKey{std::string(32, byte)}; }

// Refusal opens `bytes` and returns the reason, or nothing when it is taken.
std::optional<ErrorKind> Refusal(Opener& opener, std::string_view bytes) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<ErrorKind>> {
        BOOST_LEAF_CHECK(opener.Open(bytes));
        return std::nullopt;
      },
      [](const Error& error) -> std::optional<ErrorKind> { return error.kind; },
      []() -> std::optional<ErrorKind> { return ErrorKind::kMalformed; });
}

TEST_CASE("a sealed message opens once, under the same key") {
  Sealer sealer(KeyOf('k'), InstanceId("r1"), BootId(4));
  Opener opener(KeyOf('k'));
  Packet packet = Encode(Ping{.nonce = 9});
  packet.clock_ms = 12;
  const std::string bytes = sealer.Seal(packet, kChannel);
  const leaf::result<Opened> opened = opener.Open(bytes);
  REQUIRE(opened);
  CHECK(opened->from == InstanceId("r1"));
  CHECK(opened->boot == BootId(4));
  CHECK(opened->packet.clock_ms == 12);
  CHECK(Decode<Ping>(opened->packet)->nonce == 9);
  CHECK(Refusal(opener, bytes) == ErrorKind::kReplayed);
}

TEST_CASE("forged, truncated and foreign packets are refused") {
  Sealer sealer(KeyOf('k'), InstanceId("r1"), BootId(4));
  Opener opener(KeyOf('k'));
  const std::string bytes = sealer.Seal(Encode(Ping{.nonce = 9}), kChannel);
  for (size_t i = 1; i < bytes.size(); ++i) {
    std::string bent = bytes;
    bent[i] = static_cast<char>(bent[i] ^ 1);
    CHECK(Refusal(opener, bent) == ErrorKind::kForged);
  }
  std::string other_version = bytes;
  other_version[0] = 9;
  CHECK(Refusal(opener, other_version) == ErrorKind::kVersion);
  CHECK(Refusal(opener, bytes.substr(0, 20)) == ErrorKind::kTruncated);
  Opener stranger(KeyOf('x'));
  CHECK(Refusal(stranger, bytes) == ErrorKind::kForged);
  CHECK(Refusal(opener, bytes) == std::nullopt);
}

TEST_CASE("a packet is taken as the message that it holds, or not at all") {
  std::vector<uint64_t> taken;
  const auto take = [&](const Packet& packet) {
    return Take<Ping>(packet,
                      [&](const Ping& ping) { taken.push_back(ping.nonce); });
  };
  Packet packet = Encode(Ping{.nonce = 9});
  CHECK(take(packet));
  packet.payload.pop_back();
  CHECK_FALSE(take(packet));
  Packet other_kind = Encode(Ping{.nonce = 9});
  other_kind.kind = Kind::kLoadSum;
  CHECK_FALSE(take(other_kind));
  CHECK(taken == std::vector<uint64_t>{9});
}

TEST_CASE("sealing adds few bytes to a message") {
  Sealer sealer(KeyOf('k'), InstanceId("r1"), BootId(4));
  const Packet packet{.kind = Kind::kDemand, .payload = std::string(100, 'p')};
  CHECK(sealer.Seal(packet, kChannel).size() <= 100 + 56);
}

TEST_CASE("reordering within the window is allowed, each number once") {
  Sealer sealer(KeyOf('k'), InstanceId("r1"), BootId(4));
  Opener opener(KeyOf('k'));
  std::vector<std::string> packets;
  for (uint64_t i = 0; i < 70; ++i) {
    packets.push_back(sealer.Seal(Encode(Ping{.nonce = i}), kChannel));
  }
  CHECK(Refusal(opener, packets[69]) == std::nullopt);
  CHECK(Refusal(opener, packets[10]) == std::nullopt);
  CHECK(Refusal(opener, packets[10]) == ErrorKind::kReplayed);
  CHECK(Refusal(opener, packets[2]) == ErrorKind::kReplayed);
}

// Guards against packets that are refused as replayed since the sender sent
// many others: to other receivers, or over the other transport.
TEST_CASE("packets of other channels do not count as reordering") {
  Sealer sealer(KeyOf('k'), InstanceId("r1"), BootId(4));
  Opener opener(KeyOf('k'));
  const Channel connection{.receiver = "r2",
                           .transport = Transport::kConnection};
  const Packet packet = Encode(Ping{.nonce = 9});
  const std::string slow = sealer.Seal(packet, connection);
  for (uint64_t i = 0; i < 2 * kReplayWindow; ++i) {
    sealer.Seal(packet, {.receiver = "r3"});
    CHECK(Refusal(opener, sealer.Seal(packet, kChannel)) == std::nullopt);
  }
  CHECK(Refusal(opener, slow) == std::nullopt);
  CHECK(Refusal(opener, slow) == ErrorKind::kReplayed);
}

TEST_CASE("a fleet key is 64 hexadecimal digits") {
  CHECK(ParseFleetKey(std::string(64, 'a')).has_value());
  CHECK(!ParseFleetKey(std::string(62, 'a')).has_value());
  CHECK(!ParseFleetKey(std::string(63, 'a') + "g").has_value());
}

TEST_CASE("fields that state too much are refused before memory is taken") {
  const std::string flag = EncodeFields(uint8_t{2});
  CHECK(!DecodeFields<bool>(flag));
  const std::string length = EncodeFields(uint64_t{1} << 40);
  CHECK(!DecodeFields<std::string>(length));
  CHECK(!DecodeFields<std::vector<uint64_t>>(length));
  CHECK(!DecodeFields<std::map<uint64_t, bool>>(length));
}

}  // namespace
}  // namespace samphirebank::wire
