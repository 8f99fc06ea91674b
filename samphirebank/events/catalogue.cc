#include <algorithm>

#include "samphirebank/events/events.h"

namespace samphirebank::events {
namespace {

std::string_view SeverityName(Severity severity) {
  switch (severity) {
    case Severity::kDebug:
      return "debug";
    case Severity::kInfo:
      return "info";
    case Severity::kWarning:
      return "warning";
    case Severity::kError:
      return "error";
  }
  return "error";
}

}  // namespace

// One row an event, by rising number.
const std::vector<Kind>& Catalogue() {
  using enum Severity;
  static const auto* const all = new std::vector<Kind>{
      // clang-format off
      {Number::kProcessStarted, "process-started", kInfo, "A process read its settings and starts.", {"detail"}},
      {Number::kProcessReady, "process-ready", kInfo, "A process serves.", {"address", "detail"}},
      {Number::kShutdownStarted, "shutdown-started", kInfo, "A process takes no new requests and ends the running ones.", {"count", "reason"}},
      {Number::kProcessStopped, "process-stopped", kInfo, "A process ends.", {"count", "reason"}},
      {Number::kSettingsReloaded, "settings-reloaded", kInfo, "A process was told that its settings changed; those it read at its start stay.", {"detail"}},
      {Number::kRotationLeft, "rotation-left", kWarning, "An overloaded instance asks the balancer for no new connections.", {"duration_ms", "count"}},
      {Number::kRotationJoined, "rotation-joined", kInfo, "An instance takes new connections again.", {"duration_ms", "count"}},
      {Number::kInternalError, "internal-error", kError, "Something happened that the program takes for impossible.", {"detail"}},
      {Number::kLinesLeftOut, "lines-left-out", kWarning, "So many lines were left out, since there were too many of their kind or nobody read them.", {"count"}},

      {Number::kRequestReceived, "request-received", kInfo, "A caller's request was read and allowed.", {"request", "organisation", "service", "address"}},
      {Number::kRequestRefused, "request-refused", kInfo, "A caller was refused.", {"request", "organisation", "service", "target", "revision", "duration_ms", "count", "status", "outcome", "reason", "detail"}},
      {Number::kRequestQueued, "request-queued", kDebug, "A request waits for a grant.", {"request", "organisation", "service", "region", "count"}},
      {Number::kRequestGranted, "request-granted", kDebug, "A scheduler let a request run.", {"request", "organisation", "service", "target", "epoch"}},
      {Number::kRequestDispatched, "request-dispatched", kInfo, "A request is being sent to a target.", {"request", "organisation", "service", "target", "epoch", "address", "count", "revision", "duration_ms", "detail"}},
      {Number::kFirstByte, "first-byte", kDebug, "A target's answer began.", {"request", "organisation", "target", "duration_ms", "status"}},
      {Number::kRequestAnswered, "request-answered", kInfo, "A caller received its whole answer.", {"request", "organisation", "service", "target", "tokens", "bytes", "duration_ms", "count", "status", "outcome"}},
      {Number::kRequestRetried, "request-retried", kInfo, "A request that did not run is tried again.", {"request", "organisation", "service", "target", "status", "reason", "count", "duration_ms"}},
      {Number::kRequestResumed, "request-resumed", kInfo, "A cut stream goes on.", {"request", "organisation", "service", "target", "bytes", "count", "duration_ms", "reason"}},
      {Number::kRequestCut, "request-cut", kWarning, "A caller's answer ended before it was whole.", {"request", "organisation", "service", "target", "tokens", "bytes", "duration_ms", "count", "outcome", "reason"}},
      {Number::kCallerLeft, "caller-left", kInfo, "A caller went away, or was cut as too slow, before its answer ended.", {"request", "organisation", "service", "target", "duration_ms", "count", "reason"}},
      {Number::kOrganisationRefused, "organisation-refused", kInfo, "An organisation had so many requests refused in the last second: what it asked and was admitted at this instance, how it stands over the fleet, and how old the load of the other instances is.", {"organisation", "tokens", "duration_ms", "count", "detail"}},

      {Number::kTargetAnnounced, "target-announced", kInfo, "A target is new, or came back.", {"target", "address", "region", "service", "count", "peer", "detail"}},
      {Number::kTargetLost, "target-lost", kWarning, "A target stopped renewing its announcement.", {"target", "duration_ms"}},
      {Number::kTargetLeaving, "target-leaving", kInfo, "A target gets no new work.", {"target", "service", "address", "reason", "revision", "peer", "detail"}},
      {Number::kTargetRefused, "target-refused", kWarning, "An announcement or a report of a target was refused.", {"target", "address", "reason", "detail"}},
      {Number::kTargetStopped, "target-stopped", kInfo, "A target gets no new work, and what ran there was cancelled.", {"target", "count", "revision"}},
      {Number::kTargetPassedOver, "target-passed-over", kWarning, "A target failed and gets no requests of this instance for a while.", {"target", "service", "address", "reason", "count", "duration_ms"}},
      {Number::kTargetBrokeOff, "target-broke-off", kWarning, "A target's connection ended before its answer to a request was whole.", {"request", "organisation", "service", "target", "status", "bytes", "duration_ms", "count", "reason", "detail"}},
      {Number::kPartQuarantined, "part-quarantined", kError, "Prompts with this part crash targets and are refused for a while.", {"duration_ms", "detail"}},
      {Number::kTargetLimited, "target-limited", kInfo, "A target states the requests per second that it takes from all gateways together.", {"target", "service", "detail"}},
      {Number::kTargetUnlimited, "target-unlimited", kInfo, "A target no longer states a rate limit.", {"target", "service"}},

      {Number::kSchedulerStarted, "scheduler-started", kInfo, "This instance shares out a pool.", {"service", "region", "epoch"}},
      {Number::kSchedulerRetired, "scheduler-retired", kInfo, "This instance no longer shares out a pool.", {"service", "region", "epoch", "reason"}},
      {Number::kGrantRefused, "grant-refused", kWarning, "A grant was stale and was not used.", {"service", "region", "epoch", "target", "peer", "reason"}},

      {Number::kRevisionInstalled, "revision-installed", kInfo, "A configuration is in force on this instance.", {"revision", "peer"}},
      {Number::kLeaseLapsed, "lease-lapsed", kWarning, "This instance's configuration is too old to act on.", {"revision", "duration_ms"}},
      {Number::kLeaseRenewed, "lease-renewed", kInfo, "This instance may act on its configuration again.", {"revision", "peer", "duration_ms"}},
      {Number::kChangeAccepted, "change-accepted", kInfo, "A change of configuration is durable.", {"change", "revision", "organisation", "target"}},
      {Number::kChangeRefused, "change-refused", kInfo, "A change of configuration was refused.", {"change", "revision", "organisation", "target", "status", "reason"}},
      {Number::kChangeRepeated, "change-repeated", kInfo, "A change was sent again and got its first answer.", {"change", "revision", "organisation", "target"}},
      {Number::kChangeInForce, "change-in-force", kInfo, "A change is in force on every instance.", {"change", "revision", "duration_ms"}},
      {Number::kPoolAssigned, "pool-assigned", kInfo, "The control group chose an instance to share out a pool.", {"service", "region", "peer", "epoch", "address"}},
      {Number::kTableAccepted, "table-accepted", kInfo, "A route table is durable.", {"revision", "bytes", "duration_ms", "count", "detail"}},
      {Number::kTableRefused, "table-refused", kInfo, "A route table was refused, or is not known to be durable.", {"revision", "status", "reason", "detail"}},
      {Number::kTableInForce, "table-in-force", kInfo, "A route table is in force on this instance, and how long ago this instance first heard of it.", {"revision", "peer", "count", "duration_ms", "detail"}},
      {Number::kControlLost, "control-lost", kWarning, "No control instance is heard; this instance goes on with what it knows.", {"duration_ms", "revision", "count"}},
      {Number::kControlRegained, "control-regained", kInfo, "A control instance is heard again.", {"peer", "duration_ms", "revision"}},
      {Number::kZoneEvacuated, "zone-evacuated", kInfo, "An order to send nothing more to the targets of a zone is durable.", {"revision", "duration_ms", "detail"}},
      {Number::kZoneRestored, "zone-restored", kInfo, "An order to send to the targets of a zone again is durable.", {"revision", "duration_ms", "detail"}},
      {Number::kZoneOrderRefused, "zone-order-refused", kWarning, "An order on a zone was refused, or is not known to be durable.", {"status", "reason", "detail"}},
      {Number::kZonesInForce, "zones-in-force", kInfo, "This instance sends nothing more to the targets of these zones.", {"peer", "revision", "count", "detail"}},

      {Number::kLeaderElected, "leader-elected", kInfo, "This instance leads the control group.", {"term"}},
      {Number::kLeaderSteppedDown, "leader-stepped-down", kInfo, "This instance no longer leads the control group.", {"term", "reason"}},
      {Number::kMemberAdded, "member-added", kInfo, "The control group has a new member.", {"peer", "detail"}},
      {Number::kMemberRemoved, "member-removed", kInfo, "A member left the control group.", {"peer", "count"}},
      {Number::kSnapshotWritten, "snapshot-written", kInfo, "The replicated state was written whole.", {"count", "bytes", "duration_ms"}},
      {Number::kSnapshotInstalled, "snapshot-installed", kInfo, "The replicated state was taken from another member.", {"count", "bytes", "peer"}},
      {Number::kLogRecovered, "log-recovered", kInfo, "The durable state was read at start.", {"count", "revision", "term", "duration_ms"}},
      {Number::kTornTailDropped, "torn-tail-dropped", kWarning, "An unfinished write at the log's end was dropped.", {"bytes", "detail"}},
      {Number::kStorageFailed, "storage-failed", kError, "The data folder failed; the process ends.", {"detail"}},
      {Number::kDiskFull, "disk-full", kError, "The data folder takes no more writes; changes are refused until it does.", {}},
      {Number::kDiskWritable, "disk-writable", kInfo, "The data folder takes writes again.", {}},
      {Number::kMemberDeparts, "member-departs", kInfo, "This member of the control group is done handing over, and stops.", {"reason", "duration_ms"}},

      {Number::kClaimGranted, "claim-granted", kInfo, "A call that may run once may be sent.", {"request", "organisation", "count"}},
      {Number::kClaimReplayed, "claim-replayed", kInfo, "A call was repeated and got the recorded answer.", {"request", "organisation", "outcome"}},
      {Number::kClaimRefused, "claim-refused", kInfo, "A call that may run once was refused.", {"request", "organisation", "outcome", "reason"}},
      {Number::kClaimEnded, "claim-ended", kInfo, "The outcome of a call that may run once is durable.", {"request", "organisation", "outcome"}},

      {Number::kPacketRefused, "packet-refused", kWarning, "Packets that are forged, replayed, truncated or of another version were dropped.", {"address", "peer", "reason", "count"}},
      {Number::kMessageDropped, "message-dropped", kWarning, "A message that needs a connection of its own was not sent to another instance.", {"address", "bytes", "reason"}},
      // clang-format on
  };
  return *all;
}

const Kind* FindKind(Number number) {
  const std::vector<Kind>& all = Catalogue();
  const auto found = std::find_if(
      all.begin(), all.end(),
      [number](const Kind& kind) { return kind.number == number; });
  return found == all.end() ? nullptr : &*found;
}

std::string CataloguePage() {
  std::string page =
      "# Events\n\n"
      "Each process logs one JSON object a line. Every line has `event` (the\n"
      "number), `name`, `severity`, `wall_ms` and `logical` (the hybrid "
      "logical\n"
      "clock), `instance`, `role` and `boot`; the fields below are there when\n"
      "they are known. `samphirebank timeline` merges the logs of all "
      "processes.\n\n"
      "This page is the output of `samphirebank events`.\n\n"
      "| event | name | severity | meaning | fields |\n"
      "| --- | --- | --- | --- | --- |\n";
  for (const Kind& kind : Catalogue()) {
    page += "| " + std::to_string(static_cast<int>(kind.number)) + " | " +
            std::string(kind.name) + " | " +
            std::string(SeverityName(kind.severity)) + " | " +
            std::string(kind.meaning) + " | ";
    std::string_view separator;
    for (const std::string_view field : kind.fields) {
      page += std::string(separator) + "`" + std::string(field) + "`";
      separator = ", ";
    }
    page += " |\n";
  }
  return page;
}

}  // namespace samphirebank::events
