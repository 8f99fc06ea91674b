// File: link.h
//
// Sealed messages between the system's own processes on an Asio loop. A small
// message goes in one datagram, a larger one over a connection of its own, so
// that no connection that fell silent can hold it up. Delivery is not
// promised: a message may be lost, doubled or reordered.
//
// Thread rules: a Link belongs to the loop's thread.
//
// Example:
//
//   Link link(loop, {.address = {"10.0.0.1", 7400}, .key = key,
//                    .self = instance, .on_packet = handler});
//   link.Send({"10.0.0.2", 7400}, wire::Encode(message));
#ifndef SAMPHIREBANK_LINK_LINK_H_
#define SAMPHIREBANK_LINK_LINK_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "samphirebank/base/base.h"
#include "samphirebank/net/net.h"
#include "samphirebank/wire/wire.h"

namespace samphirebank::link {

// Options say where peers reach this process: one port for UDP and TCP.
struct Options {
  net::SocketAddress address{};
  wire::FleetKey key{};
  InstanceId self{};
  std::function<void(const wire::Opened&)> on_packet{};
};

// Link is one process's end of all links.
class Link {
 public:
  // Throws std::runtime_error if the address cannot be bound.
  Link(boost::asio::io_context& loop, Options options);
  ~Link();
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  // Send sends a message; it returns before the message has left.
  void Send(const net::SocketAddress& to, wire::Packet packet);

  // ReadWaiting takes the messages that have arrived, without waiting for the
  // loop. A busy process calls it between other events; see process::RunToEnd.
  // Must not be called by `on_packet`.
  void ReadWaiting();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace samphirebank::link

#endif  // SAMPHIREBANK_LINK_LINK_H_
