#include "samphirebank/soak/internal/operator.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "samphirebank/soak/internal/caller.h"

namespace samphirebank::soak {
namespace {

using process::Now;
using std::chrono::milliseconds;

constexpr Duration kProbeInterval = milliseconds(300);
constexpr Duration kProbeLimit = milliseconds(2000);
constexpr uint64_t kMostStep = 3;  // versions rise in uneven steps
constexpr std::string_view kProbePrefix = "/mark-";
constexpr int kNotFound = 404;

std::string ProbePath(uint64_t version) {
  return std::string(kProbePrefix) + std::to_string(version) + "/";
}

routes::RouteTable MakeTable(uint64_t seed, uint64_t version) {
  routes::RouteTable table{.version = routes::TableVersion(version),
                           .routes = CallerRoutes(seed),
                           .services = CallerServices(seed),
                           .organisations = CallerOrganisations(seed)};
  routes::Route mark = table.routes[1];
  mark.id = routes::RouteId("mark-" + std::to_string(version));
  mark.path_prefix = ProbePath(version);
  mark.allows_anonymous = true;
  mark.allowed_regions.clear();
  table.routes.push_back(std::move(mark));
  return table;
}

// ZonesIn reads a list of evacuated zones; nothing if it is none.
std::optional<std::set<ZoneId>> ZonesIn(const std::string& body) {
  const auto json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object() || !json.contains("zones")) return std::nullopt;
  std::set<ZoneId> zones;
  for (const auto& zone : json["zones"]) {
    zones.insert(ZoneId(zone.get<std::string>()));
  }
  return zones;
}

// A call that gets one of these is over for the operator.
bool IsFinal(const CallResult& result) {
  const bool refused = result.status >= 400 && result.status < 500 &&
                       result.status != 408 && result.status != 429;
  return result.status == 200 || refused;
}

}  // namespace

bool IsProbe(std::string_view target) {
  return target.starts_with(kProbePrefix);
}

Operator::Operator(World& shared, const Fleet& under_test)
    : world(shared), fleet(under_test) {
  this->ChangeTable();
}

size_t Operator::AnyCoordinator() {
  return this->world.Below(this->fleet.coordinators.size());
}

void Operator::ChangeTable() {
  this->newest += 1 + this->world.Below(kMostStep);
  this->Put(this->newest, this->world.speech.encode_table(MakeTable(
                              this->world.options.seed, this->newest)));
}

void Operator::Put(uint64_t version, std::string text) {
  Ledger& ledger = this->world.ledger;
  ledger.tables_sent[version] = text;
  ledger.tables_sent_at[version] = Now();
  AskControl(
      this->world,
      {.coordinators = this->fleet.control(),
       .first = this->AnyCoordinator(),
       .call = {.method = "PUT",
                .path = this->world.speech.table_path,
                .body = std::move(text)},
       .accepts = IsFinal,
       .done = [&ledger, version](const CallResult& result) {
         if (result.status == 200) {
           ledger.tables_accepted[version] = Now();
         } else {
           ledger.oddities.push_back("valid table " + std::to_string(version) +
                                     " got no acknowledgement, at last " +
                                     std::to_string(result.status));
         }
       }});
}

void Operator::SendInvalidTable() {
  routes::RouteTable table =
      MakeTable(this->world.options.seed, this->newest + 1);
  table.routes.back().shares.front().service = ServiceId("unknown");
  Ledger& ledger = this->world.ledger;
  AskControl(this->world,
             {.coordinators = this->fleet.control(),
              .first = this->AnyCoordinator(),
              .call = {.method = "PUT",
                       .path = this->world.speech.table_path,
                       .body = this->world.speech.encode_table(table)},
              .accepts = IsFinal,
              .done = [&ledger](const CallResult& result) {
                if (result.status != 200) return;
                ledger.oddities.emplace_back(
                    "a table that names an unknown service was accepted");
              }});
}

void Operator::OrderZone(const ZoneId& zone, bool evacuate,
                         const std::function<void(int status)>& done) {
  Ledger& ledger = this->world.ledger;
  const size_t index = ledger.zone_orders.size();
  ledger.zone_orders.push_back(
      {.zone = zone, .evacuate = evacuate, .sent_at = Now()});
  AskControl(
      this->world,
      {.coordinators = this->fleet.control(),
       .first = this->AnyCoordinator(),
       .call = {.method = evacuate ? "POST" : "DELETE",
                .path = this->world.speech.evacuations_path + "/" + zone.value},
       .accepts =
           [&ledger, index](const CallResult& result) {
             if (result.status == 0) {
               ledger.zone_orders[index].is_unclear = true;
             }
             return IsFinal(result);
           },
       .done =
           [&ledger, index, done](const CallResult& result) {
             ledger.zone_orders[index].ended_at = Now();
             ledger.zone_orders[index].status = result.status;
             if (done) done(result.status);
           }});
}

void Operator::ReadZones(const std::function<void()>& done) {
  Ledger& ledger = this->world.ledger;
  AskControl(
      this->world,
      {.coordinators = this->fleet.control(),
       .first = this->AnyCoordinator(),
       .call = {.method = "GET", .path = this->world.speech.evacuations_path},
       .accepts = [](const CallResult& result) { return result.status == 200; },
       .done =
           [&ledger, done](const CallResult& result) {
             ledger.zones_read_back = ZonesIn(result.body);
             done();
           }});
}

void Operator::ReadBack(const std::function<void()>& done) {
  Ledger& ledger = this->world.ledger;
  AskControl(
      this->world,
      {.coordinators = this->fleet.control(),
       .first = this->AnyCoordinator(),
       .call = {.method = "GET", .path = this->world.speech.table_path},
       .accepts = [](const CallResult& result) { return result.status == 200; },
       .done =
           [&ledger, done](const CallResult& result) {
             if (result.status == 200) ledger.table_read_back = result.body;
             done();
           }});
}

Prober::Prober(World& shared, const Fleet& under_test)
    : world(shared), fleet(under_test) {
  this->ProbeAll();
}

void Prober::ProbeAll() {
  if (this->world.ending) return;
  const auto& sent_tables = this->world.ledger.tables_sent;
  for (size_t i = 0; i < this->fleet.gateways.size(); ++i) {
    auto version = sent_tables.rbegin();
    for (int newest = 0; newest < 2 && version != sent_tables.rend();
         ++newest, ++version) {
      this->ProbeOne(i, version->first);
    }
  }
  After(this->world, kProbeInterval, [this] { this->ProbeAll(); });
}

void Prober::ProbeOne(size_t gateway, uint64_t version) {
  const Node& node = this->fleet.gateways[gateway];
  const Probe asked{.gateway = gateway,
                    .incarnation = node.incarnation,
                    .version = version,
                    .sent_at = Now()};
  AskWith(this->world, node.serves,
          this->world.speech.encode_request(
              {.id = RequestId("probe-" + std::to_string(++this->sent)),
               .host = kHost,
               .target = ProbePath(version),
               .patience = kProbeLimit}),
          kProbeLimit, [this, asked](const CallResult& result) {
            const bool tells =
                result.status == 200 || result.status == kNotFound;
            if (!tells) return;
            Probe probe = asked;
            probe.in_force = result.status == 200;
            probe.answered_at = Now();
            this->world.ledger.probes.push_back(probe);
          });
}

}  // namespace samphirebank::soak
