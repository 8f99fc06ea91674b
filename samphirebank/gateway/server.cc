#include "samphirebank/gateway/internal/server.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <stdexcept>
#include <utility>

#include "samphirebank/events/events.h"
#include "samphirebank/gateway/internal/session.h"
#include "samphirebank/process/process.h"

namespace samphirebank::gateway {
namespace {

using boost::system::error_code;
using events::Number;
using process::Now;
using std::chrono::milliseconds;

constexpr Duration kTimerPeriod = milliseconds(100);
// Kept for closing connections before the process is killed.
constexpr size_t kMostKeptSessions = 1000;
// Above it, idle callers' connections are closed, so that descriptors are left
// for new ones and for targets.
constexpr size_t kMostSessions = 1800;
// Callers' connections that are read at all.
constexpr size_t kMaxSessions = 2000;

follow::Options FollowOptions(const settings::GatewaySettings& settings) {
  follow::Options options{.self = InstanceId(settings.identity.address),
                          .zone = settings.identity.zone,
                          .region = settings.identity.region};
  for (const net::SocketAddress& seed : settings.seeds) {
    options.seeds.emplace_back(seed.ip);
  }
  return options;
}

// UsableMemory returns what the process may use: the stated amount, or that of
// the machine if it is less. 0 means no bound.
Bytes UsableMemory(const settings::GatewaySettings& settings) {
  const Bytes stated(int64_t{settings.memory_mb} * (1 << 20));
  const Bytes machine(int64_t{sysconf(_SC_PHYS_PAGES)} *
                      int64_t{sysconf(_SC_PAGESIZE)});
  return machine > Bytes(0) ? std::min(stated, machine) : stated;
}

}  // namespace

Server::Server(boost::asio::io_context& given_loop,
               const settings::GatewaySettings& given,
               const dialect::Dialect& given_adapter)
    : event_loop(given_loop),
      settings(given),
      adapter(given_adapter),
      follower(follow::Start(FollowOptions(given), Now())),
      held_budget(std::make_shared<memory::Budget>(
          memory::Budget{.options = memory::OptionsFor(UsableMemory(given))})),
      timer(given_loop),
      started_at(Now()),
      in_contact_since(this->started_at) {
  events::Open({.instance = given.identity.instance,
                .role = "gateway",
                .boot = process::NewBoot(),
                .file = given.log_file});
  events::Log({.number = Number::kProcessStarted});
  this->allowance.next_number = process::NewBoot().value;
  for (const settings::ZoneInRegion& item : given.zones) {
    this->regions[item.zone] = item.region;
  }
  this->Listen();
  this->StartTimer();
  this->SendPolls(Now());
}

void Server::Listen() {
  const std::string& ip = this->settings.identity.address;
  this->peers = std::make_unique<link::Link>(
      this->event_loop,
      link::Options{.address = {.ip = ip, .port = this->settings.peer_port},
                    .key = process::FleetKeyOf(this->settings.fleet_key),
                    .self = InstanceId(ip),
                    .on_packet = [this](const wire::Opened& opened) {
                      this->OnPacket(opened);
                    }});
  this->callers = std::make_unique<web::Listener>(
      this->event_loop, this->settings.caller_address,
      [this](std::shared_ptr<web::Connection> connection) {
        // Closed unread, so that its caller tries another instance at once.
        if (this->sessions.size() >= kMaxSessions) {
          this->metrics.turned_away.Add(1);
          return connection->Close();
        }
        auto session = std::make_shared<Session>(*this, std::move(connection));
        this->sessions.insert(session);
        session->Start();
      });
  this->ready_server = std::make_unique<web::Server>(
      this->event_loop,
      web::ServerOptions{
          .address = this->settings.ready_address,
          .on_request = [this](const web::Request& request,
                               const web::Reply& reply) {
            const bool ready = this->takes_callers();
            const bool asked = request.target == this->adapter.readiness_path;
            reply({.status = !asked ? 404 : (ready ? 200 : 503)});
          }});
  this->metrics_server = std::make_unique<web::Server>(
      this->event_loop,
      web::ServerOptions{
          .address = {.ip = ip, .port = this->settings.metrics_port},
          .on_request = [this](const web::Request&, const web::Reply& reply) {
            reply(this->MetricsText());
          }});
}

void Server::StartTimer() {
  this->timer.expires_after(kTimerPeriod);
  this->timer.async_wait([this](const error_code& stopped) {
    if (stopped) return;
    this->WatchOverload(Now());
    this->Tick();
    this->StartTimer();
  });
}

void Server::ResumeAtTick(const std::shared_ptr<web::Connection>& source) {
  source->Pause();
  this->paused.push_back(source);
}

void Server::ResumePaused() {
  const auto sources = std::exchange(this->paused, {});
  for (const std::weak_ptr<web::Connection>& source : sources) {
    if (const auto open = source.lock()) open->Resume();
  }
}

void Server::WatchOverload(TimePoint now) {
  Duration busy_time =
      process::TickDelay(this->busy, this->timer.expiry(), now);
  if (const auto stalled = this->callers->stalled_since()) {
    busy_time = std::max(busy_time, now - *stalled);
    this->connections.CloseAll();
  }
  this->last_delay = busy_time;
  shedding::RecordTick(this->shedding, busy_time);
  if (!rotation::RecordTick(this->rotation, busy_time, now)) return;
  events::Log({.number = this->rotation.is_out ? Number::kRotationLeft
                                               : Number::kRotationJoined,
               .duration = this->rotation.mean_busy_time,
               .count = static_cast<int64_t>(this->sessions.size())});
}

bool Server::IsLate(TimePoint now) const {
  const Duration delay =
      std::max(this->last_delay, process::BusyTime(this->busy, now));
  return rotation::IsOverloaded(this->rotation) ||
         delay >= this->rotation.options.leave_threshold;
}

bool Server::ShouldShed(const OrganisationId& organisation, uint64_t seed,
                        TimePoint now) const {
  const Share share = this->ShareOf(organisation, now);
  return shedding::ShouldRefuse(
      this->shedding, {.in_flight = this->exchanges,
                       .above_share = share.used > share.levels.nominal,
                       .seed = seed});
}

void Server::Tick() {
  const TimePoint now = Now();
  this->ResumePaused();
  this->WatchControl(now);
  this->SendPolls(now);
  this->JudgeParts(now);
  this->ReportLoad(now);
  this->LogAccounts(now);
  this->ReportOrigins(now);
  this->StepLookups(now);
  this->ForgetTargets(now);
  this->PruneRestricted(now);
  this->CloseSurplus();
  this->connections.Sweep(now);
  dispatch::EvictStaleEntries(this->targets_book, now);
  events::Flush();
  this->StepShutdown(now);
}

routes::CallerLimits Server::limits() const {
  return this->table == nullptr ? routes::CallerLimits()
                                : this->table->table.limits;
}

OrganisationId Server::OrganisationOf(web::Request head) const {
  if (this->table == nullptr) return {};
  const dialect::DecodedCall decoded =
      this->adapter.decode_call({.method = std::move(head.method),
                                 .target = std::move(head.target),
                                 .headers = std::move(head.headers)});
  const auto* found =
      routes::FindOrganisation(*this->table, decoded.call.api_key);
  return found == nullptr ? OrganisationId() : found->id;
}

void Server::Forget(Session& session) {
  if (this->draining()) this->closing.push_back(session.connection_handle());
  this->sessions.erase(session.shared_from_this());
}

void Server::BeginShutdown(std::function<void()> done) {
  if (this->draining()) return;
  this->shutdown_at = Now();
  this->shutdown_done = std::move(done);
  events::Log({.number = Number::kShutdownStarted,
               .count = static_cast<int64_t>(this->sessions.size())});
}

bool Server::KeepsCaller(TimePoint now) {
  if (this->draining() || this->sessions.size() >= kMostKeptSessions) {
    return false;
  }
  return !rotation::ShouldEndConnection(this->rotation, this->answers_begun++,
                                        now);
}

void Server::CloseSurplus() {
  const bool has_room =
      this->sessions.size() < kMostSessions && !this->callers->stalled_since();
  if (has_room) return;
  const auto open = this->sessions;  // closing changes the set
  for (const std::shared_ptr<Session>& session : open) session->CloseIfIdle();
}

bool Server::takes_requests(TimePoint now) const {
  return !this->shutdown_at ||
         drain::ShouldAccept(this->DrainOptions(), now - *this->shutdown_at);
}

drain::Options Server::DrainOptions() const {
  return {.grace_period = this->settings.grace};
}

bool Server::IsIdle() {
  std::erase_if(this->closing, [](const auto& handle) {
    const auto connection = handle.lock();
    return connection == nullptr || connection->queued() == 0;
  });
  return this->sessions.empty() && this->closing.empty();
}

void Server::StepShutdown(TimePoint now) {
  if (!this->shutdown_at) return;
  const auto open = this->sessions;  // closing changes the set
  switch (drain::NextStep(this->DrainOptions(), now - *this->shutdown_at,
                          this->IsIdle())) {
    case drain::Step::kServe:
      return;
    case drain::Step::kCloseIdle:
      for (const auto& session : open) session->CloseIfIdle();
      return;
    case drain::Step::kRespondAll:
      for (const auto& session : open) session->OnShutdown();
      return;
    case drain::Step::kExit:
      if (this->shutdown_done) std::exchange(this->shutdown_done, {})();
  }
}

}  // namespace samphirebank::gateway
