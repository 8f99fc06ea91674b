// File: routes.h
//
// The route table: the service that handles a caller's request, whether a
// failed request may be retried, the API keys, and the limits on callers. A
// table is one versioned document; a higher version replaces it as a whole.
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

// TableVersion orders route tables; the highest is in force. 0 means that
// there is no table.
using TableVersion = StrongNumber<struct TableVersionTag, uint64_t>;
using RouteId = StrongText<struct RouteIdTag>;

// Milliseconds is the unit of the durations in a route table.
using Milliseconds = std::chrono::duration<int64_t, std::milli>;

// RetryPolicy says whether a request may be sent to another target after an
// attempt failed.
enum class RetryPolicy : uint8_t {
  kNever,   // non-idempotent: runs at most once
  kRetry,   // idempotent: may run more than once
  kResume,  // a stream that another target may continue after its last event
};

// TrafficShare is the part of a route's requests that one service receives, in
// proportion to its weight.
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
  bool streamed = false;      // the response is a series of events
  RetryPolicy retry_policy = RetryPolicy::kNever;
  Milliseconds timeout{};         // until the response must be complete
  Milliseconds latency_target{};  // until the response, or its first event
  Milliseconds gap_target{};      // between two events of a stream
  uint32_t max_attempts = 1;      // targets that one request may be sent to
  bool allows_anonymous = false;  // callers need no API key
  bool prompt_affinity = false;   // targets cache parts of the prompts
  std::vector<TrafficShare> shares{};
  // Regions in which its requests may be served; empty: any.
  std::vector<RegionId> allowed_regions{};

  friend bool operator==(const Route&, const Route&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    int64_t timeout_ms = this->timeout.count();
    int64_t latency_ms = this->latency_target.count();
    int64_t gap_ms = this->gap_target.count();
    archive(id, host, path_prefix, streamed, retry_policy, timeout_ms,
            latency_ms, gap_ms, max_attempts, allows_anonymous, prompt_affinity,
            shares, allowed_regions);
    this->timeout = Milliseconds(timeout_ms);
    this->latency_target = Milliseconds(latency_ms);
    this->gap_target = Milliseconds(gap_ms);
  }
};

// Service is a group of interchangeable targets.
struct Service {
  ServiceId id{};
  std::string health_path{};
  uint32_t max_connections = 0;  // of one target, over all callers
  uint32_t batch_slots = 0;      // of one model engine; 0: not a model service
  Tokens cache_tokens{};         // capacity of one engine's KV cache
  // How long a target is cold after its start; 0: never.
  Milliseconds cold_start{};
  // Requests a second that one cold target bears; 0: not limited.
  double cold_requests_per_second = 0.0;

  friend bool operator==(const Service&, const Service&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    int64_t cold_start_ms = this->cold_start.count();
    archive(id, health_path, max_connections, batch_slots, cache_tokens,
            cold_start_ms, cold_requests_per_second);
    this->cold_start = Milliseconds(cold_start_ms);
  }
};

// Organisation is a customer with its API keys, any of which identifies it.
struct Organisation {
  OrganisationId id{};
  std::vector<std::string> api_keys{};
  // Regions in which its requests may be served; empty: any.
  std::vector<RegionId> allowed_regions{};

  friend bool operator==(const Organisation&, const Organisation&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(id, api_keys, allowed_regions);
  }
};

// CallerLimits bounds the size of a caller's request and the time it may take.
struct CallerLimits {
  uint64_t max_header_bytes = 16 << 10;
  uint64_t max_body_bytes = 4 << 20;
  Milliseconds header_timeout{3000};  // from the first byte to the header's end
  Milliseconds idle_timeout{15'000};  // of a connection without a request
  Tokens tokens_per_second{};  // throughput of all targets; 0: not stated

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

// RouteTable is the complete routing configuration of a gateway.
struct RouteTable {
  TableVersion version{};
  std::vector<Route> routes{};
  std::vector<Service> services{};
  std::vector<Organisation> organisations{};
  // Whether callers need an API key, which is the case if the table lists
  // organisations.
  bool keys_required = false;
  CallerLimits limits{};

  friend bool operator==(const RouteTable&, const RouteTable&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(version, routes, services, organisations, keys_required, limits);
  }
};

// Validate returns the faults for which a table is rejected: a route to an
// unknown service, two routes with the same host and prefix, a prefix that does
// not begin and end with '/', weights that add up to 0, a timeout of 0 or less,
// and an API key that appears twice.
Findings Validate(const RouteTable& table);

// RouteIndex is a route table with lookup tables for it. The lookup tables
// refer to `table` by position.
struct RouteIndex {
  RouteTable table{};
  // Positions in table.routes, by host and then by path prefix.
  std::unordered_map<std::string, std::unordered_map<std::string, size_t>>
      by_host{};
  std::unordered_map<std::string, size_t> organisation_by_key{};
  std::map<ServiceId, size_t> service_by_id{};
};

// BuildIndex returns the index of a table that Validate accepted.
RouteIndex BuildIndex(RouteTable table);

// FindRoute returns the route of `host` whose path prefix is the longest one
// that matches `path`; null if none does. `path` excludes the query.
const Route* FindRoute(const RouteIndex& index, const std::string& host,
                       std::string_view path);

// FindOrganisation returns the organisation of an API key; null if the key is
// unknown.
const Organisation* FindOrganisation(const RouteIndex& index,
                                     const std::string& api_key);

// FindService returns the service `id`; null if the table does not list it.
const Service* FindService(const RouteIndex& index, const ServiceId& id);

// PickService maps `hash` to one of the services of a valid route, in
// proportion to their weights. Equal hashes map to the same service.
const ServiceId& PickService(const Route& route, uint64_t hash);

}  // namespace samphirebank::routes

#endif  // SAMPHIREBANK_ROUTES_ROUTES_H_
