// What comes back from the target to which a request was sent.
#include <algorithm>
#include <chrono>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "samphirebank/gateway/internal/exchange.h"
#include "samphirebank/gateway/internal/server.h"
#include "samphirebank/gateway/internal/session.h"
#include "samphirebank/process/process.h"

namespace samphirebank::gateway {
namespace {

using dispatch::HealthResult;
using events::Number;
using forwarding::SendResult;
using process::Now;

// Answers to other requests that one connection may deliver first.
constexpr uint32_t kMostForeign = 3;
// Above it the target is read no further until the caller has caught up.
constexpr size_t kMostQueued = 256 << 10;

// Targets in trouble may send bytes without end. What is held back of one
// answer until it is whole, or of one event of a stream, is bounded by these.
constexpr size_t kMaxAnswerBytes = 4 << 20;
constexpr size_t kMaxEventBytes = 1 << 20;

bool IsInformational(int status) { return status >= 100 && status < 200; }

// These statuses promise that the request has not run.
bool IsPromise(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

// PartsText names the parts of a prompt, as callers do; the last is its own.
std::string PartsText(const std::vector<dialect::PromptPart>& parts) {
  if (parts.empty()) return "";
  std::ostringstream text;
  text << ", parts" << std::hex;
  for (const dialect::PromptPart& part : parts) text << ' ' << part.id;
  return text.str();
}

constexpr int kWrongTarget = 421;
constexpr int kUnavailable = 503;

}  // namespace

void Exchange::ReleaseBody() {
  const bool may_be_sent_again =
      this->progress.repetition != routes::RetryPolicy::kNever &&
      this->progress.num_sends < this->progress.max_attempts;
  const bool is_sent = this->sending->connection->queued() == 0;
  if (may_be_sent_again || !is_sent || !this->IsSuccess()) return;
  this->body = std::make_shared<const std::string>();
  this->session.ReleaseMemory();
}

void Exchange::OnAnswerData() {
  while (!this->ended && this->sending) {
    Sending& current = *this->sending;
    const web::ReadState state =
        current.reader->Feed(&current.connection->input());
    if (state == web::ReadState::kMalformed ||
        state == web::ReadState::kHeadTooLarge) {
      this->EndSending(HealthResult::kFailure);
      return this->Continue(SendResult::kIncomplete);
    }
    if (!current.head_seen && current.reader->head_done() &&
        !this->TakeHead()) {
      this->EndSending(HealthResult::kFailure);
      return this->Continue(SendResult::kIncomplete);
    }
    if (current.head_seen) this->TakeBody();
    if (this->HoldsTooMuch(state)) {
      this->EndSending(HealthResult::kFailure);
      return this->Continue(SendResult::kIncomplete);
    }
    if (state != web::ReadState::kWhole) return;
    if (!current.foreign) return this->OnAnswerWhole();
    this->NextAnswer();
  }
}

// TakeHead returns false when the connection can bring no answer to this
// request.
bool Exchange::TakeHead() {
  Sending& current = *this->sending;
  current.head_seen = true;
  current.status = current.reader->status();
  current.head =
      this->server.dialect().decode_answer(current.reader->TakeHeaders());
  current.foreign = IsInformational(current.status) ||
                    (!current.head.request.value.empty() &&
                     current.head.request != this->call.id);
  if (current.foreign) return ++current.foreign_seen <= kMostForeign;
  this->NoteTargetSaid();
  this->ReleaseBody();
  return true;
}

// NoteTargetSaid records what the answer's head says of the target itself.
void Exchange::NoteTargetSaid() {
  const Sending& current = *this->sending;
  const dialect::AnswerHead& head = current.head;
  const TimePoint now = Now();
  this->server.NoteAlive(
      quarantine::HashRun(current.target, current.run_started_at_ms),
      current.sent_at);
  dispatch::TargetTracker& book = this->server.book();
  if (head.load) {
    dispatch::RecordLoadReport(book, current.target, *head.load, now);
  }
  if (head.leaving) {
    this->server.NoteLeaving(current.target, current.run_started_at_ms);
  }
  this->server.NoteStatedLimit(current.target, current.run_started_at_ms,
                               head.requests_per_second);
  if (head.retry_after && current.status == kUnavailable) {
    dispatch::RecordPause(book, current.target, current.run_started_at_ms,
                          now + *head.retry_after);
  }
}

void Exchange::NextAnswer() {
  Sending& current = *this->sending;
  current.reader =
      std::make_unique<web::AnswerReader>(this->request.method == "HEAD");
  current.head_seen = false;
  current.foreign = false;
}

bool Exchange::IsSuccess() const {
  const Sending& current = *this->sending;
  return current.status >= 200 && current.status < 300 &&
         current.head.signed_by_target && !current.head.encoded &&
         current.head.request == this->call.id;
}

void Exchange::TakeBody() {
  Sending& current = *this->sending;
  const std::string piece = current.reader->TakeBody();
  if (current.foreign || piece.empty()) return;
  this->NotePiece();
  if (!current.read_noted) {
    current.read_noted = true;
    dispatch::RecordPrefillDone(this->server.book(), current.target,
                                current.reading);
    this->LearnReadingTime();
  }
  if (this->IsSuccess() && this->route->streamed) {
    return this->PassEvents(piece);
  }
  current.body += piece;
}

// LearnReadingTime learns from the first part of an answer. Answers that are
// not streamed come after all their tokens, and what a late loop reads may have
// come long before.
void Exchange::LearnReadingTime() {
  const TimePoint now = Now();
  const Sending& current = *this->sending;
  const bool is_first_event = this->IsSuccess() && this->route->streamed;
  if (!is_first_event || this->server.IsLate(now)) return;
  this->server.NoteFirstEvent(this->service, current.target, current.prediction,
                              now - current.sent_at, now);
}

bool Exchange::HoldsTooMuch(web::ReadState state) const {
  const Sending& current = *this->sending;
  const bool goes_out_at_once = this->IsSuccess() && this->route->streamed;
  const bool states_too_much =
      state == web::ReadState::kMore && !goes_out_at_once &&
      current.reader->stated_length().value_or(0) > kMaxAnswerBytes;
  return states_too_much || current.body.size() > kMaxAnswerBytes ||
         this->stream.buffer.size() > kMaxEventBytes;
}

void Exchange::PassEvents(std::string_view piece) {
  const std::string whole = forwarding::TakeEvents(this->stream, piece);
  if (whole.empty()) return;
  this->NoteOrigin();
  if (!std::exchange(this->progress.response_started, true)) {
    this->first_answer_at = Now();
    this->session.BeginChunks(this->sending->status,
                              this->sending->head.passed_on);
  }
  this->bytes_passed += static_cast<int64_t>(whole.size());
  this->session.SendChunk(whole);
  if (this->session.queued() > kMostQueued) return this->HoldBack();
  // A late loop passes on several events of a stream at a time.
  if (this->server.IsLate(Now())) {
    this->server.ResumeAtTick(this->sending->connection);
  }
}

void Exchange::HoldBack() {
  const std::weak_ptr<web::Connection> source = this->sending->connection;
  this->sending->connection->Pause();
  this->session.OnDrained([source] {
    if (const auto open = source.lock()) open->Resume();
  });
}

void Exchange::OnConnectionEnd(web::End end) {
  if (this->ended || !this->sending) return;
  Sending& current = *this->sending;
  const bool orderly = end == web::End::kClosed;
  const bool whole = orderly && current.head_seen && !current.foreign &&
                     current.reader->FeedEnd() == web::ReadState::kWhole;
  if (whole) {
    current.head.closes = true;
    current.ends_by_close = true;
    this->TakeBody();
    return this->OnAnswerWhole();
  }
  this->NoteBrokenOff(end);
  this->EndSending(HealthResult::kFailure);
  this->Continue(SendResult::kIncomplete);
}

void Exchange::NotePiece() {
  Sending& current = *this->sending;
  current.last_piece_at = Now();
  if (!current.first_piece_at) current.first_piece_at = current.last_piece_at;
}

Duration Exchange::AnswerAge() const {
  constexpr Duration kLeast = std::chrono::milliseconds(1);
  const Sending& current = *this->sending;
  if (!current.first_piece_at) return Duration::zero();
  return std::max(kLeast, current.last_piece_at - *current.first_piece_at);
}

void Exchange::ReportProgress(quarantine::Ages* ages) const {
  if (this->ended || !this->sending || !this->sending->first_piece_at) return;
  this->server.NotePieceFrom(
      quarantine::HashRun(this->sending->target,
                          this->sending->run_started_at_ms),
      this->sending->last_piece_at);
  const Duration age = this->AnswerAge();
  for (const quarantine::PartId part : this->prompt_parts) {
    if (!this->server.IsWatched(part)) continue;
    Duration& oldest = (*ages)[part];
    oldest = std::max(oldest, age);
  }
}

void Exchange::NoteWhole() {
  const Sending& current = *this->sending;
  if (!current.ends_by_close) {
    return this->server.NoteAnswered(this->prompt_parts);
  }
  this->server.NoteDoubt(
      {.target = current.target,
       .run = quarantine::HashRun(current.target, current.run_started_at_ms),
       .parts = this->prompt_parts,
       .age = this->AnswerAge()});
}

void Exchange::NoteBrokenOff(web::End end) {
  const Sending& current = *this->sending;
  events::Event event = this->EventOf(Number::kTargetBrokeOff);
  event.duration = Now() - current.sent_at;
  if (current.head_seen) event.status = current.status;
  event.bytes = Bytes(this->bytes_passed);
  event.reason = end == web::End::kClosed ? "closed" : "broken";
  const bool has_begun = current.first_piece_at.has_value();
  event.detail = (has_begun ? "answer had begun" : "no answer yet") +
                 PartsText(this->call.prompt.parts);
  events::Log(event);
  this->server.NoteBrokenOff(has_begun);
  this->server.NoteCrash(
      this->prompt_parts, current.target,
      quarantine::HashRun(current.target, current.run_started_at_ms),
      this->AnswerAge());
}

void Exchange::OnAnswerWhole() {
  Sending& current = *this->sending;
  if (this->IsSuccess()) {
    const bool cut_within_event =
        this->route->streamed && !this->stream.buffer.empty();
    if (cut_within_event) {
      if (current.ends_by_close) this->NoteBrokenOff(web::End::kClosed);
      this->EndSending(HealthResult::kFailure);
      return this->Continue(SendResult::kIncomplete);
    }
    const bool chunked = this->progress.response_started;
    const web::Answer answer{.status = current.status,
                             .headers = current.head.passed_on,
                             .body = std::move(current.body)};
    this->bytes_passed += static_cast<int64_t>(answer.body.size());
    this->NoteWhole();
    this->Complete();
    return chunked ? this->session.EndChunks() : this->session.Reply(answer);
  }
  // A refusal that does not name this request may be an earlier one, sent
  // twice.
  const bool names_request = current.head.request == this->call.id;
  const bool not_run =
      names_request && (current.head.not_run || current.status == kWrongTarget);
  if (not_run) {
    this->ReleaseConnection();
    this->EndSending(current.status == kWrongTarget ? HealthResult::kFailure
                                                    : HealthResult::kIgnored);
    return this->Continue(SendResult::kNotRun);
  }
  const bool can_pass = current.head.signed_by_target &&
                        current.status >= 300 && !current.head.encoded &&
                        !IsPromise(current.status);
  this->ReleaseConnection();
  if (can_pass) return this->Continue(SendResult::kTargetError);
  this->EndSending(HealthResult::kFailure);
  this->Continue(SendResult::kIncomplete);
}

// ReleaseConnection keeps the connection for later requests if it is clean.
void Exchange::ReleaseConnection() {
  Sending& current = *this->sending;
  const bool clean = !current.head.closes && !current.connection->closed() &&
                     current.connection->input().empty() &&
                     current.connection->queued() == 0;
  auto connection = std::exchange(current.connection, nullptr);
  if (!clean) return connection->Close();
  this->server.pool().Give(current.address, std::move(connection),
                           current.head.idle_limit, Now());
}

// EndSending ends the work at the target, unless it is done.
void Exchange::EndSending(HealthResult ending) {
  const bool was_sent = this->sending->sent_at != TimePoint();
  if (!was_sent) this->ReturnToken();
  Sending current = std::move(*this->sending);
  this->sending.reset();
  if (current.connection != nullptr) current.connection->Close();
  if (!current.read_noted) {
    dispatch::RecordPrefillDone(this->server.book(), current.target,
                                current.reading);
  }
  this->server.NoteSendEnd(current.target, ending);
}

}  // namespace samphirebank::gateway
