#include <nlohmann/json.hpp>

#include "samphirebank/operators/internal/client.h"

namespace samphirebank::operators {
namespace {

using Json = nlohmann::ordered_json;

// NewestOf returns the reply of the highest revision, or an empty object.
Json NewestOf(const std::vector<Json>& replies) {
  Json newest = Json::object();
  for (const Json& reply : replies) {
    const bool newer =
        newest.empty() || reply.value("revision", uint64_t{0}) >
                              newest.value("revision", uint64_t{0});
    if (newer) newest = reply;
  }
  return newest;
}

// AddInstance keeps, of two records of an instance, the one heard last.
void AddInstance(const Json& record, Json* instances) {
  for (Json& known : *instances) {
    if (known["instance"] != record["instance"]) continue;
    const bool fresher = record["heard_ms_ago"] < known["heard_ms_ago"];
    if (fresher) known = record;
    return;
  }
  instances->push_back(record);
}

Json ControlRow(const ServerStatus& server, const Json& reply) {
  Json row = {{"server", server.address.ToText()},
              {"instance", nullptr},
              {"role", "control"},
              {"answers", reply.is_object()}};
  for (const char* field :
       {"instance", "leader", "term", "revision", "lease_left_ms"}) {
    row[field] = reply.is_object() && reply.contains(field) ? reply[field]
                                                            : Json(nullptr);
  }
  return row;
}

}  // namespace

std::string MergeStatus(const std::vector<ServerStatus>& servers) {
  Json rows = Json::array();
  Json instances = Json::array();
  std::vector<Json> replies;
  for (const ServerStatus& server : servers) {
    const Json reply = Json::parse(server.body, nullptr, false);
    rows.push_back(ControlRow(server, reply));
    if (!reply.is_object()) continue;
    replies.push_back(reply);
    const auto heard = reply.find("instances");
    if (heard == reply.end()) continue;
    for (const Json& record : *heard) AddInstance(record, &instances);
  }
  const Json newest = NewestOf(replies);
  Json merged = Json::object();
  for (const char* field :
       {"leader", "term", "revision", "in_force_after_ms"}) {
    if (newest.contains(field)) merged[field] = newest[field];
  }
  merged["control"] = rows;
  merged["instances"] = instances;
  for (const char* field : {"voters", "pools"}) {
    if (newest.contains(field)) merged[field] = newest[field];
  }
  return merged.dump() + "\n";
}

}  // namespace samphirebank::operators
