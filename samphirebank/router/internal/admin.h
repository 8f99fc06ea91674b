// File: admin.h
//
// The port for targets and operators: announcements, load reports, status,
// metrics and the probes of the platform's balancer.
#ifndef SAMPHIREBANK_ROUTER_INTERNAL_ADMIN_H_
#define SAMPHIREBANK_ROUTER_INTERNAL_ADMIN_H_

#include <memory>

#include "samphirebank/router/internal/state.h"

namespace samphirebank::router {

// OnAdmin takes a request from the admin port.
void OnAdmin(Router& router, const std::shared_ptr<net::ServerStream>& stream);

// ReplyHealth and ReplyReady answer the probes. Ready means: it has a lease
// and is not draining.
void ReplyHealth(net::ServerStream& stream);
void ReplyReady(const Router& router, net::ServerStream& stream);

}  // namespace samphirebank::router

#endif  // SAMPHIREBANK_ROUTER_INTERNAL_ADMIN_H_
