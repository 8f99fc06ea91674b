#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "samphirebank/control/internal/server.h"
#include "samphirebank/events/events.h"

namespace samphirebank::control {
namespace {

using Stream = std::shared_ptr<net::ServerStream>;

// Above the time until a change that a caller waits for is in force.
constexpr Duration kStopTimeout = std::chrono::seconds(5);
constexpr Duration kStopStep = std::chrono::milliseconds(20);

void LogOutcome(const contracts::Command& command,
                const contracts::CommandResult& outcome, bool repeated) {
  const bool accepted = outcome.status == contracts::CommandStatus::kAccepted;
  events::Number number = accepted ? events::Number::kChangeAccepted
                                   : events::Number::kChangeRefused;
  if (repeated) number = events::Number::kChangeRepeated;
  events::Log({.number = number,
               .change = command.change,
               .revision = outcome.revision});
}

}  // namespace

void Server::OnRequest(const Stream& stream) {
  const std::string& path = stream->head().path;
  if (path == "/healthz") {
    stream->Reply({.content_type = "text/plain", .body = "ok\n"});
    return;
  }
  if (path == "/readyz") return stream->Reply(this->Ready());
  if (path == "/metrics") return stream->Reply(this->MetricsText());
  auto body = std::make_shared<std::string>();
  stream->on_body = [body](std::string_view piece) { body->append(piece); };
  const std::weak_ptr<net::ServerStream> weak = stream;
  stream->on_body_end = [this, weak, body] {
    if (const Stream open = weak.lock()) this->Handle(open, *body);
  };
}

net::Response Server::Ready() const {
  const bool ready = lease::MayAct(this->holder, net::Loop::Now());
  return {.status = ready ? 200 : 503,
          .content_type = "text/plain",
          .body = ready ? "ready\n" : "no quorum has confirmed the lease\n"};
}

net::Response Server::MetricsText() {
  const auto& configuration = this->state.contracts.history.configuration;
  const Duration left = lease::LeaseLeft(this->holder, net::Loop::Now());
  const auto number = [](auto value) { return static_cast<double>(value); };
  Metrics& set = this->metrics;
  set.leads.Set(this->replication->leads() ? 1 : 0);
  set.term.Set(number(this->replication->term().value));
  set.log_index.Set(number(this->replication->last_index().value));
  set.disk_full.Set(this->replication->disk_is_full() ? 1 : 0);
  set.revision.Set(number(configuration.revision.value));
  set.lease_left.Set(std::chrono::duration<double>(left).count());
  set.contracts.Set(number(configuration.contracts.size()));
  set.claims.Set(number(this->state.claims.entries.size()));
  set.heard.Set(number(this->registry.entries.size()));
  return {.content_type = "text/plain; version=0.0.4",
          .body = set.registry.ToText()};
}

void Server::Stop() {
  if (!this->stop_deadline) {
    this->stop_deadline = net::Loop::Now() + kStopTimeout;
    this->StepStop();
  }
}

void Server::StepStop() {
  std::erase_if(this->open_calls,
                [](const auto& call) { return call.expired(); });
  const bool is_over = net::Loop::Now() >= *this->stop_deadline;
  if (this->open_calls.empty() || is_over) return this->loop.Stop();
  this->loop.After(kStopStep, [this] { this->StepStop(); });
}

void Server::Handle(const Stream& stream, const std::string& body) {
  std::erase_if(this->open_calls,
                [](const auto& open) { return open.expired(); });
  this->open_calls.push_back(stream);
  const OperatorCall call = ReadOperatorCall(
      stream->head(), body, this->settings.operator_token.value);
  if (call.kind == CallKind::kRejected) return stream->Reply(call.rejection);
  if (call.kind != CallKind::kStatus && !this->replication->leads()) {
    return stream->Reply(NotLeader(this->LeaderOperator()));
  }
  switch (call.kind) {
    case CallKind::kWrite:
      return this->Write(stream, call);
    case CallKind::kReplaceMember:
      return this->replication->Replace(
          call.member, [stream](const std::string& failure) {
            stream->Reply(failure.empty()
                              ? net::Response{.body = "{\"replaced\": true}\n"}
                              : Problem(409, "not replaced", failure));
          });
    case CallKind::kStatus:
      return stream->Reply(this->ReadReply(call));
    default:
      return this->Read(stream, call);
  }
}

void Server::Write(const Stream& stream, const OperatorCall& call) {
  const bool repeated =
      contracts::FindRecordedResult(this->state.contracts, call.command)
          .has_value();
  this->Propose(ContractsEntry(call.command), [this, stream, call, repeated](
                                                  ProposalResult result,
                                                  const Applied& applied) {
    const auto* outcome = std::get_if<contracts::CommandResult>(&applied);
    if (result == ProposalResult::kNotLeader) {
      return stream->Reply(NotLeader(this->LeaderOperator()));
    }
    if (result != ProposalResult::kCommitted || outcome == nullptr) {
      return stream->Reply(FailedWrite(result));
    }
    LogOutcome(call.command, *outcome, repeated);
    this->FinishWrite(stream, call, *outcome);
  });
}

void Server::FinishWrite(const Stream& stream, const OperatorCall& call,
                         const contracts::CommandResult& outcome) {
  const Duration after =
      UntilInForce(this->in_force, outcome.revision, net::Loop::Now());
  const auto reply = [this, stream, call, outcome, after](bool in_force) {
    stream->Reply(WriteReply(outcome, call.command,
                             this->state.contracts.history.configuration,
                             in_force, after));
  };
  const bool accepted = outcome.status == contracts::CommandStatus::kAccepted;
  const bool now_in_force = accepted && after == Duration::zero();
  if (!accepted || !call.wait_in_force) return reply(now_in_force);
  this->loop.After(after, [reply, call, outcome] {
    events::Log({.number = events::Number::kChangeInForce,
                 .change = call.command.change,
                 .revision = outcome.revision});
    reply(true);
  });
}

void Server::Read(const Stream& stream, const OperatorCall& call) {
  // A round with the quorum makes sure that nothing newer was accepted.
  this->replication->Confirm(
      [this, stream, call](bool confirmed, TimePoint /*started_at*/) {
        stream->Reply(confirmed ? this->ReadReply(call)
                                : NotLeader(this->LeaderOperator()));
      });
}

net::Response Server::ReadReply(const OperatorCall& call) const {
  const auto& configuration = this->state.contracts.history.configuration;
  switch (call.kind) {
    case CallKind::kListContracts:
      return ContractList(configuration);
    case CallKind::kGetContract:
      return ContractReply(configuration, call.organisation);
    case CallKind::kListTargets:
      return TargetList(configuration);
    default:
      break;
  }
  const TimePoint now = net::Loop::Now();
  return StatusReply({.self = this->settings.identity.instance,
                      .leader = this->replication->leader(),
                      .term = this->replication->term(),
                      .log_index = this->replication->last_index(),
                      .voters = this->replication->voters(),
                      .lease_left = lease::LeaseLeft(this->holder, now),
                      .in_force_after = this->in_force.span},
                     configuration, this->registry, now);
}

}  // namespace samphirebank::control
