#include "samphirebank/router/internal/admin.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <utility>

#include "samphirebank/events/events.h"
#include "samphirebank/ingress/ingress.h"
#include "samphirebank/router/internal/pools.h"

namespace samphirebank::router {
namespace {

using nlohmann::json;

constexpr Duration kCutOffRetry = std::chrono::seconds(1);
constexpr std::string_view kTargetsPrefix = "/targets/v1/";

uint64_t WallMilliseconds() {
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
}

void Refuse(net::ServerStream& stream, const ingress::Refusal& refusal) {
  stream.Reply(ingress::ToResponse(refusal));
}

bool Authorized(net::ServerStream& stream, const settings::Secret& token) {
  const std::string given =
      net::FindHeader(stream.head().headers, "authorization").value_or("");
  if (ingress::BearerMatches(given, token.value)) return true;
  Refuse(stream, ingress::NotRun(401, "the token is not known"));
  return false;
}

void Announce(Router& router, net::ServerStream& stream,
              const std::string& body) {
  if (!lease::MayAct(router.holder, net::Loop::Now())) {
    Refuse(stream, ingress::NotRun(503, "this router is cut off; try another",
                                   kCutOffRetry));
    return;
  }
  const targets::ParsedAnnouncement read = targets::ParseAnnouncement(body);
  if (!read.findings.empty()) {
    Refuse(stream, ingress::BadRequest(read.findings));
    return;
  }
  const TargetId& id = read.announcement.id;
  const bool known = router.targets.records.contains(id);
  targets::Announce(router.targets, read.announcement, WallMilliseconds(),
                    net::Loop::Now());
  if (!known) {
    events::Log({.number = events::Number::kTargetAnnounced,
                 .target = id,
                 .address = read.announcement.address.ToText()});
  }
  stream.Reply({.body = "{}\n"});
  SchedulePump(router);
}

void ReportLoad(Router& router, net::ServerStream& stream, const TargetId& id,
                const std::string& body) {
  const auto load = targets::ParseLoad(body);
  if (!load) {
    Refuse(stream, ingress::NotRun(400, "the load report is malformed"));
    return;
  }
  if (!targets::ReportLoad(router.targets, id, *load, net::Loop::Now())) {
    Refuse(stream, ingress::NotRun(404, "the target is not announced here"));
    return;
  }
  stream.Reply({.body = "{}\n"});
}

void Leave(Router& router, net::ServerStream& stream, const TargetId& id) {
  if (!targets::MarkLeaving(router.targets, id, net::Loop::Now())) {
    Refuse(stream, ingress::NotRun(404, "the target is not announced here"));
    return;
  }
  events::Log({.number = events::Number::kTargetLeaving, .target = id});
  stream.Reply({.body = "{}\n"});
  SchedulePump(router);
}

void OnTargetCall(Router& router, net::ServerStream& stream,
                  const std::string& body) {
  const std::string_view rest =
      std::string_view(stream.head().path).substr(kTargetsPrefix.size());
  if (rest == "announce") {
    Announce(router, stream, body);
    return;
  }
  const size_t slash = rest.rfind('/');
  if (slash == std::string_view::npos) {
    Refuse(stream, ingress::NotRun(404, "there is nothing at this path"));
    return;
  }
  const TargetId id{std::string(rest.substr(0, slash))};
  const std::string_view verb = rest.substr(slash + 1);
  if (verb == "load") {
    ReportLoad(router, stream, id, body);
  } else if (verb == "leave") {
    Leave(router, stream, id);
  } else {
    Refuse(stream, ingress::NotRun(404, "there is nothing at this path"));
  }
}

json PoolsJson(const Router& router) {
  json pools = json::array();
  for (const auto& [pool, state] : router.schedulers) {
    const scheduler::Summary summary = scheduler::Summarize(state);
    pools.push_back({{"region", pool.region.value},
                     {"service", pool.service.value},
                     {"waiting", summary.waiting},
                     {"running", summary.running},
                     {"reserved", summary.reserved},
                     {"capacity", summary.capacity},
                     {"organisations", summary.organisations},
                     {"routers", summary.routers},
                     {"targets", summary.targets}});
  }
  return pools;
}

void ReplyStatus(const Router& router, net::ServerStream& stream) {
  const settings::Identity& identity = router.settings.identity;
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      lease::LeaseLeft(router.holder, net::Loop::Now()));
  const json status = {{"instance", identity.instance.value},
                       {"role", "router"},
                       {"region", identity.region.value},
                       {"availability_zone", identity.zone.value},
                       {"revision", router.installed.value},
                       {"lease_left_ms", left.count()},
                       {"draining", router.draining},
                       {"requests", router.requests.size()},
                       {"targets", router.targets.records.size()},
                       {"schedules", PoolsJson(router)}};
  stream.Reply({.body = status.dump() + "\n"});
}

void ReplyMetrics(const Router& router, net::ServerStream& stream) {
  stream.Reply({.content_type = "text/plain; version=0.0.4",
                .body = router.metrics.registry.ToText()});
}

void OnWhole(Router& router, net::ServerStream& stream,
             const std::string& body) {
  const net::RequestHead& head = stream.head();
  if (head.path == "/healthz") {
    ReplyHealth(stream);
  } else if (head.path == "/readyz") {
    ReplyReady(router, stream);
  } else if (head.path == "/metrics") {
    ReplyMetrics(router, stream);
  } else if (head.path == "/status") {
    if (Authorized(stream, router.settings.operator_token)) {
      ReplyStatus(router, stream);
    }
  } else if (head.path.rfind(kTargetsPrefix, 0) == 0) {
    if (Authorized(stream, router.settings.target_token)) {
      OnTargetCall(router, stream, body);
    }
  } else {
    Refuse(stream, ingress::NotRun(404, "there is nothing at this path"));
  }
}

}  // namespace

void OnAdmin(Router& router, const std::shared_ptr<net::ServerStream>& stream) {
  const auto body = std::make_shared<std::string>();
  stream->on_body = [body](std::string_view piece) { *body += piece; };
  stream->on_body_end = [&router, body, raw = stream.get()] {
    OnWhole(router, *raw, *body);
  };
}

void ReplyHealth(net::ServerStream& stream) {
  stream.Reply({.content_type = "text/plain", .body = "ok\n"});
}

void ReplyReady(const Router& router, net::ServerStream& stream) {
  const bool ready =
      !router.draining && lease::MayAct(router.holder, net::Loop::Now());
  stream.Reply({.status = ready ? 200 : 503,
                .content_type = "text/plain",
                .body = ready ? "ready\n" : "not ready\n"});
}

}  // namespace samphirebank::router
