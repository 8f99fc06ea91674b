#include "samphirebank/router/internal/attempts.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "samphirebank/events/events.h"
#include "samphirebank/router/internal/callers.h"
#include "samphirebank/router/internal/pools.h"

namespace samphirebank::router {
namespace {

// The longest pause between two pieces of an answer.
constexpr Duration kStallLimit = std::chrono::seconds(10);
constexpr Duration kConnectLimit = std::chrono::seconds(2);
// Output that a slow caller has not taken; above it the target's stream is
// held back.
constexpr Bytes kCallerBacklog = Bytes(64 << 10);

RequestId AttemptId(const RequestId& request, uint32_t attempt) {
  return RequestId(request.value + "." + std::to_string(attempt));
}

// FenceOf is the fencing number of a call. A stream that is resumed holds its
// slot under every scheduler that follows, so it goes by the newest one.
Epoch FenceOf(const Router& router, const CallerRequest& request,
              const outcome::Dispatch& dispatch) {
  if (!dispatch.resume_after) return dispatch.grant.epoch;
  const auto& pools = router.holder.history.configuration.pools;
  const auto found = pools.find(request.pool);
  if (found == pools.end()) return dispatch.grant.epoch;
  return std::max(dispatch.grant.epoch, found->second.value.epoch);
}

std::vector<net::Header> HeadersFor(const Router& router,
                                    const CallerRequest& request,
                                    const outcome::Dispatch& dispatch) {
  std::vector<net::Header> headers =
      relay::RequestHeaders(request.stream->head().headers);
  headers.push_back({.name = std::string(relay::kRequestIdHeader),
                     .value = AttemptId(request.id, dispatch.attempt).value});
  const Epoch fence = FenceOf(router, request, dispatch);
  headers.push_back({.name = std::string(relay::kFenceHeader),
                     .value = std::to_string(fence.value)});
  const PoolId& pool = request.pool;
  headers.push_back({.name = std::string(relay::kFenceScopeHeader),
                     .value = pool.region.value + "/" + pool.service.value});
  if (dispatch.resume_after) {
    headers.push_back({.name = std::string(relay::kResumeHeader),
                       .value = std::to_string(*dispatch.resume_after)});
  }
  return headers;
}

void OnHead(Router& router, CallerRequest& request, uint32_t attempt,
            int status, const std::vector<net::Header>& headers) {
  request.answer = relay::BeginResponse(
      {.request = AttemptId(request.id, attempt),
       .target_echoes_id = request.traits.echoes_id,
       .target_states_not_run = request.traits.states_not_run,
       .model_stream = request.model_stream},
      status, headers);
  request.answer_headers = relay::ResponseHeaders(headers);
  request.held.clear();
  request.record_body.clear();
  if (request.answer.fault) {
    request.attempt_failed = true;
    Raise(router, request.id,
          outcome::ResponseFailed{
              .attempt = attempt,
              .detail = std::string(relay::ToText(*request.answer.fault)),
              .can_resume = false});
    return;
  }
  Raise(router, request.id,
        outcome::HeadReceived{.attempt = attempt,
                              .status = status,
                              .event_stream = request.answer.event_stream,
                              .states_not_run = request.answer.states_not_run,
                              .retry_after = request.answer.retry_after});
}

void OnData(Router& router, CallerRequest& request, uint32_t attempt,
            std::string_view piece) {
  const relay::Progress before = request.answer.progress;
  relay::FeedResult passed = relay::Feed(request.answer, piece);
  const relay::Progress& after = request.answer.progress;
  request.held += passed.bytes;
  const bool records = request.claim.has_value() &&
                       request.record_body.size() <= request.keep.max_bytes;
  if (records) request.record_body += passed.bytes;
  const Tokens tokens = after.streamed_tokens - before.streamed_tokens;
  queue::OnProgress(router.queues, request.id,
                    relay::GeneratedTokens(request.answer.progress),
                    net::Loop::Now());
  const auto bytes = static_cast<int64_t>(passed.bytes.size());
  Raise(router, request.id,
        outcome::BodyReceived{.attempt = attempt,
                              .bytes = Bytes(bytes),
                              .events = after.events - before.events,
                              .tokens = tokens});
  if (!passed.fault) return;
  request.attempt_failed = true;
  Raise(router, request.id,
        outcome::ResponseFailed{
            .attempt = attempt,
            .detail = std::string(relay::ToText(*passed.fault)),
            .can_resume = false});
}

void OnWhole(Router& router, CallerRequest& request, uint32_t attempt) {
  request.call = nullptr;
  if (!relay::EndResponse(request.answer)) {
    request.attempt_failed = true;
    Raise(router, request.id,
          outcome::ResponseFailed{.attempt = attempt,
                                  .detail = "the answer is not whole"});
    return;
  }
  const auto type = net::FindHeader(request.answer_headers, "content-type");
  Raise(router, request.id,
        outcome::ResponseCompleted{
            .attempt = attempt,
            .tokens = relay::GeneratedTokens(request.answer.progress),
            .record = {.status = request.answer.status,
                       .content_type = type.value_or(""),
                       .body = request.record_body}});
}

void OnError(Router& router, CallerRequest& request, uint32_t attempt,
             const net::CallError& error) {
  request.call = nullptr;
  request.attempt_failed = true;
  if (request.machine.phase == outcome::Phase::kResponding) {
    Raise(router, request.id,
          outcome::ResponseFailed{.attempt = attempt, .detail = error.detail});
    return;
  }
  Raise(router, request.id,
        outcome::AttemptFailed{.attempt = attempt,
                               .sent = error.sent,
                               .timed_out = error.timed_out});
}

// ConnectLimit ends a slow connect when the grant expires, so that the order
// is not sent late. A resumed stream holds its slot for longer.
Duration ConnectLimit(const outcome::Dispatch& dispatch, TimePoint now) {
  if (dispatch.resume_after) return kConnectLimit;
  return std::min(kConnectLimit, Duration(dispatch.grant.expires - now));
}

// Start makes the call; the request is looked up again for each callback,
// since it may have ended meanwhile.
void Start(Router& router, CallerRequest& request,
           const outcome::Dispatch& dispatch) {
  const TimePoint now = net::Loop::Now();
  const uint32_t attempt = dispatch.attempt;
  const RequestId id = request.id;
  const bool allowed = lease::MayAct(router.holder, now) &&
                       outcome::MayDispatch(request.machine, attempt, now);
  if (!allowed) {
    Raise(router, id,
          outcome::AttemptFailed{.attempt = attempt,
                                 .sent = net::SendState::kNotSent});
    return;
  }
  // What comes of an attempt that was given up reaches no caller.
  const auto with = [&router, id, attempt](auto action) {
    const auto found = router.requests.find(id);
    if (found == router.requests.end()) return;
    if (found->second->machine.attempt == attempt) action(*found->second);
  };
  events::Log({.number = events::Number::kRequestDispatched,
               .request = id,
               .organisation = request.organisation,
               .target = dispatch.grant.target,
               .epoch = dispatch.grant.epoch,
               .count = attempt});
  request.attempt_failed = false;
  request.call = router.loop.Call(
      {.to = dispatch.grant.address,
       .method = request.stream->head().method,
       .path = request.route.target_path,
       .headers = HeadersFor(router, request, dispatch),
       .body = request.body,
       .connect_timeout = ConnectLimit(dispatch, now),
       .first_byte_timeout = request.machine.options.deadline - now,
       .idle_timeout = kStallLimit,
       .on_head =
           [&router, with, attempt](int status, const auto& headers) {
             with([&](CallerRequest& live) {
               OnHead(router, live, attempt, status, headers);
             });
           },
       .on_data =
           [&router, with, attempt](std::string_view piece) {
             with([&](CallerRequest& live) {
               OnData(router, live, attempt, piece);
             });
           },
       .on_end =
           [&router, with, attempt] {
             with([&](CallerRequest& live) { OnWhole(router, live, attempt); });
           },
       .on_error =
           [&router, with, attempt](const net::CallError& error) {
             with([&](CallerRequest& live) {
               OnError(router, live, attempt, error);
             });
           }});
}

}  // namespace

void Send(Router& router, CallerRequest& request,
          const outcome::Dispatch& dispatch) {
  if (dispatch.delay <= Duration::zero()) {
    Start(router, request, dispatch);
    return;
  }
  const RequestId id = request.id;
  request.dispatch_timer =
      router.loop.After(dispatch.delay, [&router, id, dispatch] {
        const auto found = router.requests.find(id);
        if (found == router.requests.end()) return;
        found->second->dispatch_timer = net::TimerId();
        Start(router, *found->second, dispatch);
      });
}

void CancelAttempt(Router& router, CallerRequest& request) {
  router.loop.Cancel(request.dispatch_timer);
  request.dispatch_timer = net::TimerId();
  if (request.call != nullptr) request.call->Cancel();
  request.call = nullptr;
}

void StopAttempts(Router& router) {
  const auto& declared = router.holder.history.configuration.targets;
  std::vector<std::shared_ptr<CallerRequest>> stopped;
  for (const auto& [id, request] : router.requests) {
    if (request->call == nullptr || !request->machine.grant) continue;
    const auto found = declared.find(request->machine.grant->target);
    const bool stops = found != declared.end() &&
                       found->second.value == contracts::TargetIntent::kStopped;
    if (stops) stopped.push_back(request);
  }
  for (const auto& request : stopped) {
    const uint32_t attempt = request->machine.attempt;
    const net::CallError error{.sent = request->call->sent(),
                               .detail = "the target was stopped"};
    request->call->Cancel();
    OnError(router, *request, attempt, error);
  }
}

void PassOn(Router& router, CallerRequest& request) {
  net::ServerStream& stream = *request.stream;
  if (!request.head_sent) {
    request.head_sent = true;
    std::vector<net::Header> headers = request.answer_headers;
    headers.push_back({.name = "x-request-id", .value = request.id.value});
    stream.SendHead(request.answer.status, std::move(headers),
                    request.answer.size);
  }
  if (!request.first_byte) {
    request.first_byte = true;
    const Duration taken = net::Loop::Now() - request.arrived;
    router.metrics.first_byte.Record(taken);
    events::Log({.number = events::Number::kFirstByte,
                 .request = request.id,
                 .duration = taken});
  }
  stream.Send(request.held);
  request.held.clear();
  if (stream.queued() <= kCallerBacklog || request.call == nullptr) return;
  request.call->PauseReading();
  const RequestId id = request.id;
  stream.on_drained = [&router, id] {
    const auto found = router.requests.find(id);
    if (found == router.requests.end()) return;
    found->second->stream->on_drained = nullptr;
    if (found->second->call != nullptr) found->second->call->ResumeReading();
  };
}

}  // namespace samphirebank::router
