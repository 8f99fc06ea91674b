// File: peers.h
//
// Sealed messages to and from other instances.
#ifndef SAMPHIREBANK_ROUTER_INTERNAL_PEERS_H_
#define SAMPHIREBANK_ROUTER_INTERNAL_PEERS_H_

#include <string_view>

#include "samphirebank/router/internal/state.h"
#include "samphirebank/wire/wire.h"

namespace samphirebank::router {

// SendPacket seals and sends a packet.
void SendPacket(Router& router, const net::SocketAddress& to,
                wire::Packet packet);

// SendMessage encodes, seals and sends a message.
template <typename Message>
void SendMessage(Router& router, const net::SocketAddress& to,
                 const Message& message) {
  SendPacket(router, to, wire::Encode(message));
}

// OnPacket opens what a peer sent and hands it to its filter. What cannot be
// opened is counted and changes nothing.
void OnPacket(Router& router, const net::SocketAddress& from,
              std::string_view bytes);

}  // namespace samphirebank::router

#endif  // SAMPHIREBANK_ROUTER_INTERNAL_PEERS_H_
