#include "samphirebank/emulator/internal/load.h"

#include <algorithm>
#include <functional>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <utility>

#include "samphirebank/emulator/emulator.h"
#include "samphirebank/emulator/internal/answer.h"

namespace samphirebank::emulator {
namespace {

constexpr int kMaxAttempts = 4;
constexpr Duration kResendPause = std::chrono::milliseconds(100);

double Milliseconds(Duration span) {
  return std::chrono::duration<double, std::milli>(span).count();
}

// Sending is one request of an organisation until its end.
struct Sending {
  size_t organisation = 0;  // index
  std::string nonce;
  bool stream = false;
  int attempt = 0;
  size_t router = 0;  // index
  TimePoint began;
  // Of the running attempt:
  int status = 0;
  std::string body;
  std::optional<TimePoint> first_byte;
  TimePoint last_byte;
};

// Generator sends the mixes' requests and tallies what comes back.
class Generator {
 public:
  Generator(const settings::LoadSettings& load_settings,
            std::vector<OrganisationMix> organisation_mixes)
      : settings(load_settings),
        mixes(std::move(organisation_mixes)),
        random(load_settings.seed) {
    for (const OrganisationMix& mix : this->mixes) {
      this->tallies.push_back({.organisation = mix.organisation});
    }
  }

  std::vector<Tally> Run() {
    this->ends = net::Loop::Now() + this->settings.length;
    for (size_t i = 0; i < this->mixes.size(); ++i) this->StartOrganisation(i);
    this->loop.Run();
    return this->tallies;
  }

 private:
  using SendingPointer = std::shared_ptr<Sending>;

  // StartOrganisation starts one chain of requests for each one in flight;
  // the chains share the organisation's rate evenly.
  void StartOrganisation(size_t index) {
    const OrganisationMix& mix = this->mixes[index];
    this->chains += mix.concurrency;
    for (uint32_t i = 0; i < mix.concurrency; ++i) {
      const Duration offset = this->Pace(mix) * i / mix.concurrency;
      this->loop.After(offset, [this, index] { this->SendNext(index); });
    }
  }

  Duration Pace(const OrganisationMix& mix) const {
    if (mix.requests_per_second <= 0) return Duration::zero();
    const std::chrono::duration<double> span(mix.concurrency /
                                             mix.requests_per_second);
    return std::chrono::duration_cast<Duration>(span);
  }

  void SendNext(size_t index) {
    const bool over =
        this->sent >= this->settings.requests || net::Loop::Now() >= this->ends;
    if (over) {
      if (--this->chains == 0) this->loop.Stop();
      return;
    }
    const OrganisationMix& mix = this->mixes[index];
    auto sending = std::make_shared<Sending>();
    sending->organisation = index;
    sending->nonce = mix.organisation.value + "." +
                     std::to_string(this->settings.seed) + "." +
                     std::to_string(this->sent++);
    sending->stream = mix.model && this->Draw() < mix.streaming_share;
    sending->router = this->sent % this->settings.routers.size();
    sending->began = net::Loop::Now();
    ++this->tallies[index].sent;
    this->Attempt(sending);
  }

  double Draw() {
    return std::uniform_real_distribution<double>(0, 1)(this->random);
  }

  void Attempt(const SendingPointer& sending) {
    ++sending->attempt;
    sending->status = 0;
    sending->body.clear();
    sending->first_byte.reset();
    const auto& routers = this->settings.routers;
    this->loop.Call(
        {.to = routers[sending->router % routers.size()],
         .method = "POST",
         .path = this->Path(*sending),
         .headers = this->Headers(*sending),
         .body = this->Body(*sending),
         .first_byte_timeout = this->settings.patience,
         .idle_timeout = this->settings.patience,
         .on_head =
             [sending](int status, const std::vector<net::Header>&) {
               sending->status = status;
             },
         .on_data =
             [this, sending](std::string_view piece) {
               this->OnPiece(*sending, piece);
             },
         .on_end = [this, sending] { this->OnEnd(sending); },
         .on_error =
             [this, sending](const net::CallError& error) {
               this->OnBroken(sending, error.detail);
             }});
  }

  void OnPiece(Sending& sending, std::string_view piece) {
    const TimePoint now = net::Loop::Now();
    if (!sending.first_byte) {
      sending.first_byte = now;
    } else if (sending.stream) {
      this->tallies[sending.organisation].token_gap_ms.push_back(
          Milliseconds(now - sending.last_byte));
    }
    sending.last_byte = now;
    sending.body += piece;
  }

  std::string Path(const Sending& sending) const {
    const OrganisationMix& mix = this->mixes[sending.organisation];
    if (mix.model) return "/v1/chat/completions";
    return "/services/" + mix.service.value + "/call";
  }

  std::vector<net::Header> Headers(const Sending& sending) const {
    const OrganisationMix& mix = this->mixes[sending.organisation];
    std::vector<net::Header> headers = {{"authorization", "Bearer " + mix.key},
                                        {"content-type", "application/json"}};
    if (!mix.model) headers.push_back({"idempotency-key", sending.nonce});
    return headers;
  }

  std::string Body(const Sending& sending) const {
    const OrganisationMix& mix = this->mixes[sending.organisation];
    if (!mix.model) return sending.nonce;
    nlohmann::ordered_json body = {
        {"model", mix.service.value},
        {"messages", {{{"role", "user"}, {"content", sending.nonce}}}},
        {"stream", sending.stream}};
    if (mix.max_tokens > 0) body["max_tokens"] = mix.max_tokens;
    return body.dump();
  }

  void OnEnd(const SendingPointer& sending) {
    Tally& tally = this->tallies[sending->organisation];
    if (sending->status == 200) {
      this->OnAnswer(sending, &tally);
      return;
    }
    ++tally.refused[std::to_string(sending->status) + " " +
                    this->OutcomeOf(*sending)];
    this->Continue(sending);
  }

  // OutcomeOf reads the outcome that a refusal states.
  std::string OutcomeOf(const Sending& sending) const {
    const auto body = nlohmann::json::parse(sending.body, nullptr, false);
    const bool stated = body.is_object() && body.contains("outcome") &&
                        body["outcome"].is_string();
    return stated ? body["outcome"].get<std::string>() : "no outcome stated";
  }

  void OnAnswer(const SendingPointer& sending, Tally* tally) {
    uint64_t tokens = 0;
    if (!this->IsOwnAnswer(*sending, &tokens)) {
      this->OnBroken(sending, "a wrong or cut answer");
      return;
    }
    const TimePoint now = net::Loop::Now();
    ++tally->answered;
    if (sending->stream) ++tally->streamed;
    tally->tokens += tokens;
    tally->whole_ms.push_back(Milliseconds(now - sending->began));
    tally->first_byte_ms.push_back(
        Milliseconds(sending->first_byte.value_or(now) - sending->began));
    this->Continue(sending);
  }

  bool IsOwnAnswer(const Sending& sending, uint64_t* tokens) const {
    if (!this->mixes[sending.organisation].model) {
      const auto body = nlohmann::json::parse(sending.body, nullptr, false);
      return body.is_object() && body.value("echo", "") == sending.nonce;
    }
    const auto received = ReadAnswer(sending.body, sending.stream);
    if (!received || !IsWhole(*received, sending.nonce)) return false;
    *tokens = received->tokens;
    return true;
  }

  // OnBroken resends: completions may be repeated, and service calls carry an
  // Idempotency-Key.
  void OnBroken(const SendingPointer& sending, const std::string& reason) {
    Tally& tally = this->tallies[sending->organisation];
    if (sending->attempt < kMaxAttempts) {
      ++tally.resent;
      ++sending->router;
      this->loop.After(kResendPause,
                       [this, sending] { this->Attempt(sending); });
      return;
    }
    ++tally.lost;
    tally.losses.push_back(sending->nonce + ": " + reason);
    this->Continue(sending);
  }

  void Continue(const SendingPointer& sending) {
    const size_t index = sending->organisation;
    const TimePoint due = sending->began + this->Pace(this->mixes[index]);
    const Duration wait =
        std::max(Duration::zero(), Duration(due - net::Loop::Now()));
    this->loop.After(wait, [this, index] { this->SendNext(index); });
  }

  const settings::LoadSettings& settings;
  std::vector<OrganisationMix> mixes;
  std::vector<Tally> tallies;
  std::mt19937_64 random;
  net::Loop loop;
  TimePoint ends;
  uint64_t sent = 0;
  uint64_t chains = 0;  // chains of requests that go on
};

}  // namespace

int RunLoad(const settings::LoadSettings& settings) {
  const auto text =
      settings::ProcessEnvironment().read_file(settings.organisations_file);
  Findings findings;
  std::vector<OrganisationMix> mixes = ParseMixes(text.value_or(""), &findings);
  if (!findings.empty()) {
    std::cerr << settings.organisations_file << ": " << findings.ToText();
    return settings::kExitBadSettings;
  }
  const std::vector<Tally> tallies =
      Generator(settings, std::move(mixes)).Run();
  std::cout << (settings.json ? Json(tallies) : Table(tallies));
  uint64_t lost = 0;
  for (const Tally& tally : tallies) lost += tally.lost;
  return lost == 0 ? 0 : 1;
}

}  // namespace samphirebank::emulator
