// A request before its first send, and how it ends.
#include "samphirebank/gateway/internal/exchange.h"

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string>
#include <utility>

#include "samphirebank/gateway/internal/server.h"
#include "samphirebank/gateway/internal/session.h"
#include "samphirebank/process/process.h"

namespace samphirebank::gateway {
namespace {

using boost::system::error_code;
using events::Number;
using process::Now;

// A caller that is refused comes back after a time between these, so that
// those refused together do not come back together.
constexpr Duration kEarliestReturn = std::chrono::milliseconds(200);
constexpr Duration kLatestReturn = std::chrono::milliseconds(600);

uint64_t SeedOf(const dialect::Call& call) {
  return XXH64(call.id.value.data(), call.id.value.size(), 0);
}

// AttemptSeed differs between the attempts of a caller that keeps the id.
uint64_t AttemptSeed(const dialect::Call& call, TimePoint now) {
  return XXH64(call.id.value.data(), call.id.value.size(),
               static_cast<uint64_t>(now.time_since_epoch().count()));
}

Duration SoonAgain(uint64_t seed) {
  constexpr uint64_t kSteps = 1000;
  return kEarliestReturn +
         (kLatestReturn - kEarliestReturn) * (seed % kSteps) / kSteps;
}

// SecondsText writes a time as seconds with three decimals.
std::string SecondsText(Duration span) {
  const std::chrono::duration<double> seconds = span;
  const std::string text = std::to_string(seconds.count());
  return text.substr(0, text.find('.') + 4);
}

// RefusalText says why admission refused a prompt.
std::string RefusalText(admission::Decision decision,
                        const ChosenTarget& chosen, const Share& share) {
  const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(
      chosen.wait + chosen.again);
  const std::string shares =
      "; the organisation used " + std::to_string(share.used) +
      " tokens/s of a fair share of " + std::to_string(share.levels.nominal);
  if (decision == admission::Decision::kRefusedAhead) {
    return "served " + std::to_string(share.standing.ratio) +
           " times its part while another organisation is refused" + shares;
  }
  return "targets busy for " + std::to_string(wait.count()) + " ms" + shares;
}

web::Answer Problem(int status, const std::string& outcome,
                    const std::string& reason, web::Headers headers) {
  headers.push_back({"content-type", "application/problem+json"});
  return {.status = status,
          .headers = std::move(headers),
          .body = "{\"status\":" + std::to_string(status) + ",\"outcome\":\"" +
                  outcome + "\",\"detail\":\"" + reason + "\"}\n"};
}

}  // namespace

Exchange::Exchange(Server& owner, Session& caller, web::Request given)
    : server(owner),
      session(caller),
      request(std::move(given)),
      body(std::make_shared<const std::string>(std::move(request.body))),
      limit_timer(owner.loop()),
      begun_at(Now()) {
  this->server.NoteExchangeBegun();
}

bool Exchange::DecodeCall() {
  this->server.NoteRequest();
  dialect::DecodedCall decoded = this->server.dialect().decode_call(
      {.method = this->request.method,
       .target = this->request.target,
       .headers = std::move(this->request.headers)});
  this->call = std::move(decoded.call);
  if (decoded.findings.empty()) return true;
  this->Refuse(400, "the request's fields are malformed");
  return false;
}

void Exchange::RefuseForMemory() {
  if (!this->DecodeCall()) return;
  this->server.NoteRefusedForMemory();
  this->RefuseForNow("too large requests are held");
}

void Exchange::Start() {
  if (!this->DecodeCall()) return;
  if (!this->Admit()) return;
  if (this->StopIfQuarantined()) return;
  this->arrived = true;
  this->server.NoteArrival(this->organisation, this->TokensOf());
  if (this->Shed()) return;
  this->StartLimit();
  this->server.NoteServiceRequest(this->service);
  if (this->TakesUpStream()) return this->LookUpOrigin();
  this->SendToTarget();
}

// TokensOf is what a prompt counts against its organisation's share: a token
// generated costs as much as two that are read.
Tokens Exchange::TokensOf() const {
  const dialect::Prompt& prompt = this->call.prompt;
  const Tokens out =
      prompt.expected_tokens_out.value_or(prompt.most_tokens_out);
  return prompt.tokens_in + out + out;
}

bool Exchange::AdmitPrompt(const ChosenTarget& chosen) {
  const bool judged = !this->admitted && this->progress.num_sends == 0 &&
                      this->progress.connect_failures == 0 &&
                      this->call.prompt.tokens_in > Tokens(0);
  if (!judged) return true;
  const Share share = this->server.ShareOf(this->organisation, Now());
  const admission::Options& options = this->server.admission_options();
  const uint64_t seed = SeedOf(this->call);
  const admission::Decision decision = admission::Decide(
      options, {.latency_target = this->route->latency_target,
                .wait = chosen.wait + chosen.again,
                .mean_wait = chosen.mean_wait,
                .used = share.used,
                .fair_shares = share.levels,
                .standing = share.standing,
                .over_ceiling = share.over_ceiling,
                .draw = admission::Draw(AttemptSeed(this->call, Now()))});
  this->server.NoteAdmission(decision);
  if (admission::IsAdmitted(decision)) {
    this->admitted = true;
    this->server.NoteAdmitted(this->organisation, this->TokensOf());
    return true;
  }
  this->refusal = decision == admission::Decision::kRefusedAhead
                      ? accounting::Refusal::kAhead
                      : accounting::Refusal::kBusy;
  this->RefuseForNow(
      RefusalText(decision, chosen, share),
      admission::RetryAfter(options, share.used, share.levels.nominal, seed));
  return false;
}

bool Exchange::Admit() {
  if (!this->server.takes_requests(this->begun_at)) {
    this->RefuseForNow("this instance shuts down");
    return false;
  }
  this->index = this->server.index();
  if (this->index == nullptr) {
    this->RefuseForNow("no route table is known yet");
    return false;
  }
  this->route = routes::FindRoute(*this->index, this->call.host,
                                  dialect::Path(this->call));
  if (this->route == nullptr) {
    this->Refuse(404, "no route has this host and path");
    return false;
  }
  if (!this->FindOrganisation()) {
    this->Refuse(401, "the API key is unknown");
    return false;
  }
  const uint64_t seed = SeedOf(this->call);
  this->service = routes::PickService(*this->route, seed);
  this->work = dispatch::MakeRequestProfile(this->call.prompt, seed);
  this->work.service = this->service;
  for (const dialect::PromptPart& part : this->call.prompt.parts) {
    this->prompt_parts.emplace_back(part.id);
  }
  this->progress.repetition = this->route->retry_policy;
  this->progress.max_attempts =
      std::max<uint32_t>(this->route->max_attempts, 1);
  this->stream.last_event_id = this->call.after;
  return true;
}

// Shed refuses the request at once if this instance is overloaded. The refusal
// says when to come back, which other instances then take.
bool Exchange::Shed() {
  const uint64_t seed = SeedOf(this->call);
  if (!this->server.ShouldShed(this->organisation, seed, this->begun_at)) {
    return false;
  }
  this->refusal = accounting::Refusal::kOverloaded;
  this->RefuseForNow("this instance is overloaded",
                     this->server.ShedRetryAfter(seed));
  return true;
}

// StopIfQuarantined ends a request that has a prompt part in quarantine.
bool Exchange::StopIfQuarantined() {
  const auto left = this->server.QuarantineLeft(this->prompt_parts, Now());
  if (!left) return false;
  if (this->sending) this->EndSending(dispatch::HealthResult::kIgnored);
  const std::string reason = "a part of the prompt makes targets crash";
  if (this->progress.response_started) {
    this->Cut(reason);
  } else if (this->progress.may_have_run) {
    this->FailUnknown(502, reason);
  } else {
    this->RefuseForNow(reason, left);
  }
  return true;
}

void Exchange::OnQuarantine() {
  const bool waits = !this->ended && this->sending &&
                     this->sending->connection != nullptr &&
                     !this->sending->first_piece_at;
  if (!waits) return;
  const bool could_run = this->progress.may_have_run;
  this->progress.may_have_run = true;
  if (!this->StopIfQuarantined()) this->progress.may_have_run = could_run;
}

bool Exchange::FindOrganisation() {
  const auto* found =
      routes::FindOrganisation(*this->index, this->call.api_key);
  if (found != nullptr) this->organisation = found->id;
  const bool needed =
      this->index->table.keys_required && !this->route->allows_anonymous;
  return found != nullptr || !needed;
}

void Exchange::StartLimit() {
  this->time_limit = this->route->timeout;
  if (this->call.patience) {
    this->time_limit = std::min(this->time_limit, *this->call.patience);
  }
  this->limit_timer.expires_at(this->begun_at + this->time_limit);
  this->limit_timer.async_wait(
      [weak = this->weak_from_this()](const error_code& stopped) {
        const auto self = weak.lock();
        if (!stopped && self != nullptr && !self->ended) self->OnLimit();
      });
}

void Exchange::OnLimit() {
  this->EndUnanswered("time limit", dispatch::HealthResult::kFailure);
}

void Exchange::OnShutdown() {
  if (this->ended) return;
  this->EndUnanswered("this instance shuts down",
                      dispatch::HealthResult::kIgnored);
}

void Exchange::EndUnanswered(const std::string& reason,
                             dispatch::HealthResult target_result) {
  const bool sent = this->sending && this->sending->connection != nullptr;
  if (sent) this->progress.may_have_run = true;
  if (this->sending) {
    this->EndSending(sent ? target_result : dispatch::HealthResult::kIgnored);
  }
  if (this->progress.response_started) return this->Cut(reason);
  if (!this->progress.may_have_run) return this->RefuseForNow(reason);
  this->FailUnknown(504, reason);
}

void Exchange::CallerLeft() {
  if (this->ended) return;
  events::Event event = this->EventOf(Number::kCallerLeft);
  if (this->sending) this->EndSending(dispatch::HealthResult::kIgnored);
  events::Log(event);
  this->server.NoteOutcome(Outcome::kCallerLeft, this->Elapsed());
  this->Close();
}

void Exchange::Complete() {
  events::Event event = this->EventOf(Number::kRequestAnswered);
  event.status = this->sending->status;
  event.outcome = "ran";
  event.bytes = Bytes(this->bytes_passed);
  events::Log(event);
  this->server.NoteOutcome(
      Outcome::kServed, this->first_answer_at.value_or(Now()) - this->begun_at);
  this->ReleaseConnection();
  this->EndSending(dispatch::HealthResult::kSuccess);
  this->Close();
}

void Exchange::PassOn() {
  events::Event event = this->EventOf(Number::kRequestAnswered);
  event.status = this->sending->status;
  event.outcome = "ran";
  events::Log(event);
  this->server.NoteOutcome(Outcome::kFailedByTarget, this->Elapsed());
  const web::Answer answer{.status = this->sending->status,
                           .headers = this->sending->head.passed_on,
                           .body = std::move(this->sending->body)};
  constexpr int kFirstServerError = 500;
  this->EndSending(answer.status >= kFirstServerError
                       ? dispatch::HealthResult::kFailure
                       : dispatch::HealthResult::kSuccess);
  this->Close();
  this->session.Reply(answer);
}

void Exchange::Refuse(int status, const std::string& reason) {
  events::Event event = this->EventOf(Number::kRequestRefused);
  event.status = status;
  event.outcome = "not-run";
  event.reason = reason;
  events::Log(event);
  this->server.NoteOutcome(Outcome::kRefused, this->Elapsed());
  this->Close();
  this->session.Reply(Problem(status, "not-run", reason,
                              this->server.dialect().own_headers(this->call)));
}

void Exchange::RefuseForNow(const std::string& reason,
                            std::optional<Duration> return_after) {
  const Tokens tokens = this->arrived ? this->TokensOf() : Tokens(0);
  this->server.NoteRefused(this->organisation, this->refusal, tokens);
  events::Event event = this->EventOf(Number::kRequestRefused);
  event.status = 503;
  event.outcome = "not-run";
  event.reason = reason;
  events::Log(event);
  this->server.NoteOutcome(Outcome::kRefused, this->Elapsed());
  web::Headers headers = this->server.dialect().own_headers(this->call);
  const Duration after = return_after.value_or(SoonAgain(SeedOf(this->call)));
  headers.push_back({"retry-after", SecondsText(after)});
  this->Close();
  this->session.Reply(Problem(503, "not-run", reason, std::move(headers)));
}

void Exchange::FailUnknown(int status, const std::string& reason) {
  events::Event event = this->EventOf(Number::kRequestCut);
  event.outcome = "unknown";
  event.reason = reason;
  events::Log(event);
  this->server.NoteOutcome(Outcome::kUnknown, this->Elapsed());
  this->Close();
  this->session.Reply(Problem(status, "unknown", reason,
                              this->server.dialect().own_headers(this->call)));
}

void Exchange::Cut(const std::string& reason) {
  events::Event event = this->EventOf(Number::kRequestCut);
  event.outcome = "unknown";
  event.reason = reason;
  event.bytes = Bytes(this->bytes_passed);
  events::Log(event);
  this->server.NoteOutcome(Outcome::kCut, this->Elapsed());
  this->Close();
  this->session.Cut();
}

void Exchange::Close() {
  if (!this->ended) this->server.NoteExchangeEnded();
  this->ended = true;
  this->limit_timer.cancel();
}

Duration Exchange::Elapsed() const { return Now() - this->begun_at; }

events::Event Exchange::EventOf(events::Number number) const {
  events::Event event{.number = number,
                      .request = this->call.id,
                      .organisation = this->organisation,
                      .service = this->service,
                      .duration = this->Elapsed(),
                      .count = this->progress.num_sends};
  event.target = this->last_target;
  return event;
}

}  // namespace samphirebank::gateway
