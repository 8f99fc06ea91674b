// Targets that sign off: which run ends, and who is told.
#include <algorithm>
#include <utility>

#include "samphirebank/coordinator/internal/server.h"
#include "samphirebank/events/events.h"
#include "samphirebank/process/process.h"
#include "samphirebank/wire/wire.h"

namespace samphirebank::coordinator {
namespace {

using directory::Effect;
using directory::State;
using process::Now;

constexpr char kRetryAfter[] = "0.3";  // seconds
// Gateways that are asked when coordinators do not answer. Each hears of the
// targets from all coordinators.
constexpr int kMaxGatewaysAsked = 8;
constexpr Duration kGatewayFollows = std::chrono::seconds(3);
// The other coordinators are told of an ended run at each tick of this time.
constexpr Duration kTellEnded = std::chrono::seconds(1);

web::Answer ComeBack(const std::string& reason) {
  return {
      .status = 503,
      .headers = {{"content-type", "text/plain"}, {"retry-after", kRetryAfter}},
      .body = reason + "\n"};
}

}  // namespace

void Server::TakeSignOff(const TargetId& target, const web::Reply& reply) {
  const TimePoint now = Now();
  if (this->IsCutOff(now)) {
    return reply(ComeBack("this instance is cut off from the others"));
  }
  const signoff::RunQuery query{.number = ++this->last_query, .target = target};
  this->sign_offs[query.number] = {
      .pending =
          signoff::Begin(target, this->OtherCoordinators(now),
                         signoff::ReportOf(this->directory, query,
                                           this->HasJustStarted(now), now),
                         now),
      .reply = reply};
  this->AskForRun(query.number, now);
  this->StepSignOff(query.number, now);
}

// OtherCoordinators returns the group's members, and those that are not members
// yet but may take heartbeats.
std::set<InstanceId> Server::OtherCoordinators(TimePoint now) const {
  std::set<InstanceId> all;
  for (const InstanceId& member : this->replication->members()) {
    all.insert(member);
  }
  for (const auto& [id, source] : this->others.sources) {
    const bool responds =
        source.last_seen &&
        now - *source.last_seen < this->others.options.response_timeout;
    if (responds) all.insert(id);
  }
  all.erase(this->self);
  return all;
}

bool Server::HasJustStarted(TimePoint now) const {
  return now - this->started_at < this->sign_off_options.startup_time;
}

void Server::AskForRun(uint64_t number, TimePoint now) {
  const signoff::Pending& pending = this->sign_offs.at(number).pending;
  const wire::Packet packet = wire::Encode(
      signoff::RunQuery{.number = number, .target = pending.target});
  for (const InstanceId& to : pending.unanswered) {
    this->peers->Send(this->PeerAddress(to), packet);
  }
  if (!signoff::ShouldAskGateways(this->sign_off_options, pending, now)) return;
  int asked = 0;
  for (const auto& [id, record] : this->followers) {
    if (!record.is_gateway || now - record.polled_at >= kGatewayFollows) {
      continue;
    }
    if (++asked > kMaxGatewaysAsked) return;
    this->peers->Send(this->PeerAddress(id), packet);
  }
}

void Server::AnswerRunQuery(const InstanceId& from,
                            const signoff::RunQuery& query) {
  const TimePoint now = Now();
  this->peers->Send(
      this->PeerAddress(from),
      wire::Encode(signoff::ReportOf(this->directory, query,
                                     this->HasJustStarted(now), now)));
}

void Server::TakeRunReport(const InstanceId& from,
                           const signoff::RunReport& report) {
  const auto found = this->sign_offs.find(report.number);
  if (found == this->sign_offs.end()) return;
  signoff::TakeReport(found->second.pending, from, report);
  this->StepSignOff(report.number, Now());
}

void Server::StepSignOffs(TimePoint now) {
  std::vector<uint64_t> numbers;
  numbers.reserve(this->sign_offs.size());
  for (const auto& [number, order] : this->sign_offs) numbers.push_back(number);
  for (const uint64_t number : numbers) {
    this->AskForRun(number, now);
    this->StepSignOff(number, now);
  }
}

void Server::StepSignOff(uint64_t number, TimePoint now) {
  const auto found = this->sign_offs.find(number);
  const signoff::Verdict verdict =
      signoff::Decide(this->sign_off_options, found->second.pending, now);
  if (verdict == signoff::Verdict::kWait) return;
  const SignOff order = std::move(found->second);
  this->sign_offs.erase(found);
  if (verdict == signoff::Verdict::kRefuse) {
    this->metrics.sign_offs_refused.Add(1);
    events::Log({.number = events::Number::kTargetRefused,
                 .target = order.pending.target,
                 .status = 503,
                 .reason = "run unknown"});
    return order.reply(ComeBack("it is not known which run signs off"));
  }
  this->metrics.sign_offs_accepted.Add(1);
  if (verdict == signoff::Verdict::kEndRun) {
    const directory::Announcement run = signoff::EndOf(order.pending);
    this->EndRun(run, now);
    this->ended_runs.push_back({.run = run, .told_until = now + kTellEnded});
    this->ShareEndedRuns(now);
  }
  order.reply({.status = 200,
               .headers = {{"content-type", "application/json"}},
               .body = "{}"});
}

void Server::EndRun(const directory::Announcement& run, TimePoint now) {
  if (run.state != State::kGone) return;
  const Effect effect = directory::ApplyAnnouncement(this->directory, run, now);
  if (effect != Effect::kNew && effect != Effect::kChanged) return;
  events::Log({.number = events::Number::kTargetLeaving,
               .target = run.id,
               .service = run.service,
               .address = run.address.ToText(),
               .reason = "signed off"});
  this->PushUpdatesAfter(Duration::zero());
}

void Server::ShareEndedRuns(TimePoint now) {
  std::erase_if(this->ended_runs, [now](const EndedRunRecord& record) {
    return now >= record.told_until;
  });
  if (this->ended_runs.empty()) return;
  const std::set<InstanceId> others = this->OtherCoordinators(now);
  for (const EndedRunRecord& record : this->ended_runs) {
    const wire::Packet packet =
        wire::Encode(signoff::EndedRun{.run = record.run});
    for (const InstanceId& to : others) {
      this->peers->Send(this->PeerAddress(to), packet);
    }
  }
}

}  // namespace samphirebank::coordinator
