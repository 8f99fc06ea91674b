#include "samphirebank/quarantine/quarantine.h"

#include <xxhash.h>

#include <algorithm>
#include <string>
#include <tuple>
#include <unordered_set>

#include "samphirebank/quarantine/internal/records.h"

namespace samphirebank::quarantine {
namespace {

using internal::Encode;
using internal::IsCleared;
using internal::MergeEvidence;
using internal::MergeRecord;
using internal::QuarantineLeft;

// Suspects that a gateway keeps; an outage of many targets at once makes more
// of them than there is any use for.
constexpr size_t kMaxSuspects = 512;

bool IsFresh(const std::optional<TimePoint>& at, Duration ttl, TimePoint now) {
  return at && now - *at < ttl;
}

bool HasFleetEvidence(const Quarantine& quarantine, TimePoint now) {
  return now - quarantine.fleet_received_at < kEvidenceTtl;
}

std::optional<TimePoint> BegunAt(const Quarantine& quarantine, PartId part) {
  const auto found = quarantine.begun.find(part);
  if (found == quarantine.begun.end()) return std::nullopt;
  return found->second;
}

// OwnRecords returns what this gateway knows of the parts that it or another
// one suspects.
Records OwnRecords(const Quarantine& quarantine) {
  Records records = quarantine.suspects;
  for (const auto& [part, record] : quarantine.fleet) {
    if (quarantine.begun.contains(part)) records.try_emplace(part);
  }
  for (auto& [part, record] : records) {
    record.begun_at = BegunAt(quarantine, part);
  }
  return records;
}

// RecordOf returns what is known of one part in the whole fleet.
Record RecordOf(const Quarantine& quarantine, PartId part, TimePoint now) {
  Record record;
  const auto own = quarantine.suspects.find(part);
  if (own != quarantine.suspects.end()) record = own->second;
  record.begun_at = BegunAt(quarantine, part);
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
  size_t crashes = 0;  // those within crash_gap of each other count once
  TimePoint first{};
};

Suspicion Weigh(const Options& options, const Record& record,
                const std::unordered_set<RunHash>& explained, TimePoint now) {
  std::vector<TimePoint> times;
  for (const Record::Crash& crash : record.crashes) {
    const bool counts = !explained.contains(crash.run) &&
                        now - crash.at < options.crash_ttl &&
                        (!record.begun_at || crash.at > *record.begun_at);
    if (counts) times.push_back(crash.at);
  }
  std::ranges::sort(times);
  Suspicion suspicion;
  TimePoint last{};
  for (const TimePoint at : times) {
    if (suspicion.crashes > 0 && at - last < options.crash_gap) continue;
    if (suspicion.crashes == 0) suspicion.first = at;
    ++suspicion.crashes;
    last = at;
  }
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
  const size_t needed = IsFresh(record.begun_at, options.begun_ttl, now)
                            ? options.min_crashes_if_begun
                            : options.min_crashes;
  return suspicion.crashes >= needed;
}

// FindWorst returns the part with the strongest evidence, if it is enough. Of
// parts with the same evidence it is the deepest one: the prompts that have it
// also have those before it.
std::optional<PartId> FindWorst(const Quarantine& quarantine,
                                const Records& records, TimePoint now) {
  const Options& options = quarantine.options;
  const std::unordered_set<RunHash> explained = ExplainedRuns(records);
  std::optional<PartId> worst;
  std::tuple<size_t, uint32_t, PartId> worst_rank;
  for (const auto& [part, record] : records) {
    if (record.quarantined_at) continue;
    const Suspicion suspicion = Weigh(options, record, explained, now);
    const bool is_guilty = IsEnough(options, record, suspicion, now) &&
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

void RecordBegun(Quarantine& quarantine, const std::vector<PartId>& parts,
                 TimePoint now) {
  for (const PartId part : parts) {
    quarantine.begun[part] = now;
    quarantine.suspects.erase(part);
  }
}

void RecordCrash(Quarantine& quarantine, const std::vector<PartId>& parts,
                 RunHash run, TimePoint now) {
  const bool is_explained = TimeLeft(quarantine, parts, now).has_value();
  for (size_t depth = 0; depth < parts.size(); ++depth) {
    const bool is_culprit =
        TimeLeft(quarantine, {parts[depth]}, now).has_value();
    if (is_explained && !is_culprit) continue;
    const bool has_room = quarantine.suspects.size() < kMaxSuspects ||
                          quarantine.suspects.contains(parts[depth]);
    if (!has_room) continue;
    const Record seen{.depth = static_cast<uint32_t>(depth),
                      .crashes = {{.run = run, .at = now}}};
    MergeRecord(quarantine.suspects[parts[depth]], seen);
  }
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
  if (quarantine.suspects.empty() && quarantine.fleet.empty()) return added;
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
    if (IsFresh(record.begun_at, options.begun_ttl, now)) return false;
    return Weigh(options, record, {}, now).crashes >=
           options.min_crashes_to_suspect;
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
  if (quarantine.suspects.empty() && quarantine.fleet.empty()) return {};
  return Encode(OwnRecords(quarantine), now);
}

void EvictExpired(Quarantine& quarantine, TimePoint now) {
  const Options& options = quarantine.options;
  std::erase_if(quarantine.begun, [&](const auto& item) {
    return now - item.second >= options.begun_ttl;
  });
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
