#include "samphirebank/router/internal/configuration.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "samphirebank/events/events.h"
#include "samphirebank/router/internal/attempts.h"
#include "samphirebank/router/internal/callers.h"
#include "samphirebank/router/internal/peers.h"
#include "samphirebank/router/internal/pools.h"

namespace samphirebank::router {
namespace {

constexpr size_t kPeersInAnswer = 8;

lease::Participant Self(const Router& router) {
  const settings::Identity& identity = router.settings.identity;
  return {.instance = identity.instance,
          .boot = router.boot,
          .region = identity.region,
          .zone = identity.zone,
          .address = router.peer_address,
          .role = lease::Role::kRouter,
          .draining = router.draining};
}

void InstallRevision(Router& router, TimePoint now) {
  const contracts::Configuration& configuration =
      router.holder.history.configuration;
  if (configuration.revision == router.installed) return;
  if (router.installed == Revision()) NoteLostAssignments(router);
  router.installed = configuration.revision;
  router.keys = ingress::IndexKeys(configuration);
  TakeAssignments(router, now);
  StopAttempts(router);
  events::Log({.number = events::Number::kRevisionInstalled,
               .revision = configuration.revision});
}

void NoteLease(Router& router, TimePoint now) {
  const bool has_lease = lease::MayAct(router.holder, now);
  if (has_lease == router.had_lease) return;
  router.had_lease = has_lease;
  events::Log({.number = has_lease ? events::Number::kLeaseRenewed
                                   : events::Number::kLeaseLapsed,
               .revision = router.installed});
  if (!has_lease) RaiseAll(router, outcome::LeaseLost{});
}

}  // namespace

void StartLease(Router& router) {
  std::vector<lease::ControlSeed> controls;
  for (const net::SocketAddress& address : router.settings.control) {
    controls.push_back({.address = address});
  }
  router.holder = lease::MakeHolder(
      {.self = Self(router),
       .controls = std::move(controls),
       .parameters = {.lease_duration = router.settings.lease},
       .poll_interval = router.settings.poll,
       .seed = router.boot.value});
}

void PumpLease(Router& router, TimePoint now) {
  router.holder.options.self.draining = router.draining;
  for (const lease::OutgoingPoll& send : lease::OnTimer(router.holder, now)) {
    SendMessage(router, send.to, send.poll);
  }
  NoteLease(router, now);
}

void OnConfigPoll(Router& router, const lease::ConfigPoll& poll,
                  TimePoint now) {
  lease::RecordPoll(router.heard, poll, now);
  lease::ConfigUpdate update =
      lease::MakeUpdate(router.holder.history, router.holder.satisfied_proof,
                        router.holder.options.parameters, poll, now);
  update.region = router.settings.identity.region;
  update.zone = router.settings.identity.zone;
  update.leader = router.holder.leader;
  if (poll.include_peers) {
    update.peers =
        lease::PeersFor(router.heard, poll.requester, kPeersInAnswer, now);
  }
  SendMessage(router, poll.requester.address, update);
}

void OnConfigUpdate(Router& router, const lease::ConfigUpdate& update,
                    TimePoint now) {
  lease::OnUpdate(router.holder, update, now);
  InstallRevision(router, now);
  NoteLease(router, now);
}

const contracts::Contract* FindContract(const Router& router,
                                        const OrganisationId& organisation) {
  const auto& all = router.holder.history.configuration.contracts;
  const auto found = all.find(organisation);
  return found == all.end() ? nullptr : &found->second.value;
}

net::SocketAddress ControlAddress(const Router& router) {
  if (router.holder.leader) return *router.holder.leader;
  return router.settings.control.front();
}

}  // namespace samphirebank::router
