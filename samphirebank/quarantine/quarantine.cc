#include "samphirebank/quarantine/quarantine.h"

#include <xxhash.h>

#include <algorithm>
#include <string>
#include <tuple>
#include <unordered_set>
#include <utility>

#include "samphirebank/quarantine/internal/records.h"

namespace samphirebank::quarantine {
namespace {

using internal::Encode;
using internal::IsCleared;
using internal::IsPending;
using internal::MergeEvidence;
using internal::MergeRecord;
using internal::QuarantineLeft;

// Suspects that a gateway keeps; an outage of many targets at once makes more
// of them than there is any use for.
constexpr size_t kMaxSuspects = 2048;
constexpr size_t kMaxDoubts = 1024;

bool IsFresh(const std::optional<TimePoint>& at, Duration ttl, TimePoint now) {
  return at && now - *at < ttl;
}

bool HasFleetEvidence(const Quarantine& quarantine, TimePoint now) {
  return now - quarantine.fleet_received_at < kEvidenceTtl;
}

template <typename Value>
std::optional<Value> Find(const std::unordered_map<PartId, Value>& values,
                          PartId part) {
  const auto found = values.find(part);
  if (found == values.end()) return std::nullopt;
  return found->second;
}

// AddAnswers adds what this gateway knows of the answers to prompts with a
// part.
void AddAnswers(const Quarantine& quarantine, PartId part, Record& record) {
  record.answered_at = Find(quarantine.answered, part);
  record.in_progress = Find(quarantine.in_progress, part);
}

// OwnRecords returns what this gateway knows of the parts that it or another
// one suspects.
Records OwnRecords(const Quarantine& quarantine) {
  Records records = quarantine.suspects;
  for (const auto& [part, record] : quarantine.fleet) {
    const bool has_answers = quarantine.answered.contains(part) ||
                             quarantine.in_progress.contains(part);
    if (has_answers) records.try_emplace(part);
  }
  for (auto& [part, record] : records) AddAnswers(quarantine, part, record);
  return records;
}

// RecordOf returns what is known of one part in the whole fleet.
Record RecordOf(const Quarantine& quarantine, PartId part, TimePoint now) {
  Record record;
  const auto own = quarantine.suspects.find(part);
  if (own != quarantine.suspects.end()) record = own->second;
  AddAnswers(quarantine, part, record);
  const auto others = quarantine.fleet.find(part);
  const bool has_others =
      HasFleetEvidence(quarantine, now) && others != quarantine.fleet.end();
  if (has_others) MergeRecord(record, others->second);
  return record;
}

Records AllRecords(const Quarantine& quarantine, TimePoint now) {
  Records records = OwnRecords(quarantine);
  if (!HasFleetEvidence(quarantine, now)) return records;
  for (const auto& [part, record] : quarantine.fleet) {
    MergeRecord(records[part], record);
  }
  return records;
}

// AdoptAndClear takes over quarantines that others report and ends those whose
// part was cleared.
void AdoptAndClear(Quarantine& quarantine, Records& records, TimePoint now,
                   std::vector<PartId>* added) {
  for (auto& [part, record] : records) {
    if (!record.quarantined_at) continue;
    const bool held = quarantine.suspects.contains(part) &&
                      quarantine.suspects[part].quarantined_at;
    if (IsCleared(record)) {
      if (held) quarantine.suspects.erase(part);
      record.quarantined_at.reset();
      record.crashes.clear();
    } else if (!held &&
               QuarantineLeft(quarantine.options, *record.quarantined_at,
                              now) >= internal::kMinAdoptedTime) {
      Record& own = quarantine.suspects[part];
      own.quarantined_at = record.quarantined_at;
      own.depth = record.depth;
      added->push_back(part);
    }
  }
}

// ExplainedRuns returns the runs whose end is explained by a part that is in
// quarantine.
std::unordered_set<RunHash> ExplainedRuns(const Records& records) {
  std::unordered_set<RunHash> runs;
  for (const auto& [part, record] : records) {
    if (!record.quarantined_at) continue;
    for (const Record::Crash& crash : record.crashes) runs.insert(crash.run);
  }
  return runs;
}

// Suspicion is the evidence against one part.
struct Suspicion {
  size_t crashes = 0;  // of like age; those within crash_gap count once
  // Of all ages.
  TimePoint first{};
  TimePoint last{};
  bool has_begun = false;    // an answer of one of them had
  bool has_pending = false;  // a later end may count as well
};

// CountApart counts sorted times; those within `gap` of a counted one do not
// count.
size_t CountApart(const std::vector<TimePoint>& times, Duration gap) {
  size_t count = 0;
  TimePoint last{};
  for (const TimePoint at : times) {
    if (count > 0 && at - last < gap) continue;
    ++count;
    last = at;
  }
  return count;
}

// UnexplainedEnds returns when the known runs ended whose end no part in
// quarantine explains, in order.
std::vector<TimePoint> UnexplainedEnds(
    const Quarantine& quarantine, const Records& records,
    const std::unordered_set<RunHash>& explained) {
  std::unordered_map<RunHash, TimePoint> ends = quarantine.ended_runs;
  for (const auto& [part, record] : records) {
    for (const Record::Crash& crash : record.crashes) {
      TimePoint& at = ends.try_emplace(crash.run, crash.at).first->second;
      at = std::min(at, crash.at);
    }
  }
  std::vector<TimePoint> times;
  for (const auto& [run, at] : ends) {
    if (!explained.contains(run)) times.push_back(at);
  }
  std::ranges::sort(times);
  return times;
}

// CoversEnough returns whether the part can be the reason for the ends of
// targets in its time.
bool CoversEnough(const Options& options, const Suspicion& suspicion,
                  const std::vector<TimePoint>& ends) {
  const std::vector<TimePoint> meanwhile(
      std::ranges::lower_bound(ends, suspicion.first),
      std::ranges::upper_bound(ends, suspicion.last));
  const auto all =
      static_cast<double>(CountApart(meanwhile, options.crash_gap));
  return static_cast<double>(suspicion.crashes) >= options.min_coverage * all;
}

// IsOutlived returns whether the part is not why an answer was cut off at
// `age`: another one has gone on for much longer.
bool IsOutlived(const Options& options, const Record& record, Duration age) {
  return record.in_progress &&
         *record.in_progress > options.age_factor * age + options.age_slack;
}

// WithLikeAge returns the most crashes whose ages are within the bounds of
// IsOutlived: a part ends targets after like times.
std::vector<Record::Crash> WithLikeAge(const Options& options,
                                       std::vector<Record::Crash> crashes) {
  std::ranges::sort(crashes, {}, &Record::Crash::age);
  auto best = crashes.begin();
  auto best_end = crashes.begin();
  auto end = crashes.begin();
  for (auto first = crashes.begin(); first != crashes.end(); ++first) {
    const Duration most = options.age_factor * first->age + options.age_slack;
    while (end != crashes.end() && end->age <= most) ++end;
    if (end - first <= best_end - best) continue;
    best = first;
    best_end = end;
  }
  return {best, best_end};
}

Suspicion Weigh(const Options& options, const Record& record,
                const std::unordered_set<RunHash>& explained, TimePoint now) {
  Suspicion suspicion;
  std::vector<Record::Crash> counted;
  for (const Record::Crash& crash : record.crashes) {
    const bool is_answered =
        record.answered_at && crash.at <= *record.answered_at;
    const bool is_refuted = is_answered || explained.contains(crash.run) ||
                            now - crash.at >= options.crash_ttl ||
                            IsOutlived(options, record, crash.age);
    if (is_refuted) continue;
    if (IsPending(options, crash, now)) {
      suspicion.has_pending = true;
      continue;
    }
    counted.push_back(crash);
  }
  if (counted.empty()) return suspicion;
  const auto [first, last] =
      std::ranges::minmax(counted, {}, &Record::Crash::at);
  suspicion.first = first.at;
  suspicion.last = last.at;
  std::vector<TimePoint> times;
  for (const Record::Crash& crash : WithLikeAge(options, std::move(counted))) {
    times.push_back(crash.at);
    if (crash.age > Duration::zero()) suspicion.has_begun = true;
  }
  std::ranges::sort(times);
  suspicion.crashes = CountApart(times, options.crash_gap);
  return suspicion;
}

// IsSettled returns whether the others have had time to say that the part is
// sound. Without news of them a gateway judges by itself.
bool IsSettled(const Quarantine& quarantine, PartId part,
               const Suspicion& suspicion, TimePoint now) {
  TimePoint since = suspicion.first;
  if (HasFleetEvidence(quarantine, now)) {
    const auto listed = quarantine.listed_since.find(part);
    if (listed == quarantine.listed_since.end()) return false;
    since = std::max(since, listed->second);
  }
  return now - since >= quarantine.options.settle_time;
}

bool IsEnough(const Options& options, const Record& record,
              const Suspicion& suspicion, TimePoint now) {
  size_t needed = options.min_crashes;
  if (suspicion.has_begun) needed = options.min_crashes_if_begun;
  if (IsFresh(record.answered_at, options.answered_ttl, now)) {
    needed = options.min_crashes_if_answered;
  }
  return suspicion.crashes >= needed;
}

// FindWorst returns the part with the strongest evidence, if it is enough. Of
// parts with the same evidence it is the deepest one: the prompts that have it
// also have those before it.
std::optional<PartId> FindWorst(const Quarantine& quarantine,
                                const Records& records, TimePoint now) {
  const Options& options = quarantine.options;
  const std::unordered_set<RunHash> explained = ExplainedRuns(records);
  const std::vector<TimePoint> ends =
      UnexplainedEnds(quarantine, records, explained);
  std::optional<PartId> worst;
  std::tuple<size_t, uint32_t, PartId> worst_rank;
  for (const auto& [part, record] : records) {
    if (record.quarantined_at) continue;
    const Suspicion suspicion = Weigh(options, record, explained, now);
    const bool is_guilty = IsEnough(options, record, suspicion, now) &&
                           CoversEnough(options, suspicion, ends) &&
                           IsSettled(quarantine, part, suspicion, now);
    if (!is_guilty) continue;
    const std::tuple rank(suspicion.crashes, record.depth, part);
    if (worst && rank <= worst_rank) continue;
    worst = part;
    worst_rank = rank;
  }
  return worst;
}

}  // namespace

RunHash HashRun(const TargetId& target, int64_t started_at_ms) {
  return RunHash(
      static_cast<uint32_t>(XXH64(target.value.data(), target.value.size(),
                                  static_cast<uint64_t>(started_at_ms))));
}

void RecordAnswered(Quarantine& quarantine, const std::vector<PartId>& parts,
                    TimePoint now) {
  for (const PartId part : parts) {
    TimePoint& newest = quarantine.answered[part];
    newest = std::max(newest, now);
    quarantine.suspects.erase(part);
  }
}

void RecordCrash(Quarantine& quarantine, const std::vector<PartId>& parts,
                 RunHash run, Duration age, TimePoint now) {
  if (!parts.empty()) quarantine.ended_runs.try_emplace(run, now);
  const bool is_explained = TimeLeft(quarantine, parts, now).has_value();
  for (size_t depth = 0; depth < parts.size(); ++depth) {
    const bool is_culprit =
        TimeLeft(quarantine, {parts[depth]}, now).has_value();
    if (is_explained && !is_culprit) continue;
    const bool has_room = quarantine.suspects.size() < kMaxSuspects ||
                          quarantine.suspects.contains(parts[depth]);
    if (!has_room) continue;
    const Record seen{.depth = static_cast<uint32_t>(depth),
                      .crashes = {{.run = run, .at = now, .age = age}}};
    MergeRecord(quarantine.suspects[parts[depth]], seen);
  }
}

void RecordDoubt(Quarantine& quarantine, Doubt doubt) {
  if (doubt.parts.empty()) return;
  if (quarantine.doubts.size() >= kMaxDoubts) quarantine.doubts.pop_front();
  quarantine.doubts.push_back(std::move(doubt));
}

void RecordAlive(Quarantine& quarantine, RunHash run, TimePoint alive_at) {
  const Duration shortest = quarantine.options.shortest_restart;
  const auto is_disproved = [&](TimePoint at) {
    return at < alive_at && alive_at - at < shortest;
  };
  const auto ended = quarantine.ended_runs.find(run);
  if (ended != quarantine.ended_runs.end() && is_disproved(ended->second)) {
    quarantine.ended_runs.erase(ended);
    for (auto& [part, record] : quarantine.suspects) {
      std::erase_if(record.crashes, [&](const Record::Crash& crash) {
        return crash.run == run;
      });
    }
  }
  std::vector<Doubt> whole;
  for (Doubt& doubt : quarantine.doubts) {
    if (doubt.run != run || !is_disproved(doubt.at)) continue;
    whole.push_back(std::exchange(doubt, {}));
  }
  for (const Doubt& doubt : whole) {
    RecordAnswered(quarantine, doubt.parts, doubt.at);
  }
}

void RecordEnded(Quarantine& quarantine, const TargetId& target,
                 Duration window, TimePoint now) {
  std::vector<Doubt> cut;
  for (Doubt& doubt : quarantine.doubts) {
    if (doubt.target != target || now - doubt.at >= window) continue;
    cut.push_back(std::exchange(doubt, {}));
  }
  for (const Doubt& doubt : cut) {
    RecordCrash(quarantine, doubt.parts, doubt.run, doubt.age, doubt.at);
  }
}

bool DoubtsEnds(const Quarantine& quarantine) {
  return !quarantine.doubts.empty() || !quarantine.ended_runs.empty();
}

bool IsWatching(const Quarantine& quarantine) {
  return !quarantine.suspects.empty() || !quarantine.fleet.empty();
}

bool IsWatched(const Quarantine& quarantine, PartId part) {
  return quarantine.suspects.contains(part) || quarantine.fleet.contains(part);
}

void TakeInProgress(Quarantine& quarantine, Ages ages) {
  quarantine.in_progress = std::move(ages);
}

void TakeFleetEvidence(Quarantine& quarantine, const Evidence& evidence,
                       TimePoint now) {
  if (!HasFleetEvidence(quarantine, now)) quarantine.listed_since.clear();
  quarantine.fleet.clear();
  MergeEvidence(quarantine.fleet, evidence, now);
  quarantine.fleet_received_at = now;
  std::erase_if(quarantine.listed_since, [&](const auto& item) {
    return !quarantine.fleet.contains(item.first);
  });
  for (const auto& [part, record] : quarantine.fleet) {
    quarantine.listed_since.try_emplace(part, now);
  }
}

std::vector<PartId> Judge(Quarantine& quarantine, TimePoint now) {
  std::vector<PartId> added;
  if (!IsWatching(quarantine)) return added;
  Records records = AllRecords(quarantine, now);
  AdoptAndClear(quarantine, records, now, &added);
  while (const auto worst = FindWorst(quarantine, records, now)) {
    Record& record = records[*worst];
    record.quarantined_at = now;
    MergeRecord(quarantine.suspects[*worst], record);
    added.push_back(*worst);
  }
  return added;
}

bool IsSuspect(const Quarantine& quarantine, const std::vector<PartId>& parts,
               TimePoint now) {
  const Options& options = quarantine.options;
  return std::ranges::any_of(parts, [&](PartId part) {
    const Record record = RecordOf(quarantine, part, now);
    if (IsFresh(record.answered_at, options.answered_ttl, now)) return false;
    const Suspicion suspicion = Weigh(options, record, {}, now);
    const size_t crashes = suspicion.crashes + (suspicion.has_pending ? 1 : 0);
    return crashes >= options.min_crashes_to_suspect;
  });
}

std::optional<Duration> TimeLeft(const Quarantine& quarantine,
                                 const std::vector<PartId>& parts,
                                 TimePoint now) {
  std::optional<Duration> longest;
  if (quarantine.suspects.empty()) return longest;
  for (const PartId part : parts) {
    const auto found = quarantine.suspects.find(part);
    if (found == quarantine.suspects.end()) continue;
    if (!found->second.quarantined_at) continue;
    const Duration left =
        QuarantineLeft(quarantine.options, *found->second.quarantined_at, now);
    if (left <= Duration::zero()) continue;
    longest = std::max(longest.value_or(left), left);
  }
  return longest;
}

Evidence BuildReport(const Quarantine& quarantine, TimePoint now) {
  if (!IsWatching(quarantine)) return {};
  return Encode(OwnRecords(quarantine),
                {.judging = quarantine.options, .listed = &quarantine.fleet},
                now);
}

void EvictExpired(Quarantine& quarantine, TimePoint now) {
  const Options& options = quarantine.options;
  std::erase_if(quarantine.answered, [&](const auto& item) {
    return now - item.second >= options.answered_ttl;
  });
  std::erase_if(quarantine.ended_runs, [&](const auto& item) {
    return now - item.second >= options.crash_ttl;
  });
  std::erase_if(quarantine.doubts, [&](const Doubt& doubt) {
    return now - doubt.at >= options.doubt_ttl;
  });
  if (!IsWatching(quarantine)) quarantine.in_progress.clear();
  for (auto& [part, record] : quarantine.suspects) {
    std::erase_if(record.crashes, [&](const Record::Crash& crash) {
      return now - crash.at >= options.crash_ttl;
    });
    const bool is_over =
        record.quarantined_at &&
        QuarantineLeft(options, *record.quarantined_at, now) <= Duration();
    if (is_over) record.quarantined_at.reset();
  }
  std::erase_if(quarantine.suspects, [](const auto& item) {
    return item.second.crashes.empty() && !item.second.quarantined_at;
  });
  if (!HasFleetEvidence(quarantine, now)) {
    quarantine.fleet.clear();
    quarantine.listed_since.clear();
  }
}

}  // namespace samphirebank::quarantine
