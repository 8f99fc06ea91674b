#include "samphirebank/control/internal/server.h"

#include <sodium.h>

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "samphirebank/events/events.h"

namespace samphirebank::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTimerPeriod = milliseconds(50);
constexpr Duration kConfirmPeriod = milliseconds(250);
constexpr Duration kFollowerPollInterval = milliseconds(250);
constexpr Duration kAssignPeriod = milliseconds(250);
constexpr Duration kWatchPeriod = seconds(1);
constexpr Duration kOwnerSilence = seconds(10);
constexpr Duration kClaimsTickEvery = seconds(60);
constexpr size_t kReportLimit = 64;
constexpr size_t kKeptResults = 8192;
constexpr size_t kPeerHints = 3;

uint64_t RandomNumber() {
  uint64_t number = 0;
  randombytes_buf(&number, sizeof(number));
  return number;
}

wire::FleetKey FleetKeyOf(const settings::ControlSettings& settings) {
  const auto key = wire::ParseFleetKey(settings.fleet_key.value);
  if (!key) throw std::runtime_error("the fleet key is not 64 hex digits");
  return *key;
}

// Decoded returns the message in a packet, or nothing if it is malformed.
template <typename Message>
std::optional<Message> Decoded(const wire::Packet& packet) {
  return wire::leaf::try_handle_all(
      [&]() -> wire::leaf::result<std::optional<Message>> {
        BOOST_LEAF_AUTO(message, wire::Decode<Message>(packet));
        return std::optional<Message>(std::move(message));
      },
      [] { return std::optional<Message>(); });
}

lease::HolderOptions HolderOptionsOf(const settings::ControlSettings& settings,
                                     BootId boot, uint16_t peer_port,
                                     uint16_t operator_port) {
  const settings::Identity& identity = settings.identity;
  net::SocketAddress address{identity.address, peer_port};
  for (const settings::ControlMember& member : settings.members) {
    if (member.instance == identity.instance) address = member.peer_address;
  }
  lease::HolderOptions options{.self = {.instance = identity.instance,
                                        .boot = boot,
                                        .region = identity.region,
                                        .zone = identity.zone,
                                        .address = address,
                                        .role = lease::Role::kControl,
                                        .operator_port = operator_port},
                               .poll_interval = kFollowerPollInterval,
                               .seed = boot.value};
  return options;
}

}  // namespace

Server::Server(net::Loop& event_loop, const settings::ControlSettings& given)
    : loop(event_loop),
      settings(given),
      boot(RandomNumber()),
      sealer(FleetKeyOf(given), given.identity.instance, this->boot),
      opener(FleetKeyOf(given)) {
  events::Open({.instance = given.identity.instance,
                .role = "control",
                .boot = this->boot,
                .file = given.log_file});
  events::Log({.number = events::Number::kProcessStarted});
  this->OpenPorts();
  this->replication = replication::MakeReplication(this->ReplicationOptions(),
                                                   this->MakeHooks());
  this->StartTimers();
}

replication::Options Server::ReplicationOptions() const {
  replication::Options options{.self = this->settings.identity.instance,
                               .data_folder = this->settings.data_folder};
  for (const settings::ControlMember& member : this->settings.members) {
    options.peers.push_back(member.instance);
  }
  if (this->settings.bootstrap) options.initial_voters = options.peers;
  return options;
}

replication::Hooks Server::MakeHooks() {
  return {
      .apply = [this](
                   LogIndex index,
                   const std::string& entry) { this->ApplyOne(index, entry); },
      .snapshot = [this] { return EncodeState(this->state); },
      .restore = [this](const std::string& bytes) { this->Restore(bytes); },
      .send =
          [this](const InstanceId& to, const wire::Packet& packet) {
            this->SendToMember(to, packet);
          },
      .on_leadership = [this] { this->OnLeadership(); },
      .on_failure = [this](const std::string& reason) { this->Fail(reason); },
      .run_after =
          [this](Duration delay, std::function<void()> action) {
            this->loop.After(delay, std::move(action));
          }};
}

void Server::OpenPorts() {
  const settings::Identity& identity = this->settings.identity;
  this->peers = this->loop.OpenPeerSocket(
      {.address = identity.address,
       .port = this->settings.peer_port,
       .on_message = [this](const net::SocketAddress& from,
                            std::string_view message) {
         this->OnPacket(from, message);
       }});
  this->operator_port = this->loop.Listen(
      {.address = identity.address,
       .port = this->settings.operator_port,
       .on_request = [this](const std::shared_ptr<net::ServerStream>& stream) {
         this->OnRequest(stream);
       }});
  this->holder = lease::MakeHolder(HolderOptionsOf(
      this->settings, this->boot, this->peers->port(), this->operator_port));
  this->in_force.span = lease::InForceAfter(this->holder.options.parameters);
  settings::WritePortsFile(
      this->settings.ports_file,
      {{"peer", this->peers->port()}, {"operator", this->operator_port}});
}

void Server::StartTimers() {
  this->loop.Every(kTimerPeriod, [this] { this->PollLeader(); });
  this->loop.Every(kConfirmPeriod, [this] { this->ConfirmLease(); });
  this->loop.Every(kAssignPeriod, [this] { this->AssignPools(); });
  this->loop.Every(kWatchPeriod, [this] { this->WatchInstances(); });
}

void Server::Propose(std::string entry, ProposalDone done) {
  std::vector<std::string> entries;
  entries.push_back(std::move(entry));
  this->replication->Propose(
      std::move(entries),
      [this, done = std::move(done)](ProposalResult result, LogIndex last) {
        const auto found = this->results.extract(last);
        const bool kept =
            result == ProposalResult::kCommitted && !found.empty();
        done(result, kept ? found.mapped() : Applied());
      });
}

void Server::ApplyOne(LogIndex index, const std::string& entry) {
  this->results[index] = ApplyEntry(this->state, entry);
  if (this->results.size() > kKeptResults) {
    this->results.erase(this->results.begin());
  }
  const contracts::History& history = this->state.contracts.history;
  Revision& known = this->holder.history.configuration.revision;
  if (known < history.configuration.revision) {
    known = history.configuration.revision;
    NoteApplied(this->in_force, known, net::Loop::Now());
  }
}

void Server::Restore(const std::string& bytes) {
  if (!DecodeState(bytes, this->state)) {
    return this->Fail("the snapshot cannot be read");
  }
  const Revision revision =
      this->state.contracts.history.configuration.revision;
  this->holder.history.configuration.revision = revision;
  NoteRestored(this->in_force, revision, net::Loop::Now());
}

void Server::OnLeadership() {
  const bool leads = this->replication->leads();
  if (leads != this->led) {
    events::Log({.number = leads ? events::Number::kLeaderElected
                                 : events::Number::kLeaderSteppedDown,
                 .term = this->replication->term()});
  }
  if (leads && !this->led) {
    this->leads_since = net::Loop::Now();
    this->last_claim = this->leads_since;
    this->ConfirmLease();
  }
  this->led = leads;
  // Ask the new leader first; what was known of the old one is out of date.
  const auto leader = this->replication->leader();
  this->holder.options.controls.clear();
  this->holder.candidate_index = 0;
  this->holder.leader_operator.reset();
  for (const settings::ControlMember& member : this->settings.members) {
    if (leads || leader != member.instance) continue;
    this->holder.options.controls.push_back({.address = member.peer_address});
    this->holder.leader = member.peer_address;
  }
  if (leads) this->holder.leader = this->holder.options.self.address;
}

void Server::Fail(const std::string& reason) {
  events::Log({.number = events::Number::kStorageFailed, .detail = reason});
  this->has_failed = true;
  this->loop.Stop();
}

void Server::OnPacket(const net::SocketAddress& /*from*/,
                      std::string_view message) {
  this->metrics.packet_bytes_received.Add(message.size());
  wire::leaf::try_handle_all(
      [&]() -> wire::leaf::result<void> {
        BOOST_LEAF_AUTO(opened, this->opener.Open(message));
        events::Observe({.wall_ms = opened.packet.clock_ms,
                         .logical = opened.packet.clock_logical});
        switch (opened.packet.kind) {
          case wire::Kind::kConsensus:
            this->replication->OnMessage(opened);
            break;
          case wire::Kind::kConfigPoll:
            this->OnConfigPoll(opened.packet);
            break;
          case wire::Kind::kConfigUpdate:
            this->OnConfigUpdate(opened.packet);
            break;
          case wire::Kind::kPoolRequest:
            this->OnPoolRequest(opened);
            break;
          case wire::Kind::kClaimRequest:
            this->OnClaimRequest(opened);
            break;
          default:
            break;
        }
        return {};
      },
      [] { events::Log({.number = events::Number::kPacketRefused}); });
}

void Server::OnConfigPoll(const wire::Packet& packet) {
  auto poll = Decoded<lease::ConfigPoll>(packet);
  if (!poll) return;
  const TimePoint now = net::Loop::Now();
  lease::RecordPoll(this->registry, *poll, now);
  lease::ApplyPieceLimit(this->pieces, this->state.contracts.history, *poll,
                         now);
  lease::ConfigUpdate update = lease::MakeUpdate(
      this->state.contracts.history, this->holder.satisfied_proof,
      this->holder.options.parameters, *poll, now);
  update.region = this->settings.identity.region;
  update.zone = this->settings.identity.zone;
  update.leader = this->holder.leader;
  if (poll->requester.role == lease::Role::kControl) {
    update.leader_operator = this->LeaderOperator();
  }
  if (poll->include_peers) {
    update.peers =
        lease::PeersFor(this->registry, poll->requester, kPeerHints, now);
  }
  this->SendTo(poll->requester.address, wire::Encode(update));
}

void Server::OnConfigUpdate(const wire::Packet& packet) {
  const auto update = Decoded<lease::ConfigUpdate>(packet);
  if (!update) return;
  // The log brings the changes; the poll is only for the lease.
  lease::ConfigUpdate proof_only = *update;
  proof_only.changes.clear();
  proof_only.piece.reset();
  proof_only.revision = Revision(0);
  lease::OnUpdate(this->holder, proof_only, net::Loop::Now());
}

void Server::OnPoolRequest(const wire::Opened& opened) {
  const auto request = Decoded<assignment::PoolRequest>(opened.packet);
  if (!request) return;
  const bool is_asker = request->requester == opened.from;
  if (!is_asker && !this->IsMember(opened.from)) return;
  if (!this->replication->leads()) {
    if (is_asker) this->ForwardToLeader(opened.packet);
    return;
  }
  assignment::RecordRequest(
      this->wanted, this->state.contracts.history.configuration, *request);
}

void Server::OnClaimRequest(const wire::Opened& opened) {
  const auto request = Decoded<claims::ClaimRequest>(opened.packet);
  if (!request) return;
  const bool is_owner = request->id.owner.instance == opened.from &&
                        request->id.owner.boot == opened.boot;
  if (!is_owner && !this->IsMember(opened.from)) return;
  if (!this->replication->leads()) {
    if (is_owner) this->ForwardToLeader(opened.packet);
    return;
  }
  const TimePoint now = net::Loop::Now();
  const auto elapsed =
      std::chrono::duration_cast<milliseconds>(now - this->last_claim);
  this->last_claim += elapsed;
  this->ProposeClaim(claims::ToCommand(
      *request, static_cast<uint64_t>(std::max<int64_t>(0, elapsed.count()))));
}

void Server::ProposeClaim(const claims::Command& command) {
  this->Propose(ClaimsEntry(command), [this](ProposalResult result,
                                             const Applied& applied) {
    const auto* reply = std::get_if<claims::ClaimReply>(&applied);
    if (result != ProposalResult::kCommitted || reply == nullptr) return;
    const auto owner = this->registry.entries.find(reply->id.owner.instance);
    if (owner == this->registry.entries.end()) return;
    this->SendTo(owner->second.peer.address, wire::Encode(*reply));
  });
}

void Server::SendTo(const net::SocketAddress& to, wire::Packet packet) {
  const events::Stamp stamp = events::CurrentStamp();
  packet.clock_ms = stamp.wall_ms;
  packet.clock_logical = stamp.logical;
  const bool fits = packet.payload.size() <= net::kMaxDatagramPayload;
  const std::string bytes = this->sealer.Seal(
      packet, {.receiver = to.ToText(),
               .transport = fits ? wire::Transport::kDatagram
                                 : wire::Transport::kConnection});
  this->metrics.packets_sent.Add(1);
  this->metrics.packet_bytes_sent.Add(bytes.size());
  this->peers->Send(to, bytes);
}

void Server::SendToMember(const InstanceId& instance,
                          const wire::Packet& packet) {
  for (const settings::ControlMember& member : this->settings.members) {
    if (member.instance == instance) this->SendTo(member.peer_address, packet);
  }
}

void Server::ForwardToLeader(const wire::Packet& packet) {
  const auto leader = this->replication->leader();
  if (leader && !this->replication->leads()) {
    this->SendToMember(*leader, packet);
  }
}

bool Server::IsMember(const InstanceId& instance) const {
  return std::ranges::any_of(this->settings.members,
                             [&](const settings::ControlMember& member) {
                               return member.instance == instance;
                             });
}

std::optional<net::SocketAddress> Server::LeaderOperator() const {
  if (this->replication->leads()) {
    return net::SocketAddress{this->settings.identity.address,
                              this->operator_port};
  }
  if (!this->replication->leader()) return std::nullopt;
  return this->holder.leader_operator;
}

void Server::PollLeader() {
  if (this->replication->leads()) return;
  const TimePoint now = net::Loop::Now();
  for (lease::OutgoingPoll& send : lease::OnTimer(this->holder, now)) {
    send.poll.instances =
        lease::ReportInstances(this->registry, kReportLimit, now);
    this->SendTo(send.to, wire::Encode(send.poll));
  }
}

void Server::ConfirmLease() {
  if (!this->replication->leads()) return;
  this->replication->Confirm([this](bool confirmed, TimePoint started_at) {
    if (!confirmed) return;
    lease::AdoptProof(
        this->holder,
        {.basis = started_at,
         .revision = this->state.contracts.history.configuration.revision});
  });
}

void Server::AssignPools() {
  if (!this->replication->leads()) return;
  const auto plan = assignment::PlanAssignments(
      this->state.contracts.history.configuration, this->registry, this->wanted,
      {.leader_since = this->leads_since}, net::Loop::Now());
  for (const contracts::AssignScheduler& assign : plan) {
    const auto& pools = this->state.contracts.history.configuration.pools;
    const auto standing = pools.find(assign.pool);
    contracts::Command command{
        .change = ChangeId("assign-" + std::to_string(this->boot.value) + "-" +
                           std::to_string(++this->own_changes)),
        .author = "control",
        .expected =
            standing == pools.end() ? Revision(0) : standing->second.revision,
        .action = assign};
    events::Log({.number = events::Number::kPoolAssigned,
                 .service = assign.pool.service,
                 .region = assign.pool.region,
                 .peer = assign.assignment.holder,
                 .epoch = assign.assignment.epoch});
    this->Propose(ContractsEntry(command),
                  [](ProposalResult, const Applied&) {});
  }
}

void Server::WatchInstances() {
  const TimePoint now = net::Loop::Now();
  lease::EvictStaleEntries(this->registry, now);
  if (!this->replication->leads()) return;
  if (now - this->leads_since < kOwnerSilence) return;
  for (const claims::Owner& owner : claims::RunningOwners(this->state.claims)) {
    const auto found = this->registry.entries.find(owner.instance);
    const bool alive = found != this->registry.entries.end() &&
                       found->second.peer.boot == owner.boot &&
                       now - found->second.last_seen < kOwnerSilence;
    if (!alive) this->ProposeClaim({.action = claims::OwnerDead{owner}});
  }
  const bool idle = this->state.claims.entries.empty();
  if (!idle && now - this->last_claim >= kClaimsTickEvery) {
    const auto elapsed =
        std::chrono::duration_cast<milliseconds>(now - this->last_claim);
    this->last_claim += elapsed;
    this->ProposeClaim({.elapsed_ms = static_cast<uint64_t>(elapsed.count()),
                        .action = claims::Tick{}});
  }
}

}  // namespace samphirebank::control
