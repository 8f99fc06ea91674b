// What a coordinator tells gateways and other coordinators.
#include <chrono>
#include <optional>
#include <utility>

#include "samphirebank/coordinator/internal/server.h"
#include "samphirebank/events/events.h"
#include "samphirebank/process/process.h"

namespace samphirebank::coordinator {
namespace {

using process::Now;
using std::chrono::milliseconds;

// An instance that polled within this time follows.
constexpr Duration kFollowing = std::chrono::seconds(3);
// A table that did not arrive is sent again.
constexpr Duration kTableResend = milliseconds(400);

// IsSumDue returns whether a sum of loads is sent again. A report or a tick
// that is a little early counts for the next interval.
bool IsSumDue(const fleetload::Aggregate& loads, TimePoint sent_at,
              TimePoint now) {
  constexpr Duration kTolerance = fleetload::kReportInterval / 2;
  return now - sent_at >= fleetload::SumInterval(loads) - kTolerance;
}

}  // namespace

void Server::OnPacket(const wire::Opened& opened) {
  if (this->TakePacket(opened)) return;
  events::Log({.number = events::Number::kPacketRefused,
               .peer = opened.from,
               .reason = "malformed"});
}

// TakePacket returns false if a packet is malformed.
bool Server::TakePacket(const wire::Opened& opened) {
  const InstanceId& from = opened.from;
  const wire::Packet& packet = opened.packet;
  switch (packet.kind) {
    case wire::Kind::kConsensus:
    case wire::Kind::kDepartRequest:
    case wire::Kind::kDepartReply:
      this->replication->OnMessage(opened);
      return true;
    case wire::Kind::kFollowPoll:
      return wire::Take<follow::Poll>(
          packet, [&](const auto& poll) { this->OnPoll(from, poll); });
    case wire::Kind::kFollowUpdate:
      return wire::Take<follow::Update>(
          packet, [&](const auto& update) { this->OnUpdate(from, update); });
    case wire::Kind::kWarmupRequest:
      return wire::Take<warmup::WarmupRequest>(
          packet,
          [&](const auto& request) { this->AnswerWarmup(from, request); });
    case wire::Kind::kRunQuery:
      return wire::Take<signoff::RunQuery>(packet, [&](const auto& query) {
        this->AnswerRunQuery(from, query);
      });
    case wire::Kind::kRunReport:
      return wire::Take<signoff::RunReport>(packet, [&](const auto& report) {
        this->TakeRunReport(from, report);
      });
    case wire::Kind::kEndedRun:
      return wire::Take<signoff::EndedRun>(
          packet, [&](const auto& ended) { this->EndRun(ended.run, Now()); });
    default:
      return this->TakeSums(opened) && this->TakeOriginPacket(opened);
  }
}

// TakeSums takes what instances report of load and of prompt parts, and returns
// false if a packet of these kinds is malformed.
bool Server::TakeSums(const wire::Opened& opened) {
  const InstanceId& from = opened.from;
  const wire::Packet& packet = opened.packet;
  switch (packet.kind) {
    case wire::Kind::kLoadReport:
      return wire::Take<fleetload::LoadReport>(packet, [&](auto report) {
        this->AnswerLoad(from, std::move(report.load));
      });
    case wire::Kind::kLoadShare:
      return wire::Take<fleetload::LoadShare>(packet, [&](auto share) {
        fleetload::RecordCoordinatorLoad(this->loads, from,
                                         std::move(share.load), Now());
      });
    case wire::Kind::kEvidenceReport:
      return wire::Take<quarantine::EvidenceReport>(packet, [&](auto report) {
        quarantine::RecordGateway(this->evidence, from,
                                  std::move(report.evidence), Now());
      });
    case wire::Kind::kEvidenceShare:
      return wire::Take<quarantine::EvidenceShare>(packet, [&](auto share) {
        quarantine::RecordCoordinator(this->evidence, from,
                                      std::move(share.evidence), Now());
      });
    default:
      return true;
  }
}

// TakeOriginPacket takes what concerns the origins of streams, and returns
// false if a packet of these kinds is malformed.
bool Server::TakeOriginPacket(const wire::Opened& opened) {
  const wire::Packet& packet = opened.packet;
  switch (packet.kind) {
    case wire::Kind::kOriginReport:
      return wire::Take<origins::OriginReport>(
          packet, [&](const auto& report) { this->TakeOriginReport(report); });
    case wire::Kind::kOriginShare:
      return wire::Take<origins::OriginShare>(
          packet, [&](const auto& share) { this->TakeOriginShare(share); });
    case wire::Kind::kOriginQuery:
      return wire::Take<origins::OriginQuery>(packet, [&](const auto& query) {
        this->AnswerOriginQuery(opened.from, query);
      });
    default:
      return true;
  }
}

void Server::OnPoll(const InstanceId& from, const follow::Poll& poll) {
  const TimePoint now = Now();
  FollowerRecord& record = this->followers[from];
  record.polled_at = now;
  record.poll_sent_ms = poll.sent_ms;
  record.table = poll.table_version;
  record.is_gateway = poll.is_gateway;
  record.takes_table = poll.include_table;
  record.position = poll.coordinator_boot == this->boot ? poll.position
                                                        : directory::Position();
  this->SendUpdate(from, record);
  if (poll.is_gateway) this->SendTable(from, record, now);
}

void Server::SendUpdate(const InstanceId& to, const FollowerRecord& record) {
  follow::Update update{.coordinator_boot = this->boot,
                        .table_version = this->table.version,
                        .zone = this->settings.identity.zone,
                        .region = this->settings.identity.region,
                        .members = this->replication->members(),
                        .num_gateways = this->num_gateways,
                        .evacuations = this->document.evacuations,
                        .poll_sent_ms = record.poll_sent_ms};
  if (record.is_gateway) {
    directory::Changes changes = directory::ChangesSince(
        this->directory, record.position, follow::kMaxAnnouncements);
    update.since = record.position;
    update.until = changes.until;
    update.has_more = changes.has_more;
    update.announcements = std::move(changes.announcements);
    update.renewed = std::move(changes.renewed);
  }
  this->peers->Send(this->PeerAddress(to), wire::Encode(update));
}

void Server::SendTable(const InstanceId& to, FollowerRecord& record,
                       TimePoint now) {
  if (!record.takes_table || record.table >= this->table.version) return;
  const bool on_its_way = record.table_sent == this->table.version &&
                          now - record.table_sent_at < kTableResend;
  if (on_its_way) return;
  record.table_sent = this->table.version;
  record.table_sent_at = now;
  this->peers->Send(this->PeerAddress(to),
                    wire::Encode(follow::TableUpdate{.table = this->table}));
}

void Server::AnswerLoad(const InstanceId& from, fleetload::Load load) {
  const TimePoint now = Now();
  fleetload::RecordGatewayLoad(this->loads, from, std::move(load), now);
  TimePoint& sent_at = this->followers[from].load_sent_at;
  if (IsSumDue(this->loads, sent_at, now)) {
    sent_at = now;
    this->peers->Send(this->PeerAddress(from),
                      wire::Encode(fleetload::LoadSum{
                          fleetload::SumExcluding(this->loads, from)}));
  }
  this->SendEvidence(from, now);
}

void Server::SendEvidence(const InstanceId& to, TimePoint now) {
  const quarantine::Evidence known =
      quarantine::SumOfFleet(this->evidence, now);
  if (known.empty()) return;
  this->peers->Send(this->PeerAddress(to),
                    wire::Encode(quarantine::EvidenceSum{.evidence = known}));
}

void Server::ShareEvidence(TimePoint now) {
  quarantine::EvictStale(this->evidence, now);
  const quarantine::EvidenceShare share{
      .evidence = quarantine::SumOfGateways(this->evidence, now)};
  if (share.evidence.empty()) return;
  for (const InstanceId& member : this->replication->members()) {
    if (member == this->self) continue;
    this->peers->Send(this->PeerAddress(member), wire::Encode(share));
  }
}

void Server::TakeOriginReport(const origins::OriginReport& report) {
  const TimePoint now = Now();
  for (const origins::Origin& origin : report.origins) {
    const bool is_new = origins::Record(this->origins, origin, now);
    if (is_new) origins::Add(this->origin_shares, origin);
  }
}

void Server::TakeOriginShare(const origins::OriginShare& share) {
  const TimePoint now = Now();
  for (const origins::Origin& origin : share.origins) {
    origins::Record(this->origins, origin, now);
  }
}

void Server::AnswerOriginQuery(const InstanceId& from,
                               const origins::OriginQuery& query) {
  const origins::OriginReply reply{
      .origins = origins::FindAll(this->origins, query.streams)};
  if (reply.origins.empty()) return;
  this->peers->Send(this->PeerAddress(from), wire::Encode(reply));
}

void Server::ShareOrigins(TimePoint now) {
  origins::EvictExpired(this->origins, now);
  const std::vector<InstanceId> members = this->replication->members();
  if (members.empty()) return;
  const origins::OriginShare share{
      .origins = origins::TakeDue(this->origin_shares, now)};
  if (share.origins.empty()) return;
  for (const InstanceId& member : members) {
    if (member == this->self) continue;
    this->peers->Send(this->PeerAddress(member), wire::Encode(share));
  }
}

void Server::AnswerWarmup(const InstanceId& from,
                          const warmup::WarmupRequest& request) {
  const warmup::WarmupGrant grant = warmup::BuildGrant(
      this->grantor, request, this->replication->members(), this->self, Now());
  if (grant.targets.empty()) return;
  this->metrics.warmup_tokens_granted.Add(grant.targets.size());
  this->peers->Send(this->PeerAddress(from), wire::Encode(grant));
}

void Server::ShareLoad(TimePoint now) {
  fleetload::EvictStale(this->loads, now);
  if (this->loads.gateways.empty()) return;
  if (!IsSumDue(this->loads, this->load_shared_at, now)) return;
  this->load_shared_at = now;
  const fleetload::LoadShare share{fleetload::SumOfGateways(this->loads, now)};
  for (const InstanceId& member : this->replication->members()) {
    if (member == this->self) continue;
    this->peers->Send(this->PeerAddress(member), wire::Encode(share));
  }
}

void Server::PushUpdates() {
  const TimePoint now = Now();
  for (const auto& [instance, record] : this->followers) {
    if (!record.is_gateway || now - record.polled_at >= kFollowing) continue;
    this->SendUpdate(instance, record);
  }
}

void Server::PushTable() {
  const TimePoint now = Now();
  for (auto& [instance, record] : this->followers) {
    if (!record.is_gateway || now - record.polled_at >= kFollowing) continue;
    this->SendTable(instance, record, now);
  }
}

uint32_t Server::CountGateways(TimePoint now) const {
  uint32_t count = 0;
  for (const auto& [instance, record] : this->followers) {
    const bool follows = now - record.polled_at < kFollowing;
    if (record.is_gateway && follows) ++count;
  }
  return count;
}

void Server::OnUpdate(const InstanceId& from, const follow::Update& update) {
  follow::Merge(this->others, from, update, this->directory, Now());
  this->replication->AddPeers(update.members);
}

}  // namespace samphirebank::coordinator
