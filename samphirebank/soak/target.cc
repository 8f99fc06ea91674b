#include "samphirebank/soak/internal/target.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "samphirebank/soak/internal/caller.h"
#include "samphirebank/soak/internal/operator.h"
#include "samphirebank/testing/processes.h"

namespace samphirebank::soak {
namespace {

using process::Now;
using std::chrono::milliseconds;

constexpr Duration kBeatInterval = milliseconds(400);
constexpr Duration kBeatLimit = milliseconds(1000);
// How long one that leaves serves on after the acknowledgement.
constexpr Duration kServesOn = milliseconds(4000);
constexpr uint64_t kMostWorkMs = 30;
constexpr int kWrongTarget = 421;
constexpr uint32_t kSlots = 64;
// From the acknowledgement that a target turned cold until gateways heed it.
constexpr Duration kColdTold = milliseconds(2000);

int64_t WallMilliseconds() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

bool IsLimited(const ServiceId& service, uint64_t seed) {
  return std::ranges::any_of(CallerServices(seed), [&](const auto& item) {
    return item.id == service && item.cold_requests_per_second > 0;
  });
}

}  // namespace

// Running is one connection with the request that runs on it.
struct Target::Running {
  std::shared_ptr<web::Connection> connection{};
  std::unique_ptr<web::RequestReader> reader{};
  TargetRequest request{};
  bool busy = false;
};

Target::Target(World& shared, std::string given_name, ServiceId given_service,
               std::vector<net::SocketAddress> control, ZoneId given_zone)
    : world(shared),
      name(std::move(given_name)),
      service(std::move(given_service)),
      zone(std::move(given_zone)),
      is_engine(this->service.value == "engine"),
      is_limited(IsLimited(this->service, this->world.options.seed)),
      coordinators(std::move(control)),
      port(testing::FreePort()),
      link(std::make_unique<testing::Relay>(this->port)) {
  this->Restart(false);
}

void Target::Restart(bool same_id) {
  if (this->is_up) return;
  ++this->incarnation;
  same_id = same_id && !this->is_draining;
  const std::string id =
      same_id ? this->announcement.id.value
              : this->name + "-" + std::to_string(this->incarnation);
  this->announcement = {
      .id = TargetId(id),
      .service = this->service,
      .address = {.ip = "127.0.0.1", .port = this->link->port()},
      .zone = this->zone,
      .software = this->NextSoftware(),
      .slots = kSlots,
      .started_at_ms = WallMilliseconds()};
  // The first run of all starts warm, so that the fleet serves soon.
  const bool is_cold = this->incarnation > 1;
  this->cold_until = is_cold ? Now() + kColdStart : TimePoint();
  // A run under an old id gets what was sent before its first heartbeat.
  this->cold_from_start = !same_id;
  this->cold_heard_at.reset();
  this->is_up = true;
  this->is_draining = false;
  this->Listen();
  this->Beat();
}

// NextSoftware alternates, so that versions serve side by side.
const directory::SoftwareVersion& Target::NextSoftware() const {
  const auto& versions = SoftwareVersions();
  return versions[(this->port + this->incarnation) % versions.size()];
}

void Target::Listen() {
  this->listener = std::make_unique<web::Listener>(
      this->world.loop,
      net::SocketAddress{.ip = "127.0.0.1", .port = this->port},
      [this](const std::shared_ptr<web::Connection>& connection) {
        this->Serve(connection);
      });
}

void Target::Crash() {
  this->is_up = false;
  this->listener.reset();
  const auto open = std::exchange(this->connections, {});
  for (const auto& connection : open) connection->Close();
}

void Target::Drain() {
  if (!this->is_up) return;
  this->is_draining = true;
  this->announcement.state = directory::State::kDraining;
}

void Target::MakeCold(Duration lasts) {
  if (!this->is_up || Now() < this->cold_until) return;
  this->cold_until = Now() + lasts;
  this->cold_from_start = false;
  this->cold_heard_at.reset();
}

void Target::Beat() {
  if (!this->is_up) return;
  const bool is_cold = Now() < this->cold_until;
  this->announcement.cold_remaining =
      is_cold ? std::chrono::ceil<milliseconds>(this->cold_until - Now())
              : milliseconds(0);
  ++this->announcement.sequence;
  const auto& to =
      this->coordinators[this->beats_at % this->coordinators.size()];
  Ask(this->world, to, this->world.speech.heartbeat(this->announcement),
      kBeatLimit,
      [this, run = this->incarnation, leaves = this->is_draining,
       is_cold](const CallResult& result) {
        const bool acknowledged = result.status == 200;
        if (!acknowledged) ++this->beats_at;
        if (acknowledged && leaves) this->OnLeavingHeard(run);
        if (acknowledged && is_cold && run == this->incarnation) {
          this->OnColdHeard();
        }
      });
  After(this->world, kBeatInterval, [this, run = this->incarnation] {
    if (run == this->incarnation) this->Beat();
  });
}

void Target::OnColdHeard() {
  if (!this->cold_heard_at) this->cold_heard_at = Now();
}

void Target::CountIfCold() {
  const TimePoint now = Now();
  const bool is_told =
      this->cold_from_start ||
      (this->cold_heard_at && now >= *this->cold_heard_at + kColdTold);
  if (now >= this->cold_until || !is_told || this->link_is_delayed) return;
  this->world.ledger.cold_requests[this->announcement.id].push_back(
      {.at = now, .from_start = this->cold_from_start});
}

void Target::OnLeavingHeard(uint64_t run) {
  if (run != this->incarnation) return;
  const TargetId id = this->announcement.id;
  const bool first = this->world.ledger.leaving_since.emplace(id, Now()).second;
  if (!first) return;
  After(this->world, kServesOn, [this, run] {
    if (run != this->incarnation || this->world.ending) return;
    this->Crash();
    this->Restart(false);
  });
}

void Target::Serve(const std::shared_ptr<web::Connection>& connection) {
  auto running = std::make_shared<Running>();
  running->connection = connection;
  running->reader = std::make_unique<web::RequestReader>(web::ReadLimits{});
  this->connections.insert(connection);
  connection->Start([this, running] { this->Read(running); },
                    [this, running](web::End) {
                      this->connections.erase(running->connection);
                      running->connection->Close();
                    });
}

void Target::Read(const std::shared_ptr<Running>& running) {
  if (running->busy) return;
  const web::ReadState state =
      running->reader->Feed(&running->connection->input());
  if (state == web::ReadState::kMore) return;
  if (state != web::ReadState::kWhole) {
    this->world.ledger.oddities.push_back("a target read no request");
    return running->connection->Close();
  }
  web::Request request = running->reader->Take();
  running->reader = std::make_unique<web::RequestReader>(web::ReadLimits{});
  running->busy = true;
  this->Begin(running, std::move(request));
}

void Target::Begin(const std::shared_ptr<Running>& running,
                   web::Request request) {
  running->request = this->world.speech.decode_request(request.headers);
  const TargetRequest& read = running->request;
  const bool foreign = read.expected != this->announcement.id;
  if (!foreign && this->is_limited) this->CountIfCold();
  if (foreign || this->manner == Manner::kRefuses) {
    running->connection->Send(web::EncodeAnswer(
        {.status = foreign ? kWrongTarget : 503,
         .headers = this->world.speech.answer_headers(read.id, false)},
        true));
    running->busy = false;
    return;
  }
  if (IsProbe(request.target)) return this->Answer(running);
  NoteRun(this->world.ledger, read.id,
          {.target = this->announcement.id,
           .service = this->service,
           .zone = this->zone,
           .region = RegionOf(this->zone),
           .organisation = read.organisation,
           .path = request.target,
           .body = std::move(request.body),
           .after = read.after.value_or(0),
           .carries_key = read.carries_key},
          Now());
  if (this->manner == Manner::kMute) return;
  After(this->world, milliseconds(this->world.Below(kMostWorkMs)),
        [this, running] {
          if (!running->connection->closed()) this->Answer(running);
        });
}

void Target::Answer(const std::shared_ptr<Running>& running) {
  const RequestId id = running->request.id;
  const web::Headers headers = this->world.speech.answer_headers(id, true);
  if (this->is_engine) {
    running->connection->Send(web::EncodeChunkedHead(200, headers, true));
    return this->StreamEvent(running, running->request.after.value_or(0) + 1);
  }
  std::string bytes = web::EncodeAnswer(
      {.status = 200, .headers = headers, .body = PlainBody(id)}, true);
  const bool breaks = this->manner == Manner::kBreaks;
  if (breaks) bytes.resize(this->world.Below(bytes.size()));
  running->connection->Send(bytes);
  if (breaks) return running->connection->CloseAfterSending();
  running->busy = false;
  this->Read(running);
}

void Target::StreamEvent(const std::shared_ptr<Running>& running,
                         uint64_t number) {
  if (running->connection->closed()) return;
  const RequestId id = running->request.begun_by.value_or(running->request.id);
  if (number > EventsOf(id)) {
    running->connection->Send(web::kLastChunk);
    running->busy = false;
    return this->Read(running);
  }
  std::string event = EventText(id, number, this->announcement.software);
  const bool breaks =
      this->manner == Manner::kBreaks && this->world.Below(3) == 0;
  if (breaks) event.resize(1 + this->world.Below(event.size()));
  running->connection->Send(web::EncodeChunk(event));
  if (breaks) return running->connection->CloseAfterSending();
  After(this->world, milliseconds(this->world.Below(kMostWorkMs)),
        [this, running, number] { this->StreamEvent(running, number + 1); });
}

}  // namespace samphirebank::soak
