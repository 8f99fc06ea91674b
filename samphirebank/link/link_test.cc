#include "samphirebank/link/link.h"

#include <doctest/doctest.h>
#include <sodium.h>

#include <chrono>
#include <string>
#include <vector>

#include "samphirebank/base/base.h"

namespace samphirebank::link {
namespace {

// Text is a message of any size.
struct Text {
  static constexpr wire::Kind kKind = wire::Kind::kConsensus;
  std::string text{};

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(text);
  }
};

const wire::FleetKey kKey{.bytes = std::string(32, 'k')};

TEST_CASE("messages of any size arrive, forged ones do not") {
  REQUIRE(sodium_init() >= 0);
  boost::asio::io_context loop;
  const net::SocketAddress to{"127.0.0.1", 47'411};
  std::vector<size_t> sizes;
  Link receiver(loop, {.address = to,
                       .key = kKey,
                       .self = InstanceId("b"),
                       .on_packet = [&](const wire::Opened& opened) {
                         CHECK(opened.from == InstanceId("a"));
                         sizes.push_back(opened.packet.payload.size());
                         if (sizes.size() == 2) loop.stop();
                       }});
  Link forger(loop, {.address = {"127.0.0.1", 47'412},
                     .key = {.bytes = std::string(32, 'x')},
                     .self = InstanceId("a"),
                     .on_packet = [](const wire::Opened&) {}});
  Link sender(loop, {.address = {"127.0.0.1", 47'413},
                     .key = kKey,
                     .self = InstanceId("a"),
                     .on_packet = [](const wire::Opened&) {}});
  forger.Send(to, wire::Encode(Text{.text = "forged"}));
  sender.Send(to, wire::Encode(Text{.text = "short"}));
  sender.Send(to, wire::Encode(Text{.text = std::string(300'000, 'l')}));
  loop.run_for(std::chrono::seconds(10));
  REQUIRE(sizes.size() == 2);
  CHECK(sizes[0] < 100);
  CHECK(sizes[1] > 300'000);
}

}  // namespace
}  // namespace samphirebank::link
