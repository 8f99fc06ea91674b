#include "samphirebank/router/internal/callers.h"

#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "samphirebank/events/events.h"
#include "samphirebank/router/internal/actions.h"
#include "samphirebank/router/internal/admin.h"
#include "samphirebank/router/internal/configuration.h"
#include "samphirebank/router/internal/drain.h"
#include "samphirebank/router/internal/peers.h"
#include "samphirebank/router/internal/pools.h"

namespace samphirebank::router {
namespace {

using nlohmann::json;

// When a router without a lease suggests to come back: by then it has one, or
// the balancer has turned elsewhere.
constexpr Duration kNoLeaseRetry = std::chrono::seconds(2);
constexpr Duration kNoPoolRetry = std::chrono::seconds(2);
constexpr Duration kNoRoomRetry = std::chrono::seconds(1);

std::string HeaderOf(const net::ServerStream& stream, std::string_view name) {
  return net::FindHeader(stream.head().headers, name).value_or("");
}

RequestId NextRequestId(Router& router) {
  return RequestId(router.settings.identity.instance.value + "-" +
                   std::to_string(router.boot.value) + "-" +
                   std::to_string(router.next_request++));
}

void ReplyRefusal(Router& router, net::ServerStream& stream,
                  const RequestId& id, const ingress::Refusal& refusal) {
  router.metrics.refused.Add(1);
  events::Log({.number = events::Number::kRequestRefused,
               .request = id,
               .status = refusal.problem.status,
               .outcome = std::string(outcome::ToText(refusal.problem.outcome)),
               .detail = refusal.problem.title});
  net::Response response = ingress::ToResponse(refusal);
  response.headers.push_back({.name = "x-request-id", .value = id.value});
  stream.Reply(std::move(response));
}

// Models are the services that have a scheduler and that the contract allows.
void ReplyModels(const Router& router, net::ServerStream& stream,
                 const contracts::Contract& contract) {
  // A service may have a pool in each region; it is listed once.
  std::set<ServiceId> services;
  for (const auto& [pool, record] : router.holder.history.configuration.pools) {
    if (ingress::CheckContract(contract, pool.service, pool.region)) continue;
    services.insert(pool.service);
  }
  json list = json::array();
  for (const ServiceId& service : services) {
    list.push_back({{"id", service.value}, {"object", "model"}});
  }
  stream.Reply({.body = json({{"object", "list"}, {"data", list}}).dump()});
}

// FindPool picks the service's pool in this region, or in the first other one
// that the contract allows.
std::optional<PoolId> FindPool(const Router& router,
                               const contracts::Contract& contract,
                               const ServiceId& service) {
  const auto& pools = router.holder.history.configuration.pools;
  const PoolId own{.region = router.settings.identity.region,
                   .service = service};
  const bool own_allowed =
      !ingress::CheckContract(contract, service, own.region);
  if (own_allowed && pools.contains(own)) return own;
  for (const auto& [pool, record] : pools) {
    if (pool.service != service) continue;
    if (!ingress::CheckContract(contract, service, pool.region)) return pool;
  }
  return std::nullopt;
}

outcome::Options MachineOptions(const CallerRequest& request,
                                const contracts::Contract& contract,
                                uint64_t seed) {
  const bool has_key = !HeaderOf(*request.stream, "idempotency-key").empty();
  const bool repeatable =
      ingress::IsRepeatable(request.route, request.stream->head().method);
  return {.organisation = request.organisation,
          .service = request.pool.service,
          .idempotent = repeatable && !has_key,
          .has_key = has_key,
          .deadline =
              request.arrived + std::chrono::milliseconds(contract.deadline_ms),
          .seed = seed};
}

void StartRequest(Router& router, const std::shared_ptr<CallerRequest>& request,
                  const contracts::Contract& contract, TimePoint now) {
  request->machine =
      outcome::Start(MachineOptions(*request, contract, router.next_request));
  request->keep = {.max_age_s = contract.answer_keep_s,
                   .max_bytes = contract.answer_keep_bytes};
  const RequestId id = request->id;
  router.requests.emplace(id, request);
  request->deadline_timer = router.loop.After(
      request->machine.options.deadline - now,
      [&router, id] { Raise(router, id, outcome::DeadlinePassed{}); });
  request->stream->on_closed =
      [&router, id,
       organisation = request->organisation](net::CloseReason reason) {
        LogLeft(id, organisation, reason);
        Raise(router, id, outcome::CallerDisconnected{});
      };
  File(router, *request, now);
}

// Admit checks a whole request and starts it.
void Admit(Router& router, const std::shared_ptr<CallerRequest>& request) {
  const TimePoint now = net::Loop::Now();
  const auto refuse = [&](const ingress::Refusal& refusal) {
    ReplyRefusal(router, *request->stream, request->id, refusal);
  };
  const contracts::Contract* const contract =
      FindContract(router, request->organisation);
  if (contract == nullptr) {
    refuse(ingress::NotRun(403, "the contract was withdrawn"));
    return;
  }
  if (request->route.kind == ingress::RouteKind::kModelCall) {
    const ingress::ParsedModelCall read =
        ingress::ParseModelCall(request->body);
    if (!read.findings.empty()) {
      refuse(ingress::BadRequest(read.findings));
      return;
    }
    request->pool.service = read.call.model;
    request->estimate = read.call.estimate;
    request->prefix = read.call.prefix_hash;
    request->model_stream = read.call.stream;
  } else {
    request->pool.service = request->route.service;
    request->estimate = Tokens(1);
  }
  if (IsDrained(router)) {
    refuse(ingress::NotRun(503, "this router shuts down", kNoPoolRetry));
    return;
  }
  if (!lease::MayAct(router.holder, now)) {
    refuse(ingress::NotRun(503, "no configuration is in force here",
                           kNoLeaseRetry));
    return;
  }
  const ServiceId service = request->pool.service;
  const auto refusal = ingress::CheckContract(
      *contract, service,
      contract->regions.empty() ? router.settings.identity.region
                                : contract->regions.front());
  if (refusal) {
    refuse(*refusal);
    return;
  }
  const auto pool = FindPool(router, *contract, service);
  if (!pool) {
    refuse(ingress::NotRun(503, "no target offers this service", kNoPoolRetry));
    return;
  }
  request->pool = *pool;
  StartRequest(router, request, *contract, now);
}

ingress::Refusal ToProblem(const queue::Refusal& refusal) {
  if (refusal.kind == queue::RefusalKind::kNoTargets) {
    return ingress::NotRun(503, "no target offers this service", kNoPoolRetry);
  }
  const bool full = refusal.kind != queue::RefusalKind::kWouldExpire;
  return ingress::NotRun(
      full ? 429 : 503,
      full ? "the queue is full" : "it would wait beyond its deadline",
      refusal.retry_after);
}

// ReadBody collects the body, then admits the request.
void ReadBody(Router& router, const std::shared_ptr<CallerRequest>& request) {
  const Bytes length =
      request->stream->head().content_length.value_or(Bytes(0));
  request->body_room = TakeRoom(router.bodies, request->organisation, length);
  if (request->body_room == nullptr) {
    ReplyRefusal(router, *request->stream, request->id,
                 ingress::NotRun(429, "too large request bodies are held",
                                 kNoRoomRetry));
    return;
  }
  request->body.reserve(static_cast<size_t>(length.value));
  request->stream->on_closed = [request](net::CloseReason reason) {
    LogLeft(request->id, request->organisation, reason);
  };
  request->stream->on_body = [request](std::string_view piece) {
    request->body += piece;
  };
  request->stream->on_body_end = [&router, request] { Admit(router, request); };
}

}  // namespace

void OnCaller(Router& router,
              const std::shared_ptr<net::ServerStream>& stream) {
  auto request = std::make_shared<CallerRequest>();
  request->route = ingress::FindRoute(stream->head());
  if (request->route.kind == ingress::RouteKind::kHealth) {
    ReplyHealth(*stream);
    return;
  }
  if (request->route.kind == ingress::RouteKind::kReady) {
    ReplyReady(router, *stream);
    return;
  }
  router.metrics.received.Add(1);
  request->id = NextRequestId(router);
  request->stream = stream;
  request->arrived = net::Loop::Now();
  if (request->route.kind == ingress::RouteKind::kUnknown) {
    ReplyRefusal(router, *stream, request->id,
                 ingress::NotRun(404, "there is nothing at this path"));
    return;
  }
  if (request->route.kind == ingress::RouteKind::kWrongMethod) {
    ReplyRefusal(router, *stream, request->id,
                 ingress::NotRun(405, "this path takes another method"));
    return;
  }
  const auto organisation = ingress::FindOrganisation(
      router.keys, HeaderOf(*stream, "authorization"));
  if (!organisation) {
    ReplyRefusal(router, *stream, request->id,
                 ingress::NotRun(401, "the API key is not known"));
    return;
  }
  request->organisation = *organisation;
  if (request->route.kind == ingress::RouteKind::kModelList) {
    const auto* const contract = FindContract(router, *organisation);
    if (contract != nullptr) ReplyModels(router, *stream, *contract);
    return;
  }
  events::Log({.number = events::Number::kRequestReceived,
               .request = request->id,
               .organisation = *organisation});
  ReadBody(router, request);
}

void LogLeft(const RequestId& id, const OrganisationId& organisation,
             net::CloseReason reason) {
  events::Log({.number = events::Number::kCallerLeft,
               .request = id,
               .organisation = organisation,
               .reason = std::string(net::ToText(reason))});
}

void File(Router& router, CallerRequest& request, TimePoint now) {
  const contracts::Contract* const contract =
      FindContract(router, request.organisation);
  const queue::Limits limits{
      .queue_length = contract == nullptr ? 0 : contract->queue_length};
  const auto refusal =
      queue::Enqueue(router.queues,
                     {.id = request.id,
                      .pool = request.pool,
                      .organisation = request.organisation,
                      .estimate = request.estimate,
                      .prefix = request.prefix,
                      .deadline = request.machine.options.deadline},
                     limits, now);
  if (refusal) {
    RefuseWaiting(router, request, ToProblem(*refusal));
    return;
  }
  SchedulePump(router);
}

void Raise(Router& router, const RequestId& id, outcome::Event event) {
  const auto found = router.requests.find(id);
  if (found == router.requests.end()) return;
  const std::shared_ptr<CallerRequest> request = found->second;
  request->events.push_back(std::move(event));
  if (request->stepping) return;
  const WorkScope scope(router.work, Work::kRequests);
  request->stepping = true;
  while (!request->events.empty()) {
    const outcome::Event next = std::move(request->events.front());
    request->events.pop_front();
    const auto actions =
        outcome::Step(request->machine, next, router.budgets, net::Loop::Now());
    for (const outcome::Action& action : actions) {
      Perform(router, *request, action);
    }
  }
  request->stepping = false;
  if (request->machine.phase == outcome::Phase::kEnded) {
    EndRequest(router, *request);
  }
  SchedulePump(router);
}

void RaiseAll(Router& router, const outcome::Event& event) {
  std::vector<RequestId> ids;
  ids.reserve(router.requests.size());
  for (const auto& [id, request] : router.requests) ids.push_back(id);
  for (const RequestId& id : ids) Raise(router, id, event);
}

void RefuseExpired(Router& router, TimePoint now) {
  for (const queue::Refusal& refusal : queue::Expire(router.queues, now)) {
    Raise(router, refusal.id, outcome::DeadlinePassed{});
  }
}

void RefuseUnserved(Router& router, const PoolId& pool, TimePoint now) {
  for (const queue::Refusal& refusal :
       queue::RefuseUnserved(router.queues, pool, now)) {
    const auto found = router.requests.find(refusal.id);
    if (found == router.requests.end()) continue;
    const std::shared_ptr<CallerRequest> request = found->second;
    RefuseWaiting(router, *request, ToProblem(refusal));
  }
}

void PumpClaims(Router& router, TimePoint now) {
  const std::vector<claims::ClaimRequest> due =
      claims::TakeDueRequests(router.claims, now);
  for (const claims::ClaimRequest& request : due) {
    SendMessage(router, ControlAddress(router), request);
  }
}

void OnClaimReply(Router& router, const claims::ClaimReply& reply,
                  TimePoint now) {
  const auto answered = claims::OnReply(router.claims, reply, now);
  if (!answered) return;
  const auto found = router.claiming.find(answered->id.number);
  if (found == router.claiming.end()) return;
  const RequestId id = found->second;
  router.claiming.erase(found);
  Raise(router, id,
        outcome::ClaimDecided{.decision = answered->decision,
                              .answer = answered->response});
}

}  // namespace samphirebank::router
