#include "samphirebank/soak/internal/caller.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <utility>

namespace samphirebank::soak {
namespace {

using process::Now;
using routes::Milliseconds;
using routes::RetryPolicy;
using std::chrono::milliseconds;

constexpr Duration kReadyInterval = milliseconds(500);
constexpr Duration kConnectLimit = milliseconds(1000);
constexpr Duration kPatience = milliseconds(3000);
constexpr Duration kOverdueAfter = kPatience + milliseconds(1000);
constexpr uint64_t kMostThinkMs = 60;
constexpr uint64_t kMostLeaveMs = 200;
constexpr uint64_t kLeavesOneIn = 40;
constexpr int kMissesToLeave = 2;

routes::Route MakeRoute(const std::string& name, const std::string& service,
                        RetryPolicy repetition) {
  const bool streamed = service == "engine";
  return {.id = routes::RouteId(name),
          .host = kHost,
          .path_prefix = "/" + name + "/",
          .streamed = streamed,
          .retry_policy = repetition,
          .timeout = Milliseconds(kPatience / Milliseconds(1)),
          .latency_target = Milliseconds(500),
          .gap_target = Milliseconds(300),
          .max_attempts = 3,
          .prompt_affinity = streamed,
          .shares = {{.service = ServiceId(service), .weight = 1}}};
}

// LastEvent returns the number of the last of a stream's whole events.
uint64_t LastEvent(std::string_view events) {
  constexpr std::string_view kId = "id: ";
  uint64_t last = 0;
  for (size_t at = events.find(kId); at != std::string_view::npos;
       at = events.find(kId, at + kId.size())) {
    ++last;
  }
  return last;
}

RegionId DrawRegion(std::mt19937_64& random) {
  return FleetZones()[random() % FleetZones().size()].region;
}

}  // namespace

std::vector<routes::Route> CallerRoutes(uint64_t seed) {
  std::vector<routes::Route> all = {
      MakeRoute("once", "plain", RetryPolicy::kNever),
      MakeRoute("again", "plain", RetryPolicy::kRetry),
      MakeRoute("stream", "engine", RetryPolicy::kNever),
      MakeRoute("resume", "engine", RetryPolicy::kResume)};
  std::mt19937_64 random(seed);
  all[random() % all.size()].allowed_regions = {DrawRegion(random)};
  return all;
}

std::vector<routes::Organisation> CallerOrganisations(uint64_t seed) {
  std::vector<routes::Organisation> all = {
      {.id = OrganisationId("o0"), .api_keys = {"k0"}},
      {.id = OrganisationId("o1"), .api_keys = {"k1"}}};
  std::mt19937_64 random(seed);
  random.discard(4);  // drawn for the routes
  const bool restricts = random() % 2 == 0;
  if (restricts) all[0].allowed_regions = {DrawRegion(random)};
  return all;
}

std::vector<routes::Service> CallerServices(uint64_t seed) {
  std::vector<routes::Service> all = {{.id = ServiceId("engine")},
                                      {.id = ServiceId("plain")}};
  routes::Service& limited = all[seed % all.size()];
  limited.cold_start = kColdStart;
  limited.cold_requests_per_second = kColdRate;
  return all;
}

Balancer::Balancer(World& shared, Fleet& under_test)
    : world(shared), fleet(under_test), misses(under_test.gateways.size(), 0) {
  this->AskAll();
}

void Balancer::AskAll() {
  for (size_t i = 0; i < this->misses.size(); ++i) {
    Ask(this->world, this->fleet.gateways[i].ready,
        {.method = "GET", .path = this->world.speech.readiness_path},
        kReadyInterval, [this, i](const CallResult& result) {
          this->misses[i] = result.status == 200 ? 0 : this->misses[i] + 1;
        });
  }
  After(this->world, kReadyInterval, [this] { this->AskAll(); });
}

size_t Balancer::Choose() {
  std::vector<size_t> ready;
  for (size_t i = 0; i < this->misses.size(); ++i) {
    if (this->misses[i] < kMissesToLeave) ready.push_back(i);
  }
  const bool few = ready.size() * 2 < this->misses.size();
  if (few) return this->world.Below(this->misses.size());
  return ready[this->world.Below(ready.size())];
}

Caller::Caller(World& shared, Fleet& under_test, Balancer& entry, size_t number)
    : world(shared),
      fleet(under_test),
      balancer(entry),
      index(number),
      limit(shared.loop) {
  this->Next();
}

void Caller::Next() {
  After(this->world, milliseconds(this->world.Below(kMostThinkMs)), [this] {
    if (this->world.ending) return;
    const bool kept = this->connection != nullptr &&
                      !this->connection->closed() && !this->told_close;
    if (kept) return this->Send();
    this->Drop();
    this->Open();
  });
}

void Caller::Open() {
  this->gateway = this->balancer.Choose();
  const net::SocketAddress to{
      .ip = "127.0.0.1",
      .port = this->fleet.gateways[this->gateway].relay->port()};
  web::Connect(
      this->world.loop, to, kConnectLimit,
      [this](std::shared_ptr<web::Connection> opened, web::ConnectEnd) {
        if (opened == nullptr) return this->Next();
        this->connection = std::move(opened);
        this->connection->Start([this] { this->Read(); },
                                [this](web::End) { this->OnEnd(); });
        this->Send();
      });
}

void Caller::NoteBreak(const RequestId& id) {
  constexpr std::string_view kEventEnd = "\n\n";
  constexpr int kMostTakeUps = 3;
  const SentRequest& sent = this->world.ledger.requests.at(id).sent;
  const size_t end = this->answer.body.rfind(kEventEnd);
  const bool has_events =
      this->answer.status == 200 && end != std::string::npos;
  if (sent.repetition != RetryPolicy::kResume) return;
  if (!has_events && !sent.begun_by) return;
  if (!sent.begun_by) this->take_ups_left = kMostTakeUps;
  if (this->take_ups_left-- == 0) return;
  this->broken_stream = sent;
  this->broken_stream->begun_by = sent.begun_by.value_or(id);
  if (!has_events) return;
  this->broken_stream->received +=
      this->answer.body.substr(0, end + kEventEnd.size());
}

SentRequest Caller::MakeRequest() {
  if (this->broken_stream) {
    SentRequest again = *std::exchange(this->broken_stream, std::nullopt);
    again.gateway = this->gateway;
    return again;
  }
  const uint64_t seed = this->world.options.seed;
  const std::vector<routes::Route> all = CallerRoutes(seed);
  const std::vector<routes::Organisation> organisations =
      CallerOrganisations(seed);
  const routes::Organisation& organisation =
      organisations[this->index % organisations.size()];
  const routes::Route& route = all[this->world.Below(all.size())];
  const std::string number = std::to_string(this->sent);
  return {.gateway = this->gateway,
          .target =
              route.path_prefix + number + "?of=" + std::to_string(this->index),
          .body = std::string(this->world.Below(2000), 'b') + number,
          .organisation = organisation.id,
          .service = route.shares.front().service,
          .route_regions = route.allowed_regions,
          .organisation_regions = organisation.allowed_regions,
          .repetition = route.retry_policy,
          .streamed = route.streamed};
}

void Caller::Send() {
  const RequestId id("s" + std::to_string(this->world.options.seed) + "-" +
                     std::to_string(this->index) + "-" +
                     std::to_string(++this->sent));
  const SentRequest request = this->MakeRequest();
  this->waiting_for = id;
  this->answer = {};
  this->head_taken = false;
  this->reader = std::make_unique<web::AnswerReader>();
  const bool leaves = this->world.Below(kLeavesOneIn) == 0;
  this->limit.expires_after(
      leaves ? milliseconds(this->world.Below(kMostLeaveMs)) : kOverdueAfter);
  this->limit.async_wait([this, leaves](const auto& stopped) {
    if (!stopped) this->OnLimit(leaves);
  });
  this->connection->Send(this->world.speech.encode_request(
      {.id = id,
       .host = kHost,
       .target = request.target,
       .api_key = "k" + std::to_string(this->index % 2),
       .patience = kPatience,
       .streamed = request.streamed,
       .begun_by = request.begun_by,
       .after = LastEvent(request.received),
       .body = request.body}));
  NoteSent(this->world.ledger, id, request, Now());
}

void Caller::Read() {
  if (!this->waiting_for) {
    this->world.ledger.oddities.push_back(
        "bytes on a connection on which no request waits, at caller " +
        std::to_string(this->index));
    return this->Drop();
  }
  const web::ReadState state = this->reader->Feed(&this->connection->input());
  const bool readable =
      state == web::ReadState::kMore || state == web::ReadState::kWhole;
  if (!readable) {
    this->world.ledger.oddities.push_back("an answer that is not HTTP, to " +
                                          this->waiting_for->value);
    return this->Finish(CallerEnd::kBroken);
  }
  if (!this->reader->head_done()) return;
  if (!std::exchange(this->head_taken, true)) {
    const web::Headers headers = this->reader->TakeHeaders();
    this->answer.status = this->reader->status();
    this->answer.sealed = this->world.speech.is_sealed(headers);
    this->told_close = net::FindHeader(headers, "connection") == "close";
  }
  this->answer.body += this->reader->TakeBody();
  if (state == web::ReadState::kWhole) this->Finish(CallerEnd::kAnswered);
}

void Caller::OnEnd() {
  if (this->waiting_for) return this->Finish(CallerEnd::kBroken);
  this->Drop();
}

void Caller::OnLimit(bool leaves) {
  if (!this->waiting_for) return;
  this->Finish(leaves ? CallerEnd::kLeft : CallerEnd::kOverdue);
}

void Caller::Finish(CallerEnd end) {
  this->limit.cancel();
  this->answer.end = end;
  NoteAnswer(this->world.ledger, *this->waiting_for, this->answer, Now());
  const bool is_whole = end == CallerEnd::kAnswered && this->answer.sealed;
  if (!is_whole) this->NoteBreak(*this->waiting_for);
  this->waiting_for.reset();
  if (end != CallerEnd::kAnswered) this->Drop();
  this->Next();
}

void Caller::Drop() {
  if (this->connection != nullptr) this->connection->Close();
  this->connection.reset();
  this->told_close = false;
}

}  // namespace samphirebank::soak
