#include <utility>

#include "samphirebank/quarantine/internal/records.h"

namespace samphirebank::quarantine {
namespace {

using internal::IsCleared;
using internal::MergeEvidence;
using internal::MergeRecord;
using internal::QuarantineLeft;

// A part that one target ended under is no suspect of the fleet yet. Left out,
// it makes room for those that are.
constexpr size_t kMinCrashesToTell = 2;

using Reports = std::map<InstanceId, Aggregate::Report>;

void MergeFresh(Records& records, const Reports& reports, TimePoint now) {
  for (const auto& [from, report] : reports) {
    const bool fresh = now - report.received_at < kEvidenceTtl;
    if (fresh) MergeEvidence(records, report.evidence, report.received_at);
  }
}

void MergeKept(Records& records, const Records& kept) {
  for (const auto& [part, record] : kept) MergeRecord(records[part], record);
}

// Keep takes over the quarantines in received evidence.
void Keep(Aggregate& aggregate, const Evidence& evidence, TimePoint now) {
  Records received;
  MergeEvidence(received, evidence, now);
  for (const auto& [part, record] : received) {
    if (!record.quarantined_at || aggregate.kept.contains(part)) continue;
    const Duration left =
        QuarantineLeft(aggregate.options, *record.quarantined_at, now);
    if (left < internal::kMinAdoptedTime) continue;
    aggregate.kept[part] = {.depth = record.depth,
                            .quarantined_at = record.quarantined_at};
  }
}

Records FleetRecords(const Aggregate& aggregate, TimePoint now) {
  Records records;
  MergeFresh(records, aggregate.gateways, now);
  MergeFresh(records, aggregate.coordinators, now);
  MergeKept(records, aggregate.kept);
  return records;
}

}  // namespace

void RecordGateway(Aggregate& aggregate, const InstanceId& from,
                   Evidence evidence, TimePoint now) {
  Keep(aggregate, evidence, now);
  aggregate.gateways[from] = {.evidence = std::move(evidence),
                              .received_at = now};
}

void RecordCoordinator(Aggregate& aggregate, const InstanceId& from,
                       Evidence evidence, TimePoint now) {
  Keep(aggregate, evidence, now);
  aggregate.coordinators[from] = {.evidence = std::move(evidence),
                                  .received_at = now};
}

Evidence SumOfGateways(const Aggregate& aggregate, TimePoint now) {
  Records records;
  MergeFresh(records, aggregate.gateways, now);
  MergeKept(records, aggregate.kept);
  return internal::Encode(records, {.judging = aggregate.options}, now);
}

Evidence SumOfFleet(const Aggregate& aggregate, TimePoint now) {
  return internal::Encode(
      FleetRecords(aggregate, now),
      {.judging = aggregate.options, .min_crashes = kMinCrashesToTell}, now);
}

void EvictStale(Aggregate& aggregate, TimePoint now) {
  const auto is_stale = [now](const auto& item) {
    return now - item.second.received_at >= kEvidenceTtl;
  };
  std::erase_if(aggregate.gateways, is_stale);
  std::erase_if(aggregate.coordinators, is_stale);
  if (aggregate.kept.empty()) return;
  const Records fleet = FleetRecords(aggregate, now);
  std::erase_if(aggregate.kept, [&](const auto& item) {
    const auto& [part, record] = item;
    const Duration left =
        QuarantineLeft(aggregate.options, *record.quarantined_at, now);
    return left <= Duration::zero() || IsCleared(fleet.at(part));
  });
}

}  // namespace samphirebank::quarantine
