#include "samphirebank/emulator/internal/target.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "samphirebank/relay/relay.h"

namespace samphirebank::emulator {
namespace {

using settings::Fault;

constexpr Duration kShortestPause = std::chrono::milliseconds(1);
constexpr char kStrayNonce[] = "stray";
constexpr char kEventStream[] = "text/event-stream";
constexpr int kStaleOrder = 409;
constexpr int kUnavailable = 503;

std::string HeaderOr(const net::RequestHead& head, std::string_view name) {
  return net::FindHeader(head.headers, name).value_or("");
}

// NumberOr returns a header's number; 0 without one.
uint64_t NumberOr(const net::RequestHead& head, std::string_view name) {
  const std::string text = HeaderOr(head, name);
  uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

uint32_t ResumeAfter(const net::RequestHead& head) {
  return static_cast<uint32_t>(NumberOr(head, relay::kResumeHeader));
}

std::string ModelsBody(const settings::EmulatorSettings& settings) {
  nlohmann::ordered_json data = nlohmann::ordered_json::array();
  for (const settings::EmulatedService& service : settings.services) {
    if (!service.model) continue;
    data.push_back({{"id", service.service.value}, {"object", "model"}});
  }
  return nlohmann::ordered_json{{"object", "list"}, {"data", data}}.dump();
}

bool IsCompletion(const std::string& path) {
  return path == "/v1/chat/completions" || path == "/v1/completions";
}

}  // namespace

Target::Target(
    net::Loop& event_loop,
    std::shared_ptr<const settings::EmulatorSettings> target_settings,
    TargetId target, std::shared_ptr<RunsFile> runs_file)
    : loop(event_loop),
      settings(std::move(target_settings)),
      id(std::move(target)),
      runs(std::move(runs_file)) {
  this->port = this->loop.Listen(
      {.address = this->settings->address,
       .on_request = [this](const std::shared_ptr<net::ServerStream>& stream) {
         this->OnRequest(stream);
       }});
  this->announcer = std::make_unique<Announcer>(
      this->loop, this->settings, this->id,
      net::SocketAddress{.ip = this->settings->address, .port = this->port},
      [this] { return this->CurrentLoad(); });
}

Target::~Target() { *this->alive = false; }

void Target::Later(Duration delay, const RunPointer& run,
                   std::function<void()> action) {
  this->loop.After(delay,
                   [run, living = this->alive, action = std::move(action)] {
                     if (*living && !run->ended) action();
                   });
}

Load Target::CurrentLoad() const {
  return Load{.running = static_cast<uint32_t>(this->running.size()),
              .waiting = static_cast<uint32_t>(this->waiting.size())};
}

void Target::Leave(std::function<void()> done) {
  this->announcer->Leave();
  this->on_idle = std::move(done);
  if (this->running.empty() && this->waiting.empty()) this->on_idle();
}

void Target::OnRequest(const std::shared_ptr<net::ServerStream>& stream) {
  const net::RequestHead& head = stream->head();
  if (head.path == "/v1/models") {
    stream->Reply({.body = ModelsBody(*this->settings)});
    return;
  }
  auto run = std::make_shared<Run>();
  run->stream = stream;
  run->record = {.target = this->id,
                 .request = RequestId(HeaderOr(head, relay::kRequestIdHeader)),
                 .idempotency_key = HeaderOr(head, "idempotency-key"),
                 .nonce = head.path};
  ++this->requests;
  const bool faulty = this->requests % this->settings->fault_every == 0;
  if (faulty) run->fault = this->settings->fault;
  stream->on_body = [run](std::string_view piece) { run->body += piece; };
  stream->on_body_end = [this, run] { this->OnBody(run); };
  stream->on_closed = [this, run, living = this->alive](net::CloseReason) {
    if (*living) this->End(run, "cut");
  };
}

// TakeFence returns false for an order that a newer one has overtaken.
bool Target::TakeFence(const net::RequestHead& head) {
  if (!this->settings->checks_fencing) return true;
  uint64_t& newest = this->fences[HeaderOr(head, relay::kFenceScopeHeader)];
  const uint64_t number = NumberOr(head, relay::kFenceHeader);
  if (number < newest) return false;
  newest = number;
  return true;
}

void Target::Refuse(const RunPointer& run, int status,
                    const std::string& reason) {
  run->ended = true;
  run->stream->Reply(
      {.status = status,
       .body = nlohmann::ordered_json{{"error", reason}}.dump(),
       .headers = {{std::string(relay::kNotRunHeader), "true"}}});
}

void Target::OnBody(const RunPointer& run) {
  const net::RequestHead& head = run->stream->head();
  if (!this->TakeFence(head)) {
    this->Refuse(run, kStaleOrder, "stale fencing number");
    return;
  }
  if (run->fault == Fault::kRefuse) {
    this->Refuse(run, kUnavailable, "refused before running");
    return;
  }
  if (IsCompletion(head.path)) {
    std::optional<CompletionRequest> request =
        ParseCompletion(head.path, run->body);
    if (!request) {
      run->ended = true;
      run->stream->Reply(
          {.status = 400, .body = R"({"error": "not a completion request"})"});
      return;
    }
    run->record.nonce = request->nonce;
    if (run->fault == Fault::kWrongId) request->nonce = kStrayNonce;
    run->completion = PlanAnswer(std::move(*request), this->settings->seed);
    run->next_event = ResumeAfter(head);
  }
  this->waiting.push_back(run);
  this->StartNext();
}

void Target::StartNext() {
  while (!this->waiting.empty() &&
         this->running.size() < this->settings->slots) {
    const RunPointer run = this->waiting.front();
    this->waiting.pop_front();
    this->running.insert(run);
    this->Start(run);
  }
}

void Target::Start(const RunPointer& run) {
  run->running = true;
  run->started = net::Loop::Now();
  ++this->counts.started;
  run->record.state = "started";
  this->runs->Append(run->record);
  if (run->fault == Fault::kHang) return;
  if (run->fault != Fault::kDelay) {
    this->Answer(run);
    return;
  }
  this->Later(this->settings->fault_delay, run,
              [this, run] { this->Answer(run); });
}

void Target::Answer(const RunPointer& run) {
  if (!run->completion) {
    this->AnswerAtOnce(run);
  } else if (run->completion->request.stream) {
    std::vector<net::Header> headers = this->Headers(*run);
    headers.push_back({"content-type", kEventStream});
    run->stream->SendHead(200, std::move(headers), std::nullopt);
    this->SendDueEvents(run);
  } else {
    const uint32_t rate = this->settings->tokens_per_second;
    const Duration needed = rate == 0 ? Duration::zero()
                                      : Duration(std::chrono::seconds(1)) *
                                            run->completion->tokens / rate;
    if (needed < kShortestPause) {
      this->AnswerAtOnce(run);
      return;
    }
    this->Later(needed, run, [this, run] { this->AnswerAtOnce(run); });
  }
}

void Target::AnswerAtOnce(const RunPointer& run) {
  const std::string text =
      run->completion ? AnswerBody(*run->completion) : this->ServiceBody(*run);
  std::vector<net::Header> headers = this->Headers(*run);
  headers.push_back({"content-type", "application/json"});
  run->stream->SendHead(200, std::move(headers),
                        Bytes(static_cast<int64_t>(text.size())));
  if (!this->SendPiece(run, text)) return;
  run->stream->Finish();
  this->End(run, "ended");
}

std::string Target::ServiceBody(const Run& run) const {
  const nlohmann::ordered_json body = {{"target", this->id.value},
                                       {"path", run.stream->head().path},
                                       {"echo", run.body}};
  return body.dump(-1, ' ', false,
                   nlohmann::ordered_json::error_handler_t::replace);
}

uint32_t Target::EventsDue(const Run& run) const {
  const uint32_t all = EventCount(*run.completion) - run.next_event;
  if (this->settings->tokens_per_second == 0) return all;
  const std::chrono::duration<double> passed = net::Loop::Now() - run.started;
  const double due =
      passed.count() * this->settings->tokens_per_second + 1 - run.events_sent;
  return due <= 0 ? 0 : std::min(all, static_cast<uint32_t>(due));
}

void Target::SendDueEvents(const RunPointer& run) {
  for (uint32_t due = this->EventsDue(*run); due > 0; --due) {
    const std::string event = EventAt(*run->completion, run->next_event);
    ++run->next_event;
    ++run->events_sent;
    if (!this->SendPiece(run, event)) return;
  }
  if (run->next_event >= EventCount(*run->completion)) {
    run->stream->Finish();
    this->End(run, "ended");
    return;
  }
  const Duration pause =
      Duration(std::chrono::seconds(1)) / this->settings->tokens_per_second;
  this->Later(std::max(pause, kShortestPause), run,
              [this, run] { this->SendDueEvents(run); });
}

// SendPiece returns false when a fault ended the answer.
bool Target::SendPiece(const RunPointer& run, std::string piece) {
  const bool limited =
      run->fault == Fault::kCut || run->fault == Fault::kSilence;
  const int64_t room =
      static_cast<int64_t>(this->settings->fault_bytes) - run->bytes_sent;
  const bool stops = limited && static_cast<int64_t>(piece.size()) > room;
  if (stops) piece.resize(std::max<int64_t>(room, 0));
  run->bytes_sent += static_cast<int64_t>(piece.size());
  run->stream->Send(piece);
  if (!stops) return true;
  if (run->fault == Fault::kCut) {
    run->stream->Abort();
    this->End(run, "cut");
  }
  return false;
}

void Target::End(const RunPointer& run, const std::string& state) {
  if (run->ended) return;
  run->ended = true;
  const auto queued =
      std::find(this->waiting.begin(), this->waiting.end(), run);
  if (queued != this->waiting.end()) this->waiting.erase(queued);
  if (run->running) {
    ++(state == "ended" ? this->counts.ended : this->counts.cut);
    run->record.state = state;
    this->runs->Append(run->record);
    this->running.erase(run);
  }
  this->StartNext();
  const bool idle = this->running.empty() && this->waiting.empty();
  if (idle && this->on_idle) this->on_idle();
}

std::vector<net::Header> Target::Headers(const Run& run) const {
  const bool wrong = run.fault == Fault::kWrongId;
  const std::string request =
      wrong ? std::string(kStrayNonce) : run.record.request.value;
  if (request.empty()) return {};
  return {{std::string(relay::kRequestIdHeader), request}};
}

}  // namespace samphirebank::emulator
