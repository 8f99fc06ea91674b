// What a coordinator tells gateways and other coordinators.
#include <boost/leaf/handle_errors.hpp>
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
  wire::leaf::try_handle_all(
      [&]() -> wire::leaf::result<void> {
        switch (opened.packet.kind) {
          case wire::Kind::kConsensus:
          case wire::Kind::kDepartRequest:
          case wire::Kind::kDepartReply:
            this->replication->OnMessage(opened);
            break;
          case wire::Kind::kFollowPoll: {
            BOOST_LEAF_AUTO(poll, wire::Decode<follow::Poll>(opened.packet));
            this->OnPoll(opened.from, poll);
            break;
          }
          case wire::Kind::kFollowUpdate: {
            BOOST_LEAF_AUTO(update,
                            wire::Decode<follow::Update>(opened.packet));
            this->OnUpdate(opened.from, update);
            break;
          }
          case wire::Kind::kLoadReport: {
            BOOST_LEAF_AUTO(report,
                            wire::Decode<fleetload::LoadReport>(opened.packet));
            this->AnswerLoad(opened.from, std::move(report.load));
            break;
          }
          case wire::Kind::kLoadShare: {
            BOOST_LEAF_AUTO(share,
                            wire::Decode<fleetload::LoadShare>(opened.packet));
            fleetload::RecordCoordinatorLoad(this->loads, opened.from,
                                             std::move(share.load), Now());
            break;
          }
          case wire::Kind::kEvidenceReport: {
            BOOST_LEAF_AUTO(report, wire::Decode<quarantine::EvidenceReport>(
                                        opened.packet));
            quarantine::RecordGateway(this->evidence, opened.from,
                                      std::move(report.evidence), Now());
            break;
          }
          case wire::Kind::kEvidenceShare: {
            BOOST_LEAF_AUTO(
                share, wire::Decode<quarantine::EvidenceShare>(opened.packet));
            quarantine::RecordCoordinator(this->evidence, opened.from,
                                          std::move(share.evidence), Now());
            break;
          }
          case wire::Kind::kWarmupRequest: {
            BOOST_LEAF_AUTO(request,
                            wire::Decode<warmup::WarmupRequest>(opened.packet));
            this->AnswerWarmup(opened.from, request);
            break;
          }
          case wire::Kind::kOriginReport: {
            BOOST_LEAF_AUTO(report,
                            wire::Decode<origins::OriginReport>(opened.packet));
            this->TakeOriginReport(report);
            break;
          }
          case wire::Kind::kOriginShare: {
            BOOST_LEAF_AUTO(share,
                            wire::Decode<origins::OriginShare>(opened.packet));
            this->TakeOriginShare(share);
            break;
          }
          case wire::Kind::kOriginQuery: {
            BOOST_LEAF_AUTO(query,
                            wire::Decode<origins::OriginQuery>(opened.packet));
            this->AnswerOriginQuery(opened.from, query);
            break;
          }
          case wire::Kind::kRunQuery: {
            BOOST_LEAF_AUTO(query,
                            wire::Decode<signoff::RunQuery>(opened.packet));
            this->AnswerRunQuery(opened.from, query);
            break;
          }
          case wire::Kind::kRunReport: {
            BOOST_LEAF_AUTO(report,
                            wire::Decode<signoff::RunReport>(opened.packet));
            this->TakeRunReport(opened.from, report);
            break;
          }
          case wire::Kind::kEndedRun: {
            BOOST_LEAF_AUTO(ended,
                            wire::Decode<signoff::EndedRun>(opened.packet));
            this->EndRun(ended.run, Now());
            break;
          }
          default:
            break;
        }
        return {};
      },
      [&] {
        events::Log({.number = events::Number::kPacketRefused,
                     .peer = opened.from,
                     .reason = "malformed"});
      });
}

void Server::OnPoll(const InstanceId& from, const follow::Poll& poll) {
  const TimePoint now = Now();
  FollowerRecord& record = this->followers[from];
  record.polled_at = now;
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
                        .evacuations = this->document.evacuations};
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
