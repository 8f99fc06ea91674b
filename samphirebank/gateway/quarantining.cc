// What a gateway knows of prompt parts that crash targets, and tells of them.
#include <chrono>
#include <sstream>
#include <string>

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

void Server::NoteBegun(const std::vector<PartId>& parts) {
  quarantine::RecordBegun(this->quarantine, parts, Now());
}

void Server::NoteCrash(const std::vector<PartId>& parts,
                       quarantine::RunHash run) {
  quarantine::RecordCrash(this->quarantine, parts, run, Now());
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

void Server::JudgeParts(TimePoint now) {
  if (now - this->evicted_at >= kEvictInterval) {
    this->evicted_at = now;
    quarantine::EvictExpired(this->quarantine, now);
  }
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
