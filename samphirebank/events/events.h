// File: events.h
//
// Numbered events, logged as one JSON object a line. Every line carries the
// event's number and name, a hybrid logical clock stamp, the instance, its
// role and boot, and the fields that the catalogue lists for the event. The
// page docs/EVENTS.md is the catalogue in print.
//
// To add an event: a value in Number, a row in catalogue.cc, and
// `samphirebank events > docs/EVENTS.md`.
//
// Thread rules: everything here belongs to the loop's thread.
//
// Example:
//
//   events::Open({.instance = id, .role = "router", .boot = boot});
//   events::Log({.number = events::Number::kRequestDispatched,
//                .request = request,
//                .target = target,
//                .epoch = epoch});
#ifndef SAMPHIREBANK_EVENTS_EVENTS_H_
#define SAMPHIREBANK_EVENTS_EVENTS_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "samphirebank/base/base.h"

namespace samphirebank::events {

// Severity says who should look at an event.
enum class Severity : uint8_t { kDebug, kInfo, kWarning, kError };

// Number identifies a kind of event. Numbers are never reused: 1xx processes,
// 2xx callers' requests, 3xx targets, 4xx schedulers, 5xx configuration,
// 6xx consensus and storage, 7xx claims, 8xx peers.
enum class Number : uint16_t {
  kProcessStarted = 100,
  kProcessReady = 101,
  kShutdownStarted = 102,
  kProcessStopped = 103,
  kSettingsReloaded = 104,
  kRotationLeft = 105,
  kRotationJoined = 106,
  kInternalError = 110,
  kLinesLeftOut = 111,

  kRequestReceived = 200,
  kRequestRefused = 201,
  kRequestQueued = 202,
  kRequestGranted = 203,
  kRequestDispatched = 204,
  kFirstByte = 205,
  kRequestAnswered = 206,
  kRequestRetried = 207,
  kRequestResumed = 208,
  kRequestCut = 209,
  kCallerLeft = 210,
  kOrganisationRefused = 211,

  kTargetAnnounced = 300,
  kTargetLost = 301,
  kTargetLeaving = 302,
  kTargetRefused = 303,
  kTargetStopped = 304,
  kTargetPassedOver = 305,
  kTargetBrokeOff = 306,
  kPartQuarantined = 307,
  kTargetLimited = 308,
  kTargetUnlimited = 309,

  kSchedulerStarted = 400,
  kSchedulerRetired = 401,
  kGrantRefused = 402,

  kRevisionInstalled = 500,
  kLeaseLapsed = 501,
  kLeaseRenewed = 502,
  kChangeAccepted = 510,
  kChangeRefused = 511,
  kChangeRepeated = 512,
  kChangeInForce = 513,
  kPoolAssigned = 520,
  kTableAccepted = 530,
  kTableRefused = 531,
  kTableInForce = 532,
  kControlLost = 540,
  kControlRegained = 541,
  kZoneEvacuated = 550,
  kZoneRestored = 551,
  kZoneOrderRefused = 552,
  kZonesInForce = 553,

  kLeaderElected = 600,
  kLeaderSteppedDown = 601,
  kMemberAdded = 602,
  kMemberRemoved = 603,
  kSnapshotWritten = 604,
  kSnapshotInstalled = 605,
  kLogRecovered = 606,
  kTornTailDropped = 607,
  kStorageFailed = 608,
  kDiskFull = 609,
  kDiskWritable = 610,
  kMemberDeparts = 611,

  kClaimGranted = 700,
  kClaimReplayed = 701,
  kClaimRefused = 702,
  kClaimEnded = 703,

  kPacketRefused = 800,
  kMessageDropped = 801,
};

// Event is one event with its fields. Fields that are empty are not logged; a
// field that the catalogue does not list for the event is logged and named
// under "undeclared".
struct Event {
  Number number = Number::kInternalError;
  RequestId request = {};
  OrganisationId organisation = {};
  TargetId target = {};
  ServiceId service = {};
  RegionId region = {};
  InstanceId peer = {};  // another instance
  ChangeId change = {};
  std::optional<Revision> revision = {};
  std::optional<Term> term = {};
  std::optional<Epoch> epoch = {};
  std::optional<Tokens> tokens = {};
  std::optional<Bytes> bytes = {};
  std::optional<Duration> duration = {};  // logged as duration_ms
  std::optional<int64_t> status = {};     // an HTTP status
  std::optional<int64_t> count = {};
  std::string outcome = {};  // "not-run", "unknown" or "ran"
  std::string address = {};  // ip:port
  std::string reason = {};   // one of few fixed words
  std::string detail = {};   // free text, without secrets or callers' content
};

// Kind is a row of the catalogue.
struct Kind {
  Number number;
  std::string_view name;
  Severity severity;
  std::string_view meaning;
  std::vector<std::string_view> fields;  // by the names they are logged under
};

// Catalogue returns all kinds by rising number.
const std::vector<Kind>& Catalogue();

// FindKind returns the row of a number; null if there is none.
const Kind* FindKind(Number number);

// CataloguePage returns the text of docs/EVENTS.md.
std::string CataloguePage();

// Stamp is a hybrid logical clock reading: it orders events by cause over all
// instances that exchange stamps, and stays close to wall time.
struct Stamp {
  int64_t wall_ms = 0;  // milliseconds since 1970
  uint32_t logical = 0;

  friend auto operator<=>(const Stamp&, const Stamp&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(wall_ms, logical);
  }
};

// Clock is the state of one instance's hybrid logical clock.
struct Clock {
  Stamp last;
};

// kMaxStampAhead is how far another instance's stamp may be ahead of the own
// wall clock before it is disregarded.
inline constexpr Duration kMaxStampAhead = std::chrono::seconds(60);

// Tick returns the stamp of an event at wall time `wall_ms`; stamps of one
// clock always rise.
Stamp Tick(Clock& clock, int64_t wall_ms);

// Merge takes in a received stamp, so that later stamps of this clock are
// above it.
void Merge(Clock& clock, Stamp received, int64_t wall_ms);

// Source says which process logs.
struct Source {
  InstanceId instance;
  std::string role = {};  // "router", "control", "emulator"
  BootId boot = {};
};

// EventLine returns the JSON text of one event, without a line end.
std::string EventLine(const Source& source, Stamp stamp, const Event& event);

// LogOptions says who logs, and where to.
struct LogOptions {
  InstanceId instance = {};
  std::string role = {};
  BootId boot = {};
  std::string file = {};  // appended to; empty: standard error, "-": output
  Severity lowest = Severity::kInfo;
};

// Open starts logging; before it, events are dropped. Throws
// std::runtime_error if the file cannot be opened.
void Open(const LogOptions& options);

// Log writes an event, stamped by the process's clock. The line has reached
// the file when Log returns, but is not synced. Lines to standard output wait
// for Flush, or until there are enough of them; those that its reader does not
// take at once, and those of one kind above kMostLinesPerSecond, are left out
// and counted in a line, once a second at most.
void Log(const Event& event);

// Flush writes the lines that wait. A process that logs to standard output
// calls it several times a second.
void Flush();

// kMostLinesPerSecond bounds the lines of one kind to standard output.
inline constexpr uint32_t kMostLinesPerSecond = 100;

// LineBudget decides which lines are left out.
struct LineBudget {
  struct Usage {
    int64_t second = 0;
    uint32_t lines = 0;
  };
  std::map<Number, Usage> usage;
  uint64_t left_out = 0;      // since the last report
  int64_t report_second = 0;  // of the last report
};

// TakeLine tells whether a line of this kind may be written in the second of
// `wall_ms`, and counts it.
bool TakeLine(LineBudget& budget, Number number, int64_t wall_ms);

// CurrentStamp ticks the process's clock, for a message to another instance.
Stamp CurrentStamp();

// Observe merges a stamp that another instance sent into the process's clock.
void Observe(Stamp received);

// Close ends logging.
void Close();

}  // namespace samphirebank::events

#endif  // SAMPHIREBANK_EVENTS_EVENTS_H_
