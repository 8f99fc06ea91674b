// File: state.h
//
// All that an entry router's process holds. The functions that work on it are
// grouped by what they carry: peers.h, configuration.h, pools.h, callers.h,
// attempts.h, bodies.h, admin.h, drain.h.
#ifndef SAMPHIREBANK_ROUTER_INTERNAL_STATE_H_
#define SAMPHIREBANK_ROUTER_INTERNAL_STATE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "samphirebank/base/base.h"
#include "samphirebank/claims/claims.h"
#include "samphirebank/contracts/contracts.h"
#include "samphirebank/ingress/ingress.h"
#include "samphirebank/lease/lease.h"
#include "samphirebank/net/net.h"
#include "samphirebank/outcome/outcome.h"
#include "samphirebank/queue/queue.h"
#include "samphirebank/quota/quota.h"
#include "samphirebank/relay/relay.h"
#include "samphirebank/retry/retry.h"
#include "samphirebank/router/internal/bodies.h"
#include "samphirebank/router/internal/metrics.h"
#include "samphirebank/router/internal/work.h"
#include "samphirebank/scheduler/scheduler.h"
#include "samphirebank/settings/settings.h"
#include "samphirebank/sharing/sharing.h"
#include "samphirebank/targets/targets.h"
#include "samphirebank/wire/wire.h"

namespace samphirebank::router {

// CallerRequest is one request from its head to its end.
struct CallerRequest {
  RequestId id;
  std::shared_ptr<net::ServerStream> stream;
  ingress::Route route;
  OrganisationId organisation;
  PoolId pool;
  Tokens estimate;
  uint64_t prefix = 0;
  bool model_stream = false;
  std::string body;
  BodyRoom body_room;
  TimePoint arrived;

  outcome::Request machine;
  std::deque<outcome::Event> events;  // not yet taken by the machine
  bool stepping = false;
  net::TimerId deadline_timer;

  // The newest attempt.
  std::shared_ptr<net::ClientCall> call;
  net::TimerId dispatch_timer;
  sharing::TargetTraits traits;
  relay::Response answer;
  std::vector<net::Header> answer_headers;
  std::string held;         // of the answer, not yet passed on
  bool grant_held = false;  // a grant that was not used is still counted
  bool attempt_failed = false;

  // The caller's answer.
  bool head_sent = false;
  bool first_byte = false;

  std::optional<claims::ClaimId> claim;
  std::string record_body;  // of the answer, for the claim
  claims::RetentionLimits keep;
};

// Router is the whole state of the process.
struct Router {
  settings::RouterSettings settings;
  BootId boot;
  net::Loop loop;
  std::unique_ptr<net::PeerSocket> peers;
  net::SocketAddress peer_address;
  std::unique_ptr<wire::Sealer> sealer;
  std::unique_ptr<wire::Opener> opener;

  lease::Holder holder;
  lease::Registry heard;
  Revision installed;
  bool had_lease = false;
  ingress::KeyIndex keys;

  queue::State queues;
  std::map<PoolId, scheduler::State> schedulers;
  std::map<PoolId, Epoch> scheduled_epochs;
  std::map<PoolId, TimePoint> pool_asked;
  // Assignments that an earlier run of this instance held: what it knew is
  // lost, so they are asked for again under a new epoch.
  std::map<PoolId, Epoch> lost_epochs;
  // Pools of other regions whose schedulers exchange counters with those
  // here: when each was last heard and told.
  std::map<PoolId, TimePoint> share_heard;
  std::map<PoolId, TimePoint> share_sent;
  quota::LocalCoordinators quotas;  // coordinators of limits that run here
  targets::Registry targets;

  std::shared_ptr<HeldBodies> bodies = std::make_shared<HeldBodies>();
  claims::Client claims;
  retry::Budgets budgets;
  std::unordered_map<RequestId, std::shared_ptr<CallerRequest>> requests;
  std::map<uint64_t, RequestId> claiming;  // by ClaimId::number
  uint64_t next_request = 1;

  net::TimerId pump_timer;  // the next Pump, at pump_at
  TimePoint pump_at;
  bool draining = false;
  bool drained = false;
  TimePoint drain_until;
  TimePoint drain_since;
  int exit_code = 0;
  Metrics metrics;
  WorkAccount work{.control_cpu = this->metrics.control_cpu};
  uint16_t caller_port = 0;
  uint16_t admin_port = 0;
};

}  // namespace samphirebank::router

#endif  // SAMPHIREBANK_ROUTER_INTERNAL_STATE_H_
