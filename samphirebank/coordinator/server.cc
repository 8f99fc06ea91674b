#include "samphirebank/coordinator/internal/server.h"

#include <algorithm>
#include <chrono>
#include <stdexcept>
#include <utility>
#include <vector>

#include "samphirebank/events/events.h"
#include "samphirebank/process/process.h"

namespace samphirebank::coordinator {
namespace {

using process::Now;
using std::chrono::milliseconds;

constexpr Duration kTimerPeriod = milliseconds(100);
constexpr Duration kReplicationTick = milliseconds(50);
constexpr Duration kElectionTimeout = milliseconds(1000);
// Above the leader's heartbeat interval and a crossing between regions.
constexpr Duration kLeaderlessElectionTimeout = milliseconds(400);
constexpr Duration kAnnounceInterval = milliseconds(300);
// Orders are decided within this time.
constexpr Duration kOrderTimeout = milliseconds(2500);
constexpr Duration kFollowerForgotten = std::chrono::seconds(60);

std::vector<InstanceId> SeedInstances(
    const settings::CoordinatorSettings& settings) {
  std::vector<InstanceId> seeds;
  for (const net::SocketAddress& seed : settings.seeds) {
    seeds.emplace_back(seed.ip);
  }
  std::ranges::sort(seeds);
  return seeds;
}

}  // namespace

Server::Server(boost::asio::io_context& event_loop,
               const settings::CoordinatorSettings& given,
               const dialect::Dialect& adapter)
    : loop(event_loop),
      settings(given),
      dialect(adapter),
      self(given.identity.address),
      boot(process::NewBoot()),
      others(follow::Start({.seeds = SeedInstances(given)}, Now())),
      grantor{
          .options = {.overrun = given.cold_overrun, .slack = given.cold_slack},
          .started_at = Now()},
      last_query(this->boot.value),
      timer(event_loop),
      started_at(Now()),
      leader_known_at(this->started_at) {
  events::Open({.instance = given.identity.instance,
                .role = "coordinator",
                .boot = this->boot,
                .file = given.log_file});
  events::Log({.number = events::Number::kProcessStarted,
               .detail = given.first_start ? "first start" : "restart"});
  this->peers = std::make_unique<link::Link>(
      this->loop,
      link::Options{.address = this->PeerAddress(this->self),
                    .key = process::FleetKeyOf(given.fleet_key),
                    .self = this->self,
                    .on_packet = [this](const wire::Opened& opened) {
                      this->OnPacket(opened);
                    }});
  this->replication = replication::MakeReplication(this->ReplicationOptions(),
                                                   this->MakeHooks());
  this->control_server = std::make_unique<web::Server>(
      this->loop,
      web::ServerOptions{.address = given.control_address,
                         .on_request = [this](const web::Request& request,
                                              const web::Reply& reply) {
                           this->OnRequest(request, reply);
                         }});
  this->metrics_server = std::make_unique<web::Server>(
      this->loop,
      web::ServerOptions{
          .address = {.ip = this->self.value, .port = given.metrics_port},
          .on_request = [this](const web::Request&, const web::Reply& reply) {
            reply(this->MetricsText());
          }});
  events::Log({.number = events::Number::kProcessReady,
               .address = given.control_address.ToText()});
  this->StartTimer();
}

replication::Options Server::ReplicationOptions() const {
  replication::Options options{
      .self = this->self,
      .data_folder = this->settings.data_folder,
      .peers = SeedInstances(this->settings),
      .desired_voters = 2 * this->settings.losses_tolerated + 1,
      .election_timeout = kElectionTimeout,
      .leaderless_election_timeout = kLeaderlessElectionTimeout,
      .announce_interval = kAnnounceInterval,
      .tick_interval = kReplicationTick};
  // One instance founds the group; the seeds agree on which.
  const bool founds = this->settings.first_start && !options.peers.empty() &&
                      options.peers.front() == this->self;
  if (founds) options.initial_voters = options.peers;
  return options;
}

replication::Hooks Server::MakeHooks() {
  return {
      .apply = [this](LogIndex,
                      const std::string& entry) { this->Apply(entry); },
      .snapshot = [this] { return EncodeState(this->document); },
      .restore = [this](const std::string& bytes) { this->Restore(bytes); },
      .send =
          [this](const InstanceId& to, const wire::Packet& packet) {
            this->peers->Send(this->PeerAddress(to), packet);
          },
      .on_leadership = [this] { this->OnLeadership(); },
      .on_failure = [this](const std::string& reason) { this->Fail(reason); },
      .run_after =
          [this](Duration delay, std::function<void()> action) {
            this->After(delay, std::move(action));
          }};
}

void Server::After(Duration delay, std::function<void()> action) {
  auto once = std::make_shared<boost::asio::steady_timer>(this->loop, delay);
  once->async_wait([once, action = std::move(action)](
                       const boost::system::error_code& stopped) {
    if (!stopped) action();
  });
}

void Server::StartTimer() {
  this->timer.expires_after(kTimerPeriod);
  this->timer.async_wait([this](const boost::system::error_code& stopped) {
    if (stopped) return;
    this->Tick();
    this->StartTimer();
  });
}

void Server::Tick() {
  const TimePoint now = Now();
  if (this->replication->leads() || this->replication->leader()) {
    this->leader_known_at = now;
  }
  for (const TargetId& silent : directory::EvictExpired(this->directory, now)) {
    events::Log({.number = events::Number::kTargetLost,
                 .target = silent,
                 .duration = this->directory.options.heartbeat_timeout});
  }
  this->num_gateways = this->CountGateways(now);
  this->ShareLoad(now);
  this->ShareEvidence(now);
  this->ShareOrigins(now);
  warmup::EvictIdle(this->grantor, now);
  this->StepSignOffs(now);
  this->ShareEndedRuns(now);
  events::Flush();
  this->StepStop(now);
  std::erase_if(this->followers, [&](const auto& item) {
    return now - item.second.polled_at >= kFollowerForgotten;
  });
  for (const InstanceId& to : follow::TakeDuePolls(this->others, now)) {
    if (to == this->self) continue;
    // Only the members are asked for: the cursor skips all targets.
    follow::Poll poll = follow::BuildPoll(this->others, to, now);
    poll.is_gateway = false;
    this->peers->Send(this->PeerAddress(to), wire::Encode(poll));
  }
}

void Server::Stop(std::function<void()> done) {
  this->replication->Depart([this, done = std::move(done)] {
    const TimePoint now = Now();
    this->stopped = done;
    this->stop_deadline = now + kOrderTimeout;
    this->StepStop(now);
  });
}

void Server::StepStop(TimePoint now) {
  if (!this->stopped) return;
  const bool is_answered = this->control_server->num_unanswered() == 0;
  if (is_answered || now >= this->stop_deadline) {
    std::exchange(this->stopped, {})();
  }
}

void Server::Apply(const std::string& entry) {
  const auto before = this->document.evacuations.revision;
  if (ApplyEntry(this->document, entry)) this->TakeDocumentSoon();
  if (this->document.evacuations.revision != before) {
    this->PushUpdatesAfter(Duration::zero());
  }
}

void Server::Restore(const std::string& bytes) {
  if (!DecodeState(bytes, this->document)) {
    return this->Fail("the snapshot cannot be read");
  }
  if (this->document.newest.version > this->table.version) {
    this->TakeDocumentSoon();
  }
}

void Server::PushUpdatesAfter(Duration delay) {
  if (std::exchange(this->updates_wait, true)) return;
  this->After(delay, [this] {
    this->updates_wait = false;
    this->PushUpdates();
  });
}

void Server::TakeDocumentSoon() {
  if (std::exchange(this->document_waits, true)) return;
  this->After(Duration::zero(), [this] {
    this->document_waits = false;
    this->TakeDocument();
  });
}

void Server::TakeDocument() {
  dialect::DecodedOrder decoded =
      this->dialect.decode_order({.method = "PUT",
                                  .path = this->dialect.table_path,
                                  .body = this->document.newest.text});
  auto* put = std::get_if<dialect::PutTable>(&decoded.order);
  if (put == nullptr || !decoded.findings.empty()) {
    events::Log(
        {.number = events::Number::kInternalError,
         .detail = "a stored table is invalid: " + decoded.findings.ToText()});
    return;
  }
  this->table = std::move(put->table);
  events::Log({.number = events::Number::kTableInForce,
               .revision = Revision(this->table.version.value),
               .count = static_cast<int64_t>(this->table.routes.size())});
  this->PushTable();
}

void Server::OnLeadership() {
  const bool leads = this->replication->leads();
  if (leads == this->led) return;
  this->led = leads;
  events::Log({.number = leads ? events::Number::kLeaderElected
                               : events::Number::kLeaderSteppedDown,
               .term = this->replication->term()});
}

void Server::Fail(const std::string& reason) {
  events::Log({.number = events::Number::kStorageFailed, .detail = reason});
  this->has_failed = true;
  this->loop.stop();
}

net::SocketAddress Server::PeerAddress(const InstanceId& instance) const {
  return {.ip = instance.value, .port = this->settings.peer_port};
}

bool Server::IsCutOff(TimePoint now) const {
  constexpr Duration kLeaderless = milliseconds(2500);
  return now - this->leader_known_at >= kLeaderless;
}

}  // namespace samphirebank::coordinator
