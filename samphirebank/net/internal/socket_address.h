// File: socket_address.h
//
// Addresses as the kernel takes and gives them.
#ifndef SAMPHIREBANK_NET_INTERNAL_SOCKET_ADDRESS_H_
#define SAMPHIREBANK_NET_INTERNAL_SOCKET_ADDRESS_H_

#include <netinet/in.h>

#include "samphirebank/net/net.h"

namespace samphirebank::net::internal {

// ToKernel returns the kernel's form of an address.
sockaddr_in ToKernel(const SocketAddress& address);

// FromKernel returns the address that the kernel names.
SocketAddress FromKernel(const sockaddr_in& kernel);

}  // namespace samphirebank::net::internal

#endif  // SAMPHIREBANK_NET_INTERNAL_SOCKET_ADDRESS_H_
