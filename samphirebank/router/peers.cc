#include "samphirebank/router/internal/peers.h"

#include <boost/leaf/handle_errors.hpp>
#include <string_view>
#include <utility>

#include "samphirebank/events/events.h"
#include "samphirebank/router/internal/callers.h"
#include "samphirebank/router/internal/configuration.h"
#include "samphirebank/router/internal/pools.h"
#include "samphirebank/router/internal/quotas.h"

namespace samphirebank::router {
namespace {

namespace leaf = boost::leaf;

leaf::result<void> Deliver(Router& router, const wire::Opened& opened,
                           TimePoint now) {
  const wire::Packet& packet = opened.packet;
  switch (packet.kind) {
    case wire::Kind::kConfigPoll: {
      BOOST_LEAF_AUTO(poll, wire::Decode<lease::ConfigPoll>(packet));
      OnConfigPoll(router, poll, now);
      return {};
    }
    case wire::Kind::kConfigUpdate: {
      BOOST_LEAF_AUTO(update, wire::Decode<lease::ConfigUpdate>(packet));
      OnConfigUpdate(router, update, now);
      return {};
    }
    case wire::Kind::kDemand: {
      BOOST_LEAF_AUTO(demand, wire::Decode<sharing::Demand>(packet));
      OnDemand(router, opened.from, opened.boot, demand, now);
      return {};
    }
    case wire::Kind::kGrant: {
      BOOST_LEAF_AUTO(grant, wire::Decode<sharing::Grant>(packet));
      OnGrant(router, grant, now);
      return {};
    }
    case wire::Kind::kTargetState: {
      BOOST_LEAF_AUTO(state, wire::Decode<sharing::TargetState>(packet));
      OnTargetState(router, state, now);
      return {};
    }
    case wire::Kind::kCounterShare: {
      BOOST_LEAF_AUTO(share, wire::Decode<sharing::CounterShare>(packet));
      OnCounterShare(router, share, now);
      return {};
    }
    case wire::Kind::kQuotaAsk: {
      BOOST_LEAF_AUTO(ask, wire::Decode<sharing::QuotaRequest>(packet));
      OnQuotaAsk(router, ask, now);
      return {};
    }
    case wire::Kind::kQuotaGrant: {
      BOOST_LEAF_AUTO(grant, wire::Decode<sharing::QuotaGrant>(packet));
      OnQuotaGrant(router, grant, now);
      return {};
    }
    case wire::Kind::kClaimReply: {
      BOOST_LEAF_AUTO(reply, wire::Decode<claims::ClaimReply>(packet));
      OnClaimReply(router, reply, now);
      return {};
    }
    default:
      return leaf::new_error(wire::Error{wire::ErrorKind::kWrongKind});
  }
}

void CountRefused(Router& router, const net::SocketAddress& from) {
  // A flood of forged packets must not become a flood of log lines.
  constexpr uint64_t kLogEvery = 1'000;
  const uint64_t before = router.metrics.packets_refused.value();
  router.metrics.packets_refused.Add(1);
  if (before % kLogEvery != 0) return;
  events::Log({.number = events::Number::kPacketRefused,
               .count = static_cast<int64_t>(before + 1),
               .address = from.ToText()});
}

}  // namespace

void SendPacket(Router& router, const net::SocketAddress& to,
                wire::Packet packet) {
  const events::Stamp stamp = events::CurrentStamp();
  packet.clock_ms = stamp.wall_ms;
  packet.clock_logical = stamp.logical;
  const bool fits = packet.payload.size() <= net::kMaxDatagramPayload;
  const std::string bytes = router.sealer->Seal(
      packet, {.receiver = to.ToText(),
               .transport = fits ? wire::Transport::kDatagram
                                 : wire::Transport::kConnection});
  router.metrics.packets_sent.Add(1);
  router.metrics.packet_bytes_sent.Add(bytes.size());
  router.peers->Send(to, bytes);
}

void OnPacket(Router& router, const net::SocketAddress& from,
              std::string_view bytes) {
  const WorkScope scope(router.work, Work::kControl);
  router.metrics.packets_received.Add(1);
  router.metrics.packet_bytes_received.Add(bytes.size());
  const TimePoint now = net::Loop::Now();
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(opened, router.opener->Open(bytes));
        events::Observe({.wall_ms = opened.packet.clock_ms,
                         .logical = opened.packet.clock_logical});
        return Deliver(router, opened, now);
      },
      [&](const wire::Error&) { CountRefused(router, from); },
      [&] { CountRefused(router, from); });
  SchedulePump(router);
}

}  // namespace samphirebank::router
