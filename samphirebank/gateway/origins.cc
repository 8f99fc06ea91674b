// Which software began the streams that callers take up.
#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "samphirebank/gateway/internal/exchange.h"
#include "samphirebank/gateway/internal/server.h"
#include "samphirebank/process/process.h"

namespace samphirebank::gateway {
namespace {

using origins::StreamKey;
using process::Now;

// An origin that was reported elsewhere just before is known to all
// coordinators within this time.
constexpr Duration kLookupTimeout = std::chrono::milliseconds(600);

}  // namespace

void Server::NoteOrigin(const origins::Origin& origin) {
  const bool is_new = origins::Record(this->origins, origin, Now());
  if (is_new) origins::Add(this->origin_reports, origin);
}

void Server::LookUpOrigin(const std::shared_ptr<Exchange>& exchange,
                          StreamKey stream, TimePoint now) {
  this->metrics.streams_taken_up.Add(1);
  const auto known = origins::Find(this->origins, stream);
  if (known) return exchange->OnOrigin(known);
  const auto [lookup, is_new] =
      this->lookups.try_emplace(stream, Lookup{.begun_at = now});
  lookup->second.waiting.push_back(exchange);
  const auto nearest = follow::NearestResponsive(this->follower, now);
  if (is_new && nearest) this->AskForOrigins({stream}, *nearest);
}

void Server::AskForOrigins(const std::vector<StreamKey>& streams,
                           const InstanceId& coordinator) {
  for (size_t i = 0; i < streams.size(); i += origins::kMaxQueryStreams) {
    const size_t end = std::min(streams.size(), i + origins::kMaxQueryStreams);
    const auto first = streams.begin();
    this->peers->Send(
        this->PeerAddress(coordinator),
        wire::Encode(origins::OriginQuery{
            .streams = {first + static_cast<std::ptrdiff_t>(i),
                        first + static_cast<std::ptrdiff_t>(end)}}));
  }
}

void Server::TakeOrigins(const origins::OriginReply& reply) {
  for (const origins::Origin& origin : reply.origins) {
    const auto lookup = this->lookups.extract(origin.stream);
    if (lookup.empty()) continue;
    for (const std::weak_ptr<Exchange>& weak : lookup.mapped().waiting) {
      const auto exchange = weak.lock();
      if (exchange != nullptr) exchange->OnOrigin(origin.software);
    }
  }
}

// StepLookups asks all coordinators for what the nearest one does not know, and
// ends the lookups that have taken too long.
void Server::StepLookups(TimePoint now) {
  std::vector<StreamKey> open;
  std::vector<std::weak_ptr<Exchange>> unknown;
  std::erase_if(this->lookups, [&](const auto& item) {
    const Lookup& lookup = item.second;
    if (now - lookup.begun_at < kLookupTimeout) {
      open.push_back(item.first);
      return false;
    }
    unknown.insert(unknown.end(), lookup.waiting.begin(), lookup.waiting.end());
    return true;
  });
  for (const std::weak_ptr<Exchange>& weak : unknown) {
    const auto exchange = weak.lock();
    if (exchange != nullptr) exchange->OnOrigin(std::nullopt);
  }
  if (open.empty()) return;
  for (const InstanceId& coordinator :
       follow::Responsive(this->follower, now)) {
    this->AskForOrigins(open, coordinator);
  }
}

// ReportOrigins reports to the nearest coordinator. One that has just started,
// or became the nearest, gets all that began here.
void Server::ReportOrigins(TimePoint now) {
  origins::EvictExpired(this->origins, now);
  const auto to = follow::NearestResponsive(this->follower, now);
  if (!to) return;
  const std::pair run(*to, this->follower.sources.at(*to).boot);
  if (std::exchange(this->reported_to, run) != run) {
    this->origin_reports = {.unsent = origins::AllOrigins(this->origins)};
  }
  const std::vector<origins::Origin> batch =
      origins::TakeDue(this->origin_reports, now);
  if (batch.empty()) return;
  this->peers->Send(this->PeerAddress(*to),
                    wire::Encode(origins::OriginReport{.origins = batch}));
}

bool Exchange::TakesUpStream() const {
  return this->route->streamed && (this->call.after || this->call.begun_by);
}

void Exchange::LookUpOrigin() {
  if (!this->call.begun_by) return this->OnOrigin(std::nullopt);
  this->server.LookUpOrigin(this->shared_from_this(),
                            origins::KeyOf(*this->call.begun_by), Now());
}

void Exchange::OnOrigin(std::optional<origins::Software> software) {
  if (this->ended) return;
  const auto origin_service =
      software ? this->FindServiceOf(*software) : std::nullopt;
  if (!origin_service) {
    this->server.NoteRefusedForOrigin();
    return this->RefuseForNow(
        software ? "no target of the version that began the stream"
                 : "the version that began the stream is not known");
  }
  this->begun_by = software;
  this->service = *origin_service;
  this->work.service = this->service;
  this->SendToTarget();
}

std::optional<ServiceId> Exchange::FindServiceOf(
    origins::Software wanted) const {
  TargetFilter filter = this->Filter();
  filter.software = wanted;
  for (const routes::TrafficShare& share : this->route->shares) {
    const bool has_targets =
        share.weight > 0 &&
        this->server.HasOtherTarget(share.service, filter, {}, Now());
    if (has_targets) return share.service;
  }
  return std::nullopt;
}

bool Exchange::StopIfOutOfStep(TimePoint now) {
  if (!this->begun_by || this->server.IsInStep(now)) return false;
  const std::string reason = "this instance is out of step";
  this->server.NoteRefusedForOrigin();
  if (this->progress.response_started) {
    this->Cut(reason);
  } else if (this->progress.may_have_run) {
    this->FailUnknown(502, reason);
  } else {
    this->RefuseForNow(reason);
  }
  return true;
}

// NoteOrigin binds the stream that begins now to its target's software.
void Exchange::NoteOrigin() {
  if (this->begun_by) return;
  this->begun_by = this->sending->software;
  if (this->route->retry_policy != routes::RetryPolicy::kResume) return;
  this->server.NoteOrigin(
      {.stream = origins::KeyOf(this->call.id), .software = *this->begun_by});
}

}  // namespace samphirebank::gateway
