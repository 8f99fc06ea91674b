#include "samphirebank/router/internal/bodies.h"

namespace samphirebank::router {
namespace {

constexpr Bytes kMostHeld = Bytes(48 << 20);
// One organisation leaves room to the others.
constexpr Bytes kMostHeldByOne = Bytes(16 << 20);

void GiveBack(HeldBodies& held, const OrganisationId& organisation,
              Bytes length) {
  held.all -= length;
  Bytes& own = held.of[organisation];
  own -= length;
  if (own == Bytes(0)) held.of.erase(organisation);
}

}  // namespace

BodyRoom TakeRoom(const std::shared_ptr<HeldBodies>& held,
                  const OrganisationId& organisation, Bytes length) {
  const auto found = held->of.find(organisation);
  const Bytes own = found == held->of.end() ? Bytes(0) : found->second;
  if (held->all + length > kMostHeld) return nullptr;
  if (own + length > kMostHeldByOne) return nullptr;
  held->all += length;
  held->of[organisation] += length;
  return {new Bytes(length), [held, organisation](const Bytes* taken) {
            GiveBack(*held, organisation, *taken);
            delete taken;
          }};
}

}  // namespace samphirebank::router
