#include <algorithm>
#include <tuple>

#include "samphirebank/quarantine/internal/records.h"

namespace samphirebank::quarantine::internal {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

uint32_t AgeInMs(TimePoint at, TimePoint now) {
  const auto age = duration_cast<milliseconds>(now - at).count();
  return static_cast<uint32_t>(std::max<int64_t>(age, 0));
}

std::optional<uint32_t> AgeInMs(const std::optional<TimePoint>& at,
                                TimePoint now) {
  if (!at) return std::nullopt;
  return AgeInMs(*at, now);
}

std::optional<TimePoint> TimeAt(const std::optional<uint32_t>& ms_ago,
                                TimePoint now) {
  if (!ms_ago) return std::nullopt;
  return now - milliseconds(*ms_ago);
}

// AddCrash keeps the earliest time at which a run's end was noticed.
void AddCrash(Record& record, const Record::Crash& crash) {
  const auto known =
      std::ranges::find(record.crashes, crash.run, &Record::Crash::run);
  if (known == record.crashes.end()) {
    record.crashes.push_back(crash);
  } else {
    known->at = std::min(known->at, crash.at);
  }
}

PartEvidence EncodeRecord(PartId part, const Record& record, TimePoint now) {
  PartEvidence encoded{
      .part = part,
      .depth = record.depth,
      .begun_ms_ago = AgeInMs(record.begun_at, now),
      .quarantined_ms_ago = AgeInMs(record.quarantined_at, now)};
  for (const Record::Crash& crash : record.crashes) {
    encoded.crashes.push_back(
        {.run = crash.run, .ms_ago = AgeInMs(crash.at, now)});
  }
  // The newest ones matter.
  std::ranges::sort(encoded.crashes, {}, &CrashEvidence::ms_ago);
  if (encoded.crashes.size() > kMaxCrashes) encoded.crashes.resize(kMaxCrashes);
  return encoded;
}

}  // namespace

void MergeRecord(Record& into, const Record& from) {
  into.depth = std::max(into.depth, from.depth);
  if (from.begun_at) {
    into.begun_at =
        std::max(into.begun_at.value_or(*from.begun_at), *from.begun_at);
  }
  if (from.quarantined_at) {
    into.quarantined_at =
        std::min(into.quarantined_at.value_or(*from.quarantined_at),
                 *from.quarantined_at);
  }
  for (const Record::Crash& crash : from.crashes) AddCrash(into, crash);
}

void MergeEvidence(Records& records, const Evidence& evidence,
                   TimePoint received_at) {
  for (const PartEvidence& item : evidence) {
    Record received{
        .depth = item.depth,
        .begun_at = TimeAt(item.begun_ms_ago, received_at),
        .quarantined_at = TimeAt(item.quarantined_ms_ago, received_at)};
    for (const CrashEvidence& crash : item.crashes) {
      received.crashes.push_back(
          {.run = crash.run, .at = received_at - milliseconds(crash.ms_ago)});
    }
    MergeRecord(records[item.part], received);
  }
}

Evidence Encode(const Records& records, TimePoint now) {
  Evidence evidence;
  evidence.reserve(records.size());
  for (const auto& [part, record] : records) {
    evidence.push_back(EncodeRecord(part, record, now));
  }
  const auto by_weight = [](const PartEvidence& a, const PartEvidence& b) {
    return std::tuple(a.quarantined_ms_ago.has_value(), a.crashes.size(),
                      a.part) > std::tuple(b.quarantined_ms_ago.has_value(),
                                           b.crashes.size(), b.part);
  };
  std::ranges::sort(evidence, by_weight);
  if (evidence.size() > kMaxParts) evidence.resize(kMaxParts);
  return evidence;
}

bool IsCleared(const Record& record) {
  return record.begun_at && record.quarantined_at &&
         *record.begun_at > *record.quarantined_at;
}

Duration QuarantineLeft(const Options& options, TimePoint quarantined_at,
                        TimePoint now) {
  return quarantined_at + options.quarantine_duration - now;
}

}  // namespace samphirebank::quarantine::internal
