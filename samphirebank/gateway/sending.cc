// A request's sends to targets, and what follows a send that ended.
#include <chrono>
#include <string>
#include <utility>

#include "samphirebank/gateway/internal/exchange.h"
#include "samphirebank/gateway/internal/server.h"
#include "samphirebank/gateway/internal/session.h"
#include "samphirebank/process/process.h"

namespace samphirebank::gateway {
namespace {

using dispatch::HealthResult;
using events::Number;
using forwarding::NextAction;
using forwarding::SendResult;
using process::Now;
using std::chrono::milliseconds;

constexpr Duration kConnectLimit = milliseconds(600);
// A kept connection may have ended without a sign; what may run only once goes
// on one that was used just now, or on a new one.
constexpr Duration kMostIdle = std::chrono::seconds(60);
constexpr Duration kMostIdleOnce = milliseconds(1000);

constexpr int kFirstServerError = 500;

}  // namespace

void Exchange::SendToTarget() {
  if (this->StopIfQuarantined()) return;
  const TimePoint now = Now();
  if (this->StopIfOutOfStep(now)) return;
  const TargetFilter filter = this->Filter();
  const auto chosen =
      this->server.ChooseTarget(this->service, filter, this->work, now);
  if (!chosen) return this->EndWithoutTarget(filter, now);
  if (!this->AdmitPrompt(*chosen)) return;
  this->sending = Sending{.target = chosen->id,
                          .address = chosen->address,
                          .at_home = chosen->at_home,
                          .in_other_region = chosen->in_other_region,
                          .token = this->server.TakeToken(chosen->id, now),
                          .reading = chosen->reading,
                          .prediction = chosen->prediction,
                          .run_started_at_ms = chosen->run_started_at_ms,
                          .software = chosen->software};
  this->last_target = chosen->id;
  // Counted from the choice on: others that come before the connection does
  // are not to choose the same idle target.
  dispatch::RecordSent(this->server.book(), chosen->id, this->work,
                       chosen->reading, now);
  const bool once = this->progress.repetition == routes::RetryPolicy::kNever;
  auto kept = this->server.pool().Take(chosen->address,
                                       once ? kMostIdleOnce : kMostIdle, now);
  if (kept != nullptr) {
    return this->OnConnection(std::move(kept), web::ConnectEnd::kConnected);
  }
  this->server.NoteConnect();
  web::Connect(
      this->server.loop(), chosen->address, kConnectLimit,
      [self = this->shared_from_this()](
          std::shared_ptr<web::Connection> connection, web::ConnectEnd end) {
        self->Guard([&] { self->OnConnection(std::move(connection), end); });
      });
}

TargetFilter Exchange::Filter() const {
  return {.regions = this->AllowedRegions(), .software = this->begun_by};
}

residency::AllowedRegions Exchange::AllowedRegions() const {
  const auto allowed_by = [](const routes::Route* applied_route,
                             const routes::Organisation* caller) {
    residency::AllowedRegions allowed;
    if (applied_route != nullptr) {
      allowed = residency::RestrictTo(applied_route->allowed_regions);
    }
    if (caller == nullptr) return allowed;
    return residency::Intersect(allowed,
                                residency::RestrictTo(caller->allowed_regions));
  };
  auto at_arrival = allowed_by(
      this->route, routes::FindOrganisation(*this->index, this->call.api_key));
  const auto newest = this->server.index();
  if (newest == this->index) return at_arrival;
  const auto now_allowed = allowed_by(
      routes::FindRoute(*newest, this->call.host, dialect::Path(this->call)),
      routes::FindOrganisation(*newest, this->call.api_key));
  return residency::Intersect(at_arrival, now_allowed);
}

void Exchange::EndWithoutTarget(const TargetFilter& filter, TimePoint now) {
  if (this->progress.response_started) return this->Cut("no target");
  if (this->progress.may_have_run) return this->FailUnknown(502, "no target");
  const auto pause = this->server.PauseLeft(this->service, filter, now);
  if (pause) {
    return this->RefuseForNow("all targets asked for a pause", pause);
  }
  if (this->server.HasColdTarget(this->service, filter, now)) {
    this->server.NoteRefusedForWarmup();
    return this->RefuseForNow("targets are warming up");
  }
  if (this->server.HasRateLimitedTarget(this->service, filter)) {
    this->server.NoteRefusedForRateLimit();
    return this->RefuseForNow("targets limit their rate");
  }
  if (filter.regions.regions && this->server.ReadyCount(this->service) > 0) {
    this->server.NoteRefusedForResidency();
    return this->RefuseForNow("no target in an allowed region");
  }
  this->RefuseForNow("no target");
}

void Exchange::ReturnToken() {
  const auto token = std::exchange(this->sending->token, std::nullopt);
  if (token) this->server.ReturnToken(*token);
}

void Exchange::OnConnection(std::shared_ptr<web::Connection> connection,
                            web::ConnectEnd end) {
  const TimePoint now = Now();
  if (this->ended) {
    if (connection != nullptr) connection->Close();
    return;
  }
  if (end == web::ConnectEnd::kExhausted) {
    this->EndSending(HealthResult::kIgnored);
    this->progress.connect_failures = forwarding::kMaxConnectFailures;
    return this->Continue(SendResult::kConnectFailed);
  }
  if (connection == nullptr) {
    this->server.NoteUnreachable(this->sending->target, this->sending->address);
    this->work.tried_targets.insert(this->sending->target);
    this->EndSending(HealthResult::kIgnored);
    ++this->progress.connect_failures;
    return this->Continue(SendResult::kConnectFailed);
  }
  this->sending->connection = std::move(connection);
  // What waited for long may have been given up.
  if (this->server.IsLate(now) && this->session.CallerGone()) {
    return this->CallerLeft();
  }
  if (this->StopIfQuarantined()) return;
  const bool excluded =
      !this->server.MaySend(this->sending->target,
                            this->sending->run_started_at_ms, this->Filter(),
                            now) ||
      this->server.IsHeldBack(this->sending->target, this->sending->token, now);
  if (excluded) {
    this->server.NoteChosenAgain();
    this->ReleaseConnection();
    this->EndSending(HealthResult::kIgnored);
    return this->SendToTarget();
  }
  this->SendRequest(now);
}

void Exchange::SendRequest(TimePoint now) {
  this->sending->sent_at = now;
  ++this->progress.num_sends;
  this->work.tried_targets.insert(this->sending->target);
  events::Event event = this->EventOf(Number::kRequestDispatched);
  event.address = this->sending->address.ToText();
  event.revision = Revision(this->index->table.version.value);
  event.detail =
      (this->sending->at_home ? "home, " : "away, ") +
      std::string(this->sending->in_other_region ? "other region, " : "") +
      this->server.LoadText(this->sending->target, now);
  if (this->call.begun_by) {
    event.detail += ", takes up " + this->call.begun_by->value;
  }
  events::Log(event);
  const dialect::SendOrder order{
      .target = this->sending->target,
      .address = this->sending->address,
      .organisation = this->organisation,
      .time_left = this->begun_at + this->time_limit - now,
      .after = this->stream.last_event_id,
      .body_bytes = this->body->size()};
  // A short body goes out with the head in one write.
  constexpr size_t kShortBody = 16 << 10;
  const bool is_short = this->body->size() <= kShortBody;
  std::string bytes = this->server.dialect().encode_send(this->call, order);
  if (is_short) bytes += *this->body;
  if (this->sending->in_other_region) this->server.NoteSentToOtherRegion();
  if (this->sending->token) this->server.NoteTokenUsed();
  this->Listen();
  const auto open = this->sending->connection;
  open->Send(bytes);
  if (!is_short) open->SendShared(this->body);
}

void Exchange::Listen() {
  this->sending->reader =
      std::make_unique<web::AnswerReader>(this->request.method == "HEAD");
  this->sending->connection->Start(
      [self = this->shared_from_this()] {
        self->Guard([&self] { self->OnAnswerData(); });
      },
      [self = this->shared_from_this()](web::End end) {
        self->Guard([&self, end] { self->OnConnectionEnd(end); });
      });
}

void Exchange::Guard(const std::function<void()>& handler) {
  // The session is not known to live on once the exchange has ended.
  std::weak_ptr<Session> caller;
  if (!this->ended) caller = this->session.weak_from_this();
  if (process::Contain(handler)) return;
  bool is_dropped = false;
  process::Contain([&] { is_dropped = this->DropAnswer(); });
  if (is_dropped) return;
  if (const auto open = caller.lock()) open->Abandon();
}

bool Exchange::DropAnswer() {
  if (this->ended || !this->sending) return false;
  this->EndSending(HealthResult::kFailure);
  this->Continue(SendResult::kIncomplete);
  return true;
}

void Exchange::Continue(SendResult end) {
  const TimePoint now = Now();
  const bool may_end_another = end == SendResult::kIncomplete &&
                               this->server.IsSuspect(this->prompt_parts, now);
  const bool may_repeat =
      !may_end_another && this->server.MayRepeat(this->service, now) &&
      this->server.HasOtherTarget(this->service, this->Filter(),
                                  this->work.tried_targets, now);
  const NextAction next =
      forwarding::DecideNextAction(this->progress, end, may_repeat);
  const bool ran =
      end == SendResult::kIncomplete || end == SendResult::kTargetError;
  if (next == NextAction::kForwardFailure) return this->PassOn();
  if (end == SendResult::kTargetError && this->sending) {
    this->EndSending(this->sending->status >= kFirstServerError
                         ? HealthResult::kFailure
                         : HealthResult::kSuccess);
  }
  if (ran) this->progress.may_have_run = true;
  switch (next) {
    case NextAction::kResend:
      return this->SendAgain(end);
    case NextAction::kRefuse:
      return this->RefuseForNow(
          end == SendResult::kConnectFailed ? "unreachable" : "target full",
          this->server.PauseLeft(this->service, this->Filter(), now));
    case NextAction::kReportUnknown:
      return this->FailUnknown(502, "the target broke off");
    default:
      return this->Cut("the target broke off");
  }
}

void Exchange::SendAgain(SendResult end) {
  if (end != SendResult::kConnectFailed) this->server.NoteRepeat(this->service);
  const bool resumes = this->progress.response_started;
  events::Event event = this->EventOf(resumes ? Number::kRequestResumed
                                              : Number::kRequestRetried);
  switch (end) {
    case SendResult::kConnectFailed:
      event.reason = "unreachable";
      break;
    case SendResult::kNotRun:
      event.reason = "not run";
      break;
    case SendResult::kTargetError:
      event.reason = "target failed";
      break;
    case SendResult::kIncomplete:
      event.reason = "broken off";
      break;
  }
  events::Log(event);
  this->stream.buffer.clear();
  this->SendToTarget();
}

}  // namespace samphirebank::gateway
