// What a gateway knows of prompt parts that crash targets, and tells of them.
#include <chrono>
#include <sstream>
#include <string>
#include <utility>

#include "samphirebank/events/events.h"
#include "samphirebank/gateway/internal/server.h"
#include "samphirebank/gateway/internal/session.h"
#include "samphirebank/process/process.h"

namespace samphirebank::gateway {
namespace {

using process::Now;
using quarantine::PartId;

constexpr Duration kEvictInterval = std::chrono::seconds(2);

std::string HexText(PartId part) {
  std::ostringstream text;
  text << std::hex << part.value;
  return text.str();
}

}  // namespace

std::optional<Duration> Server::QuarantineLeft(const std::vector<PartId>& parts,
                                               TimePoint now) const {
  return quarantine::TimeLeft(this->quarantine, parts, now);
}

bool Server::IsSuspect(const std::vector<PartId>& parts, TimePoint now) const {
  return quarantine::IsSuspect(this->quarantine, parts, now);
}

void Server::NoteAnswered(const std::vector<PartId>& parts) {
  quarantine::RecordAnswered(this->quarantine, parts, Now());
}

void Server::NoteDoubt(quarantine::Doubt doubt) {
  doubt.at = Now();
  quarantine::RecordDoubt(this->quarantine, std::move(doubt));
}

void Server::NoteAlive(quarantine::RunHash run, TimePoint sent_at) {
  quarantine::RecordAlive(this->quarantine, run, sent_at);
}

void Server::NotePieceFrom(quarantine::RunHash run, TimePoint read_at) {
  // What is read late may have come before the target's end.
  if (this->IsLate(read_at)) return;
  quarantine::RecordAlive(this->quarantine, run,
                          read_at - this->quarantine.options.same_end);
}

void Server::NoteCrash(const std::vector<PartId>& parts, const TargetId& target,
                       quarantine::RunHash run, Duration age) {
  const TimePoint now = Now();
  quarantine::RecordCrash(this->quarantine, parts, run, age, now);
  quarantine::RecordEnded(this->quarantine, target,
                          this->quarantine.options.same_end, now);
}

void Server::ReportEvidence(const net::SocketAddress& coordinator,
                            TimePoint now) {
  const quarantine::Evidence evidence =
      quarantine::BuildReport(this->quarantine, now);
  if (evidence.empty()) return;
  this->peers->Send(
      coordinator,
      wire::Encode(quarantine::EvidenceReport{.evidence = evidence}));
}

void Server::LookAtAnswers() {
  const bool matters = quarantine::IsWatching(this->quarantine) ||
                       quarantine::DoubtsEnds(this->quarantine);
  if (!matters) return;
  quarantine::Ages ages;
  for (const std::shared_ptr<Session>& session : this->sessions) {
    session->ReportProgress(&ages);
  }
  quarantine::TakeInProgress(this->quarantine, std::move(ages));
}

void Server::JudgeParts(TimePoint now) {
  if (now - this->evicted_at >= kEvictInterval) {
    this->evicted_at = now;
    quarantine::EvictExpired(this->quarantine, now);
  }
  this->LookAtAnswers();
  const std::vector<PartId> added = quarantine::Judge(this->quarantine, now);
  if (added.empty()) return;
  for (const PartId part : added) {
    events::Log({.number = events::Number::kPartQuarantined,
                 .duration = this->QuarantineLeft({part}, now),
                 .detail = "part " + HexText(part)});
    this->metrics.quarantined_parts.Add(1);
  }
  const auto open = this->sessions;  // ending a request may change the set
  for (const std::shared_ptr<Session>& session : open) session->OnQuarantine();
}

}  // namespace samphirebank::gateway
