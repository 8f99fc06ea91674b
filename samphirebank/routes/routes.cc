#include "samphirebank/routes/routes.h"

#include <set>
#include <utility>

namespace samphirebank::routes {
namespace {

std::string LocationOf(const Route& route) { return "route " + route.id.value; }

uint64_t TotalWeight(const Route& route) {
  uint64_t total = 0;
  for (const TrafficShare& share : route.shares) total += share.weight;
  return total;
}

void CheckRoute(const Route& route, const std::set<ServiceId>& services,
                Findings* findings) {
  for (const TrafficShare& share : route.shares) {
    if (services.contains(share.service)) continue;
    findings->Add(LocationOf(route), share.service.value,
                  "a service of this table");
  }
  if (TotalWeight(route) == 0) {
    findings->Add(LocationOf(route), "0", "weights that add up to 1 or more");
  }
  if (route.timeout <= Milliseconds(0)) {
    findings->Add(LocationOf(route), std::to_string(route.timeout.count()),
                  "a time limit above 0 ms");
  }
  const bool has_slashes = !route.path_prefix.empty() &&
                           route.path_prefix.front() == '/' &&
                           route.path_prefix.back() == '/';
  if (!has_slashes) {
    findings->Add(LocationOf(route), route.path_prefix,
                  "a prefix that begins and ends with '/'");
  }
}

void CheckKeys(const RouteTable& table, Findings* findings) {
  std::set<std::string> known_keys;
  for (const Organisation& organisation : table.organisations) {
    for (const std::string& key : organisation.api_keys) {
      if (known_keys.insert(key).second) continue;
      findings->Add("organisation " + organisation.id.value, "",
                    "API keys that no other organisation has");
    }
  }
}

}  // namespace

Findings Validate(const RouteTable& table) {
  Findings findings;
  std::set<ServiceId> services;
  for (const Service& service : table.services) services.insert(service.id);
  std::set<std::pair<std::string, std::string>> prefixes;
  for (const Route& route : table.routes) {
    CheckRoute(route, services, &findings);
    if (!prefixes.insert({route.host, route.path_prefix}).second) {
      findings.Add(LocationOf(route), route.host + route.path_prefix,
                   "a host and prefix that no other route has");
    }
  }
  CheckKeys(table, &findings);
  return findings;
}

RouteIndex BuildIndex(RouteTable table) {
  RouteIndex index{.table = std::move(table)};
  for (size_t i = 0; i < index.table.routes.size(); ++i) {
    const Route& route = index.table.routes[i];
    index.by_host[route.host][route.path_prefix] = i;
  }
  for (size_t i = 0; i < index.table.organisations.size(); ++i) {
    for (const std::string& key : index.table.organisations[i].api_keys) {
      index.organisation_by_key[key] = i;
    }
  }
  for (size_t i = 0; i < index.table.services.size(); ++i) {
    index.service_by_id[index.table.services[i].id] = i;
  }
  return index;
}

const Route* FindRoute(const RouteIndex& index, const std::string& host,
                       std::string_view path) {
  const auto routes = index.by_host.find(host);
  if (routes == index.by_host.end()) return nullptr;
  for (size_t slash = path.rfind('/'); slash != std::string_view::npos;
       slash = slash == 0 ? std::string_view::npos
                          : path.rfind('/', slash - 1)) {
    const auto found =
        routes->second.find(std::string(path.substr(0, slash + 1)));
    if (found != routes->second.end()) {
      return &index.table.routes[found->second];
    }
  }
  return nullptr;
}

const Organisation* FindOrganisation(const RouteIndex& index,
                                     const std::string& api_key) {
  const auto found = index.organisation_by_key.find(api_key);
  if (found == index.organisation_by_key.end()) return nullptr;
  return &index.table.organisations[found->second];
}

const Service* FindService(const RouteIndex& index, const ServiceId& id) {
  const auto found = index.service_by_id.find(id);
  if (found == index.service_by_id.end()) return nullptr;
  return &index.table.services[found->second];
}

const ServiceId& PickService(const Route& route, uint64_t hash) {
  uint64_t offset = hash % TotalWeight(route);
  for (const TrafficShare& share : route.shares) {
    if (offset < share.weight) return share.service;
    offset -= share.weight;
  }
  return route.shares.back().service;
}

}  // namespace samphirebank::routes
