#include "samphirebank/router/internal/actions.h"

#include <string>
#include <utility>
#include <variant>

#include "samphirebank/events/events.h"
#include "samphirebank/router/internal/attempts.h"
#include "samphirebank/router/internal/callers.h"
#include "samphirebank/router/internal/configuration.h"
#include "samphirebank/router/internal/pools.h"

namespace samphirebank::router {
namespace {

// Control decides a claim within this time or the claim counts as not to be
// had.
constexpr Duration kClaimTimeout = std::chrono::seconds(5);

template <typename... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

void MakeClaim(Router& router, CallerRequest& request) {
  const net::RequestHead& head = request.stream->head();
  const claims::ClaimKey key{
      .organisation = request.organisation,
      .service = request.pool.service,
      .key = net::FindHeader(head.headers, "idempotency-key").value_or("")};
  const std::string type =
      net::FindHeader(head.headers, "content-type").value_or("");
  const claims::Digest digest = claims::RequestDigest(
      head.method, request.route.target_path, type, request.body);
  const claims::ClaimId claim = claims::BeginClaim(
      router.claims, key, digest, request.keep, net::Loop::Now());
  request.claim = claim;
  router.claiming[claim.number] = request.id;
  const RequestId id = request.id;
  router.loop.After(kClaimTimeout, [&router, id, claim] {
    if (router.claiming.erase(claim.number) == 0) return;
    Raise(router, id, outcome::ClaimUnavailable{});
  });
}

void Requeue(Router& router, CallerRequest& request,
             const outcome::Requeue& requeue) {
  router.metrics.retried.Add(1);
  events::Log({.number = events::Number::kRequestRetried,
               .request = request.id,
               .duration = requeue.delay});
  if (request.grant_held) {
    request.grant_held = false;
    queue::Requeue(router.queues, request.id, net::Loop::Now());
    return;
  }
  const RequestId id = request.id;
  router.loop.After(requeue.delay, [&router, id] {
    const auto found = router.requests.find(id);
    if (found == router.requests.end()) return;
    File(router, *found->second, net::Loop::Now());
  });
}

void Settle(Router& router, CallerRequest& request,
            const outcome::Settle& settle) {
  if (!settle.sent) {
    request.grant_held = true;
    return;
  }
  request.grant_held = false;
  queue::OnEnd(router.queues, request.id,
               {.tokens = settle.tokens, .failed = request.attempt_failed},
               net::Loop::Now());
}

void Refuse(Router& router, CallerRequest& request,
            const outcome::Problem& problem) {
  router.metrics.refused.Add(1);
  events::Log({.number = events::Number::kRequestRefused,
               .request = request.id,
               .organisation = request.organisation,
               .status = problem.status,
               .outcome = std::string(outcome::ToText(problem.outcome)),
               .detail = problem.title});
  net::Response response = ingress::ToResponse({.problem = problem});
  response.headers.push_back(
      {.name = "x-request-id", .value = request.id.value});
  request.stream->Reply(std::move(response));
}

void ReplyRecorded(Router& router, CallerRequest& request,
                   const claims::RecordedResponse& answer) {
  router.metrics.answered.Add(1);
  events::Log({.number = events::Number::kClaimReplayed,
               .request = request.id,
               .organisation = request.organisation,
               .status = answer.status});
  request.stream->Reply(
      {.status = answer.status,
       .content_type = answer.content_type,
       .body = answer.body,
       .headers = {{.name = "x-request-id", .value = request.id.value}}});
}

void CutStream(Router& router, CallerRequest& request,
               const std::string& detail) {
  router.metrics.cut.Add(1);
  events::Log({.number = events::Number::kRequestCut,
               .request = request.id,
               .organisation = request.organisation,
               .detail = detail});
  if (request.answer.event_stream) {
    request.stream->Send(relay::ErrorEvent(detail));
  }
  request.stream->Abort();
}

void FinishAnswer(Router& router, CallerRequest& request) {
  const Duration taken = net::Loop::Now() - request.arrived;
  router.metrics.answered.Add(1);
  router.metrics.answer.Record(taken);
  events::Log({.number = events::Number::kRequestAnswered,
               .request = request.id,
               .organisation = request.organisation,
               .tokens = relay::GeneratedTokens(request.answer.progress),
               .bytes = request.answer.progress.body,
               .duration = taken});
  request.stream->Finish();
}

void RecordClaim(Router& router, CallerRequest& request,
                 const claims::End& end) {
  if (!request.claim) return;
  router.claiming.erase(request.claim->number);
  claims::EndClaim(router.claims, *request.claim, end, net::Loop::Now());
}

}  // namespace

void Perform(Router& router, CallerRequest& request,
             const outcome::Action& action) {
  std::visit(
      Overloaded{
          [&](const outcome::MakeClaim&) { MakeClaim(router, request); },
          [&](const outcome::Dispatch& dispatch) {
            Send(router, request, dispatch);
          },
          [&](const outcome::Requeue& requeue) {
            Requeue(router, request, requeue);
          },
          [&](const outcome::Settle& settle) {
            Settle(router, request, settle);
          },
          [&](const outcome::ForwardBuffered&) { PassOn(router, request); },
          [&](const outcome::FinishResponse&) {
            FinishAnswer(router, request);
          },
          [&](const outcome::DiscardBuffered&) { request.held.clear(); },
          [&](const outcome::Refuse& refuse) {
            Refuse(router, request, refuse.problem);
          },
          [&](const outcome::ReplayRecorded& reply) {
            ReplyRecorded(router, request, reply.answer);
          },
          [&](const outcome::AbortResponse& cut) {
            CutStream(router, request, cut.detail);
          },
          [&](const outcome::CancelAttempt&) {
            CancelAttempt(router, request);
          },
          [&](const outcome::RecordClaimEnd& record) {
            RecordClaim(router, request, record.end);
          },
      },
      action);
}

void RefuseWaiting(Router& router, CallerRequest& request,
                   const ingress::Refusal& refusal) {
  Refuse(router, request, refusal.problem);
  EndRequest(router, request);
}

void EndRequest(Router& router, CallerRequest& request) {
  const TimePoint now = net::Loop::Now();
  if (request.grant_held) {
    queue::OnEnd(router.queues, request.id, {}, now);
  } else {
    queue::Remove(router.queues, request.id, now);
  }
  CancelAttempt(router, request);
  router.loop.Cancel(request.deadline_timer);
  // The end of an answer may still be on its way out.
  request.stream->on_closed =
      [id = request.id, organisation = request.organisation](
          net::CloseReason reason) { LogLeft(id, organisation, reason); };
  request.stream->on_drained = nullptr;
  router.requests.erase(request.id);
}

}  // namespace samphirebank::router
