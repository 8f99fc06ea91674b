// What a gateway tells other instances, and hears of them.
#include <chrono>
#include <string>
#include <utility>

#include "samphirebank/events/events.h"
#include "samphirebank/gateway/internal/server.h"
#include "samphirebank/process/process.h"

namespace samphirebank::gateway {
namespace {

using events::Number;
using process::Now;
using std::chrono::milliseconds;

constexpr Duration kControlSilence = std::chrono::seconds(3);

}  // namespace

void Server::WatchControl(TimePoint now) {
  const Duration silence = follow::TimeSinceLastUpdate(this->follower, now);
  if (silence >= kControlSilence && !this->control_lost_at) {
    this->control_lost_at = now;
    events::Log({.number = Number::kControlLost, .duration = silence});
  }
  if (silence < kControlSilence && this->control_lost_at) {
    events::Log({.number = Number::kControlRegained,
                 .duration = now - *this->control_lost_at});
    this->control_lost_at.reset();
    this->in_contact_since = now;
  }
}

// ForgetTargets forgets silent targets only while coordinators are heard.
void Server::ForgetTargets(TimePoint now) {
  const bool judges =
      !this->control_lost_at &&
      now - this->in_contact_since >= this->directory.options.heartbeat_timeout;
  if (!judges) return;
  for (const TargetId& silent : directory::EvictExpired(this->directory, now)) {
    this->stated_limits.entries.erase(silent);
    events::Log({.number = Number::kTargetLost, .target = silent});
  }
}

void Server::SendPolls(TimePoint now) {
  for (const InstanceId& to : follow::TakeDuePolls(this->follower, now)) {
    const follow::Poll poll = follow::BuildPoll(this->follower, to, now);
    this->peers->Send(this->PeerAddress(to), wire::Encode(poll));
  }
}

// Coordinators send new tables to those who poll, so polls do not wait behind
// other events either.
void Server::ReadPeers() {
  this->peers->ReadWaiting();
  this->SendPolls(Now());
}

void Server::OnPacket(const wire::Opened& opened) {
  if (this->TakePacket(opened)) return;
  events::Log({.number = Number::kPacketRefused,
               .peer = opened.from,
               .reason = "malformed"});
}

// TakePacket returns false if a packet is malformed.
bool Server::TakePacket(const wire::Opened& opened) {
  const wire::Packet& packet = opened.packet;
  switch (packet.kind) {
    case wire::Kind::kFollowUpdate:
      return wire::Take<follow::Update>(packet, [&](const auto& update) {
        this->OnUpdate(opened.from, update);
      });
    case wire::Kind::kTableUpdate:
      return wire::Take<follow::TableUpdate>(packet, [&](auto update) {
        this->InstallTable(opened, std::move(update.table));
      });
    case wire::Kind::kLoadSum:
      return wire::Take<fleetload::LoadSum>(
          packet, [&](const auto& sum) { this->TakeLoadSum(sum.load, Now()); });
    case wire::Kind::kEvidenceSum:
      return wire::Take<quarantine::EvidenceSum>(packet, [&](const auto& sum) {
        quarantine::TakeFleetEvidence(this->quarantine, sum.evidence, Now());
      });
    case wire::Kind::kWarmupGrant:
      return wire::Take<warmup::WarmupGrant>(
          packet, [&](const auto& grant) { this->TakeGrant(grant); });
    case wire::Kind::kOriginReply:
      return wire::Take<origins::OriginReply>(
          packet, [&](const auto& reply) { this->TakeOrigins(reply); });
    case wire::Kind::kRunQuery:
      return wire::Take<signoff::RunQuery>(packet, [&](const auto& query) {
        this->AnswerRunQuery(opened.from, query, Now());
      });
    default:
      return true;
  }
}

void Server::AnswerRunQuery(const InstanceId& from,
                            const signoff::RunQuery& query, TimePoint now) {
  const bool has_just_started =
      now - this->started_at < signoff::Options().startup_time;
  this->peers->Send(this->PeerAddress(from),
                    wire::Encode(signoff::ReportOf(this->directory, query,
                                                   has_just_started, now)));
}

void Server::OnUpdate(const InstanceId& from, const follow::Update& update) {
  const TimePoint now = Now();
  const follow::MergeResult heard =
      follow::Merge(this->follower, from, update, this->directory, now);
  for (const TargetId& target : heard.added) {
    const auto& known = this->directory.entries.at(target).announcement;
    events::Log({.number = Number::kTargetAnnounced,
                 .target = target,
                 .service = known.service,
                 .peer = from,
                 .address = known.address.ToText(),
                 .detail = "version " + known.software.value});
    quarantine::RecordEnded(this->quarantine, target,
                            this->quarantine.options.doubt_ttl, now);
    // A new run has none of the old run's failures.
    dispatch::RecordRun(this->targets_book, target, known.started_at_ms);
    ratelimit::RecordRun(this->stated_limits, target, known.started_at_ms);
  }
  for (const TargetId& target : heard.leaving) {
    this->stated_limits.entries.erase(target);
    const auto& known = this->directory.entries.at(target).announcement;
    events::Log({.number = Number::kTargetLeaving,
                 .target = target,
                 .service = known.service,
                 .peer = from,
                 .address = known.address.ToText()});
  }
  const bool zones_changed =
      !heard.zones.evacuated.empty() || !heard.zones.restored.empty();
  if (zones_changed) this->NoteZones(from);
  this->TakeColdReports(update, now);
  this->ExpectCold(heard.zones.restored, now);
  if (heard.has_more) this->SendPolls(now);
}

void Server::NoteZones(const InstanceId& from) {
  const evacuation::Evacuations& state = this->follower.evacuations;
  std::string names;
  for (const ZoneId& zone : state.zones) {
    names += (names.empty() ? "" : " ") + zone.value;
  }
  events::Log({.number = Number::kZonesInForce,
               .peer = from,
               .revision = Revision(state.revision.value),
               .count = static_cast<int64_t>(state.zones.size()),
               .detail = names});
}

void Server::InstallTable(const wire::Opened& message,
                          routes::RouteTable newer) {
  const bool is_newer =
      this->table == nullptr || newer.version > this->table->table.version;
  if (!is_newer) return;
  const TimePoint now = Now();
  const Duration waited = follow::RecordInstalledTable(
      this->follower, message.from, newer.version, now);
  events::Log({.number = Number::kTableInForce,
               .peer = message.from,
               .revision = Revision(newer.version.value),
               .duration = waited,
               .count = static_cast<int64_t>(newer.routes.size()),
               .detail = this->ArrivalText(message, now)});
  this->table = std::make_shared<const routes::RouteIndex>(
      routes::BuildIndex(std::move(newer)));
}

std::string Server::ArrivalText(const wire::Opened& message,
                                TimePoint now) const {
  const int64_t age_ms =
      events::CurrentStamp().wall_ms - message.packet.clock_ms;
  const auto busy_time = std::chrono::duration_cast<milliseconds>(
      process::BusyTime(this->busy, now));
  return "sent " + std::to_string(age_ms) + " ms before, loop busy for " +
         std::to_string(busy_time.count()) + " ms";
}

net::SocketAddress Server::PeerAddress(const InstanceId& instance) const {
  return {.ip = instance.value, .port = this->settings.peer_port};
}

}  // namespace samphirebank::gateway
