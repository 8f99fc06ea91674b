// File: bodies.h
//
// Bounds what the bodies of callers' requests occupy, from a request's head to
// its end, over all callers and for each organisation.
//
// Example:
//
//   std::optional<BodyRoom> room = TakeRoom(held, organisation, length);
//   if (!room) { ... refuse ... }
#ifndef SAMPHIREBANK_ROUTER_INTERNAL_BODIES_H_
#define SAMPHIREBANK_ROUTER_INTERNAL_BODIES_H_

#include <map>
#include <memory>

#include "samphirebank/base/base.h"

namespace samphirebank::router {

// HeldBodies counts the bytes that are taken.
struct HeldBodies {
  Bytes all;
  std::map<OrganisationId, Bytes> of;
};

// BodyRoom is the room of one body, given back with its last copy.
using BodyRoom = std::shared_ptr<const Bytes>;

// TakeRoom returns null when the organisation holds too much, or all do.
BodyRoom TakeRoom(const std::shared_ptr<HeldBodies>& held,
                  const OrganisationId& organisation, Bytes length);

}  // namespace samphirebank::router

#endif  // SAMPHIREBANK_ROUTER_INTERNAL_BODIES_H_
