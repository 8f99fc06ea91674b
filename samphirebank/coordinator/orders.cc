// What operators and targets ask of a coordinator.
#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "samphirebank/coordinator/internal/server.h"
#include "samphirebank/events/events.h"
#include "samphirebank/process/process.h"

namespace samphirebank::coordinator {
namespace {

using process::Now;
using replication::ProposalResult;
using std::chrono::milliseconds;

constexpr char kRetryAfter[] = "0.3";  // seconds
// Targets start and leave many at a time. One update tells of all that did
// within this time.
constexpr Duration kPushDelay = milliseconds(50);

web::Answer Json(int status, std::string body) {
  return {.status = status,
          .headers = {{"content-type", "application/json"}},
          .body = std::move(body)};
}

web::Answer Text(int status, std::string body) {
  return {.status = status,
          .headers = {{"content-type", "text/plain"}},
          .body = std::move(body)};
}

web::Answer ComeBack(const std::string& reason) {
  web::Answer answer = Text(503, reason + "\n");
  answer.headers.push_back({"retry-after", kRetryAfter});
  return answer;
}

std::set<ZoneId> ZonesOf(const settings::CoordinatorSettings& settings) {
  std::set<ZoneId> zones;
  for (const settings::ZoneInRegion& item : settings.zones) {
    zones.insert(item.zone);
  }
  return zones;
}

Revision RevisionOf(const evacuation::Evacuations& evacuations) {
  return Revision(evacuations.revision.value);
}

// ConflictOf returns why the state of the zones does not allow an order; empty
// if it does.
std::optional<std::string> ConflictOf(evacuation::Result result) {
  switch (result) {
    case evacuation::Result::kLastZone:
      return "no zone would be left";
    case evacuation::Result::kTooMany:
      return "too many zones are evacuated";
    default:
      return std::nullopt;
  }
}

std::string_view ReasonOf(ProposalResult result) {
  switch (result) {
    case ProposalResult::kCommitted:
      return "committed";
    case ProposalResult::kNotLeader:
      return "not-leader";
    case ProposalResult::kRefused:
      return "busy";
    case ProposalResult::kDiskFull:
      return "disk-full";
    case ProposalResult::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace

void Server::OnRequest(const web::Request& request, const web::Reply& reply) {
  dialect::DecodedOrder decoded = this->dialect.decode_order(
      {.method = request.method, .path = request.target, .body = request.body});
  const auto* beat = std::get_if<dialect::Heartbeat>(&decoded.order);
  if (!decoded.findings.empty()) {
    events::Log({.number = beat != nullptr ? events::Number::kTargetRefused
                                           : events::Number::kTableRefused,
                 .status = 400,
                 .reason = "invalid",
                 .detail = decoded.findings.ToText().substr(0, 500)});
    (beat != nullptr ? this->metrics.heartbeats_refused
                     : this->metrics.tables_refused)
        .Add(1);
    return reply(Text(400, decoded.findings.ToText()));
  }
  if (beat != nullptr) return this->TakeHeartbeat(beat->announcement, reply);
  if (const auto* off = std::get_if<dialect::SignOff>(&decoded.order)) {
    // After a pause of this process a call may be long out of date.
    if (request.sender_gone) return reply(ComeBack("the call was given up"));
    return this->TakeSignOff(off->target, reply);
  }
  if (const auto* put = std::get_if<dialect::PutTable>(&decoded.order)) {
    return this->Put(put->table, request.body, reply);
  }
  if (std::holds_alternative<dialect::GetTable>(decoded.order)) {
    return this->Get(reply);
  }
  if (const auto* zone = std::get_if<dialect::ZoneOrder>(&decoded.order)) {
    return this->TakeZoneOrder(*zone, request.target, reply);
  }
  if (std::holds_alternative<dialect::ListEvacuations>(decoded.order)) {
    return this->GetEvacuations(request.target, reply);
  }
  reply(Text(404, "there is no such call\n"));
}

void Server::Put(const routes::RouteTable& new_table, const std::string& text,
                 const web::Reply& reply) {
  const routes::TableVersion version = new_table.version;
  // A version that was overtaken is durable as such: it changes nothing.
  if (version <= this->document.newest.version) return reply(Json(200, "{}"));
  if (!this->replication->leads()) {
    return this->Redirect(this->dialect.table_path, reply);
  }
  const TimePoint begun = Now();
  this->replication->Propose(
      EntriesOf({.version = version, .text = text}),
      [this, version, begun, reply](ProposalResult result, LogIndex) {
        this->FinishPut(version, begun, result, reply);
      });
}

void Server::FinishPut(routes::TableVersion version, TimePoint begun,
                       ProposalResult result, const web::Reply& reply) {
  const Duration took = Now() - begun;
  if (result == ProposalResult::kCommitted) {
    this->metrics.tables_accepted.Add(1);
    this->metrics.commit_time.Record(took);
    events::Log({.number = events::Number::kTableAccepted,
                 .revision = Revision(version.value),
                 .duration = took});
    return reply(Json(200, "{}"));
  }
  this->metrics.tables_refused.Add(1);
  events::Log({.number = events::Number::kTableRefused,
               .revision = Revision(version.value),
               .status = 503,
               .reason = std::string(ReasonOf(result))});
  if (result == ProposalResult::kNotLeader) {
    return this->Redirect(this->dialect.table_path, reply);
  }
  reply(ComeBack(std::string(ReasonOf(result))));
}

void Server::Get(const web::Reply& reply) {
  if (!this->replication->leads()) {
    return this->Redirect(this->dialect.table_path, reply);
  }
  // A round with the quorum makes sure that nothing newer was accepted.
  this->replication->Confirm([this, reply](bool confirmed, TimePoint) {
    if (!confirmed) return this->Redirect(this->dialect.table_path, reply);
    const bool none = this->document.newest.version == routes::TableVersion();
    reply(none ? ComeBack("there is no table yet")
               : Json(200, this->document.newest.text));
  });
}

void Server::TakeZoneOrder(const dialect::ZoneOrder& asked,
                           const std::string& path, const web::Reply& reply) {
  const evacuation::Order order{.zone = asked.zone,
                                .evacuate = asked.evacuate,
                                .fleet_zones = ZonesOf(this->settings)};
  evacuation::Evacuations after = this->document.evacuations;
  const evacuation::Result expected = evacuation::Apply(after, order);
  if (expected == evacuation::Result::kUnknownZone) {
    return this->RefuseZoneOrder(order, 404, "unknown zone", reply);
  }
  if (!this->replication->leads()) return this->Redirect(path, reply);
  if (const auto conflict = ConflictOf(expected)) {
    return this->RefuseZoneOrder(order, 409, *conflict, reply);
  }
  // An order that is in force already is proposed as well: this leader may not
  // have applied yet what earlier leaders committed.
  const TimePoint begun = Now();
  this->replication->Propose(
      {EntryOf(order)},
      [this, order, path, begun, reply](ProposalResult result, LogIndex) {
        this->FinishZoneOrder(order, path, begun, result, reply);
      });
}

void Server::FinishZoneOrder(const evacuation::Order& order,
                             const std::string& path, TimePoint begun,
                             ProposalResult result, const web::Reply& reply) {
  if (result == ProposalResult::kNotLeader) return this->Redirect(path, reply);
  if (result != ProposalResult::kCommitted) {
    const std::string reason(ReasonOf(result));
    this->metrics.zone_orders_refused.Add(1);
    events::Log({.number = events::Number::kZoneOrderRefused,
                 .status = 503,
                 .reason = reason,
                 .detail = order.zone.value});
    return reply(ComeBack(reason));
  }
  // Another order may have been committed just before this one, so that it was
  // refused, or just after it, which changes nothing in the answer.
  evacuation::Evacuations state = this->document.evacuations;
  if (const auto conflict = ConflictOf(evacuation::Apply(state, order))) {
    return this->RefuseZoneOrder(order, 409, *conflict, reply);
  }
  this->metrics.zone_orders_accepted.Add(1);
  events::Log({.number = order.evacuate ? events::Number::kZoneEvacuated
                                        : events::Number::kZoneRestored,
               .revision = RevisionOf(this->document.evacuations),
               .duration = Now() - begun,
               .detail = order.zone.value});
  reply(Json(200, "{}"));
}

void Server::RefuseZoneOrder(const evacuation::Order& order, int status,
                             const std::string& reason,
                             const web::Reply& reply) {
  this->metrics.zone_orders_refused.Add(1);
  events::Log({.number = events::Number::kZoneOrderRefused,
               .status = status,
               .reason = reason,
               .detail = order.zone.value});
  reply(Text(status, reason + "\n"));
}

void Server::GetEvacuations(const std::string& path, const web::Reply& reply) {
  if (!this->replication->leads()) return this->Redirect(path, reply);
  this->replication->Confirm([this, path, reply](bool confirmed, TimePoint) {
    if (!confirmed) return this->Redirect(path, reply);
    const evacuation::Evacuations& state = this->document.evacuations;
    nlohmann::json zones = nlohmann::json::array();
    for (const ZoneId& zone : state.zones) zones.push_back(zone.value);
    reply(Json(200, nlohmann::json{{"revision", state.revision.value},
                                   {"zones", std::move(zones)}}
                        .dump()));
  });
}

void Server::Redirect(const std::string& path, const web::Reply& reply) const {
  const auto leader = this->replication->leader();
  if (!leader || this->replication->leads()) {
    return reply(ComeBack("no leader is known"));
  }
  const net::SocketAddress address{.ip = leader->value,
                                   .port = this->settings.control_address.port};
  web::Answer answer = Text(307, "");
  answer.headers.push_back({"location", "http://" + address.ToText() + path});
  reply(answer);
}

void Server::TakeHeartbeat(const directory::Announcement& announcement,
                           const web::Reply& reply) {
  const TimePoint now = Now();
  if (this->IsCutOff(now)) {
    return reply(ComeBack("this instance is cut off from the others"));
  }
  const directory::Effect verdict =
      directory::ApplyAnnouncement(this->directory, announcement, now);
  this->metrics.heartbeats.Add(1);
  const bool is_new = verdict == directory::Effect::kNew;
  const bool leaves = verdict == directory::Effect::kChanged &&
                      announcement.state != directory::State::kReady;
  if (is_new || leaves) {
    events::Log({.number = is_new ? events::Number::kTargetAnnounced
                                  : events::Number::kTargetLeaving,
                 .target = announcement.id,
                 .service = announcement.service,
                 .address = announcement.address.ToText(),
                 .reason = leaves ? "draining" : "",
                 .detail = "version " + announcement.software.value});
  }
  if (is_new || verdict == directory::Effect::kChanged) {
    this->PushUpdatesAfter(kPushDelay);
  }
  reply(Json(200, "{}"));
}

Metrics::Metrics()
    : leads(this->registry.AddGauge(
          {.name = "leads", .help = "1 on the leader of the control group."})),
      term(this->registry.AddGauge(
          {.name = "term", .help = "The term of the control group."})),
      voters(this->registry.AddGauge(
          {.name = "voters", .help = "Instances with a vote."})),
      table_version(this->registry.AddGauge(
          {.name = "table_version", .help = "The newest route table."})),
      targets(this->registry.AddGauge(
          {.name = "targets", .help = "Targets in the directory."})),
      followers(this->registry.AddGauge(
          {.name = "gateways", .help = "Gateways that follow."})),
      disk_full(this->registry.AddGauge(
          {.name = "disk_full", .help = "1 while the disk takes no more."})),
      heartbeats(this->registry.AddCounter(
          {.name = "heartbeats_total", .help = "Targets' signs of life."})),
      heartbeats_refused(this->registry.AddCounter(
          {.name = "heartbeats_refused_total",
           .help = "Signs of life that could not be read."})),
      sign_offs_accepted(this->registry.AddCounter(
          {.name = "sign_offs_accepted_total",
           .help = "Sign-offs of targets that were acknowledged."})),
      sign_offs_refused(this->registry.AddCounter(
          {.name = "sign_offs_refused_total",
           .help = "Sign-offs of targets that are to call again, since it is "
                   "not known which run they are for."})),
      tables_accepted(this->registry.AddCounter(
          {.name = "tables_accepted_total",
           .help = "Route tables that became durable."})),
      tables_refused(this->registry.AddCounter(
          {.name = "tables_refused_total",
           .help = "Route tables that were refused or are in doubt."})),
      evacuated_zones(this->registry.AddGauge(
          {.name = "evacuated_zones",
           .help = "Zones to whose targets nothing is sent."})),
      zone_orders_accepted(this->registry.AddCounter(
          {.name = "zone_orders_accepted_total",
           .help = "Orders on zones that became durable."})),
      zone_orders_refused(this->registry.AddCounter(
          {.name = "zone_orders_refused_total",
           .help = "Orders on zones that were refused or are in doubt."})),
      warmup_tokens_granted(this->registry.AddCounter(
          {.name = "warmup_tokens_granted_total",
           .help = "Tokens for requests to cold targets that were granted."})),
      stream_origins(this->registry.AddGauge(
          {.name = "stream_origins",
           .help = "Streams of which it is known what software began them."})),
      commit_time(this->registry.AddHistogram(
          {.name = "commit_seconds",
           .help = "Time until a route table was durable."},
          {})) {}

web::Answer Server::MetricsText() {
  const auto number = [](auto value) { return static_cast<double>(value); };
  this->metrics.leads.Set(this->replication->leads() ? 1 : 0);
  this->metrics.term.Set(number(this->replication->term().value));
  this->metrics.voters.Set(number(this->replication->voters().size()));
  this->metrics.table_version.Set(number(this->table.version.value));
  this->metrics.targets.Set(number(this->directory.entries.size()));
  this->metrics.followers.Set(number(this->num_gateways));
  this->metrics.evacuated_zones.Set(
      number(this->document.evacuations.zones.size()));
  this->metrics.stream_origins.Set(number(this->origins.entries.size()));
  this->metrics.disk_full.Set(this->replication->disk_is_full() ? 1 : 0);
  return Text(200, this->metrics.registry.ToText());
}

}  // namespace samphirebank::coordinator
