#include <algorithm>
#include <functional>
#include <limits>
#include <tuple>
#include <utility>

#include "samphirebank/quarantine/internal/records.h"

namespace samphirebank::quarantine::internal {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

uint32_t InMs(Duration span) {
  constexpr int64_t kMost = std::numeric_limits<uint32_t>::max();
  const int64_t count = duration_cast<milliseconds>(span).count();
  return static_cast<uint32_t>(std::clamp<int64_t>(count, 0, kMost));
}

uint32_t AgeInMs(TimePoint at, TimePoint now) { return InMs(now - at); }

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

// AddCrash keeps the earliest time at which a run's end was noticed, and the
// greatest age: the oldest of a deadly part's answers is the one that ended it.
void AddCrash(Record& record, const Record::Crash& crash) {
  const auto known =
      std::ranges::find(record.crashes, crash.run, &Record::Crash::run);
  if (known == record.crashes.end()) {
    record.crashes.push_back(crash);
  } else {
    known->at = std::min(known->at, crash.at);
    known->age = std::max(known->age, crash.age);
  }
}

// CrashesToTell returns the crashes that matter most, at most kMaxCrashes.
std::vector<Record::Crash> CrashesToTell(const Options& options,
                                         const Record& record, TimePoint now) {
  std::vector<Record::Crash> all = record.crashes;
  std::erase_if(all, [&](const Record::Crash& crash) {
    return record.answered_at && crash.at <= *record.answered_at;
  });
  std::ranges::sort(all, {}, &Record::Crash::at);
  std::vector<Record::Crash> first;
  std::vector<Record::Crash> others;
  for (const Record::Crash& crash : all) {
    const bool is_close =
        !first.empty() && crash.at - first.back().at < options.crash_gap;
    (is_close ? others : first).push_back(crash);
  }
  std::vector<Record::Crash> told(first.rbegin(), first.rend());
  std::stable_partition(told.begin(), told.end(),
                        [&](const Record::Crash& crash) {
                          return !IsPending(options, crash, now);
                        });
  told.insert(told.end(), others.rbegin(), others.rend());
  if (told.size() > kMaxCrashes) told.resize(kMaxCrashes);
  return told;
}

PartEvidence EncodeRecord(const Options& options, PartId part,
                          const Record& record, TimePoint now) {
  PartEvidence encoded{
      .part = part,
      .depth = record.depth,
      .answered_ms_ago = AgeInMs(record.answered_at, now),
      .quarantined_ms_ago = AgeInMs(record.quarantined_at, now)};
  if (record.in_progress) encoded.in_progress_ms = InMs(*record.in_progress);
  for (const Record::Crash& crash : CrashesToTell(options, record, now)) {
    encoded.crashes.push_back({.run = crash.run,
                               .ms_ago = AgeInMs(crash.at, now),
                               .age_ms = InMs(crash.age)});
  }
  return encoded;
}

// Weight orders evidence, the greatest first.
using Weight = std::tuple<bool, bool, bool, size_t, int64_t, PartId>;

Weight WeightOf(const PartEvidence& item, const Records* listed) {
  const bool has_answers = item.answered_ms_ago || item.in_progress_ms;
  const bool is_listed = listed != nullptr && listed->contains(item.part);
  int64_t least_age = std::numeric_limits<uint32_t>::max();
  for (const CrashEvidence& crash : item.crashes) {
    least_age = std::min<int64_t>(least_age, crash.age_ms);
  }
  return {item.quarantined_ms_ago.has_value(),
          has_answers && (is_listed || item.crashes.empty()),
          listed == nullptr || !item.answered_ms_ago,
          item.crashes.size(),
          -least_age,
          item.part};
}

// Bound drops what a message does not hold; the evidence is in order of weight.
void Bound(Evidence& evidence) {
  if (evidence.size() > kMaxParts) evidence.resize(kMaxParts);
  size_t room = kMaxMessageCrashes;
  for (PartEvidence& item : evidence) {
    if (item.crashes.size() > room) item.crashes.resize(room);
    room -= item.crashes.size();
  }
}

}  // namespace

void MergeRecord(Record& into, const Record& from) {
  into.depth = std::max(into.depth, from.depth);
  if (from.answered_at) {
    into.answered_at = std::max(into.answered_at.value_or(*from.answered_at),
                                *from.answered_at);
  }
  if (from.in_progress) {
    into.in_progress = std::max(into.in_progress.value_or(*from.in_progress),
                                *from.in_progress);
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
        .answered_at = TimeAt(item.answered_ms_ago, received_at),
        .quarantined_at = TimeAt(item.quarantined_ms_ago, received_at)};
    if (item.in_progress_ms) {
      received.in_progress = milliseconds(*item.in_progress_ms);
    }
    for (const CrashEvidence& crash : item.crashes) {
      received.crashes.push_back(
          {.run = crash.run,
           .at = received_at - milliseconds(crash.ms_ago),
           .age = milliseconds(crash.age_ms)});
    }
    MergeRecord(records[item.part], received);
  }
}

Evidence Encode(const Records& records, const EncodeOptions& options,
                TimePoint now) {
  Evidence evidence;
  evidence.reserve(records.size());
  for (const auto& [part, record] : records) {
    PartEvidence item = EncodeRecord(options.judging, part, record, now);
    const bool is_needed =
        item.quarantined_ms_ago || item.crashes.size() >= options.min_crashes;
    if (is_needed) evidence.push_back(std::move(item));
  }
  std::ranges::sort(
      evidence, std::ranges::greater(),
      [&](const PartEvidence& item) { return WeightOf(item, options.listed); });
  Bound(evidence);
  return evidence;
}

bool IsPending(const Options& options, const Record::Crash& crash,
               TimePoint now) {
  if (crash.age == Duration::zero()) return false;
  return now - crash.at <
         (options.age_factor - 1) * crash.age + options.age_slack;
}

bool IsCleared(const Record& record) {
  return record.answered_at && record.quarantined_at &&
         *record.answered_at > *record.quarantined_at;
}

Duration QuarantineLeft(const Options& options, TimePoint quarantined_at,
                        TimePoint now) {
  return quarantined_at + options.quarantine_duration - now;
}

}  // namespace samphirebank::quarantine::internal
