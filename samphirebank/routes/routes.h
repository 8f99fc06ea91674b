// File: routes.h
//
// The route table: which service a caller's request goes to, what may be
// repeated, who may call, and what a caller may send. One table is one
// document with a version; a higher version takes effect as a whole.
//
// Example:
//
//   Findings findings = Validate(table);
//   RouteIndex index = BuildIndex(std::move(table));
//   const Route* route = FindRoute(index, "shop.example", "/board/7");
//   if (route != nullptr) Forward(*route, PickService(*route, hash));
//
// Thread-safe for concurrent reads of one index.
#ifndef SAMPHIREBANK_ROUTES_ROUTES_H_
#define SAMPHIREBANK_ROUTES_ROUTES_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "samphirebank/base/base.h"

namespace samphirebank::routes {

// TableVersion orders route tables; the highest is in force. 0 is no table.
using TableVersion = StrongNumber<struct TableVersionTag, uint64_t>;
using RouteId = StrongText<struct RouteIdTag>;

// Milliseconds is a duration as a route table states it.
using Milliseconds = std::chrono::duration<int64_t, std::milli>;

// RetryPolicy says what may happen when the first run of a request failed.
enum class RetryPolicy : uint8_t {
  kNever,   // non-idempotent: runs at most once
  kRetry,   // idempotent: may run more than once
  kResume,  // a stream that another target may continue after its last event
};

// TrafficShare is one service's part of a route's requests.
struct TrafficShare {
  ServiceId service{};
  uint32_t weight = 0;

  friend bool operator==(const TrafficShare&, const TrafficShare&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(service, weight);
  }
};

// Route sends the requests of one host and path prefix to services.
struct Route {
  RouteId id{};
  std::string host{};
  std::string path_prefix{};  // begins and ends with '/'
  bool streamed = false;      // answered by a series of events
  RetryPolicy retry_policy = RetryPolicy::kNever;
  Milliseconds timeout{};         // longest wait for the end of the answer
  Milliseconds latency_target{};  // answer, or first event, in good time
  Milliseconds gap_target{};      // longest pause between two events
  uint32_t max_attempts = 1;      // targets that one request may be sent to
  bool allows_anonymous = false;  // callers need no API key
  bool prompt_affinity = false;   // targets cache parts of the prompts
  std::vector<TrafficShare> shares{};

  friend bool operator==(const Route&, const Route&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    int64_t limit_ms = this->timeout.count();
    int64_t latency_ms = this->latency_target.count();
    int64_t pause_ms = this->gap_target.count();
    archive(id, host, path_prefix, streamed, retry_policy, limit_ms, latency_ms,
            pause_ms, max_attempts, allows_anonymous, prompt_affinity, shares);
    this->timeout = Milliseconds(limit_ms);
    this->latency_target = Milliseconds(latency_ms);
    this->gap_target = Milliseconds(pause_ms);
  }
};

// Service is a group of targets that answer alike.
struct Service {
  ServiceId id{};
  std::string health_path{};
  uint32_t max_connections = 0;  // that one target accepts from all callers
  uint32_t batch_slots = 0;      // of a model engine; 0: a plain service
  Tokens cache_tokens{};         // memory of one engine

  friend bool operator==(const Service&, const Service&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(id, health_path, max_connections, batch_slots, cache_tokens);
  }
};

// Organisation may call with any of its keys.
struct Organisation {
  OrganisationId id{};
  std::vector<std::string> api_keys{};

  friend bool operator==(const Organisation&, const Organisation&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(id, api_keys);
  }
};

// CallerLimits bound what a caller may send and how slowly.
struct CallerLimits {
  uint64_t max_header_bytes = 16 << 10;
  uint64_t max_body_bytes = 4 << 20;
  Milliseconds header_timeout{3000};
  Milliseconds idle_timeout{15'000};
  Tokens tokens_per_second{};  // what all targets make together; 0: unstated

  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    int64_t header_ms = this->header_timeout.count();
    int64_t idle_ms = this->idle_timeout.count();
    archive(max_header_bytes, max_body_bytes, header_ms, idle_ms,
            tokens_per_second);
    this->header_timeout = Milliseconds(header_ms);
    this->idle_timeout = Milliseconds(idle_ms);
  }
};

// RouteTable is one whole configuration of the routers.
struct RouteTable {
  TableVersion version{};
  std::vector<Route> routes{};
  std::vector<Service> services{};
  std::vector<Organisation> organisations{};
  bool keys_required = false;  // organisations are stated, so callers need keys
  CallerLimits limits{};

  friend bool operator==(const RouteTable&, const RouteTable&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(version, routes, services, organisations, keys_required, limits);
  }
};

// Validate returns what keeps a table from being in force: routes to unknown
// services, two routes with one host and prefix, shares that add up to 0, a
// time limit of 0, an API key of two organisations.
Findings Validate(const RouteTable& table);

// RouteIndex is a table that can be searched. Not copyable by accident: it
// points into its own table.
struct RouteIndex {
  RouteTable table{};
  // By host, then by prefix; values are positions in table.routes.
  std::unordered_map<std::string, std::unordered_map<std::string, size_t>>
      by_host{};
  std::unordered_map<std::string, size_t> organisation_by_key{};
  std::map<ServiceId, size_t> service_by_id{};
};

// BuildIndex makes a valid table searchable.
RouteIndex BuildIndex(RouteTable table);

// FindRoute returns the route of `host` with the longest prefix that begins
// `path`, which excludes the query; null if there is none.
const Route* FindRoute(const RouteIndex& index, const std::string& host,
                       std::string_view path);

// FindOrganisation returns whom a key belongs to; null if nobody.
const Organisation* FindOrganisation(const RouteIndex& index,
                                     const std::string& api_key);

// FindService returns a service; null if the table has none of that name.
const Service* FindService(const RouteIndex& index, const ServiceId& id);

// PickService chooses among a valid route's shares in proportion to their
// weights; equal hashes choose alike.
const ServiceId& PickService(const Route& route, uint64_t hash);

}  // namespace samphirebank::routes

#endif  // SAMPHIREBANK_ROUTES_ROUTES_H_
